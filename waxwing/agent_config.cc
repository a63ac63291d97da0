// The configuration in force at the agent. Its generation never decreases,
// whatever a peer or the platform sends.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/hash.h"
#include "waxwing/log.h"
#include "waxwing/plan.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kWatchTimeout{10'000};
constexpr milliseconds kPlatformBackoff{300};

// Returns true if this agent is one of the few in its zone that watch the
// platform.
bool IsWatcher(const agent_state& state) {
  const auto chosen =
      ChooseVmsInZone(state.members, "watch/" + state.options.zone,
                      state.options.zone, state.options.watchers_per_zone);
  return std::find(chosen.begin(), chosen.end(), state.options.vm) !=
         chosen.end();
}

// Fetches the shards of a root that this agent does not have into `out`.
// Returns false if one could not be read.
asio::awaitable<bool> FetchShards(const agent_ptr& state,
                                  const config_root& root,
                                  std::map<std::string, std::string>& out) {
  for (const std::string& hash : root.shards) {
    if (state->shards.contains(hash) || out.contains(hash))
      continue;
    const std::string key = std::string(kShardPrefix) + hash;
    auto shard = co_await GetObject(state->platform, key);
    if (!shard)
      co_return false;
    out[hash] = std::move(shard->value);
  }
  co_return true;
}

}  // namespace

bool ApplyConfig(agent_state& state,
                 const std::string& root_text,
                 std::map<std::string, std::string> fresh_shards) {
  const auto root = ReadRoot(root_text);
  if (!root) {
    LogError("root_refused", {{"error", root.error().message}});
    return false;
  }
  if (root->generation <= state.active_root.generation)
    return false;
  for (auto& [hash, text] : state.shards)
    fresh_shards.try_emplace(hash, text);
  auto assembled = AssembleConfig(*root, fresh_shards);
  if (!assembled) {
    LogError("config_refused", {{"generation", root->generation},
                                {"error", assembled.error().message}});
    return false;
  }
  std::erase_if(fresh_shards, [&](const auto& shard) {
    return std::find(root->shards.begin(), root->shards.end(), shard.first) ==
           root->shards.end();
  });
  const std::vector<std::string> router_hashes = state.active_root.shards;
  state.active_root = *root;
  state.root_text = root_text;
  state.shards = std::move(fresh_shards);
  state.active_config = std::move(*assembled);
  SendMessage(state.router, MakeConfigUpdate(state, router_hashes));
  AnnounceGeneration(state);
  LogInfo("config_in_force", {{"generation", state.active_root.generation}});
  return true;
}

wire::config_updateT MakeConfigUpdate(
    const agent_state& state,
    const std::vector<std::string>& known_hashes) {
  wire::config_updateT out;
  out.generation = state.active_root.generation;
  out.root = state.root_text;
  for (const auto& [hash, text] : state.shards) {
    if (std::find(known_hashes.begin(), known_hashes.end(), hash) !=
        known_hashes.end())
      continue;
    auto shard = std::make_unique<wire::config_shardT>();
    shard->content_hash = hash;
    shard->text = text;
    out.shards.push_back(std::move(shard));
  }
  return out;
}

asio::awaitable<void> PullFromPlatform(agent_ptr state) {
  auto object = co_await GetObject(state->platform, kRootKey);
  const bool is_absent =
      !object && object.error().failure == platform_failure::kAbsent;
  state->pull_failed = !object && !is_absent;
  if (!object)
    co_return;
  const auto root = ReadRoot(object->value);
  if (!root || root->generation <= state->active_root.generation)
    co_return;
  std::map<std::string, std::string> shards;
  const bool fetched = co_await FetchShards(state, *root, shards);
  state->pull_failed = !fetched;
  if (fetched)
    ApplyConfig(*state, object->value, std::move(shards));
}

asio::awaitable<void> WatchPlatform(agent_ptr state) {
  std::uint64_t revision = 0;
  while (!IsStopping(state->root)) {
    if (!IsWatcher(*state)) {
      co_await Pause(state->root, state->options.heartbeat_period);
      continue;
    }
    // The revision is read before the root, so that the next watch reports any
    // change made between the two reads.
    auto current_revision =
        co_await WatchPrefix(state->platform, kRootKey, revision,
                             revision == 0 ? milliseconds(0) : kWatchTimeout);
    if (!current_revision) {
      revision = 0;
      co_await Pause(state->root, kPlatformBackoff);
      continue;
    }
    if (*current_revision != revision || revision == 0)
      co_await PullFromPlatform(state);
    // After a failed pull, revision 0 makes the next iteration read the root
    // again.
    const bool pulled = !state->pull_failed;
    revision = pulled ? std::max<std::uint64_t>(*current_revision, 1) : 0;
    if (!pulled)
      co_await Pause(state->root, kPlatformBackoff);
  }
}

}  // namespace waxwing
