// Remembers at which build each stream began, and finds that out for streams
// that callers take up again (stream_builds.h).

#include <algorithm>
#include <boost/asio.hpp>
#include <set>

#include "waxwing/agent_state.h"
#include "waxwing/entry_run.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Time for the responses of record keepers, and for the remaining ones once a
// record has arrived.
constexpr milliseconds kQueryTimeout{150};
constexpr milliseconds kLaterRecordTimeout{20};
// A target may have restarted this long before its new record is read.
constexpr milliseconds kRestartNoticeDelay{1'500};
// A stream lasts at most as long as two attempts of its caller.
constexpr int kAttemptsPerStream = 2;
constexpr milliseconds kMinStreamLifetime{10'000};

const membership& Members(const entry_state& state) {
  return state.membership_agent.state->members;
}

std::optional<instant> ListCompleteUntil(const entry_state& state) {
  const auto found = state.watches.find(object_kind::kTargets);
  if (found == state.watches.end() || found->second.has_lost_changes)
    return std::nullopt;
  return found->second.confirmed_at;
}

std::optional<std::string> SoleBuildOf(const entry_state& state,
                                       std::string_view service) {
  const auto found = state.builds.find(service);
  if (found == state.builds.end())
    return std::nullopt;
  return SoleBuild(found->second, ListCompleteUntil(state),
                   state.stream_lifetime, SuspendAwareNow());
}

std::vector<std::string> PossibleBuildsOf(const entry_state& state,
                                          std::string_view service) {
  const auto found = state.builds.find(service);
  if (found == state.builds.end())
    return {};
  return PossibleBuilds(found->second, SuspendAwareNow());
}

bool NeedsRecordsOf(const entry_state& state, std::string_view service) {
  const auto found = state.builds.find(service);
  return found == state.builds.end() ||
         NeedsRecords(found->second, ListCompleteUntil(state),
                      state.stream_lifetime, SuspendAwareNow());
}

std::unique_ptr<wire::stream_recordT> ToWire(const stream_key& key,
                                             const stream_record& record) {
  auto out = std::make_unique<wire::stream_recordT>();
  out->key = std::make_unique<wire::request_key>(key.high, key.low);
  out->service = record.origin.service;
  out->build = record.origin.build;
  out->target = record.origin.target;
  out->incarnation = record.origin.incarnation;
  out->attempt = record.attempt;
  out->age_ms = static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, ToMs(SuspendAwareNow() - record.began)));
  return out;
}

stream_record FromWire(const wire::stream_recordT& record) {
  return {{record.service, record.build, record.target, record.incarnation},
          record.attempt,
          SuspendAwareNow() - milliseconds(record.age_ms)};
}

asio::awaitable<void> Dial(entry_ptr state, std::string vm) {
  co_await EnsureLink(state->membership_agent.state, vm);
}

template <typename Message>
asio::awaitable<void> DialAndSend(entry_ptr state,
                                  std::string vm,
                                  Message message) {
  const auto link = co_await EnsureLink(state->membership_agent.state, vm);
  if (link)
    SendMessage(*link, std::move(message));
}

bool IsLinked(const entry_state& state, const std::string& vm) {
  const auto& links = state.membership_agent.state->links;
  const auto link = links.find(vm);
  return link != links.end() && IsOpen(link->second.connection);
}

// Sends a message to another VM, over a new link if there is none.
template <typename Message>
void SendToVm(const entry_ptr& state,
              const std::string& vm,
              const Message& message) {
  if (IsLinked(*state, vm))
    SendMessage(state->membership_agent.state->links.at(vm).connection,
                message);
  else
    asio::co_spawn(state->executor, DialAndSend(state, vm, message),
                   asio::detached);
}

void SendToKeepers(const entry_ptr& state,
                   const stream_key& key,
                   const stream_record& record) {
  for (const std::string& vm :
       ChooseRecordKeepers(Members(*state), key, kRecordCopies)) {
    SendToVm(state, vm, *ToWire(key, record));
    Count(state->stats, "waxwing_stream_records_sent_total");
  }
}

