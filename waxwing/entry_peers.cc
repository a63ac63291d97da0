// Forwards requests to other VMs while this one reaches no target, and finds
// out when it does again (target_reach.h).
//
// A VM to which a request is forwarded never forwards it, and counts the
// attempts that were made before. It states in its response if it has not sent
// the request to a target; only then, or if no connection came about, another
// VM is tried for a request that must not be repeated.

#include <algorithm>
#include <boost/asio.hpp>
#include <set>

#include "waxwing/agent_state.h"
#include "waxwing/entry_run.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Time for the request and the response to pass between two VMs.
constexpr milliseconds kPeerTransitTime{10};
constexpr milliseconds kProbePeriod{100};
constexpr milliseconds kProbeTimeout{250};
constexpr milliseconds kConnectTimeout{250};
constexpr std::size_t kMaxProbes = 8;
// Time without data from any target, while responses are awaited, after which
// new connections are tried.
constexpr milliseconds kSilenceBeforeProbe{200};
constexpr std::size_t kSilenceProbes = kFailuresToCutOff;
constexpr milliseconds kSilenceProbePeriod{1'000};
// Targets to which a request gets no connection before it is forwarded.
constexpr int kMaxUnreached = 2;

const membership& Members(const entry_state& state) {
  return state.membership_agent.state->members;
}

void LogReach(entry_state& state, bool was_cut_off) {
  const bool is_cut_off = state.reach.cut_off_since.has_value();
  if (was_cut_off == is_cut_off)
    return;
  Count(state.stats,
        is_cut_off ? "waxwing_cut_off_total" : "waxwing_cut_off_ended_total");
  std::size_t lost = 0;
  for (const target_view& view : state.placement.targets)
    lost += view.is_in_service && IsLost(state.reach, view.name);
  LogWarning(is_cut_off ? "targets_unreachable" : "targets_reachable",
             {{"failed", lost}, {"targets", state.targets.size()}});
}

// Ends the attempts at targets that this VM does not reach, which may be
// repeated, so that they are forwarded.
void AbandonUnanswered(entry_state& state, instant now) {
  for (pending_start* pending : state.pending_starts) {
    const auto found = state.targets.find(pending->target);
    if (!pending->may_repeat || pending->is_withdrawn || pending->is_cut_off ||
        found == state.targets.end())
      continue;
    const target_view& view = state.placement.targets[found->second.index];
    if (!ReachesTooFew(state.reach, state.placement.targets, view.serves,
                       now) ||
        now - view.no_data_since < kSilenceBeforeProbe)
      continue;
    pending->is_cut_off = true;
    Abort(*pending->abort);
  }
}

}  // namespace

void ObserveConnection(entry_state& state, std::string_view target) {
  const bool was_cut_off = state.reach.cut_off_since.has_value();
  RecordConnection(state.reach, target, std::chrono::steady_clock::now());
  LogReach(state, was_cut_off);
}

void ObserveNoConnection(entry_state& state,
                         std::string_view target,
                         instant started) {
  const instant now = std::chrono::steady_clock::now();
  const bool was_cut_off = state.reach.cut_off_since.has_value();
  const bool was_lost = IsLost(state.reach, target);
  RecordNoConnection(state.reach, target, started, state.placement.targets,
                     now);
  LogReach(state, was_cut_off);
  if (!was_lost)
    state.probes_due.cancel();
  AbandonUnanswered(state, now);
  for (const auto& [service, queue] : state.dispatch_queues)
    DispatchQueuedRequests(state, service);
}

bool ReachesTooFewTargets(const entry_state& state, std::string_view service) {
  return ReachesTooFew(state.reach, state.placement.targets, service,
                       std::chrono::steady_clock::now());
}

void ObserveUnreached(forward_run& run, const dispatch& attempt) {
  const instant now = std::chrono::steady_clock::now();
  ++run.unreached;
  const bool is_alone = run.state->reach.connected_at < attempt.started;
  if (run.unreached >= kMaxUnreached ||
      (is_alone && now - attempt.started > kLongConnect))
    run.prefers_peer = true;
}

bool ShouldForward(const forward_run& run) {
  return !run.forwarded && !run.peers_failed &&
         run.possible_runs < run.matched_route->max_attempts &&
         (run.prefers_peer || ReachesTooFewTargets(*run.state, run.service));
}

