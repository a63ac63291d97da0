// Identity of cached prompt prefixes.
//
// A prompt is cut at checkpoints: every kCheckpointBytes of its text, and at
// the end of each message. The chain hash at a checkpoint covers everything up
// to it and is seeded with the client account, model, weights version and
// adapter, so that no entry can match another account's prompt or outdated
// weights.

#ifndef WAXWING_PREFIX_H_
#define WAXWING_PREFIX_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing {

// Approximate number of bytes of prompt text per token.
inline constexpr std::size_t kBytesPerToken = 4;
inline constexpr std::size_t kCheckpointBytes = 1024;

// The scope of a cache entry. Entries of different scopes never match.
struct cache_scope {
  std::string_view account;
  std::string_view model;
  std::string_view version;
  std::string_view adapter;
};

struct chat_message {
  std::string role;
  std::string content;
};

struct checkpoint {
  std::uint64_t hash = 0;
  // Tokens from the start of the prompt up to here.
  std::uint32_t tokens = 0;
};

struct prefix_chain {
  // In prompt order; `tokens` never decreases.
  std::vector<checkpoint> checkpoints;
  // Hash of the head, which selects the homes. The head is the start of the
  // prompt that requests usually share: all messages but the last, at most two.
  std::uint64_t head = 0;
  // Tokens from the start of the prompt to the end of the head.
  std::uint32_t head_tokens = 0;
  std::uint32_t tokens = 0;
};

// Returns the prompt's text as the model sees it; engines cache prefixes of it.
std::string PromptText(std::span<const chat_message> messages);

prefix_chain ComputePrefix(const cache_scope& scope,
                           std::span<const chat_message> messages);

// A segment of a prompt, identified by the caller.
struct prompt_segment {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

// Computes the chain of a prompt whose shared segments are identified by the
// caller. The head is the whole shared prefix; `tokens` also counts the tokens
// after it.
prefix_chain ComputeSegmentPrefix(const cache_scope& scope,
                                  std::span<const prompt_segment> segments,
                                  std::uint32_t tokens);

}  // namespace waxwing

#endif  // WAXWING_PREFIX_H_