// True if the stream may have begun at another start of its target than the one
// in the record, which had not been read yet.
bool IsInDoubt(const entry_state& state, const stream_record& record) {
  const stream_origin& origin = record.origin;
  const auto removed = state.removed_targets.find(origin.target);
  if (removed != state.removed_targets.end() &&
      static_cast<std::uint64_t>(removed->second.incarnation) !=
          origin.incarnation)
    return true;
  const auto listed = state.targets.find(origin.target);
  if (listed == state.targets.end())
    return false;
  const target_record& current = listed->second.record;
  const bool has_changed =
      static_cast<std::uint64_t>(current.incarnation) != origin.incarnation ||
      current.build != origin.build;
  if (!has_changed)
    return false;
  // The VM that began the stream may not have known the target's next start,
  // which this VM lists since its own.
  if (record.is_stored &&
      current.incarnation <= ToUnix(record.began) + ToMs(kMaxClockDifference))
    return true;
  return record.began + kRestartNoticeDelay > listed->second.listed_at;
}

// True if the caller has no part of a stream yet that it could take up.
bool MayBeginStream(const forward_run& run) {
  return run.matched_route->kind == route_kind::kStream &&
         run.matched_route->can_resume && !run.origin;
}

// Returns the number of other VMs that may have begun a stream that can still
// be taken up.
std::size_t CountOthers(const entry_state& state) {
  return CountOtherVms(
      Members(state), std::chrono::steady_clock::now() - state.stream_lifetime);
}

// True if replies that are still missing don't matter. One with a record does
// not end the query while another VM that should have the record may know of a
// later attempt.
bool IsAnswered(const stream_query_waiter& waiter) {
  if (waiter.record)
    return std::none_of(
        waiter.keepers.begin(), waiter.keepers.end(),
        [&](const auto& vm) { return waiter.awaited_linked.contains(vm); });
  return waiter.awaited.empty() ||
         (waiter.awaited_linked.empty() &&
          HasEnoughReplies(waiter.replies, waiter.other_vms));
}

// Returns the time after which a query ends without the missing replies.
instant QueryLimit(const stream_query_waiter& waiter) {
  return waiter.record
             ? std::min(waiter.limit, waiter.recorded_at + kLaterRecordTimeout)
             : waiter.limit;
}

// What other VMs know of a stream.
struct stream_findings {
  std::optional<stream_record> record;
  stream_replies replies;
};

asio::awaitable<stream_findings> AskKeepers(entry_ptr state,
                                            stream_key key,
                                            std::string service) {
  const std::vector<std::string> vms =
      ChooseRecordKeepers(Members(*state), key, kRecordQueries);
  stream_query_waiter waiter(state->executor);
  waiter.awaited = {vms.begin(), vms.end()};
  for (std::size_t i = 0; i < vms.size(); ++i) {
    if (i < kRecordCopies)
      waiter.keepers.insert(vms[i]);
    if (IsLinked(*state, vms[i]))
      waiter.awaited_linked.insert(vms[i]);
  }
  waiter.other_vms = CountOthers(*state);
  wire::stream_queryT query;
  query.number = state->next_stream_query++;
  query.key = std::make_unique<wire::request_key>(key.high, key.low);
  query.service = service;
  state->stream_queries[query.number] = &waiter;
  for (const std::string& vm : vms)
    SendToVm(state, vm, query);
  waiter.limit = std::chrono::steady_clock::now() + kQueryTimeout;
  while (!IsAnswered(waiter) &&
         std::chrono::steady_clock::now() < QueryLimit(waiter)) {
    waiter.wakeup.expires_at(QueryLimit(waiter));
    co_await waiter.wakeup.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  state->stream_queries.erase(query.number);
  co_return stream_findings{waiter.record, waiter.replies};
}

}  // namespace