namespace {

http_request MakeForwardedRequest(forward_run& run) {
  const entry_state& state = *run.state;
  http_request out = run.exchange.request;
  // Headers that concern one connection are dropped in both directions alike.
  out.headers = state.protocol.filter_response_headers(out.headers);
  std::erase_if(out.headers, [](const http_header& header) {
    return header.name == "Expect";
  });
  forwarded_request forwarded;
  forwarded.vm = state.options.vm;
  forwarded.service = run.service;
  // The other VM must know all changes that this one knows by now.
  forwarded.config_version = state.table->version;
  forwarded.time_left =
      std::max(milliseconds(1), TimeLeft(run) - kPeerTransitTime);
  forwarded.is_counted = run.is_counted;
  // A target that refuses connections to a VM that is cut off has not ended.
  forwarded.attempts = run.possible_runs;
  forwarded.attempt_number = run.attempt_number;
  forwarded.told_build = run.told_build;
  forwarded.resume_after = run.request.resume_after;
  if (run.stream_started)
    forwarded.resume_after = run.last_event_id;
  forwarded.origin = run.origin;
  AddForwarded(out, forwarded, state.options.key);
  // The MAC covers the body; the call sends it from where it was read.
  std::string().swap(out.body);
  return out;
}

// Relays the response of another VM to the caller. `may_have_run` if the
// request may have run before it was sent there.
asio::awaitable<forward_outcome> RelayPeerResponse(forward_run& run,
                                                   http_call& call,
                                                   bool may_have_run) {
  const bool is_stream =
      run.matched_route->kind == route_kind::kStream && call.head.status == 200;
  if (run.stream_started && !is_stream)
    co_return forward_outcome::kBroken;
  if (may_have_run && PromisesNotRun(call.head.status))
    co_return forward_outcome::kFailed;
  http_response response{
      call.head.status,
      run.state->protocol.filter_response_headers(call.head.headers), ""};
  held_share held(run.state->held);
  body_limit limit{run.deadline};
  while (true) {
    const auto more =
        co_await ReadSomeBodyUntil(run.state->pool, call, limit, response.body);
    if (run.caller_gone)
      co_return forward_outcome::kCallerGone;
    if (!more)
      co_return more.error().failure == http_failure::kTimeout
          ? forward_outcome::kTimedOut
          : forward_outcome::kBroken;
    if (!*more)
      break;
    if (!UpdateSize(held, response.body.capacity()))
      co_return RejectLongResponse(run, response.body.size());
    if (!is_stream)
      continue;
    if (!run.stream_started && !co_await DeliverHead(run, call))
      co_return forward_outcome::kCallerGone;
    if (!co_await WriteStream(run.exchange, response.body))
      co_return forward_outcome::kCallerGone;
    response.body.clear();
  }
  bool is_delivered = false;
  if (is_stream)
    is_delivered = (run.stream_started || co_await DeliverHead(run, call)) &&
                   co_await EndStream(run.exchange);
  else
    is_delivered = co_await Respond(run.exchange, std::move(response));
  co_return is_delivered ? forward_outcome::kDone
                         : forward_outcome::kCallerGone;
}

// True if a response of another VM is the one to this request. Those that have
// no ID are only on connections that carried nothing else.
bool IsOwnResponse(const forward_run& run, const http_call& call) {
  const response_info facts = run.state->protocol.read_response_head(call.head);
  return facts.request_id == run.request.id ||
         (facts.request_id.empty() && call.is_on_new_connection);
}

// Sends the request to one VM. kNotRun means that another may be tried.
asio::awaitable<forward_outcome> RunAtPeer(forward_run& run,
                                           const member& peer) {
  entry_state& state = *run.state;
  if (!run.caller_gone)
    run.abort = {};
  http_call_options options;
  options.header_timeout = TimeLeft(run);
  options.reuse = MayRepeat(*run.matched_route);
  options.connect_timeout = kConnectTimeout;
  options.abort = &run.abort;
  options.body = run.exchange.request.body;
  auto call = co_await StartCall(state.pool, peer.router,
                                 MakeForwardedRequest(run), options);
  // The other VM may have used as many numbers.
  run.attempt_number += static_cast<std::uint32_t>(kMaxSends);
  if (!call) {
    run.possible_runs += call.error().maybe_sent ? 1 : 0;
    if (run.caller_gone)
      co_return forward_outcome::kCallerGone;
    RecordDeclined(state.peers, peer.vm, std::chrono::steady_clock::now());
    if (!call.error().maybe_sent)
      co_return forward_outcome::kNotRun;
    co_return std::chrono::steady_clock::now() >= run.deadline
        ? forward_outcome::kTimedOut
        : forward_outcome::kBroken;
  }
  if (!IsOwnResponse(run, *call)) {
    Count(state.stats, "waxwing_foreign_answers_total");
    LogWarning("response_mismatch",
               {{"request", run.request.id}, {"peer", peer.vm}});
    ++run.possible_runs;
    CancelCall(*call);
    co_return forward_outcome::kBroken;
  }
  const std::string_view hint = FindHeader(call->head.headers, kDeclinedHeader);
  if (!hint.empty()) {
    RecordDeclined(state.peers, peer.vm, std::chrono::steady_clock::now());
    RecordHint(state.peers, hint, std::chrono::steady_clock::now());
    run.possible_runs += call->was_sent_before ? 1 : 0;
    CancelCall(*call);
    co_return forward_outcome::kNotRun;
  }
  const bool may_have_run = run.possible_runs > 0 || call->was_sent_before;
  ++run.possible_runs;
  RecordServed(state.peers, peer.vm, std::chrono::steady_clock::now());
  const forward_outcome outcome =
      co_await RelayPeerResponse(run, *call, may_have_run);
  if (outcome != forward_outcome::kDone)
    CancelCall(*call);
  co_return outcome;
}

}  // namespace

