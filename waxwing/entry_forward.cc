// Forwards one request of a caller, from the route lookup to the last byte of
// the response.
//
// A target's response is relayed unchanged. A non-idempotent request is sent
// once, unless it certainly has not run. In that case, and for idempotent
// requests, another target may be tried within the route's attempts and the
// retry budget. A request is reported as not run only if no byte of it was sent
// or the target itself said so.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/entry_run.h"
#include "waxwing/hash.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Time limit for a request whose caller sets no deadline; the route may have a
// shorter one.
constexpr milliseconds kMaxWaitWithoutDeadline{30'000};
// A request is not sent on after this many targets have ended that may have
// been running it.
constexpr int kMaxEndsInDoubt = 3;
constexpr milliseconds kMinRetryAfter{100};
constexpr milliseconds kRetryAfterSpread{300};
constexpr milliseconds kNoConfigRetryAfter{300};
// An operator has to change the configuration first.
constexpr milliseconds kUnreadableRetryAfter{1'000};

// Lists a request as being forwarded for the lifetime of this object.
struct run_listing {
  forward_run& run;

  explicit run_listing(forward_run& listed) : run(listed) {
    run.state->runs.insert(&run);
  }
  ~run_listing() { run.state->runs.erase(&run); }
  run_listing(const run_listing&) = delete;
  run_listing& operator=(const run_listing&) = delete;
};

// Returns the last event that the caller had when it sent the request, or -1.
std::int64_t ResumePoint(const forward_run& run) {
  return run.request.resume_after
             ? static_cast<std::int64_t>(*run.request.resume_after)
             : -1;
}

constexpr std::string_view kLeaving = "leaving";
constexpr std::string_view kNoConfig = "no_config";
constexpr std::string_view kOlderConfig = "older_config";
constexpr std::string_view kNoTargetReached = "no_target_reached";
constexpr std::string_view kUnreadableRoute = "unreadable_route";
constexpr std::string_view kUnreadableAccount = "unreadable_account";

// Returns the time in milliseconds, or -1 if there is none.
std::int64_t ToMsOrNone(const std::optional<duration>& d) {
  return d ? ToMs(*d) : -1;
}

// True if another VM might serve a request that this one refuses.
bool IsReasonOfVm(std::string_view reason) {
  return reason == kLeaving || reason == kNoConfig || reason == kOlderConfig ||
         reason == kNoTargetReached;
}

asio::awaitable<void> Refuse(forward_run& run,
                             unsigned status,
                             std::string_view reason,
                             std::optional<duration> retry_after) {
  Count(run.state->stats,
        "waxwing_refused_total{reason=\"" + std::string(reason) + "\"}");
  LogInfo(
      "request_refused",
      {{"request", run.request.id},
       {"status", status},
       {"reason", reason},
       {"resumes", run.request.resumed_request},
       {"resume_after", ResumePoint(run)},
       {"route", run.matched_route ? run.matched_route->name : std::string()},
       {"account", run.account.name},
       {"retry_ms", retry_after ? ToMs(*retry_after) : -1},
       {"config", run.table->version},
       {"config_age_ms", ToMsOrNone(run.config_age)},
       {"sends", run.sends}});
  http_response response = run.state->protocol.write_error_response(
      run.request, status, reason, retry_after);
  if (run.forwarded && IsReasonOfVm(reason))
    response.headers.push_back(
        {std::string(kDeclinedHeader),
         std::string(
             ChooseHint(run.state->peers, std::chrono::steady_clock::now()))});
  co_await Respond(run.exchange, std::move(response));
}

// Returns the delay after which the caller should retry: the time until the
// queued requests have been sent, or until a target wants requests again, plus
// a random time so that callers refused together do not retry together.
duration RetryAfter(forward_run& run) {
  entry_state& state = *run.state;
  const auto queue = state.dispatch_queues.find(run.service);
  const duration backlog =
      queue == state.dispatch_queues.end()
          ? duration{}
          : EstimateDispatchDelay(queue->second.flow_control,
                                  QueuedTokens(queue->second));
  const duration pause = ShortestSendDelay(state.placement.targets, run.service,
                                           std::chrono::steady_clock::now())
                             .value_or(duration{});
  return kMinRetryAfter + std::max(backlog, pause) +
         milliseconds(static_cast<std::int64_t>(
             state.random() %
             static_cast<std::uint64_t>(kRetryAfterSpread.count())));
}

// Why a request is not forwarded.
struct refusal {
  unsigned status = 0;
  std::string_view reason;
  std::optional<duration> retry_after;
};

// Determines route, account, deadline and service, or why the request must be
// refused.
std::optional<refusal> ResolveRequest(forward_run& run) {
  if (run.state->is_closed)
    return refusal{503, kLeaving, kMinRetryAfter};
  if (!CanServe(*run.state))
    return refusal{503, kNoConfig, kNoConfigRetryAfter};
  // An older configuration may lack the route or the key.
  if (run.forwarded && run.table->version < run.forwarded->config_version)
    return refusal{503, kOlderConfig, kNoConfigRetryAfter};
  run.matched_route = FindRoute(*run.table, run.request.host,
                                PathOf(run.exchange.request.target));
  if (!run.matched_route && !run.table->has_unreadable_routes)
    return refusal{404, "no_route", {}};
  if (!run.matched_route || run.matched_route->services.empty())
    return refusal{503, kUnreadableRoute, kUnreadableRetryAfter};
  if (run.table->has_accounts && !run.matched_route->is_anonymous) {
    const auto found = run.table->account_of_key.find(run.request.account_key);
    const bool is_known = found != run.table->account_of_key.end();
    if (!is_known && !run.table->has_unreadable_accounts)
      return refusal{401, "unknown_key", {}};
    if (!is_known || found->second.has_unreadable_limit)
      return refusal{503, kUnreadableAccount, kUnreadableRetryAfter};
    run.account = found->second;
  }
  if (run.forwarded) {
    run.attempts_before = run.forwarded->attempts;
    run.attempt_number = run.forwarded->attempt_number;
    run.told_build = run.forwarded->told_build;
    run.request.time_left = run.forwarded->time_left;
    run.request.resume_after = run.forwarded->resume_after;
    run.last_event_id = run.request.resume_after.value_or(0);
  }
  run.deadline =
      run.arrived +
      std::min(run.request.time_left.value_or(kMaxWaitWithoutDeadline),
               run.matched_route->timeout);
  run.service = ChooseService(*run.matched_route, run.state->random());
  if (run.forwarded) {
    run.service = run.forwarded->service;
    run.origin = run.forwarded->origin;
    if (ReachesTooFewTargets(*run.state, run.service))
      return refusal{503, kNoTargetReached, kNoConfigRetryAfter};
  }
  return std::nullopt;
}

// True if another target may be tried after this outcome.
bool MayRetryElsewhere(forward_run& run, forward_outcome outcome) {
  if (run.caller_gone || run.is_cut_short || run.has_unnumbered_event ||
      run.sends >= kMaxSends || run.ends_in_doubt >= kMaxEndsInDoubt ||
      std::chrono::steady_clock::now() >= run.deadline)
    return false;
  if (outcome == forward_outcome::kNotRun)
    return SpendRetry(run.state->retry_budgets[run.service]);
  if (outcome != forward_outcome::kBroken &&
      outcome != forward_outcome::kFailed &&
      outcome != forward_outcome::kWithdrawn)
    return false;
  return MayRepeat(*run.matched_route) &&
         UsedAttempts(run) < run.matched_route->max_attempts &&
         SpendRetry(run.state->retry_budgets[run.service]);
}

void CreditRetryBudget(forward_run& run) {
  if (run.is_counted)
    return;
  run.is_counted = true;
  entry_state& state = *run.state;
  const std::size_t vms = CountServingVms(state);
  const double allowance = state.options.bounds.retry_allowance;
  auto found = state.retry_budgets.find(run.service);
  if (found == state.retry_budgets.end())
    found = state.retry_budgets
                .emplace(run.service, MakeSharedBudget(allowance, vms))
                .first;
  retry_budget& budget = found->second;
  budget.retries_per_request = state.options.bounds.retry_share;
  ShareAllowance(budget, allowance, vms);
  EarnRetry(budget);
}

// Responds to the caller if no attempt has succeeded.
asio::awaitable<void> RespondWithFailure(forward_run& run,
                                         forward_outcome outcome) {
  if (outcome == forward_outcome::kCallerGone)
    co_return;
  if (run.stream_started) {
    AbortExchange(run.exchange);
    co_return;
  }
  if (outcome == forward_outcome::kFailed && run.failure_response) {
    co_await Respond(run.exchange, std::move(*run.failure_response));
    co_return;
  }
  if (run.possible_runs == 0 && run.refused) {
    co_await Refuse(run, 503, run.refused->reason, run.refused->retry_after);
    co_return;
  }
  if (run.possible_runs == 0 && outcome != forward_outcome::kTimedOut) {
    co_await Refuse(run, 503, "no_target_ran_it", RetryAfter(run));
    co_return;
  }
  // The last target refused the request, but an earlier one may have run it.
  if (outcome == forward_outcome::kNotRun)
    outcome = forward_outcome::kBroken;
  co_await Refuse(run, outcome == forward_outcome::kTimedOut ? 504 : 502,
                  NameOf(outcome), {});
}

// Callers disconnect from a stream that has not begun after the longer of this
// time and this multiple of the route's objective.
constexpr milliseconds kMinCallerPatience{2'000};
constexpr int kPatienceObjectives = 4;
// Reserved from that time for the response to begin.
constexpr milliseconds kPatienceMargin{400};

queued_request MakeQueuedRequest(const forward_run& run,
                                 const engine_choice& expected) {
  queued_request out;
  out.tokens = TokensToPrefill({run.chain.tokens, run.chain.head_tokens, 0, 0},
                               expected);
  out.priority = RequestPriority(*run.table, *run.matched_route, run.account);
  out.is_continuation = IsTakenUp(run);
  out.arrived = run.arrived;
  out.objective_deadline = run.arrived + run.matched_route->latency_objective;
  const duration patience = std::max<duration>(
      kMinCallerPatience,
      run.matched_route->latency_objective * kPatienceObjectives);
  out.dispatch_deadline =
      std::min(run.arrived + patience, run.deadline) - kPatienceMargin;
  return out;
}

// Waits until the prompt may be sent to an engine. Returns false if the request
// must be refused.
asio::awaitable<bool> WaitForDispatchSlot(forward_run& run) {
  if (!run.matched_route->has_prompt || run.stream_started)
    co_return true;
  const auto expected = ChooseEngineFor(run, false);
  if (!expected)
    co_return true;
  const queued_request queued = MakeQueuedRequest(run, *expected);
  const instant start = std::chrono::steady_clock::now();
  dispatch_waiter waiter(run.state->executor);
  run.waiter = &waiter;
  const bool is_dispatched =
      co_await WaitForDispatch(run.state, run.service, queued, waiter);
  run.waiter = nullptr;
  run.queue_time += std::chrono::steady_clock::now() - start;
  if (is_dispatched)
    run.window_tokens = queued.tokens;
  co_return is_dispatched;
}

hash128 FingerprintOf(const forward_run& run) {
  const http_request& request = run.exchange.request;
  return Hash128({run.request.host, request.method, request.target,
                  run.account.name, request.body});
}

// Returns the IDs of the prompt's segments, in hexadecimal.
std::string SegmentIds(const forward_run& run) {
  std::string out;
  for (const prompt_segment& segment : run.request.segments)
    out += (out.empty() ? "" : ",") + ToHex(segment.id);
  return out;
}

// Tries targets until one succeeds or no further one may be tried.
asio::awaitable<forward_outcome> RunWithRetries(forward_run& run) {
  forward_outcome outcome = forward_outcome::kNotRun;
  while (!run.is_cut_short) {
    if (ShouldForward(run)) {
      const forward_outcome at_peer = co_await RunAtPeers(run);
      const bool is_hopeless =
          HasLostAll(run.state->reach, run.state->placement.targets,
                     run.service) ||
          (run.is_declined && ReachesTooFewTargets(*run.state, run.service));
      if (at_peer != forward_outcome::kNotRun || is_hopeless)
        co_return at_peer;
      run.peers_failed = true;
    }
    CreditRetryBudget(run);
    if (!co_await WaitForDispatchSlot(run)) {
      if (ShouldForward(run) && !run.caller_gone && !run.is_cut_short)
        continue;
      co_return run.caller_gone ? forward_outcome::kCallerGone : outcome;
    }
    if (!co_await AdmitSuspect(run)) {
      ReleaseWindowTokens(run, std::nullopt);
      co_return run.caller_gone ? forward_outcome::kCallerGone : outcome;
    }
    const auto choice = co_await ChoosePermittedTarget(run);
    if (!choice || run.is_cut_short) {
      LogInfo("no_target",
              {{"request", run.request.id}, {"service", run.service}});
      FinishTrial(run);
      ReleaseWindowTokens(run, std::nullopt);
      co_return run.caller_gone ? forward_outcome::kCallerGone : outcome;
    }
    dispatch attempt = BeginDispatch(run, *choice);
    ++run.attempt_number;
    ConnectToRecordKeepers(run, attempt);
    if (BeginsEarly(run, attempt) &&
        !co_await AnnounceStreamStart(run, attempt)) {
      FinishDispatch(run, attempt, forward_outcome::kWithdrawn);
      FinishTrial(run);
      co_return outcome;
    }
    const doubtful_listing listing(run, attempt);
    outcome = co_await RunAtTarget(run, attempt);
    FinishDispatch(run, attempt, outcome);
    if (attempt.connection_broke)
      co_await InvestigateBreak(run, attempt);
    if (run.caller_gone && outcome != forward_outcome::kDone)
      outcome = forward_outcome::kCallerGone;
    const bool was_trial = run.trial.has_value();
    FinishTrial(run);
    if (outcome != forward_outcome::kDone)
      LogInfo("attempt_ended",
              {{"request", run.request.id},
               {"target", attempt.target.record.id},
               {"end", NameOf(outcome)},
               {"failure", attempt.failure},
               {"sends", run.sends},
               {"config", run.table->version},
               {"config_age_ms", ToMsOrNone(run.config_age)},
               {"targets_age_ms", ToMsOrNone(run.targets_age)},
               {"trial", was_trial},
               {"survived", listing.listed.has_survived},
               {"rate", run.target_rate.value_or(-1)},
               {"build", attempt.target.record.build},
               {"resumes", run.request.resumed_request},
               {"events", run.last_event_id},
               {"account", run.account.name},
               {"fingerprint", ToHex(run.fingerprint)},
               {"segments", SegmentIds(run)},
               {"weights", run.weights_version},
               {"outdated_ms", ToMsOrNone(run.outdated_for)},
               {"start_ms", ToMsOrNone(run.time_to_start)},
               {"took_ms",
                ToMs(std::chrono::steady_clock::now() - attempt.started)}});
    if (outcome == forward_outcome::kDone ||
        outcome == forward_outcome::kCallerGone ||
        (run.stream_started && IsOriginInDoubt(run)))
      co_return outcome;
    if (attempt.is_unreached)
      ObserveUnreached(run, attempt);
    // Without a connection nothing has arrived, so forwarding is no retry.
    run.failed_target = static_cast<int>(attempt.chosen.target);
    if (attempt.is_unreached && ShouldForward(run) && !run.is_cut_short &&
        run.sends < kMaxSends &&
        std::chrono::steady_clock::now() < run.deadline)
      continue;
    if (!MayRetryElsewhere(run, outcome))
      co_return outcome;
    Count(run.state->stats, "waxwing_retries_total");
  }
  co_return outcome;
}

void LogOutcome(const forward_run& run, forward_outcome outcome) {
  const duration took = std::chrono::steady_clock::now() - run.arrived;
  LogInfo(
      "request_ended",
      {{"request", run.request.id},
       {"end", NameOf(outcome)},
       {"route", run.matched_route->name},
       {"account", run.account.name},
       {"fingerprint", ToHex(run.fingerprint)},
       {"segments", SegmentIds(run)},
       {"config", run.table->version},
       {"config_age_ms", ToMsOrNone(run.config_age)},
       {"targets_age_ms", ToMsOrNone(run.targets_age)},
       {"target", run.target_id},
       {"build", run.target_build},
       {"resumes", run.request.resumed_request},
       {"resume_after", ResumePoint(run)},
       {"sends", run.sends},
       {"from", run.forwarded ? run.forwarded->vm : std::string()},
       {"first_ms", ToMs(run.time_to_first_byte.value_or(took))},
       {"pause_ms", ToMs(run.longest_pause)},
       {"took_ms", ToMs(took)},
       {"tokens", run.chain.tokens},
       {"shared", run.chain.head_tokens},
       {"cached", run.cached_tokens},
       {"source", run.cache_source},
       {"in_flight", run.target_in_flight},
       {"waiting", run.target_waiting},
       {"rate", run.target_rate.value_or(-1)},
       {"queued_ms", ToMs(run.queue_time)},
       {"weights", run.weights_version},
       {"outdated_ms", ToMsOrNone(run.outdated_for)},
       {"start_ms", ToMsOrNone(run.time_to_start)},
       {"window", run.state->dispatch_queues[run.service].flow_control.size}});
}

}  // namespace

std::string_view NameOf(forward_outcome outcome) {
  switch (outcome) {
    case forward_outcome::kDone:
      return "done";
    case forward_outcome::kNotRun:
      return "not_run";
    case forward_outcome::kFailed:
      return "failed";
    case forward_outcome::kBroken:
      return "broken";
    case forward_outcome::kTimedOut:
      return "timed_out";
    case forward_outcome::kWithdrawn:
      return "withdrawn";
    case forward_outcome::kCallerGone:
      return "caller_gone";
  }
  return "unknown";
}

// Targets that have terminated don't count.
int UsedAttempts(const forward_run& run) {
  return run.attempts_before + run.possible_runs - run.possible_runs_at_gone;
}

milliseconds TimeLeft(const forward_run& run) {
  return std::max(milliseconds(1),
                  std::chrono::ceil<milliseconds>(
                      run.deadline - std::chrono::steady_clock::now()));
}

void CutRunsShort(entry_state& state) {
  for (forward_run* run : state.runs) {
    run->is_cut_short = true;
    run->refused = {kLeaving, kMinRetryAfter};
    Abort(run->abort);
    if (run->waiter)
      run->waiter->wakeup.cancel();
  }
}

asio::awaitable<void> ForwardRequest(entry_ptr state, http_exchange& exchange) {
  forward_run run{state, exchange};
  const run_listing listing(run);
  run.table = state->table;
  run.config_age = KnowledgeAge(*state, object_kind::kConfig);
  run.arrived = std::chrono::steady_clock::now();
  Count(state->stats, "waxwing_requests_total");
  ++state->caller_load.requests;
  run.forwarded = TakeForwarded(exchange.request, state->options.key);
  auto request = state->protocol.read_request(exchange.request);
  if (!request) {
    co_await Refuse(run, 400, request.error(), {});
    co_return;
  }
  run.request = std::move(*request);
  exchange.id = run.request.id;
  run.last_event_id = run.request.resume_after.value_or(0);
  run.is_counted = run.forwarded && run.forwarded->is_counted;
  if (const auto refused = ResolveRequest(run)) {
    co_await Refuse(run, refused->status, refused->reason,
                    refused->retry_after);
    co_return;
  }
  WatchCaller(exchange, [&run] {
    run.caller_gone = true;
    Abort(run.abort);
    if (run.waiter)
      run.waiter->wakeup.cancel();
  });
  if (IsTakenUp(run) && !run.origin && !co_await FindOrigin(run)) {
    if (!run.caller_gone)
      co_await Refuse(run, 503, "unknown_stream", RetryAfter(run));
    co_return;
  }
  if (const auto refused = co_await ChargeAccount(run)) {
    if (!run.caller_gone)
      co_await Refuse(run, refused->status, refused->reason,
                      refused->retry_after);
    co_return;
  }
  run.fingerprint = FingerprintOf(run);
  PreparePrompt(run);
  FindSuspectKeys(run);
  const forward_outcome outcome = co_await RunWithRetries(run);
  if (run.possible_runs == 0)
    RefundCharge(run);
  ForgetRunningStream(run);
  LogOutcome(run, outcome);
  Observe(state->stats, "waxwing_request_seconds",
          std::chrono::steady_clock::now() - run.arrived);
  Count(state->stats,
        "waxwing_ends_total{end=\"" + std::string(NameOf(outcome)) + "\"}");
  if (outcome != forward_outcome::kDone)
    co_await RespondWithFailure(run, outcome);
}

}  // namespace waxwing
