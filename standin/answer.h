// The completion text of the stand-in engine. It depends only on the prompt and
// the model, so that the load generator can check every byte.

#ifndef STANDIN_ANSWER_H_
#define STANDIN_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace standin {

// Returns the seed of the completion of a prompt.
std::uint64_t CompletionSeed(std::string_view prompt, std::string_view model);

// Returns token `index` of the completion.
std::string CompletionToken(std::uint64_t seed, std::uint64_t index);

// Returns tokens [0, count) of the completion, concatenated.
std::string CompletionText(std::uint64_t seed, std::uint64_t count);

}  // namespace standin

#endif  // STANDIN_ANSWER_H_