void UpdateResumableServices(entry_state& state) {
  duration longest{};
  std::set<std::string, std::less<>> services;
  for (const auto& [host, routes] : state.table->routes) {
    for (const route& entry : routes) {
      if (entry.kind != route_kind::kStream || !entry.can_resume)
        continue;
      longest = std::max<duration>(longest, entry.timeout);
      for (const weighted_service& service : entry.services)
        services.insert(service.service);
    }
  }
  const bool is_first_config = state.stream_lifetime == duration{};
  state.stream_lifetime =
      std::max<duration>(kMinStreamLifetime, longest * kAttemptsPerStream);
  for (const std::string& service : services)
    state.builds.try_emplace(service,
                             is_first_config && state.options.is_first_start
                                 ? MakeFirstHistory()
                                 : build_history());
}

void ObserveTargetBuilds(entry_state& state) {
  const instant now = SuspendAwareNow();
  std::map<std::string, build_counts, std::less<>> counts;
  for (const auto& [id, target] : state.targets)
    ++counts[target.record.service][target.record.build];
  for (auto& [service, history] : state.builds)
    ObserveBuilds(history, counts[service], ListCompleteUntil(state),
                  state.stream_lifetime, now);
  for (const auto& [id, target] : state.targets) {
    target_view& view = state.placement.targets[target.index];
    const auto history = state.builds.find(target.record.service);
    view.is_build_new = false;
    if (history == state.builds.end())
      continue;
    const auto build = history->second.builds.find(target.record.build);
    view.is_build_new = build != history->second.builds.end() &&
                        now < build->second.usable_since;
  }
}

void MaintainStreamRecords(const entry_ptr& state) {
  const instant now = SuspendAwareNow();
  AgeStreams(state->stream_records, state->stream_lifetime, now);
  for (const auto& [service, history] : state->builds) {
    const bool needs_records = NeedsRecordsOf(*state, service);
    bool& had_records = state->recorded_services[service];
    if (needs_records != had_records) {
      LogInfo("stream_records", {{"service", service},
                                 {"needed", needs_records},
                                 {"builds", history.builds.size()},
                                 {"running", state->running_streams.size()}});
    }
    if (needs_records && !had_records) {
      for (const auto& [key, record] : state->running_streams) {
        if (record.origin.service == service)
          SendToKeepers(state, key, record);
      }
    }
    had_records = needs_records;
  }
}

bool IsTakenUp(const forward_run& run) {
  return run.matched_route->kind == route_kind::kStream &&
         run.matched_route->can_resume &&
         run.request.resume_after.value_or(0) > 0;
}

void ConnectToRecordKeepers(const forward_run& run, const dispatch& attempt) {
  entry_state& state = *run.state;
  if (!MayBeginStream(run) ||
      !NeedsRecordsOf(state, attempt.target.record.service))
    return;
  const stream_key key = StreamKey(run.account.name, run.request.id);
  for (const std::string& vm :
       ChooseRecordKeepers(Members(state), key, kRecordCopies)) {
    if (!IsLinked(state, vm))
      asio::co_spawn(state.executor, Dial(run.state, vm), asio::detached);
  }
}

void RecordStreamStart(forward_run& run, const dispatch& attempt) {
  if (!MayBeginStream(run))
    return;
  entry_state& state = *run.state;
  const stream_key key = StreamKey(run.account.name, run.request.id);
  const instant now = SuspendAwareNow();
  const duration sent_for = std::chrono::steady_clock::now() - attempt.started;
  const stream_record record{OriginAt(attempt), run.attempt_number,
                             now - sent_for};
  state.running_streams[key] = record;
  const bool is_news = RecordStream(state.stream_records, key, record, now);
  if (is_news && NeedsRecordsOf(state, record.origin.service))
    SendToKeepers(run.state, key, record);
}

bool BeginsEarly(const forward_run& run, const dispatch& attempt) {
  const target_view& view = run.state->placement.targets[attempt.chosen.target];
  return MayBeginStream(run) && view.is_build_new;
}

