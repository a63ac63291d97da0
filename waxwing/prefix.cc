#include "waxwing/prefix.h"

#include <algorithm>

#include "waxwing/hash.h"

namespace waxwing {
namespace {

constexpr std::size_t kHeadMessages = 2;

// Each field is hashed with the hash of the fields before it as seed, so that
// ("ab", "c") and ("a", "bc") differ.
std::uint64_t ScopeSeed(const cache_scope& scope) {
  std::uint64_t seed = Hash64(scope.account);
  seed = Hash64(scope.model, seed);
  seed = Hash64(scope.version, seed);
  return Hash64(scope.adapter, seed);
}

void AppendMessage(const chat_message& message, std::string& text) {
  text += message.role;
  text += '\n';
  text += message.content;
  text += '\n';
}

}  // namespace

std::string PromptText(std::span<const chat_message> messages) {
  std::string text;
  for (const chat_message& message : messages)
    AppendMessage(message, text);
  return text;
}

prefix_chain ComputePrefix(const cache_scope& scope,
                           std::span<const chat_message> messages) {
  prefix_chain out;
  std::uint64_t hash = ScopeSeed(scope);
  out.head = hash;
  std::string text;
  std::size_t hashed_bytes = 0;
  const std::size_t head_messages =
      std::min(kHeadMessages, messages.empty() ? 0 : messages.size() - 1);
  const auto add_checkpoint = [&](std::size_t end) {
    hash = Hash64(
        std::string_view(text).substr(hashed_bytes, end - hashed_bytes), hash);
    hashed_bytes = end;
    out.checkpoints.push_back(
        {hash, static_cast<std::uint32_t>(end / kBytesPerToken)});
  };
  for (std::size_t i = 0; i < messages.size(); ++i) {
    AppendMessage(messages[i], text);
    // The positions of checkpoints depend only on the text since the end of the
    // previous message, so that equal prefixes have equal checkpoints whatever
    // follows.
    while (text.size() - hashed_bytes > kCheckpointBytes)
      add_checkpoint(hashed_bytes + kCheckpointBytes);
    add_checkpoint(text.size());
    if (i + 1 == head_messages) {
      out.head = hash;
      out.head_tokens = out.checkpoints.back().tokens;
    }
  }
  // The head of a prompt with a single message is its first checkpoint.
  if (head_messages == 0 && !out.checkpoints.empty()) {
    out.head = out.checkpoints.front().hash;
    out.head_tokens = out.checkpoints.front().tokens;
  }
  out.tokens = static_cast<std::uint32_t>((text.size() + kBytesPerToken - 1) /
                                          kBytesPerToken);
  return out;
}

prefix_chain ComputeSegmentPrefix(const cache_scope& scope,
                                  std::span<const prompt_segment> segments,
                                  std::uint32_t tokens) {
  prefix_chain out;
  std::uint64_t hash = ScopeSeed(scope);
  std::uint32_t end = 0;
  out.head = hash;
  for (const prompt_segment& segment : segments) {
    hash = CombineHashes(hash, segment.id);
    end += segment.tokens;
    out.checkpoints.push_back({hash, end});
    // A last segment that completes the prompt is specific to the request.
    const bool is_unshared =
        &segment == &segments.back() && segments.size() > 1 && end >= tokens;
    if (!is_unshared) {
      out.head = hash;
      out.head_tokens = end;
    }
  }
  out.tokens = std::max(tokens, end);
  return out;
}

}  // namespace waxwing
