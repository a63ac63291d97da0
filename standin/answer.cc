#include "standin/answer.h"

#include "waxwing/hash.h"

namespace standin {

std::uint64_t CompletionSeed(std::string_view prompt, std::string_view model) {
  return waxwing::Hash64(prompt, waxwing::Hash64(model));
}

std::string CompletionToken(std::uint64_t seed, std::uint64_t index) {
  return " " + waxwing::ToHex(waxwing::MixHash(seed, index)).substr(0, 5);
}

std::string CompletionText(std::uint64_t seed, std::uint64_t count) {
  std::string text;
  for (std::uint64_t i = 0; i < count; ++i)
    text += CompletionToken(seed, i);
  return text;
}

}  // namespace standin
