// One request of a caller, from its route to the last byte of its answer.
//
// A target's answer is passed on as it is. A request that may run only once is
// sent once, unless it is certain that it has not run; then, and for requests
// that may be repeated, another target may be tried within the route's attempts
// and the retry budget. "Not run" is answered only where no byte was sent or
// the target said so itself.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/entry_run.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Longest wait for a caller without a deadline of its own and no route yet.
constexpr milliseconds kLongestWithoutRoute{30'000};
// Sends after refusals: beyond it the service as a whole has no room.
constexpr int kMostSends = 4;
constexpr milliseconds kShortestRetryAfter{100};
constexpr milliseconds kRetryAfterSpread{300};
constexpr milliseconds kNoConfigRetryAfter{300};

asio::awaitable<void> Refuse(forward_run& run,
                             unsigned status,
                             std::string_view reason,
                             std::optional<duration> retry_after) {
  Count(run.state->stats,
        "waxwing_refused_total{reason=\"" + std::string(reason) + "\"}");
  LogInfo("request_refused",
          {{"request", run.request.id},
           {"status", status},
           {"reason", reason},
           {"route", run.path ? run.path->name : std::string()},
           {"config", run.table->version},
           {"sends", run.sends}});
  http_response answer =
      run.state->spoken.write_refusal(run.request, status, reason, retry_after);
  co_await Respond(run.exchange, std::move(answer));
}

// When the caller should come back: once what waits here has been sent, spread
// so that callers that were refused together do not return together.
duration RetryAfter(forward_run& run) {
  entry_state& state = *run.state;
  const auto queue = state.queues.find(run.service);
  const duration backlog =
      queue == state.queues.end()
          ? duration{}
          : EstimateDispatchDelay(queue->second.at_engines,
                                  WaitingTokens(queue->second));
  return kShortestRetryAfter + backlog +
         milliseconds(static_cast<std::int64_t>(
             state.random() %
             static_cast<std::uint64_t>(kRetryAfterSpread.count())));
}

// What keeps a request from being forwarded, if anything.
struct refusal {
  unsigned status = 0;
  std::string_view reason;
  std::optional<duration> retry_after;
};

// Finds route, account and deadline.
std::optional<refusal> Identify(forward_run& run) {
  if (run.state->is_closed)
    return refusal{503, "leaving", kShortestRetryAfter};
  if (!CanServe(*run.state))
    return refusal{503, "no_config", kNoConfigRetryAfter};
  run.path = FindRoute(*run.table, run.request.host,
                       PathOf(run.exchange.request.target));
  if (!run.path)
    return refusal{404, "no_route", {}};
  if (run.table->has_accounts && !run.path->is_anonymous) {
    const auto found = run.table->account_of_key.find(run.request.account_key);
    if (found == run.table->account_of_key.end())
      return refusal{401, "unknown_key", {}};
    run.account = found->second;
  }
  run.deadline = run.arrived +
                 std::min(run.request.time_left.value_or(kLongestWithoutRoute),
                          run.path->timeout);
  run.service = ChooseService(*run.path, run.state->random());
  return std::nullopt;
}

// True if another target may be tried after this end.
bool MayTryAgain(forward_run& run, run_end end) {
  if (run.sends >= kMostSends ||
      std::chrono::steady_clock::now() >= run.deadline)
    return false;
  if (end == run_end::kNotRun)
    return SpendRetry(run.state->retries[run.service]);
  if (end != run_end::kBroken && end != run_end::kFailed)
    return false;
  // Targets that have ended don't count as attempts.
  const int attempts = run.runs - run.runs_at_ended;
  return MayRepeat(*run.path) && attempts < run.path->max_attempts &&
         SpendRetry(run.state->retries[run.service]);
}

void EarnServiceRetry(forward_run& run) {
  entry_state& state = *run.state;
  const auto vms = static_cast<double>(CountServingVms(state));
  retry_budget& budget = state.retries[run.service];
  budget.retries_per_request = state.options.bounds.retry_share;
  budget.max_balance = state.options.bounds.retry_allowance / vms;
  EarnRetry(budget);
}

// The answer where no target has given a whole one.
asio::awaitable<void> AnswerFailure(forward_run& run, run_end end) {
  if (end == run_end::kCallerGone)
    co_return;
  if (run.began) {
    AbortExchange(run.exchange);
    co_return;
  }
  if (end == run_end::kFailed && run.failure) {
    co_await Respond(run.exchange, std::move(*run.failure));
    co_return;
  }
  if (run.runs == 0 && end != run_end::kTimedOut) {
    co_await Refuse(run, 503, "no_target_ran_it", RetryAfter(run));
    co_return;
  }
  // Refused at last, but an earlier target may have run it.
  if (end == run_end::kNotRun)
    end = run_end::kBroken;
  co_await Refuse(run, end == run_end::kTimedOut ? 504 : 502, NameOf(end), {});
}

// Callers leave a stream that has not begun after a pause of this kind.
constexpr milliseconds kShortestPatience{2'000};
constexpr int kPatienceInObjectives = 4;
// Kept from the caller's patience for the answer to begin.
constexpr milliseconds kPatienceMargin{400};

queued_request MakeTurn(const forward_run& run, const engine_choice& expected) {
  queued_request out;
  out.tokens = TokensToPrefill({run.chain.tokens, run.chain.head_tokens, 0, 0},
                               expected);
  out.priority = run.account.priority.value_or(run.path->priority);
  out.arrived = run.arrived;
  out.objective_deadline = run.arrived + run.path->objective;
  const duration patience = std::max<duration>(
      kShortestPatience, run.path->objective * kPatienceInObjectives);
  out.dispatch_deadline =
      std::min(run.arrived + patience, run.deadline) - kPatienceMargin;
  return out;
}

// Waits until the prompt's work may be sent. False: it must be refused.
asio::awaitable<bool> TakeTurn(forward_run& run) {
  if (!run.path->has_prompt || run.began)
    co_return true;
  const auto expected = ChooseEngineFor(run, false);
  if (!expected)
    co_return true;
  const queued_request turn = MakeTurn(run, *expected);
  const instant start = std::chrono::steady_clock::now();
  turn_waiter waiter(run.state->executor);
  run.waiter = &waiter;
  const bool granted =
      co_await WaitForTurn(run.state, run.service, turn, waiter);
  run.waiter = nullptr;
  run.queued += std::chrono::steady_clock::now() - start;
  if (granted)
    run.paced_tokens = turn.tokens;
  co_return granted;
}

// Tries targets until one gives a whole answer or none may be tried.
asio::awaitable<run_end> RunToEnd(forward_run& run) {
  run_end end = run_end::kNotRun;
  while (true) {
    if (!co_await TakeTurn(run))
      co_return run.caller_gone ? run_end::kCallerGone : end;
    auto sent = ChooseTarget(run);
    if (!sent) {
      LogInfo("no_target",
              {{"request", run.request.id}, {"service", run.service}});
      EndPacedWork(run, std::nullopt);
      co_return end;
    }
    end = co_await RunAtTarget(run, *sent);
    FinishDispatch(run, *sent, end);
    if (end != run_end::kDone)
      LogInfo("attempt_ended",
              {{"request", run.request.id},
               {"target", sent->target.record.id},
               {"end", NameOf(end)},
               {"sends", run.sends},
               {"events", run.last_event},
               {"took_ms", std::chrono::duration_cast<milliseconds>(
                               std::chrono::steady_clock::now() - sent->started)
                               .count()}});
    if (end == run_end::kDone || end == run_end::kCallerGone ||
        !MayTryAgain(run, end))
      co_return end;
    run.avoid = static_cast<int>(sent->chosen.target);
    Count(run.state->stats, "waxwing_retries_total");
  }
}

std::int64_t ToMs(duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

void LogEnd(const forward_run& run, run_end end) {
  const duration took = std::chrono::steady_clock::now() - run.arrived;
  LogInfo("request_ended",
          {{"request", run.request.id},
           {"end", NameOf(end)},
           {"route", run.path->name},
           {"config", run.table->version},
           {"target", run.target},
           {"sends", run.sends},
           {"first_ms", ToMs(run.first_byte.value_or(took))},
           {"pause_ms", ToMs(run.longest_pause)},
           {"took_ms", ToMs(took)},
           {"tokens", run.chain.tokens},
           {"shared", run.chain.head_tokens},
           {"cached", run.cached_tokens},
           {"source", run.cache_source},
           {"in_flight", run.in_flight},
           {"waiting", run.waiting},
           {"queued_ms", ToMs(run.queued)},
           {"window", run.state->queues[run.service].at_engines.size}});
}

}  // namespace

std::string_view NameOf(run_end end) {
  switch (end) {
    case run_end::kDone:
      return "done";
    case run_end::kNotRun:
      return "not_run";
    case run_end::kFailed:
      return "failed";
    case run_end::kBroken:
      return "broken";
    case run_end::kTimedOut:
      return "timed_out";
    case run_end::kCallerGone:
      return "caller_gone";
  }
  return "unknown";
}

milliseconds TimeLeft(const forward_run& run) {
  return std::max(milliseconds(1),
                  std::chrono::duration_cast<milliseconds>(
                      run.deadline - std::chrono::steady_clock::now()));
}

asio::awaitable<void> ForwardRequest(entry_ptr state, http_exchange& exchange) {
  forward_run run{state, exchange};
  run.table = state->table;
  run.arrived = std::chrono::steady_clock::now();
  Count(state->stats, "waxwing_requests_total");
  auto request = state->spoken.read_request(exchange.request);
  if (!request) {
    co_await Refuse(run, 400, request.error(), {});
    co_return;
  }
  run.request = std::move(*request);
  run.last_event = run.request.resume_after.value_or(0);
  if (const auto denied = Identify(run)) {
    co_await Refuse(run, denied->status, denied->reason, denied->retry_after);
    co_return;
  }
  PreparePrompt(run);
  EarnServiceRetry(run);
  WatchCaller(exchange, [&run] {
    run.caller_gone = true;
    Abort(run.abort);
    if (run.waiter)
      run.waiter->signal.cancel();
  });
  const run_end end = co_await RunToEnd(run);
  LogEnd(run, end);
  Observe(state->stats, "waxwing_request_seconds",
          std::chrono::steady_clock::now() - run.arrived);
  Count(state->stats,
        "waxwing_ends_total{end=\"" + std::string(NameOf(end)) + "\"}");
  if (end != run_end::kDone)
    co_await AnswerFailure(run, end);
}

}  // namespace waxwing