asio::awaitable<forward_outcome> RunAtPeers(forward_run& run) {
  entry_state& state = *run.state;
  std::set<std::string> tried;
  forward_outcome outcome = forward_outcome::kNotRun;
  for (int i = 0; i < kMaxPeers; ++i) {
    const instant started = std::chrono::steady_clock::now();
    const auto peer =
        ChoosePeer(Members(state), state.peers, tried, state.random, started);
    if (!peer || started >= run.deadline || run.caller_gone || run.is_cut_short)
      break;
    run.is_declined = true;
    tried.insert(peer->vm);
    ++state.peers.peers[peer->vm].in_flight;
    outcome = co_await RunAtPeer(run, *peer);
    --state.peers.peers[peer->vm].in_flight;
    Count(state.stats, "waxwing_forwarded_total{end=\"" +
                           std::string(NameOf(outcome)) + "\"}");
    LogInfo("request_forwarded",
            {{"request", run.request.id},
             {"peer", peer->vm},
             {"end", NameOf(outcome)},
             {"took_ms", ToMs(std::chrono::steady_clock::now() - started)}});
    const bool may_repeat =
        outcome == forward_outcome::kBroken && !run.stream_started &&
        MayRepeat(*run.matched_route) &&
        run.possible_runs < run.matched_route->max_attempts &&
        SpendRetry(state.retry_budgets[run.service]);
    if (outcome != forward_outcome::kNotRun && !may_repeat)
      co_return outcome;
  }
  co_return outcome;
}

namespace {

// Returns targets that owe a response while no target has sent anything for
// some time.
std::vector<std::size_t> FindSilent(entry_state& state, instant now) {
  std::vector<std::size_t> silent;
  for (std::size_t i = 0; i < state.placement.targets.size(); ++i) {
    const target_view& view = state.placement.targets[i];
    if (!view.is_in_service || view.awaiting_response == 0)
      continue;
    if (now - view.no_data_since < kSilenceBeforeProbe)
      return {};
    if (silent.size() < kSilenceProbes / 2)
      silent.push_back(i);
  }
  if (now - state.last_target_data < kSilenceBeforeProbe)
    return {};
  // Other targets tell a silent target from a lost path.
  const std::size_t count = state.placement.targets.size();
  const std::size_t first = state.random() % std::max<std::size_t>(1, count);
  for (std::size_t i = 0;
       i < count && !silent.empty() && silent.size() < kSilenceProbes; ++i) {
    const std::size_t at = (first + i) % count;
    if (state.placement.targets[at].is_in_service &&
        std::find(silent.begin(), silent.end(), at) == silent.end())
      silent.push_back(at);
  }
  return silent;
}

asio::awaitable<void> ProbeTarget(entry_ptr state,
                                  std::string target,
                                  endpoint address) {
  const instant started = std::chrono::steady_clock::now();
  state->probing.insert(target);
  Count(state->stats, "waxwing_reach_probes_total");
  const bool is_reached =
      co_await AcceptsConnection(state->pool, address, kProbeTimeout);
  state->probing.erase(target);
  const auto listed = state->targets.find(target);
  if (listed == state->targets.end())
    co_return;
  if (!is_reached) {
    ObserveNoConnection(*state, target, started);
    co_return;
  }
  ClearFailures(state->placement.targets[listed->second.index]);
  ObserveConnection(*state, target);
}

}  // namespace

asio::awaitable<void> RunReachProbes(entry_ptr state) {
  instant next_silence_probe;
  while (!IsStopping(state->root)) {
    state->probes_due.expires_after(kProbePeriod);
    co_await state->probes_due.async_wait(asio::as_tuple(asio::use_awaitable));
    const instant now = std::chrono::steady_clock::now();
    auto& targets = state->placement.targets;
    RemoveAbsentTargets(state->reach, targets);
    std::vector<std::size_t> chosen =
        ChooseProbes(state->reach, targets, state->random(), kMaxProbes, now);
    if (chosen.empty() && now >= next_silence_probe) {
      chosen = FindSilent(*state, now);
      if (!chosen.empty())
        next_silence_probe = now + kSilenceProbePeriod;
    }
    for (const std::size_t i : chosen) {
      if (!state->probing.contains(targets[i].name))
        asio::co_spawn(state->executor,
                       ProbeTarget(state, targets[i].name, targets[i].address),
                       asio::detached);
    }
    AbandonUnanswered(*state, now);
  }
}

asio::awaitable<bool> ReachesOthers(entry_ptr state, std::string target) {
  constexpr int kMaxOthers = 3;
  std::vector<endpoint> others;
  for (const target_view& view : state->placement.targets) {
    if (view.is_in_service && view.name != target)
      others.push_back(view.address);
  }
  if (others.empty())
    co_return true;
  std::shuffle(others.begin(), others.end(), state->random);
  for (int i = 0; i < kMaxOthers && !others.empty(); ++i) {
    if (co_await AcceptsConnection(state->pool, others.back(), kProbeTimeout))
      co_return true;
    others.pop_back();
  }
  co_return false;
}

}  // namespace waxwing