asio::awaitable<bool> AnnounceStreamStart(forward_run& run,
                                          const dispatch& attempt) {
  RecordStreamStart(run, attempt);
  run.told_build = attempt.target.record.build;
  if (CountOthers(*run.state) == 0)
    co_return true;
  const stream_findings found = co_await AskKeepers(
      run.state, StreamKey(run.account.name, run.request.id),
      attempt.target.record.service);
  const bool is_known =
      found.record && found.record->origin == OriginAt(attempt);
  if (!is_known) {
    Count(run.state->stats, "waxwing_streams_not_begun_total");
    LogInfo("stream_not_begun", {{"request", run.request.id},
                                 {"target", attempt.target.record.id},
                                 {"build", attempt.target.record.build}});
  }
  co_return is_known;
}

bool HasRestarted(const entry_state& state, const dispatch& attempt) {
  const target_record& expected = attempt.target.record;
  const auto listed = state.targets.find(expected.id);
  return listed != state.targets.end() &&
         (listed->second.record.incarnation != expected.incarnation ||
          listed->second.record.build != expected.build);
}

bool IsOriginInDoubt(const forward_run& run) {
  const auto running = run.state->running_streams.find(
      StreamKey(run.account.name, run.request.id));
  return running != run.state->running_streams.end() &&
         IsInDoubt(*run.state, running->second);
}

void ForgetRunningStream(forward_run& run) {
  run.state->running_streams.erase(StreamKey(run.account.name, run.request.id));
}

namespace {

// What is known of the origin of a stream that is taken up.
struct origin_findings {
  std::optional<stream_record> record;
  std::optional<std::string> sole_build;
  // True unless other VMs know of several builds.
  bool may_conclude = true;
  // For logs and metrics.
  std::string_view source;

  bool IsKnown() const { return record || sole_build; }
};

// Returns what this VM knows. `only_service` is empty if the stream can be of
// several services.
origin_findings FindOriginHere(const entry_state& state,
                               const stream_key& key,
                               std::string_view only_service) {
  if (const stream_record* known = FindStream(state.stream_records, key))
    return {*known, std::nullopt, true, known->is_stored ? "store" : "own"};
  if (!only_service.empty() && !NeedsRecordsOf(state, only_service) &&
      CountOthers(state) == 0)
    return {std::nullopt, SoleBuildOf(state, only_service), true, "sole_build"};
  return {};
}

asio::awaitable<origin_findings> AskKeepersForOrigin(entry_ptr state,
                                                     stream_key key,
                                                     std::string only_service) {
  const stream_findings found = co_await AskKeepers(state, key, only_service);
  if (found.record)
    co_return origin_findings{found.record, std::nullopt, true, "keeper"};
  // A record may have arrived meanwhile.
  origin_findings out = FindOriginHere(*state, key, only_service);
  if (out.record)
    co_return out;
  out.source = "concluded";
  out.may_conclude = Agree(found.replies);
  if (!only_service.empty())
    out.sole_build = ConcludeBuild(
        found.replies, SoleBuildOf(*state, only_service),
        PossibleBuildsOf(*state, only_service), CountOthers(*state));
  co_return out;
}

// Returns what the objects of all VMs tell. A conclusion needs ones that were
// read after the stream was taken up.
asio::awaitable<origin_findings> FindOriginInStore(entry_ptr state,
                                                   stream_key key,
                                                   std::string only_service,
                                                   bool may_conclude) {
  const instant began = SuspendAwareNow();
  while (true) {
    const bool must_be_new =
        may_conclude && SoleBuildOf(*state, only_service).has_value();
    if (!co_await ReadStoredStreamsOfAll(state, must_be_new))
      co_return origin_findings{};
    origin_findings out = FindOriginHere(*state, key, only_service);
    if (out.IsKnown())
      co_return out;
    // The read may have extended what this VM can conclude.
    const auto sole_build = SoleBuildOf(*state, only_service);
    if (!may_conclude || !sole_build || !state->stream_store.is_complete)
      co_return out;
    if (state->stream_store.read_at >= began)
      co_return origin_findings{std::nullopt, sole_build, true, "store"};
  }
}

}  // namespace

