// Which engine runs a prompt, and where that engine gets the shared parts that
// it lacks.
//
// Three ways lead to a shared part: the engine holds it, it fetches it from
// another engine or the cache store, or it reads it again. The cost of an
// engine is the expected time to the first token by the best of the three, plus
// what a second copy of the parts costs the caches of all.
//
// Load that this answers: prompts that share most of their length within a
// session, more sessions than one engine's memory holds, and few requests of
// one session at each VM.

#ifndef WAXWING_ENGINE_CHOICE_H_
#define WAXWING_ENGINE_CHOICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "waxwing/cache_map.h"
#include "waxwing/target_view.h"
#include "waxwing/types.h"

namespace waxwing {

struct prompt_shape {
  std::uint32_t tokens = 0;
  // Tokens of the parts that other requests share.
  std::uint32_t shared_tokens = 0;
  // Chooses the home of the shared parts.
  std::uint64_t home_key = 0;
  std::uint32_t output_tokens = 0;
};

struct engine_request {
  std::string_view service;
  prompt_shape prompt;
  // The parts as cached under the weights of a target.
  std::function<std::span<const cached_segment>(const target_view&)>
      segments_at;
  // Time to move one token of KV cache within a zone; zero: no transfers.
  duration transfer_time_per_token{};
  // True if a store of KV cache may be asked.
  bool has_cache_store = false;
  // A target that has just failed this request, or -1.
  int failed_target = -1;
  // Takes targets that have failed lately, since there are no others.
  bool ignore_backoff = false;
};

struct engine_choice {
  std::uint32_t target = 0;
  // Shared tokens that it holds, and that the source holds beyond.
  std::uint32_t cached_tokens = 0;
  std::uint32_t fetched_tokens = 0;
  // A target's index or kCacheStore.
  std::optional<std::uint32_t> source;
  duration cost{};
};

// Tokens that an engine is expected to read for the choice.
std::uint32_t TokensToPrefill(const prompt_shape& prompt,
                              const engine_choice& choice);

// The cheapest usable target of the service; nothing if there is none.
std::optional<engine_choice> ChooseEngine(std::span<const target_view> targets,
                                          const cache_map& caches,
                                          const engine_request& request,
                                          instant now);

}  // namespace waxwing

#endif  // WAXWING_ENGINE_CHOICE_H_
