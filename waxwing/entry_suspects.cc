// Requests that end targets: tells other VMs of ends, survivals and holds, runs
// suspected requests as trials, and keeps holds in the store.

#include <algorithm>
#include <boost/asio.hpp>
#include <limits>
#include <utility>

#include "waxwing/agent_state.h"
#include "waxwing/entry_run.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Time for a target's address to accept or refuse a connection.
constexpr milliseconds kConnectTimeout{200};
// How long the result of an investigation holds for further broken connections.
constexpr milliseconds kCheckMemory{1'000};
// Time for the trial issuer's response.
constexpr milliseconds kIssuerTimeout{100};
// A suspected request waits this long for other trials to end.
constexpr milliseconds kMaxTrialWait{600};
constexpr milliseconds kTrialPollPeriod{25};
// Suspected requests that may wait at the same time.
constexpr std::size_t kMaxTrialWaiters = 64;
constexpr milliseconds kTrialRetryAfter{1'000};
constexpr milliseconds kHeldRetryAfter{60'000};
constexpr milliseconds kHoldWritePeriod{300};
constexpr milliseconds kHoldWriteRetry{1'000};
constexpr milliseconds kStoreTimeout{600};
// The trial issuer knows on which weights a key has survived.
constexpr std::int64_t kAnyWeights = std::numeric_limits<std::int64_t>::max();

const membership& Members(const entry_state& state) {
  return state.membership_agent.state->members;
}

bool IsTrialIssuer(const entry_state& state, std::string_view service) {
  return ChooseTrialIssuer(Members(state), service) == state.options.vm;
}

template <typename Keys>
std::vector<wire::request_key> ToWire(const Keys& keys) {
  std::vector<wire::request_key> out;
  out.reserve(keys.size());
  for (const suspect_key& key : keys)
    out.emplace_back(key.high, key.low);
  return out;
}

std::vector<suspect_key> FromWire(std::span<const wire::request_key> keys) {
  std::vector<suspect_key> out;
  for (const wire::request_key& key : keys) {
    if (out.size() < kMaxKeysPerEnd)
      out.push_back({key.high(), key.low()});
  }
  return out;
}

std::string KeysToText(std::span<const suspect_key> keys) {
  std::string out;
  for (const suspect_key& key : keys)
    out += (out.empty() ? "" : ",") + ToHex(key);
  return out;
}

// Sends a message on all links except the one to VM `except`.
template <typename Message>
void Broadcast(const entry_state& state,
               const Message& message,
               std::string_view except) {
  wire::frameT frame;
  frame.message.Set(Message(message));
  for (const auto& [vm, link] : state.membership_agent.state->links) {
    if (vm != except && IsOpen(link.connection))
      SendFrame(link.connection, frame);
  }
}

wire::target_end_reportT MakeReport(const target_end& end) {
  wire::target_end_reportT out;
  out.target = end.target;
  out.incarnation = end.incarnation;
  out.service = end.service;
  out.weights_version = end.weights_version;
  out.keys = ToWire(end.keys);
  out.trial_keys = ToWire(end.trial_keys);
  return out;
}

void AnnounceHold(entry_state& state,
                  const hold& record,
                  std::string_view peer) {
  Count(state.stats, record.is_lifted ? "waxwing_holds_lifted_total"
                                      : "waxwing_holds_total");
  std::string targets;
  for (const std::string& target : record.targets)
    targets += (targets.empty() ? "" : ",") + target;
  LogWarning(record.is_lifted ? "hold_lifted" : "requests_held",
             {{"key", ToHex(record.key)},
              {"service", record.service},
              {"sequence", record.sequence},
              {"ends", record.targets.size()},
              {"targets", targets},
              {"companions", KeysToText(record.companions)},
              {"peer", peer}});
  wire::hold_noticeT notice;
  notice.record = WriteHold(record);
  Broadcast(state, notice, peer);
}

// Records an end and tells other VMs what is news of it.
void LearnEnd(entry_state& state,
              const target_end& end,
              std::string_view peer) {
  if (!RecordEnd(state.suspects, end, std::chrono::steady_clock::now()))
    return;
  LogInfo("target_ended",
          {{"target", end.target},
           {"service", end.service},
           {"weights", end.weights_version},
           {"keys", KeysToText(std::vector(end.keys.begin(), end.keys.end()))},
           {"trials", KeysToText(std::vector(end.trial_keys.begin(),
                                             end.trial_keys.end()))},
           {"peer", peer}});
  Broadcast(state, MakeReport(end), peer);
  if (!IsTrialIssuer(state, end.service))
    return;
  const auto targets = static_cast<std::size_t>(std::count_if(
      state.targets.begin(), state.targets.end(), [&](const auto& entry) {
        return entry.second.record.service == end.service;
      }));
  for (const hold& changed :
       DecideHolds(state.suspects, {end.service, targets},
                   std::chrono::steady_clock::now(), UnixNow()))
    AnnounceHold(state, changed, "");
}

void AnnounceSurvival(entry_state& state,
                      std::span<const suspect_key> keys,
                      std::int64_t weights_version,
                      std::string_view peer) {
  LogInfo("suspects_cleared", {{"keys", KeysToText(keys)}, {"peer", peer}});
  wire::survival_reportT report;
  report.weights_version = weights_version;
  report.keys = ToWire(keys);
  Broadcast(state, report, peer);
}

void HandleSurvival(entry_state& state,
                    std::string_view peer,
                    const wire::survival_reportT& report) {
  const instant now = std::chrono::steady_clock::now();
  std::vector<suspect_key> news;
  for (const suspect_key& key : FromWire(report.keys)) {
    if (MergeSurvival(state.suspects, key, report.weights_version, now))
      news.push_back(key);
  }
  if (!news.empty())
    AnnounceSurvival(state, news, report.weights_version, peer);
}

void HandleReport(entry_state& state,
                  std::string_view peer,
                  const wire::target_end_reportT& report) {
  const auto keys = FromWire(report.keys);
  const auto trial_keys = FromWire(report.trial_keys);
  LearnEnd(state,
           {report.target,
            report.incarnation,
            report.service,
            report.weights_version,
            {keys.begin(), keys.end()},
            {trial_keys.begin(), trial_keys.end()}},
           peer);
}

void LearnHold(entry_state& state, const hold& record, std::string_view peer) {
  if (MergeHold(state.suspects, record))
    AnnounceHold(state, record, peer);
}

void HandleTrialRequest(entry_state& state,
                        const peer_link& link,
                        const wire::trial_requestT& request) {
  wire::trial_responseT response;
  response.number = request.number;
  const auto asked = FromWire(request.keys);
  auto keys = asked;
  if (IsTrialIssuer(state, request.service) &&
      CheckKeys(state.suspects, asked) != suspicion::kHeld) {
    response.is_granted =
        StartTrial(state.suspects, keys, link.peer.vm, request.number,
                   std::chrono::steady_clock::now());
    for (const suspect_key& key : asked) {
      if (std::find(keys.begin(), keys.end(), key) == keys.end())
        response.cleared_keys.emplace_back(key.high, key.low);
    }
  }
  SendMessage(link, response);
}

void HandleTrialResponse(entry_state& state,
                         const wire::trial_responseT& response) {
  const auto found = state.trial_waiters.find(response.number);
  if (found == state.trial_waiters.end())
    return;
  found->second->is_granted = response.is_granted;
  found->second->cleared_keys = FromWire(response.cleared_keys);
  found->second->wakeup.cancel();
}

}  // namespace

void HandleSuspectMessage(entry_state& state,
                          const peer_link& link,
                          const wire::messageUnion& message) {
  const std::string& peer = link.peer.vm;
  if (const auto* report = message.Astarget_end_report()) {
    HandleReport(state, peer, *report);
  } else if (const auto* survival = message.Assurvival_report()) {
    HandleSurvival(state, peer, *survival);
  } else if (const auto* notice = message.Ashold_notice()) {
    const auto record = ReadHold(notice->record);
    if (record)
      LearnHold(state, *record, peer);
    else
      LogWarning("hold_unreadable",
                 {{"peer", peer}, {"error", ToText(record.error())}});
  } else if (const auto* request = message.Astrial_request()) {
    HandleTrialRequest(state, link, *request);
  } else if (const auto* response = message.Astrial_response()) {
    HandleTrialResponse(state, *response);
  } else if (const auto* end = message.Astrial_end()) {
    EndTrial(state.suspects, peer, end->number);
  }
}

void SendKnownSuspects(const entry_state& state, const peer_link& link) {
  for (const auto& [key, record] : state.suspects.holds) {
    wire::hold_noticeT notice;
    notice.record = WriteHold(record);
    SendMessage(link, notice);
  }
  for (const auto& [id, end] : state.suspects.ends) {
    target_end counted = end.facts;
    const auto is_cleared = [&](const suspect_key& key) {
      return !state.suspects.suspects.contains(key);
    };
    std::erase_if(counted.keys, is_cleared);
    std::erase_if(counted.trial_keys, is_cleared);
    if (!counted.keys.empty())
      SendMessage(link, MakeReport(counted));
  }
}

// --- Requests.

void FindSuspectKeys(forward_run& run) {
  const auto& segments = run.request.segments;
  // The last segment is the request's own.
  for (std::size_t i = 0; i + 1 < segments.size(); ++i)
    run.suspect_keys.push_back(SegmentKey(run.service, segments[i].id));
  run.suspect_keys.push_back(run.fingerprint);
}

doubtful_listing::doubtful_listing(forward_run& listed_run,
                                   const dispatch& attempt)
    : run(listed_run) {
  listed.target = attempt.target.record.id;
  listed.incarnation = attempt.target.record.incarnation;
  listed.keys = run.suspect_keys;
  listed.weights_version = attempt.weights.version;
  if (run.trial)
    listed.trial_keys = run.trial->keys;
  run.doubt = &listed;
  run.state->doubtful_attempts.insert(&listed);
}

doubtful_listing::~doubtful_listing() {
  run.doubt = nullptr;
  run.state->doubtful_attempts.erase(&listed);
}

void MarkSurvived(forward_run& run, const dispatch& attempt) {
  if (!run.doubt || std::exchange(run.doubt->has_survived, true))
    return;
  const std::int64_t weights = attempt.weights.version;
  const auto cleared =
      RecordSurvival(run.state->suspects, run.suspect_keys, weights,
                     std::chrono::steady_clock::now());
  if (!cleared.empty())
    AnnounceSurvival(*run.state, cleared, weights, "");
  FinishTrial(run);
}

namespace {

// Returns true if the target accepts no connections any more.
asio::awaitable<bool> HasEnded(entry_ptr state, target_record target) {
  const instant now = std::chrono::steady_clock::now();
  std::erase_if(state->end_checks, [&](const auto& entry) {
    return entry.second->has_ended &&
           now - entry.second->started > kCheckMemory;
  });
  const auto found = state->end_checks.find(target.id);
  if (found != state->end_checks.end() &&
      found->second->incarnation == target.incarnation &&
      found->second->has_ended.value_or(true)) {
    const auto check = found->second;
    if (!check->has_ended)
      co_await check->done.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return check->has_ended.value_or(false);
  }
  const auto check = std::make_shared<end_check>(state->executor);
  check->incarnation = target.incarnation;
  check->started = now;
  check->done.expires_at(instant::max());
  state->end_checks[target.id] = check;
  const connect_result result =
      co_await TryConnect(state->pool, target.address, kConnectTimeout);
  check->has_ended = result == connect_result::kRefused;
  check->done.cancel();
  co_return *check->has_ended;
}

// Reports the end of a target with the attempts of this VM that it has not
// survived.
void ReportEnd(entry_state& state, const target_record& target) {
  target_end end;
  end.target = target.id;
  end.incarnation = target.incarnation;
  end.service = target.service;
  for (const doubtful_attempt* attempt : state.doubtful_attempts) {
    if (attempt->has_survived || attempt->target != target.id ||
        attempt->incarnation != target.incarnation)
      continue;
    end.keys.insert(attempt->keys.begin(), attempt->keys.end());
    end.trial_keys.insert(attempt->trial_keys.begin(),
                          attempt->trial_keys.end());
    end.weights_version =
        std::max(end.weights_version, attempt->weights_version);
  }
  LearnEnd(state, end, "");
}

}  // namespace

namespace {

// True if the target is listed and has not announced its departure, after which
// it ends when it is done.
bool IsExpectedToRun(const entry_state& state, const target_record& target) {
  const auto listed = state.targets.find(target.id);
  return listed != state.targets.end() && !listed->second.record.is_draining &&
         listed->second.record.incarnation == target.incarnation;
}

}  // namespace

asio::awaitable<void> InvestigateBreak(forward_run& run,
                                       const dispatch& attempt) {
  entry_state& state = *run.state;
  const target_record target = attempt.target.record;
  if (!IsExpectedToRun(state, target) || !co_await HasEnded(run.state, target))
    co_return;
  // A VM that is cut off can't tell whether the target has ended.
  if (!co_await ReachesOthers(run.state, target.id))
    co_return;
  if (!run.doubt->has_survived)
    ++run.ends_in_doubt;
  ReportEnd(state, target);
}

asio::awaitable<bool> IsCutByEnd(forward_run& run,
                                 const dispatch& attempt,
                                 const http_call& call) {
  if (!call.ends_with_connection)
    co_return false;
  co_return co_await HasEnded(run.state, attempt.target.record);
}

namespace {

void SendToIssuer(entry_state& state,
                  const std::string& issuer,
                  const wire::trial_endT& end) {
  const auto& links = state.membership_agent.state->links;
  const auto link = links.find(issuer);
  if (link != links.end() && IsOpen(link->second.connection))
    SendMessage(link->second.connection, end);
}

// Asks another VM for a trial. Without a link it dials, and the trial is not
// granted.
asio::awaitable<std::optional<trial_permit>> AskIssuer(entry_ptr state,
                                                       std::string service,
                                                       trial_permit ask) {
  const agent_ptr& agent = state->membership_agent.state;
  const auto link = agent->links.find(ask.issuer);
  if (link == agent->links.end() || !IsOpen(link->second.connection)) {
    asio::co_spawn(state->executor, EnsureLink(agent, ask.issuer),
                   asio::detached);
    co_return std::nullopt;
  }
  trial_waiter waiter(state->executor);
  wire::trial_requestT request;
  request.number = ask.number;
  request.service = service;
  request.keys = ToWire(ask.keys);
  state->trial_waiters[ask.number] = &waiter;
  SendMessage(link->second.connection, request);
  waiter.wakeup.expires_after(kIssuerTimeout);
  co_await waiter.wakeup.async_wait(asio::as_tuple(asio::use_awaitable));
  state->trial_waiters.erase(ask.number);
  if (!waiter.is_granted)
    co_return std::nullopt;
  const instant now = std::chrono::steady_clock::now();
  for (const suspect_key& key : waiter.cleared_keys) {
    std::erase(ask.keys, key);
    MergeSurvival(state->suspects, key, kAnyWeights, now);
  }
  co_return ask;
}

asio::awaitable<std::optional<trial_permit>> ObtainTrial(forward_run& run) {
  entry_state& state = *run.state;
  trial_permit ask;
  ask.keys = KeysOnTrial(state.suspects, run.suspect_keys);
  ask.number = state.next_trial_number++;
  ask.issuer = ChooseTrialIssuer(Members(state), run.service);
  if (ask.issuer != state.options.vm)
    co_return co_await AskIssuer(run.state, run.service, std::move(ask));
  if (!StartTrial(state.suspects, ask.keys, state.options.vm, ask.number,
                  std::chrono::steady_clock::now()))
    co_return std::nullopt;
  co_return ask;
}

// Says why the request is not sent. Returns false.
bool RefuseSuspect(forward_run& run,
                   std::string_view reason,
                   milliseconds retry_after) {
  Count(run.state->stats, "waxwing_suspects_refused_total");
  LogInfo("suspect_refused", {{"request", run.request.id},
                              {"reason", reason},
                              {"keys", KeysToText(run.suspect_keys)}});
  run.refused = {reason, retry_after};
  return false;
}

// Waits until the request may run as a trial, or needs none.
asio::awaitable<bool> WaitForTrial(forward_run& run) {
  entry_state& state = *run.state;
  const instant limit = std::min<instant>(
      run.deadline, std::chrono::steady_clock::now() + kMaxTrialWait);
  asio::steady_timer timer(state.executor);
  while (!run.caller_gone && !run.is_cut_short) {
    const suspicion found = CheckKeys(state.suspects, run.suspect_keys);
    if (found == suspicion::kNone)
      co_return true;
    if (found == suspicion::kHeld)
      co_return RefuseSuspect(run, "held_back", kHeldRetryAfter);
    run.trial = co_await ObtainTrial(run);
    if (run.trial) {
      Count(state.stats, "waxwing_trials_total");
      LogInfo("trial_started", {{"request", run.request.id},
                                {"issuer", run.trial->issuer},
                                {"keys", KeysToText(run.trial->keys)}});
      co_return true;
    }
    if (std::chrono::steady_clock::now() + kTrialPollPeriod >= limit)
      co_return RefuseSuspect(run, "trial_pending", kTrialRetryAfter);
    timer.expires_after(kTrialPollPeriod);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return false;
}

}  // namespace

asio::awaitable<bool> AdmitSuspect(forward_run& run) {
  entry_state& state = *run.state;
  const suspicion found = CheckKeys(state.suspects, run.suspect_keys);
  if (found == suspicion::kNone)
    co_return true;
  if (found == suspicion::kHeld)
    co_return RefuseSuspect(run, "held_back", kHeldRetryAfter);
  if (state.trial_waiting >= kMaxTrialWaiters)
    co_return RefuseSuspect(run, "trial_pending", kTrialRetryAfter);
  ++state.trial_waiting;
  const bool is_admitted = co_await WaitForTrial(run);
  --state.trial_waiting;
  co_return is_admitted;
}

void FinishTrial(forward_run& run) {
  if (!run.trial)
    return;
  entry_state& state = *run.state;
  const trial_permit ended = *std::exchange(run.trial, std::nullopt);
  if (ended.issuer == state.options.vm) {
    EndTrial(state.suspects, state.options.vm, ended.number);
    return;
  }
  wire::trial_endT message;
  message.number = ended.number;
  SendToIssuer(state, ended.issuer, message);
}

// --- The store.

void ApplyHoldObject(entry_state& state, const stored_object& object) {
  const auto record = ReadHold(object.spec);
  if (!record) {
    LogWarning("hold_unreadable",
               {{"name", object.name}, {"error", ToText(record.error())}});
    return;
  }
  state.stored_holds[record->key] = *record;
  LearnHold(state, *record, "");
}

namespace {

// Returns the holds that the store lacks and this VM has to write.
std::vector<hold> FindUnstoredHolds(const entry_state& state) {
  std::vector<hold> out;
  for (const auto& [key, record] : state.suspects.holds) {
    const auto object =
        state.objects.find(object_kind::kHolds) == state.objects.end()
            ? nullptr
            : &state.objects.at(object_kind::kHolds);
    const auto stored = state.stored_holds.find(key);
    const bool is_stored = object && object->contains(ToHex(key)) &&
                           stored != state.stored_holds.end() &&
                           stored->second == record;
    if (!is_stored && IsTrialIssuer(state, record.service))
      out.push_back(record);
  }
  return out;
}

// Writes a hold. Returns false if the store has to be tried again later.
asio::awaitable<bool> StoreHold(entry_ptr state, hold record) {
  const std::string name = ToHex(record.key);
  stored_object object{name, 0, WriteHold(record)};
  const auto& known = state->objects[object_kind::kHolds];
  if (const auto found = known.find(name); found != known.end())
    object.revision = found->second.revision;
  const auto put = co_await state->protocol.put(
      state->store, object_kind::kHolds, object, kStoreTimeout);
  if (!ObserveEra(*state, put))
    co_return false;
  if (put) {
    object.revision = put->revision;
    ApplyObject(*state, object_kind::kHolds, object, false, {});
    LogInfo("hold_stored", {{"key", name}, {"sequence", record.sequence}});
    co_return true;
  }
  if (put.error().failure != store_failure::kConflict &&
      put.error().failure != store_failure::kAbsent)
    co_return false;
  const auto current =
      co_await state->protocol.get(state->store, object_kind::kHolds, name);
  if (!ObserveEra(*state, current) || !current) {
    state->objects[object_kind::kHolds].erase(name);
    co_return false;
  }
  ApplyObject(*state, object_kind::kHolds, current->object, false, {});
  co_return true;
}

}  // namespace

asio::awaitable<void> RunHoldWriter(entry_ptr state) {
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kHoldWritePeriod);
    for (const hold& record : FindUnstoredHolds(*state)) {
      if (!co_await StoreHold(state, record)) {
        co_await Pause(state->root, kHoldWriteRetry);
        break;
      }
    }
  }
}

}  // namespace waxwing
