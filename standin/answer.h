// What the stand-in engine answers: a text fixed by the prompt, so that the
// load tool can check every byte.

#ifndef STANDIN_ANSWER_H_
#define STANDIN_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace standin {

// Identity of a prompt's answer.
std::uint64_t CompletionSeed(std::string_view prompt, std::string_view model);

// Token `index` of the answer.
std::string CompletionToken(std::uint64_t seed, std::uint64_t index);

// Tokens [0, count) joined.
std::string CompletionText(std::uint64_t seed, std::uint64_t count);

}  // namespace standin

#endif  // STANDIN_ANSWER_H_