asio::awaitable<bool> FindOrigin(forward_run& run) {
  entry_state& state = *run.state;
  const stream_key key =
      StreamKey(run.account.name, run.request.resumed_request);
  const std::string_view only_service =
      run.matched_route->services.size() == 1
          ? std::string_view(run.matched_route->services.front().service)
          : std::string_view();
  origin_findings found = FindOriginHere(state, key, only_service);
  if (!found.IsKnown())
    found =
        co_await AskKeepersForOrigin(run.state, key, std::string(only_service));
  if (!found.IsKnown())
    found = co_await FindOriginInStore(
        run.state, key, std::string(only_service), found.may_conclude);
  const auto& [record, sole_build, may_conclude, source] = found;
  if (record && !IsInDoubt(state, *record)) {
    run.origin = record->origin;
    if (RecordStream(state.stream_records, key, *record, SuspendAwareNow()))
      SendToKeepers(run.state, key, *record);
  } else if (!record && sole_build) {
    run.origin = stream_origin{std::string(only_service), *sole_build, "", 0};
  }
  const bool is_known =
      run.origin && std::any_of(run.matched_route->services.begin(),
                                run.matched_route->services.end(),
                                [&](const weighted_service& service) {
                                  return service.service == run.origin->service;
                                });
  if (is_known)
    run.service = run.origin->service;
  Count(state.stats, "waxwing_streams_taken_up_total{origin=\"" +
                         std::string(is_known ? source : "unknown") + "\"}");
  LogInfo("stream_taken_up",
          {{"request", run.request.id},
           {"resumes", run.request.resumed_request},
           {"resume_after", run.request.resume_after.value_or(0)},
           {"known", is_known},
           {"source", source},
           {"build", run.origin ? run.origin->build : std::string()},
           {"doubt", record && !run.origin},
           {"target", record ? record->origin.target : std::string()},
           {"attempt", record ? record->attempt : 0},
           {"age_ms", record ? ToMs(SuspendAwareNow() - record->began) : -1}});
  co_return is_known;
}

void HandleStreamRecord(entry_state& state,
                        const wire::stream_recordT& message) {
  if (!message.key)
    return;
  RecordStream(state.stream_records, {message.key->high(), message.key->low()},
               FromWire(message), SuspendAwareNow());
}

void HandleStreamQuery(entry_state& state,
                       const peer_link& link,
                       const wire::stream_queryT& query) {
  if (!query.key)
    return;
  const stream_key key{query.key->high(), query.key->low()};
  wire::stream_replyT reply;
  reply.number = query.number;
  if (const stream_record* known = FindStream(state.stream_records, key)) {
    reply.record = ToWire(key, *known);
  } else {
    reply.sole_build = SoleBuildOf(state, query.service).value_or("");
    reply.possible_builds = PossibleBuildsOf(state, query.service);
  }
  SendMessage(link, std::move(reply));
}

void HandleStreamReply(entry_state& state,
                       const peer_link& link,
                       const wire::stream_replyT& reply) {
  const auto found = state.stream_queries.find(reply.number);
  if (found == state.stream_queries.end())
    return;
  stream_query_waiter& waiter = *found->second;
  if (waiter.awaited.erase(link.peer.vm) == 0)
    return;
  waiter.awaited_linked.erase(link.peer.vm);
  if (reply.record) {
    const stream_record record = FromWire(*reply.record);
    if (!waiter.record)
      waiter.recorded_at = std::chrono::steady_clock::now();
    if (!waiter.record || record.attempt > waiter.record->attempt)
      waiter.record = record;
  } else {
    stream_replies& replies = waiter.replies;
    ++replies.count;
    replies.has_keeper =
        replies.has_keeper || waiter.keepers.contains(link.peer.vm);
    if (!reply.sole_build.empty())
      replies.sole_builds.insert(reply.sole_build);
    replies.possible_builds.insert(reply.possible_builds.begin(),
                                   reply.possible_builds.end());
  }
  // The query's limit has changed with the first record.
  if (waiter.record || IsAnswered(waiter))
    waiter.wakeup.cancel();
}

}  // namespace waxwing
