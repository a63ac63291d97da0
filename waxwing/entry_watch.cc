// Reads configuration, targets and weights from the object store.
//
// Each kind is listed once and then watched, unless a zone watcher replicates
// it to this VM (entry_replication.cc). A failed watch is retried after an
// increasing delay; the known objects stay in use meanwhile. If a list follows
// an outage, targets that are missing from it are kept for the time in which
// expired records may be listed again, and then dropped. A connection that
// becomes unresponsive is not an outage: no record expires because of it.

#include <algorithm>
#include <boost/asio.hpp>
#include <set>

#include <tl/expected.hpp>

#include "waxwing/entry_state.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Maximum wait of one watch call. A watch may miss a change while the store
// drops history, and its connection may become unresponsive: the next call
// detects both, within the time limit for configuration changes. A version of
// weights that is found after a gap counts as announced at its beginning, so
// the wait also bounds by how much too early requests to old weights end.
constexpr milliseconds kWatchWait{1'500};
// VMs tell each other of holds, so only what operators write is learned from
// the store.
constexpr milliseconds kHoldsWatchWait{15'000};
// A VM that has just started serves without the holds after this time.
constexpr milliseconds kMaxWaitForHolds{1'000};
// Time between two checks whether a zone watcher still keeps this VM synced.
constexpr milliseconds kSyncedPause{50};
constexpr milliseconds kMinRetryPause{50};
constexpr milliseconds kMaxRetryPause{1'000};
// Age of what this VM knows above which that is logged.
constexpr milliseconds kMaxKnowledgeAge{3'000};
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
    case object_kind::kHolds:
      return "holds";
    case object_kind::kStreams:
      return "streams";
  }
  return "unknown";
}

// Tells operators which fields of a configuration can't be read.
void ReportProblems(entry_state& state, const route_table& config) {
  state.stats.gauges["waxwing_config_unreadable_fields"] =
      static_cast<double>(config.problem_count);
  for (const config_problem& problem : config.problems)
    LogError("config_field_unreadable", {{"version", config.version},
                                         {"field", problem.field},
                                         {"problem", problem.problem},
                                         {"of", config.problem_count}});
}

// Applies a configuration object. Returns false if a newer one is in force.
bool ApplyConfigObject(entry_state& state,
                       const stored_object& object,
                       const change_source& source) {
  if (object.name != kConfigName)
    return true;
  auto parsed = state.protocol.read_config(object.spec);
  if (!parsed) {
    LogError("config_unreadable", {{"revision", object.revision},
                                   {"error", parsed.error()},
                                   {"in_force", state.table->version}});
    state.stats.gauges["waxwing_config_unreadable"] = 1;
    return true;
  }
  state.stats.gauges["waxwing_config_unreadable"] = 0;
  if (parsed->version <= state.table->version)
    return parsed->version == state.table->version;
  const std::int64_t version_before = state.table->version;
  ReportProblems(state, *parsed);
  KeepUnreadableLimits(*parsed, *state.table);
  state.table = std::make_shared<const route_table>(std::move(*parsed));
  request_limits limits;
  limits.max_header_bytes = state.table->limits.header_bytes;
  limits.max_body_bytes = state.table->limits.body_bytes;
  limits.read_timeout = state.table->limits.header_timeout;
  limits.idle_timeout = state.table->limits.idle_timeout;
  limits.version = state.table->version;
  SetLimits(state.caller_server, limits);
  UpdateCacheStores(state);
  UpdateResumableServices(state);
  UpdateAccountLimits(state);
  LogInfo("config_in_force",
          {{"version", state.table->version},
           {"revision", object.revision},
           {"before", version_before},
           {"known", state.watches[object_kind::kConfig].revision},
           {"source", source.name},
           {"late_ms", LatenessMs(source)},
           {"era", state.store_era},
           {"services", state.table->services.size()},
           {"keys", state.table->account_of_key.size()}});
  if (source.made_after)
    Observe(state.stats, "waxwing_config_late_seconds",
            SuspendAwareNow() - *source.made_after);
  return true;
}

void ApplyTargetObject(entry_state& state,
                       const stored_object& object,
                       const change_source& source) {
  const auto parsed =
      state.protocol.read_target_record(object.name, object.spec);
  if (!parsed) {
    Count(state.stats, "waxwing_unreadable_total{kind=\"target\"}");
    LogWarning("target_unreadable", {{"target", object.name},
                                     {"revision", object.revision},
                                     {"error", parsed.error()}});
    DropTarget(state, object.name, source);
    return;
  }
  // The copy from which the store returned may still list a target that has
  // left, or an earlier start of one. A live one writes its record again, which
  // is a change.
  const auto outdated = state.outdated_records.find(object.name);
  const bool is_of_copy =
      state.watches[object_kind::kTargets].has_lost_changes ||
      (outdated != state.outdated_records.end() &&
       object.revision <= outdated->second);
  if (is_of_copy &&
      (WasRemoved(state, *parsed) || IsEarlierStart(state, *parsed))) {
    state.outdated_records[object.name] = object.revision;
    LogInfo("target_record_outdated",
            {{"target", object.name}, {"revision", object.revision}});
    return;
  }
  AddOrUpdateTarget(state, *parsed, source);
  state.targets.at(parsed->id).drop_at.reset();
}

// Applies an announcement of weights. Returns false if a newer one is known.
bool ApplyWeightsObject(entry_state& state,
                        const stored_object& object,
                        const change_source& source) {
  const auto parsed = state.protocol.read_desired_weights(object.spec);
  if (!parsed) {
    Count(state.stats, "waxwing_unreadable_total{kind=\"weights\"}");
    LogWarning("weights_unreadable",
               {{"name", object.name}, {"error", parsed.error()}});
    return true;
  }
  const instant now = SuspendAwareNow();
  weights_history& history = state.desired_weights[parsed->model];
  if (!RecordAnnouncement(history, parsed->version, source.made_after, now))
    return parsed->version == DesiredVersion(history);
  LogInfo("weights_named", {{"model", parsed->model},
                            {"version", parsed->version},
                            {"late_ms", LatenessMs(source)},
                            {"source", source.name},
                            {"revision", object.revision}});
  return true;
}

// Returns the time after which changes were made that a list returns, if it is
// known. Limits on their application do not count the time in which the store
// is out of reach.
std::optional<instant> ListedChangesMadeAfter(const watch_position& position) {
  if (!position.confirmed_at)
    return std::nullopt;
  return std::max(*position.confirmed_at, position.unreachable_at);
}

// True if a peer has told this VM of changes after `revision`, since a call to
// the store that began at `began`. What the call has returned would undo them.
bool IsOvertaken(const watch_position& position,
                 std::uint64_t began,
                 std::uint64_t revision) {
  return position.revision > began && revision < position.revision;
}

// Applies a complete list of a kind.
void ApplyList(entry_state& state,
               object_kind kind,
               const object_list& listed) {
  const change_source source{"list",
                             ListedChangesMadeAfter(state.watches[kind])};
  for (const stored_object& object : listed.objects)
    ApplyObject(state, kind, object, false, source);
  RefreshTargets(state, std::chrono::steady_clock::now());
  DropMissing(state, kind, listed, source);
}

using store_status = tl::expected<void, store_error>;

store_status Failed(std::string detail) {
  return tl::unexpected(
      store_error{store_failure::kUnavailable, std::move(detail)});
}

// Reads all pages of a kind.
asio::awaitable<store_status> ListAll(entry_ptr state, object_kind kind) {
  watch_position& position = state->watches[kind];
  const std::uint64_t known_revision = position.revision;
  const instant began = SuspendAwareNow();
  object_list listed;
  std::string after;
  std::uint64_t revision = 0;
  bool more = true;
  while (more) {
    const std::uint64_t era = state->store_era;
    const auto page = co_await state->protocol.list(state->store, kind, after);
    if (!ObserveEra(*state, page))
      co_return Failed("the response is of an earlier era");
    if (state->store_era != era && !after.empty())
      co_return Failed("the pages are of two eras");
    if (!page) {
      LogDebug("list_failed",
               {{"kind", NameOf(kind)}, {"error", page.error().detail}});
      co_return tl::unexpected(page.error());
    }
    // Later pages may be newer; the watch starts from the revision of the
    // first.
    if (revision == 0)
      revision = page->revision;
    for (const stored_object& object : page->objects) {
      listed.objects.push_back(object);
      after = object.name;
    }
    more = page->has_more && !page->objects.empty();
  }
  listed.revision = revision;
  if (!IsOvertaken(position, known_revision, revision))
    ApplyList(*state, kind, listed);
  position.revision = std::max(position.revision, revision);
  position.changed_revision = std::max(position.changed_revision, revision);
  position.is_listed = true;
  position.has_lost_changes = false;
  position.confirmed_at = began;
  position.published_at = began;
  PublishSnapshot(*state, kind);
  co_return store_status();
}

void RecordStoreResponse(watch_position& position, object_kind kind) {
  if (!position.unavailable_since)
    return;
  LogInfo("store_regained", {{"kind", NameOf(kind)},
                             {"away_ms", ToMs(std::chrono::steady_clock::now() -
                                              *position.unavailable_since)},
                             {"outage", position.is_outage}});
  position.unavailable_since.reset();
  position.is_outage = false;
}

// Records that a call failed that began at `began`. A failure that may be of
// one connection alone shows an outage if the next call fails as well.
void RecordStoreFailure(watch_position& position,
                        object_kind kind,
                        instant began,
                        const store_error& error) {
  if (position.unavailable_since) {
    position.unreachable_at = began;
    position.is_outage = true;
    return;
  }
  position.unavailable_since = std::chrono::steady_clock::now();
  position.is_outage = !error.may_be_of_connection;
  LogWarning("store_lost", {{"kind", NameOf(kind)},
                            {"revision", position.revision},
                            {"error", error.detail},
                            {"outage", position.is_outage}});
}

// Ends an outage, since a zone watcher replaces the store as the source of this
// kind.
void RecordSynced(watch_position& position, object_kind kind) {
  if (!position.unavailable_since)
    return;
  LogInfo("store_regained", {{"kind", NameOf(kind)}, {"by", "reader"}});
  position.unavailable_since.reset();
  position.is_outage = false;
}

// Makes one watch call. Lost history is no failure.
asio::awaitable<store_status> WatchOnce(entry_ptr state, object_kind kind) {
  watch_position& position = state->watches[kind];
  const instant began = SuspendAwareNow();
  const std::uint64_t era = state->store_era;
  const std::uint64_t after = position.changed_revision;
  const std::uint64_t known_revision = position.revision;
  const auto changes = co_await state->protocol.watch(
      state->store, kind, known_revision, WatchWait(kind));
  if (!ObserveEra(*state, changes))
    co_return Failed("the response is of an earlier era");
  // The watched revision was of an earlier era; the list that is due now has
  // all changes since.
  if (state->store_era != era)
    co_return store_status();
  if (!changes) {
    // A new list recovers the changes that were missed.
    position.is_listed = false;
    if (changes.error().failure != store_failure::kHistoryGone)
      co_return tl::unexpected(changes.error());
    LogInfo("history_gone", {{"kind", NameOf(kind)}});
    co_return store_status();
  }
  const instant arrived = EarliestArrival(state->stalls, SuspendAwareNow());
  const instant made_after =
      EarliestChange(position.confirmed_at.value_or(began), began, arrived);
  if (!changes->changes.empty() &&
      !IsOvertaken(position, known_revision, changes->revision)) {
    for (const object_change& change : changes->changes)
      ApplyObject(*state, kind, change.object, change.is_removed,
                  {"watch", made_after});
    RefreshTargets(*state, std::chrono::steady_clock::now());
  }
  position.revision = std::max(position.revision, changes->revision);
  if (!changes->changes.empty())
    position.changed_revision =
        std::max(position.changed_revision, changes->revision);
  position.confirmed_at = arrived;
  position.published_at = arrived;
  PublishChanges(*state, kind, *changes, after, made_after);
  co_return store_status();
}

}  // namespace

milliseconds WatchWait(object_kind kind) {
  return kind == object_kind::kHolds ? kHoldsWatchWait : kWatchWait;
}

// Targets are dropped at once if the store was in service all along and has
// lost nothing, otherwise after the time in which records may be listed again.
void DropMissing(entry_state& state,
                 object_kind kind,
                 const object_list& listed,
                 const change_source& source) {
  std::set<std::string_view> names;
  for (const stored_object& object : listed.objects)
    names.insert(object.name);
  auto& known = state.objects[kind];
  // Objects that are newer than the list were received while it was being read.
  for (const auto& [name, object] : known) {
    if (object.revision > listed.revision)
      names.insert(name);
  }
  const auto is_missing = [&](const auto& entry) {
    return !names.contains(entry.first);
  };
  std::erase_if(known, is_missing);
  if (kind != object_kind::kTargets)
    return;
  std::erase_if(state.outdated_records, is_missing);
  const watch_position& position = state.watches[kind];
  const bool after_outage = position.is_outage || position.has_lost_changes;
  const instant now = std::chrono::steady_clock::now();
  std::vector<std::string> gone;
  for (auto& [id, target] : state.targets) {
    if (names.contains(id))
      continue;
    if (!after_outage) {
      gone.push_back(id);
    } else if (!target.drop_at) {
      target.drop_at = now + state.options.bounds.relist_grace;
      LogInfo("target_missing",
              {{"target", id},
               {"source", source.name},
               {"after", position.has_lost_changes ? "lost_changes" : "outage"},
               {"kept_ms", state.options.bounds.relist_grace.count()}});
    }
  }
  for (const std::string& id : gone)
    DropTarget(state, id, source);
}

void ApplyObject(entry_state& state,
                 object_kind kind,
                 const stored_object& object,
                 bool is_removed,
                 const change_source& source) {
  auto& known = state.objects[kind];
  // Revisions only increase, whatever source they come from.
  const auto older = known.find(object.name);
  if (older != known.end() && older->second.revision > object.revision)
    return;
  // A configuration or an announcement that is older than the one in force is
  // not passed on to peers, since they may have only this copy of it.
  bool is_newest = true;
  if (kind == object_kind::kConfig && !is_removed) {
    is_newest = ApplyConfigObject(state, object, source);
  } else if (kind == object_kind::kTargets && is_removed) {
    DropTarget(state, object.name, source);
    state.outdated_records.erase(object.name);
  } else if (kind == object_kind::kTargets) {
    ApplyTargetObject(state, object, source);
  } else if (kind == object_kind::kWeights && !is_removed) {
    is_newest = ApplyWeightsObject(state, object, source);
  } else if (kind == object_kind::kHolds && !is_removed) {
    ApplyHoldObject(state, object);
  }
  if (is_removed)
    known.erase(object.name);
  else if (is_newest || older == known.end())
    known[object.name] = object;
  else
    older->second.revision = object.revision;
}

namespace {

bool AreHoldsKnown(const entry_state& state) {
  const auto found = state.watches.find(object_kind::kHolds);
  if (found != state.watches.end() &&
      (found->second.revision != 0 || found->second.confirmed_at ||
       found->second.unavailable_since))
    return true;
  return SuspendAwareNow() - state.started > kMaxWaitForHolds;
}

}  // namespace

std::optional<duration> KnowledgeAge(const entry_state& state,
                                     object_kind kind) {
  const auto found = state.watches.find(kind);
  if (found == state.watches.end() || !found->second.confirmed_at)
    return std::nullopt;
  return SuspendAwareNow() - *found->second.confirmed_at;
}

std::int64_t LatenessMs(const change_source& source) {
  return source.made_after ? ToMs(SuspendAwareNow() - *source.made_after) : -1;
}

void CheckConfirmations(entry_state& state) {
  for (const object_kind kind : {object_kind::kConfig, object_kind::kTargets}) {
    const auto age = KnowledgeAge(state, kind);
    watch_position& position = state.watches[kind];
    if (!age || (*age > kMaxKnowledgeAge) == position.is_unconfirmed)
      continue;
    position.is_unconfirmed = !position.is_unconfirmed;
    if (position.is_unconfirmed)
      Count(state.stats, "waxwing_knowledge_unconfirmed_total");
    LogWarning(position.is_unconfirmed ? "knowledge_unconfirmed"
                                       : "knowledge_confirmed",
               {{"kind", NameOf(kind)},
                {"revision", position.revision},
                {"age_ms", ToMs(*age)},
                {"store", position.unavailable_since ? "lost" : "available"},
                {"readers", state.upstreams.size()}});
  }
}

bool CanServe(const entry_state& state) {
  return state.table->version > 0 && AreHoldsKnown(state);
}

asio::awaitable<void> WatchKind(entry_ptr state, object_kind kind) {
  milliseconds pause = kMinRetryPause;
  while (!IsStopping(state->root)) {
    if (IsSynced(*state, kind, WatchWait(kind),
                 std::chrono::steady_clock::now())) {
      RecordSynced(state->watches[kind], kind);
      co_await Pause(state->root, kSyncedPause);
      continue;
    }
    const instant began = SuspendAwareNow();
    store_status status;
    if (!state->watches[kind].is_listed)
      status = co_await ListAll(state, kind);
    else
      status = co_await WatchOnce(state, kind);
    watch_position& position = state->watches[kind];
    if (status) {
      RecordStoreResponse(position, kind);
      pause = kMinRetryPause;
      continue;
    }
    RecordStoreFailure(position, kind, began, status.error());
    co_await Pause(state->root, pause);
    pause = std::min(pause * 2, kMaxRetryPause);
  }
}

}  // namespace waxwing
