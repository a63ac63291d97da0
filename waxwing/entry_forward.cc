// One request of a caller, from its route to the last byte of its answer.
//
// A target's answer is passed on as it is. A request that may run only once is
// sent once, unless it is certain that it has not run; then, and for requests
// that may be repeated, another target may be tried within the route's attempts
// and the retry budget. "Not run" is answered only where no byte was sent or
// the target said so itself.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/entry_state.h"
#include "waxwing/hash.h"
#include "waxwing/log.h"
#include "waxwing/sse.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Longest wait for a caller without a deadline of its own and no route yet.
constexpr milliseconds kDefaultDeadline{30'000};
// Answers of other requests that are skipped before the connection is given up.
constexpr int kMostSkipped = 3;
// Sends after refusals: beyond it the service as a whole has no room.
constexpr int kMostSends = 4;
constexpr milliseconds kShortestRetryAfter{100};
constexpr milliseconds kRetryAfterSpread{300};
constexpr milliseconds kNoConfigRetryAfter{300};
// A target is told slightly less than what is left, for the way back.
constexpr milliseconds kReturnTime{5};
constexpr std::size_t kLargestBody = 16 * 1024 * 1024;

enum class run_end {
  kDone,        // the caller has an answer of a target
  kNotRun,      // certain not to have run
  kFailed,      // a target's own failure that may be tried elsewhere
  kBroken,      // may have run; no whole answer
  kTimedOut,    // the time was up
  kCallerGone,  // nobody waits for an answer
};

struct forward_run {
  entry_ptr state;
  http_exchange& exchange;
  inbound_request request;
  std::shared_ptr<const route_table> table;
  const route* path = nullptr;
  account_info account;
  std::string service;
  prefix_chain chain;
  // The parts as cached under a salt, by weights version.
  std::map<std::string, std::vector<cached_part>, std::less<>> parts;
  instant arrived;
  instant deadline;
  http_abort abort;
  bool caller_gone = false;
  // Requests sent, and targets that may have run it.
  int sends = 0;
  int runs = 0;
  int avoid = -1;
  // The caller has the head of a stream, and its events up to `last_event`.
  bool began = false;
  std::uint64_t last_event = 0;
  // Figures for the log: time to the first byte, the longest pause between
  // events, and what was known of the target when it was chosen.
  std::optional<duration> first_byte;
  duration longest_pause{};
  instant last_delivery;
  std::string target;
  std::uint32_t cached_tokens = 0;
  int in_flight = 0;
  int waiting = 0;
  std::string cache_source;
  // Set while the request waits for its turn.
  turn_waiter* waiter = nullptr;
  // Work counted at the engines until the answer begins.
  double paced_tokens = 0;
  duration queued{};
  // Kept while another target is tried.
  std::optional<http_response> failure;
};

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

bool IsStream(const forward_run& run) {
  return run.path->kind == route_kind::kStream;
}

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

// A pause before the caller comes back, spread so that callers that were
// refused together do not return together.
duration RetryAfter(entry_state& state) {
  return kShortestRetryAfter +
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
  run.deadline =
      run.arrived + std::min(run.request.time_left.value_or(kDefaultDeadline),
                             run.path->timeout);
  run.service = ChooseService(*run.path, run.state->random());
  return std::nullopt;
}

// Accounts that are not isolated share cache entries.
std::string CacheOwner(const forward_run& run) {
  return run.account.is_isolated ? "a-" + run.account.name : "shared";
}

// Entries made under other weights never match.
std::string CacheSalt(const forward_run& run, std::int64_t weights) {
  return CacheOwner(run) + "-" + std::to_string(weights);
}

void PreparePrompt(forward_run& run) {
  const std::string owner = CacheOwner(run);
  run.chain = ComputeNamedPrefix({owner, run.request.model, "", ""},
                                 run.request.parts, run.request.prompt_tokens);
}

// The store of KV cache to use: the nearest one.
const service_info* FindCacheStore(const forward_run& run) {
  const service_info* out = nullptr;
  for (const auto& [name, service] : run.table->services) {
    if (service.cache_store &&
        (!out || service.zone == run.state->options.zone))
      out = &service;
  }
  return out;
}

std::span<const cached_part> PartsAt(forward_run& run,
                                     const target_view& view) {
  const auto found = run.parts.find(view.version);
  if (found != run.parts.end())
    return found->second;
  const std::string salt = CacheOwner(run) + "-" + view.version;
  auto& made = run.parts[view.version];
  made = CachedParts(salt, run.request.parts);
  return made;
}

struct dispatch {
  placement chosen;
  engine_choice engine;
  listed_target target;
  std::uint32_t missed = 0;
  std::uint32_t epoch = 0;
  instant started;
  bool prefilled = false;
  // The target has begun to answer.
  bool heard = false;
};

// Time in which one token of KV cache moves within a zone.
duration MovePerToken(const service_info& engine) {
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMegabit = 1e6;
  if (engine.link_mbps <= 0)
    return {};
  return FromSeconds(engine.bytes_per_token * kBitsPerByte /
                     (engine.link_mbps * kBitsPerMegabit));
}

std::optional<engine_choice> ChooseEngineFor(forward_run& run,
                                             bool is_last_resort) {
  engine_request wanted;
  wanted.service = run.service;
  wanted.prompt = {run.chain.tokens, run.chain.head_tokens, run.chain.head,
                   run.request.output_tokens};
  wanted.parts_at = [&run](const target_view& view) {
    return PartsAt(run, view);
  };
  const auto service = run.table->services.find(run.service);
  if (service != run.table->services.end())
    wanted.move_per_token = MovePerToken(service->second);
  wanted.has_store = run.state->is_store_usable;
  wanted.avoid = run.avoid;
  wanted.is_last_resort = is_last_resort;
  return ChooseEngine(run.state->placement.targets, run.state->caches, wanted,
                      std::chrono::steady_clock::now());
}

std::optional<placement> ChoosePlace(forward_run& run,
                                     engine_choice& engine,
                                     bool is_last_resort) {
  entry_state& state = *run.state;
  const instant now = std::chrono::steady_clock::now();
  if (run.path->has_prompt) {
    const auto chosen = ChooseEngineFor(run, is_last_resort);
    if (!chosen)
      return std::nullopt;
    engine = *chosen;
    return placement{chosen->target, chosen->held + chosen->fetched, now, true};
  }
  const placement_request wanted{&run.chain, run.service,    "",
                                 run.avoid,  state.random(), is_last_resort};
  return Place(state.placement, wanted, now);
}

std::optional<dispatch> ChooseTarget(forward_run& run) {
  entry_state& state = *run.state;
  dispatch out;
  auto chosen = ChoosePlace(run, out.engine, false);
  if (!chosen)
    chosen = ChoosePlace(run, out.engine, true);
  if (!chosen)
    return std::nullopt;
  target_view& view = state.placement.targets[chosen->target];
  out.chosen = *chosen;
  out.target = state.targets.at(view.name);
  out.missed =
      run.chain.tokens - std::min(run.chain.tokens, chosen->cached_tokens);
  out.epoch = view.epoch;
  run.target = view.name;
  run.cached_tokens = chosen->cached_tokens;
  run.in_flight = InFlight(view);
  run.waiting = view.others_waiting;
  out.started = std::chrono::steady_clock::now();
  NoteDispatch(state.placement, out.chosen, out.missed);
  NoteSent(view, out.started);
  view.own_tokens += run.chain.tokens + run.request.output_tokens;
  return out;
}

// True if the dispatch still speaks of the target that is at its place.
bool IsCurrent(const entry_state& state, const dispatch& sent) {
  return state.placement.targets[sent.chosen.target].name ==
         sent.target.record.id;
}

// Counts the request's work at the engines no longer.
void EndPacedWork(forward_run& run, std::optional<duration> first_byte) {
  if (run.paced_tokens <= 0)
    return;
  pace& at_engines = run.state->queues[run.service].at_engines;
  if (first_byte)
    NoteWorkBegun(at_engines, run.paced_tokens, *first_byte,
                  run.path->objective, std::chrono::steady_clock::now());
  else
    NoteWorkGone(at_engines, run.paced_tokens);
  run.paced_tokens = 0;
  GrantTurns(*run.state, run.service);
}

void MarkHeard(forward_run& run, dispatch& sent) {
  entry_state& state = *run.state;
  if (sent.heard)
    return;
  sent.heard = true;
  EndPacedWork(run, std::chrono::steady_clock::now() - sent.started);
  NoteHeard(state.placement.targets[sent.chosen.target],
            std::chrono::steady_clock::now());
}

void LearnLoad(entry_state& state,
               const dispatch& sent,
               const answer_facts& facts) {
  if (!IsCurrent(state, sent) || !facts.now)
    return;
  target_view& view = state.placement.targets[sent.chosen.target];
  view.others_in_flight =
      std::max(0, facts.now->running + facts.now->waiting - view.own_in_flight);
  view.others_waiting = std::max(0, facts.now->waiting - view.unanswered);
}

void MarkPrefilled(entry_state& state, dispatch& sent) {
  if (sent.prefilled)
    return;
  sent.prefilled = true;
  NotePrefilled(state.placement, sent.chosen, sent.missed);
}

// The target has read the prompt: it holds the shared parts now.
void NotePartsHeld(forward_run& run, const dispatch& sent) {
  entry_state& state = *run.state;
  const target_view& view = state.placement.targets[sent.chosen.target];
  if (!IsCurrent(state, sent) || view.epoch != sent.epoch)
    return;
  for (const cached_part& part : PartsAt(run, view))
    NoteHeld(state.caches, part.key, sent.chosen.target, sent.epoch,
             part.tokens);
}

void FinishDispatch(forward_run& run, dispatch& sent, run_end end) {
  entry_state& state = *run.state;
  const instant now = std::chrono::steady_clock::now();
  MarkPrefilled(state, sent);
  EndPacedWork(run, std::nullopt);
  NoteFinished(state.placement, sent.chosen);
  target_view& view = state.placement.targets[sent.chosen.target];
  view.own_tokens = std::max(
      0.0, view.own_tokens - run.chain.tokens - run.request.output_tokens);
  const bool was_silent = !sent.heard && IsSilent(view, now);
  if (!sent.heard)
    NoteUnanswered(view);
  if (!IsCurrent(state, sent))
    return;
  if (end == run_end::kDone || end == run_end::kFailed)
    NoteAnswer(view, end == run_end::kFailed);
  if (end == run_end::kDone) {
    NoteSuccess(view, now - sent.started);
  } else if (end == run_end::kFailed) {
    // The target works; its own failures count in its error rate.
    ClearFailures(view);
  } else if ((end != run_end::kCallerGone || was_silent) && !view.is_loading) {
    NoteFailure(view, sent.started, now);
  }
}

// Where the target gets the shared parts that it lacks, and whether it saves
// them to the store.
void AddCacheTransfers(forward_run& run, const dispatch& sent, run_order& out) {
  const entry_state& state = *run.state;
  if (sent.engine.source && *sent.engine.source != kCacheStore)
    out.cache_source = state.placement.targets[*sent.engine.source].address;
  const service_info* store = FindCacheStore(run);
  if (!store || !state.is_store_usable || run.chain.head_tokens == 0)
    return;
  if (sent.engine.source && *sent.engine.source == kCacheStore)
    out.cache_source = store->cache_store;
  const target_view& view = state.placement.targets[sent.chosen.target];
  const std::uint32_t stored =
      HeldTokens(state.caches, PartsAt(run, view), kCacheStore, 0);
  if (stored >= run.chain.head_tokens)
    return;
  const std::uint64_t saved_as = MixHash(run.chain.head, Hash64(view.version));
  if (NoteSaved(run.state->saved, saved_as, std::chrono::steady_clock::now()))
    out.cache_store = store->cache_store;
}

run_order MakeOrder(forward_run& run, const dispatch& sent) {
  run_order out;
  out.target = sent.target.record.id;
  out.account = run.account.name;
  out.time_left = std::max(milliseconds(1), TimeLeft(run) - kReturnTime);
  if (run.path->has_prompt) {
    out.priority = run.account.priority.value_or(run.path->priority);
    const std::int64_t weights = sent.target.record.weights_version;
    out.cache_salt = CacheSalt(run, weights);
    // Without a version a cached part could be of any weights.
    if (weights > 0) {
      out.weights_version = weights;
      AddCacheTransfers(run, sent, out);
    }
  }
  out.resume_after = run.request.resume_after;
  if (run.began)
    out.resume_after = run.last_event;
  run.cache_source = out.cache_source ? ToText(*out.cache_source) : "";
  return out;
}

// The end of a call that failed on the way.
run_end EndOfFailure(const forward_run& run, const http_error& error) {
  if (run.caller_gone)
    return run_end::kCallerGone;
  if (std::chrono::steady_clock::now() >= run.deadline)
    return run_end::kTimedOut;
  return error.sent ? run_end::kBroken : run_end::kNotRun;
}

// Passes on a whole answer that is not a stream.
asio::awaitable<run_end> RelayWhole(forward_run& run, http_call& call) {
  http_response answer;
  answer.status = call.head.status;
  answer.headers = run.state->spoken.answer_headers(call.head.headers);
  while (true) {
    const auto more =
        co_await ReadPiece(run.state->pool, call, TimeLeft(run), answer.body);
    if (!more)
      co_return EndOfFailure(run, more.error());
    if (!*more)
      break;
    if (answer.body.size() > kLargestBody)
      co_return run_end::kBroken;
  }
  if (answer.status >= 500 && MayRepeat(*run.path)) {
    run.failure = std::move(answer);
    co_return run_end::kFailed;
  }
  const bool delivered = co_await Respond(run.exchange, std::move(answer));
  co_return delivered ? run_end::kDone : run_end::kCallerGone;
}

// Passes events on; the caller never gets a part of one.
asio::awaitable<bool> DeliverEvents(forward_run& run,
                                    const http_call& call,
                                    std::string_view events) {
  const instant now = std::chrono::steady_clock::now();
  if (run.began)
    run.longest_pause = std::max(run.longest_pause, now - run.last_delivery);
  run.last_delivery = now;
  if (!run.began) {
    run.began = true;
    run.first_byte = now - run.arrived;
    Observe(run.state->stats, "waxwing_ttft_seconds", *run.first_byte);
    http_response head{run.failure ? run.failure->status : call.head.status,
                       run.state->spoken.answer_headers(call.head.headers), ""};
    if (!co_await BeginStream(run.exchange, std::move(head)))
      co_return false;
  }
  co_return co_await WriteStream(run.exchange, events);
}

asio::awaitable<run_end> RelayStream(forward_run& run,
                                     dispatch& sent,
                                     http_call& call) {
  std::string buffer;
  while (true) {
    const auto more =
        co_await ReadPiece(run.state->pool, call, TimeLeft(run), buffer);
    if (!more)
      co_return EndOfFailure(run, more.error());
    if (!sent.prefilled)
      NotePartsHeld(run, sent);
    MarkPrefilled(*run.state, sent);
    if (!*more)
      break;
    std::string_view rest = buffer;
    std::string events;
    for (auto event = TakeEvent(rest); !event.empty();
         event = TakeEvent(rest)) {
      const auto id = EventId(event);
      if (id && *id <= run.last_event)
        continue;
      if (id)
        run.last_event = *id;
      events += event;
    }
    buffer.erase(0, buffer.size() - rest.size());
    if (buffer.size() > kMaxEventBytes)
      co_return run_end::kBroken;
    if (!events.empty() && !co_await DeliverEvents(run, call, events))
      co_return run_end::kCallerGone;
  }
  if (!buffer.empty() || !run.began)
    co_return run_end::kBroken;
  const bool delivered = co_await EndStream(run.exchange);
  co_return delivered ? run_end::kDone : run_end::kCallerGone;
}

// Finds the answer of this request among what the connection brings.
asio::awaitable<tl::expected<answer_facts, http_error>> FindOwnAnswer(
    forward_run& run,
    http_call& call) {
  for (int skipped = 0; skipped <= kMostSkipped; ++skipped) {
    answer_facts facts = run.state->spoken.read_answer(call.head);
    const bool is_own = facts.request_id == run.request.id ||
                        (facts.request_id.empty() && facts.not_run);
    if (is_own)
      co_return facts;
    Count(run.state->stats, "waxwing_foreign_answers_total");
    LogWarning("foreign_answer",
               {{"request", run.request.id}, {"answer_to", facts.request_id}});
    const auto next = co_await SkipAnswer(run.state->pool, call, TimeLeft(run));
    if (!next)
      co_return tl::unexpected(next.error());
  }
  co_return tl::unexpected(
      http_error{http_failure::kMalformed, true, "only foreign answers"});
}

asio::awaitable<run_end> RunAtTarget(forward_run& run, dispatch& sent) {
  const http_request message = run.state->spoken.write_run(
      run.exchange.request, run.request, MakeOrder(run, sent));
  http_call_options options;
  options.header_timeout = TimeLeft(run);
  options.reuse = MayRepeat(*run.path);
  options.abort = &run.abort;
  ++run.sends;
  auto call = co_await StartCall(run.state->pool, sent.target.record.address,
                                 message, options);
  if (!call) {
    run.runs += call.error().sent ? 1 : 0;
    co_return EndOfFailure(run, call.error());
  }
  const auto facts = co_await FindOwnAnswer(run, *call);
  if (!facts) {
    ++run.runs;
    CancelCall(*call);
    co_return EndOfFailure(run, facts.error());
  }
  MarkHeard(run, sent);
  LearnLoad(*run.state, sent, *facts);
  if (facts->weights_version && IsCurrent(*run.state, sent))
    NoteWeights(*run.state, sent.target.record.id, *facts->weights_version);
  if (facts->not_run) {
    CancelCall(*call);
    // Another target has the address now: the one that was meant is gone.
    if (!facts->target.empty() && facts->target != sent.target.record.id &&
        IsCurrent(*run.state, sent))
      RetireTarget(*run.state, sent.target.record.id);
    co_return run_end::kNotRun;
  }
  ++run.runs;
  run_end end = run_end::kBroken;
  if (IsStream(run) && call->head.status == 200)
    end = co_await RelayStream(run, sent, *call);
  else if (!run.began)
    end = co_await RelayWhole(run, *call);
  if (end != run_end::kDone)
    CancelCall(*call);
  co_return end;
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
  return MayRepeat(*run.path) && run.runs < run.path->max_attempts &&
         SpendRetry(run.state->retries[run.service]);
}

void EarnServiceRetry(forward_run& run) {
  entry_state& state = *run.state;
  const auto vms = static_cast<double>(CountServingVms(state));
  retry_budget& budget = state.retries[run.service];
  budget.share = state.options.bounds.retry_share;
  budget.most = state.options.bounds.retry_allowance / vms;
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
    co_await Refuse(run, 503, "no_target_ran_it", RetryAfter(*run.state));
    co_return;
  }
  co_await Refuse(run, end == run_end::kTimedOut ? 504 : 502, NameOf(end), {});
}

// Callers leave a stream that has not begun after a pause of this kind.
constexpr milliseconds kShortestPatience{2'000};
constexpr int kPatienceInObjectives = 4;
// Kept from the caller's patience for the answer to begin.
constexpr milliseconds kPatienceMargin{400};

waiting_turn MakeTurn(const forward_run& run, const engine_choice& expected) {
  waiting_turn out;
  out.tokens =
      TokensToRead({run.chain.tokens, run.chain.head_tokens, 0, 0}, expected);
  out.rank = run.account.priority.value_or(run.path->priority);
  out.arrived = run.arrived;
  out.in_time_by = run.arrived + run.path->objective;
  const duration patience = std::max<duration>(
      kShortestPatience, run.path->objective * kPatienceInObjectives);
  out.useful_until =
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
  const waiting_turn turn = MakeTurn(run, *expected);
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
           {"window", run.state->queues[run.service].at_engines.window}});
}

}  // namespace

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
