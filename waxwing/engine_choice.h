// Chooses the engine that runs a prompt, and the source from which that engine
// fetches the shared segments that it lacks.
//
// An engine has a shared segment cached, fetches it from another engine or from
// a cache store, or recomputes it. The shared segments of a prompt have a home
// among the engines and one among the cache stores of the home's zone, both by
// rendezvous hashing, so that the VMs agree on them without messages and the
// stores together keep as many sessions as they have room for. The cost of an
// engine is the expected time to first token with the best of these, plus the
// cost of another replica of the segments, which evicts other prefixes from the
// engines' caches.
//
// Designed for: prompts that share most of their length within a session, more
// sessions than fit in one engine's cache, and few requests of one session at
// each VM.

#ifndef WAXWING_ENGINE_CHOICE_H_
#define WAXWING_ENGINE_CHOICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "waxwing/cache_map.h"
#include "waxwing/stream_builds.h"
#include "waxwing/target_view.h"
#include "waxwing/types.h"

namespace waxwing {

struct prompt_shape {
  std::uint32_t tokens = 0;
  // Tokens of the segments that other requests share.
  std::uint32_t shared_tokens = 0;
  // Rendezvous key that selects the home of the shared segments.
  std::uint64_t home_key = 0;
  std::uint32_t output_tokens = 0;
};

// A KV cache store that can be used now.
struct cache_store_view {
  // Index in the cache map.
  std::uint32_t index = 0;
  std::uint64_t name_hash = 0;
  std::string_view zone;
};

struct engine_request {
  std::string_view service;
  std::string_view model;
  prompt_shape prompt;
  // Returns the segments with their cache keys for the weights of a target.
  std::function<std::span<const cached_segment>(const target_view&)>
      segments_at;
  // Time to transfer the KV cache of one token within a zone; zero disables
  // transfers.
  duration transfer_time_per_token{};
  // Stores from which segments may be fetched.
  std::span<const cache_store_view> cache_stores;
  stream_needs stream;
  // Index of the target that has just failed this request, or -1.
  int failed_target = -1;
  // Also considers targets in backoff, because no other target is usable.
  bool ignore_backoff = false;
  // Targets whose cost is higher than the lowest by less than this share of the
  // prompt's prefill time count as equal. VMs that choose at the same moment
  // then don't all choose the same one.
  double near_equal_share = 0;
};

struct engine_choice {
  std::uint32_t target = 0;
  // Shared tokens cached at the target, and further ones fetched from the
  // source.
  std::uint32_t cached_tokens = 0;
  std::uint32_t fetched_tokens = 0;
  // Index of a target or of a cache store.
  std::optional<std::uint32_t> source;
  // The cache store that keeps the shared segments, or should.
  std::optional<std::uint32_t> store;
  duration cost{};
};

// Prompt tokens that the chosen engine is expected to prefill.
std::uint32_t TokensToPrefill(const prompt_shape& prompt,
                              const engine_choice& choice);

// Returns the usable target of the service with the lowest cost, or
// std::nullopt if there is none.
std::optional<engine_choice> ChooseEngine(std::span<const target_view> targets,
                                          const cache_map& caches,
                                          const engine_request& request,
                                          instant now);

}  // namespace waxwing

#endif  // WAXWING_ENGINE_CHOICE_H_
