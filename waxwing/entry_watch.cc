// What the entry knows from the object store: configuration, targets, weights.
//
// Each kind is listed once and then watched, unless a reader of the zone tells
// this VM of it (entry_feed.cc). A watch that fails is made again
// after a growing pause; what is known stays in use meanwhile. When a list
// comes after a gap, targets that it lacks get the time in which lapsed records
// return, and count as gone after it.

#include <algorithm>
#include <boost/asio.hpp>
#include <set>

#include "waxwing/entry_state.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Longest wait of one watch call. A watch may hear nothing of a change while
// the store drops history, and its connection may go silent: the next call
// notices both, within the bound on changes of the configuration.
constexpr milliseconds kWatchWait{1'500};
// Weights are loaded over seconds; their watch may be noticed later.
constexpr int kWeightsWaitFactor = 2;
// A call that takes this much longer than its wait counts as lost.
constexpr milliseconds kAnswerTime{700};
// Between two looks at whether a VM that is told still is.
constexpr milliseconds kToldPause{50};
constexpr milliseconds kFirstPause{50};
constexpr milliseconds kLongestPause{1'000};
constexpr std::string_view kConfigName = "main";

std::string_view NameOf(object_kind kind) {
  switch (kind) {
    case object_kind::kConfig:
      return "config";
    case object_kind::kTargets:
      return "targets";
    case object_kind::kWeights:
      return "weights";
    case object_kind::kLease:
      return "lease";
  }
  return "unknown";
}

void TakeInConfig(entry_state& state, const stored_object& object) {
  if (object.name != kConfigName)
    return;
  auto read = state.protocol.read_config(object.spec);
  if (!read) {
    LogError("config_unreadable",
             {{"revision", object.revision}, {"error", read.error()}});
    return;
  }
  if (read->version <= state.table->version)
    return;
  state.table = std::make_shared<const route_table>(std::move(*read));
  http_limits limits;
  limits.header_bytes = state.table->limits.header_bytes;
  limits.body_bytes = state.table->limits.body_bytes;
  limits.read_timeout = state.table->limits.header_timeout;
  limits.idle_timeout = state.table->limits.idle_timeout;
  SetLimits(state.callers, limits);
  LogInfo("config_in_force", {{"version", state.table->version},
                              {"revision", object.revision},
                              {"services", state.table->services.size()},
                              {"keys", state.table->account_of_key.size()}});
}

void TakeInTarget(entry_state& state, const stored_object& object) {
  const auto read = state.protocol.read_target_record(object.name, object.spec);
  if (!read) {
    LogWarning("target_unreadable", {{"target", object.name},
                                     {"revision", object.revision},
                                     {"error", read.error()}});
    RetireTarget(state, object.name);
    return;
  }
  InstallTarget(state, *read);
}

void TakeInWeights(entry_state& state, const stored_object& object) {
  const auto read = state.protocol.read_desired_weights(object.spec);
  if (!read) {
    LogWarning("weights_unreadable",
               {{"name", object.name}, {"error", read.error()}});
    return;
  }
  const instant now = std::chrono::steady_clock::now();
  const bool is_inherited =
      state.watches[object_kind::kWeights].revision == 0 && read->version > 1;
  if (!NoteGoal(state.goals[read->model], read->version, is_inherited, now))
    return;
  RefreshTargets(state, now);
  LogInfo("weights_named", {{"model", read->model},
                            {"version", read->version},
                            {"inherited", is_inherited},
                            {"revision", object.revision}});
}

milliseconds WaitOf(object_kind kind) {
  return kind == object_kind::kWeights ? kWatchWait * kWeightsWaitFactor
                                       : kWatchWait;
}

// Reads all pages of a kind. False if a call failed.
asio::awaitable<bool> ListAll(entry_ptr state, object_kind kind) {
  watch_position& position = state->watches[kind];
  object_list listed;
  std::string after;
  std::uint64_t revision = 0;
  bool more = true;
  while (more) {
    const auto page = co_await state->protocol.list(state->store, kind, after);
    if (!page) {
      LogDebug("list_failed",
               {{"kind", NameOf(kind)}, {"error", page.error().detail}});
      co_return false;
    }
    // Later pages may be newer; the watch starts from the oldest one.
    if (revision == 0)
      revision = page->revision;
    for (const stored_object& object : page->objects) {
      TakeInObject(*state, kind, object, false);
      listed.objects.push_back(object);
      after = object.name;
    }
    more = page->has_more && !page->objects.empty();
  }
  listed.revision = revision;
  DropMissing(*state, kind, listed);
  position.revision = std::max(position.revision, revision);
  position.is_listed = true;
  TellFollowersAll(*state, kind);
  co_return true;
}

void NoteStoreAnswer(watch_position& position, object_kind kind) {
  position.last_answer = std::chrono::steady_clock::now();
  if (!position.lost_since)
    return;
  LogInfo("store_regained",
          {{"kind", NameOf(kind)},
           {"away_ms", std::chrono::duration_cast<milliseconds>(
                           position.last_answer - *position.lost_since)
                           .count()}});
  position.lost_since.reset();
}

void NoteStoreFailure(watch_position& position, object_kind kind) {
  if (position.lost_since)
    return;
  position.lost_since = std::chrono::steady_clock::now();
  LogWarning("store_lost",
             {{"kind", NameOf(kind)}, {"revision", position.revision}});
}

// A reader of the zone stands in for the store.
void NoteTold(watch_position& position, object_kind kind) {
  if (!position.lost_since)
    return;
  LogInfo("store_regained", {{"kind", NameOf(kind)}, {"by", "reader"}});
  position.lost_since.reset();
}

// One watch call. False if it failed.
asio::awaitable<bool> WatchOnce(entry_ptr state, object_kind kind) {
  watch_position& position = state->watches[kind];
  const auto changes = co_await state->protocol.watch(
      state->store, kind, position.revision, WaitOf(kind));
  if (!changes) {
    if (changes.error().failure == store_failure::kHistoryGone)
      LogInfo("history_gone", {{"kind", NameOf(kind)}});
    // After a gap the list tells what was missed.
    position.is_listed = false;
    co_return changes.error().failure == store_failure::kHistoryGone;
  }
  for (const object_change& change : changes->changes)
    TakeInObject(*state, kind, change.object, change.is_removed);
  position.revision = std::max(position.revision, changes->revision);
  TellFollowers(*state, kind, *changes);
  co_return true;
}

}  // namespace

// Targets are dropped at once if the store was there all along, else once
// lapsed records have had time to return.
void DropMissing(entry_state& state,
                 object_kind kind,
                 const object_list& listed) {
  std::set<std::string_view> names;
  for (const stored_object& object : listed.objects)
    names.insert(object.name);
  auto& known = state.objects[kind];
  // What is newer than the list was learned of while the list was under way.
  for (const auto& [name, object] : known) {
    if (object.revision > listed.revision)
      names.insert(name);
  }
  std::erase_if(
      known, [&](const auto& entry) { return !names.contains(entry.first); });
  if (kind != object_kind::kTargets)
    return;
  const bool after_outage = state.watches[kind].lost_since.has_value();
  const instant now = std::chrono::steady_clock::now();
  std::vector<std::string> gone;
  for (auto& [id, target] : state.targets) {
    if (names.contains(id))
      continue;
    if (after_outage && !target.drop_at)
      target.drop_at = now + state.options.bounds.lapsed_return;
    else if (!after_outage)
      gone.push_back(id);
  }
  for (const std::string& id : gone)
    RetireTarget(state, id);
}

void TakeInObject(entry_state& state,
                  object_kind kind,
                  const stored_object& object,
                  bool is_removed) {
  auto& known = state.objects[kind];
  // Revisions only rise, whoever brings them.
  const auto older = known.find(object.name);
  if (older != known.end() && older->second.revision > object.revision)
    return;
  if (is_removed)
    known.erase(object.name);
  else
    known[object.name] = object;
  if (kind == object_kind::kConfig && !is_removed)
    TakeInConfig(state, object);
  else if (kind == object_kind::kTargets && is_removed)
    RetireTarget(state, object.name);
  else if (kind == object_kind::kTargets)
    TakeInTarget(state, object);
  else if (kind == object_kind::kWeights && !is_removed)
    TakeInWeights(state, object);
}

bool CanServe(const entry_state& state) {
  return state.table->version > 0;
}

asio::awaitable<void> WatchKind(entry_ptr state, object_kind kind) {
  milliseconds pause = kFirstPause;
  while (!IsStopping(state->root)) {
    if (IsTold(*state, kind, WaitOf(kind) + kAnswerTime,
               std::chrono::steady_clock::now())) {
      NoteTold(state->watches[kind], kind);
      co_await Pause(state->root, kToldPause);
      continue;
    }
    bool done = false;
    if (!state->watches[kind].is_listed)
      done = co_await ListAll(state, kind);
    else
      done = co_await WatchOnce(state, kind);
    watch_position& position = state->watches[kind];
    if (done) {
      NoteStoreAnswer(position, kind);
      pause = kFirstPause;
      continue;
    }
    NoteStoreFailure(position, kind);
    co_await Pause(state->root, pause);
    pause = std::min(pause * 2, kLongestPause);
  }
}

}  // namespace waxwing
