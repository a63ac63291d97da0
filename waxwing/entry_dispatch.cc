// Which target a request goes to, what the target is told, and what is learned
// from how it went.

#include <algorithm>

#include "waxwing/entry_run.h"
#include "waxwing/hash.h"

namespace waxwing {
namespace {

// A target is told slightly less than what is left, for the way back.
constexpr milliseconds kReturnTime{5};

// Accounts that are not isolated share cache entries.
std::string CacheOwner(const forward_run& run) {
  return run.account.is_isolated ? "a-" + run.account.name : "shared";
}

// Entries made under other weights never match.
std::string CacheSalt(const forward_run& run, std::string_view weights) {
  return CacheOwner(run) + "-" + std::string(weights);
}

}  // namespace

void PreparePrompt(forward_run& run) {
  const std::string owner = CacheOwner(run);
  run.chain =
      ComputeSegmentPrefix({owner, run.request.model, "", ""},
                           run.request.parts, run.request.prompt_tokens);
}

namespace {

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

std::span<const cached_segment> PartsAt(forward_run& run,
                                        const target_view& view) {
  const auto found = run.parts.find(view.version);
  if (found != run.parts.end())
    return found->second;
  auto& made = run.parts[view.version];
  made = CachedSegments(CacheSalt(run, view.version), run.request.parts);
  return made;
}

// Time in which one token of KV cache moves within a zone.
duration MovePerToken(const service_info& engine) {
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMegabit = 1e6;
  if (engine.link_mbps <= 0)
    return {};
  return FromSeconds(engine.bytes_per_token * kBitsPerByte /
                     (engine.link_mbps * kBitsPerMegabit));
}

}  // namespace

std::optional<engine_choice> ChooseEngineFor(forward_run& run,
                                             bool is_last_resort) {
  engine_request wanted;
  wanted.service = run.service;
  wanted.prompt = {run.chain.tokens, run.chain.head_tokens, run.chain.head,
                   run.request.output_tokens};
  wanted.segments_at = [&run](const target_view& view) {
    return PartsAt(run, view);
  };
  const auto service = run.table->services.find(run.service);
  if (service != run.table->services.end())
    wanted.transfer_time_per_token = MovePerToken(service->second);
  wanted.has_cache_store = run.state->is_store_usable;
  wanted.failed_target = run.avoid;
  wanted.ignore_backoff = is_last_resort;
  return ChooseEngine(run.state->placement.targets, run.state->caches, wanted,
                      std::chrono::steady_clock::now());
}

namespace {

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
    return placement{chosen->target,
                     chosen->cached_tokens + chosen->fetched_tokens, now, true};
  }
  const placement_request wanted{&run.chain, run.service,    "",
                                 run.avoid,  state.random(), is_last_resort};
  return Place(state.placement, wanted, now);
}

}  // namespace

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
  RecordDispatch(state.placement, out.chosen, out.missed);
  RecordSent(view, out.started);
  view.own_cache_tokens += run.chain.tokens + run.request.output_tokens;
  return out;
}

bool IsCurrent(const entry_state& state, const dispatch& sent) {
  return state.placement.targets[sent.chosen.target].name ==
         sent.target.record.id;
}

void EndPacedWork(forward_run& run, std::optional<duration> first_byte) {
  if (run.paced_tokens <= 0)
    return;
  prefill_window& at_engines = run.state->queues[run.service].at_engines;
  if (first_byte)
    RecordFirstByte(at_engines, run.paced_tokens, *first_byte,
                    run.path->objective, std::chrono::steady_clock::now());
  else
    RecordPrefillEnded(at_engines, run.paced_tokens);
  run.paced_tokens = 0;
  GrantTurns(*run.state, run.service);
}

void MarkHeard(forward_run& run, dispatch& sent) {
  entry_state& state = *run.state;
  if (sent.heard)
    return;
  sent.heard = true;
  EndPacedWork(run, std::chrono::steady_clock::now() - sent.started);
  RecordContact(state.placement.targets[sent.chosen.target],
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
  view.others_waiting =
      std::max(0, facts.now->waiting - view.awaiting_response);
}

void MarkPrefilled(entry_state& state, dispatch& sent) {
  if (sent.prefilled)
    return;
  sent.prefilled = true;
  RecordPrefilled(state.placement, sent.chosen, sent.missed);
}

void NotePartsHeld(forward_run& run, const dispatch& sent) {
  entry_state& state = *run.state;
  const target_view& view = state.placement.targets[sent.chosen.target];
  if (!IsCurrent(state, sent) || view.epoch != sent.epoch)
    return;
  for (const cached_segment& part : PartsAt(run, view))
    RecordCached(state.caches, part.key, sent.chosen.target, sent.epoch,
                 part.tokens);
}

void FinishDispatch(forward_run& run, dispatch& sent, run_end end) {
  entry_state& state = *run.state;
  const instant now = std::chrono::steady_clock::now();
  MarkPrefilled(state, sent);
  EndPacedWork(run, std::nullopt);
  RecordFinished(state.placement, sent.chosen);
  target_view& view = state.placement.targets[sent.chosen.target];
  view.own_cache_tokens =
      std::max(0.0, view.own_cache_tokens - run.chain.tokens -
                        run.request.output_tokens);
  const bool was_silent = !sent.heard && IsUnresponsive(view, now);
  if (!sent.heard)
    RecordUnanswered(view);
  if (!IsCurrent(state, sent))
    return;
  if (end == run_end::kDone || end == run_end::kFailed)
    RecordResponse(view, end == run_end::kFailed);
  if (end == run_end::kDone) {
    RecordSuccess(view, now - sent.started);
  } else if (end == run_end::kFailed) {
    // The target works; its own failures count in its error rate.
    ClearFailures(view);
  } else if ((end != run_end::kCallerGone || was_silent) &&
             !view.is_load_pending) {
    RecordFailure(view, sent.started, now);
  }
}

namespace {

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
      CachedPrefixTokens(state.caches, PartsAt(run, view), kCacheStore, 0);
  if (stored >= run.chain.head_tokens)
    return;
  const std::uint64_t saved_as = MixHash(run.chain.head, Hash64(view.version));
  if (TryStartSave(run.state->saved, saved_as,
                   std::chrono::steady_clock::now()))
    out.cache_store = store->cache_store;
}

}  // namespace

run_order MakeOrder(forward_run& run, const dispatch& sent) {
  run_order out;
  out.target = sent.target.record.id;
  out.account = run.account.name;
  out.time_left = std::max(milliseconds(1), TimeLeft(run) - kReturnTime);
  if (run.path->has_prompt) {
    out.priority = run.account.priority.value_or(run.path->priority);
    const std::int64_t weights = sent.target.record.weights_version;
    out.cache_salt = CacheSalt(run, std::to_string(weights));
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

}  // namespace waxwing
