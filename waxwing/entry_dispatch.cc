// Chooses the target of a request, determines what is sent to it, and updates
// the state of the target from the outcome.

#include <algorithm>
#include <utility>

#include "waxwing/entry_run.h"
#include "waxwing/hash.h"
#include "waxwing/log.h"

namespace waxwing {
namespace {

// The deadline sent to a target is earlier than the request's by this time,
// which the response needs to reach the caller.
constexpr milliseconds kResponseTransitTime{5};

// The salt contains the model and the version of its weights, so that entries
// of others never match.
std::string CacheSalt(const forward_run& run,
                      std::string_view model,
                      std::string_view version) {
  return run.cache_group + "-" + ToHex(Hash64(model)) + "-" +
         std::string(version);
}

}  // namespace

void PreparePrompt(forward_run& run) {
  if (run.cache_group_table == run.state->table)
    return;
  run.cache_group_table = run.state->table;
  std::string group = CacheGroup(*run.cache_group_table, run.account);
  if (group == run.cache_group)
    return;
  if (!run.cache_group.empty())
    LogInfo("cache_group_changed", {{"request", run.request.id},
                                    {"account", run.account.name},
                                    {"config", run.cache_group_table->version},
                                    {"before", run.cache_group},
                                    {"group", group}});
  run.cache_group = std::move(group);
  run.cached_segments.clear();
  run.chain =
      ComputeSegmentPrefix({run.cache_group, run.request.model, "", ""},
                           run.request.segments, run.request.prompt_tokens);
}

namespace {

// Returns the cache stores that respond.
std::vector<cache_store_view> UsableStores(const entry_state& state) {
  std::vector<cache_store_view> out;
  for (const auto& [address, store] : state.cache_stores) {
    if (store.is_usable)
      out.push_back({store.index, store.address_hash, store.zone});
  }
  return out;
}

std::span<const cached_segment> SegmentsAt(forward_run& run,
                                           const target_view& view) {
  const served_model* served = FindServedModel(view, run.model);
  const std::string salt = CacheSalt(run, served ? served->name : run.model,
                                     WeightsVersion(view, run.model));
  const auto [entry, is_new] = run.cached_segments.try_emplace(salt);
  if (is_new)
    entry->second = CachedSegments(salt, run.request.segments);
  return entry->second;
}

double BytesPerToken(const forward_run& run) {
  const auto service = run.table->services.find(run.service);
  return service == run.table->services.end() ? 0
                                              : service->second.bytes_per_token;
}

// Returns the time to transfer one token of KV cache within a zone.
duration TransferTimePerToken(const service_info& engine) {
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMegabit = 1e6;
  if (engine.link_mbps <= 0)
    return {};
  return FromSeconds(engine.bytes_per_token * kBitsPerByte /
                     (engine.link_mbps * kBitsPerMegabit));
}

stream_needs StreamNeeds(const forward_run& run) {
  return {run.origin ? &*run.origin : nullptr, run.matched_route->can_resume,
          run.told_build ? &*run.told_build : nullptr};
}

// Sets the model by which targets are chosen. If no target of the service lists
// the one that the request names, which may be an adapter, those with a single
// model may run it.
void UpdateModel(forward_run& run) {
  const auto& targets = run.state->targets;
  const bool is_listed =
      std::any_of(targets.begin(), targets.end(), [&](const auto& entry) {
        const target_record& record = entry.second.record;
        return record.service == run.service &&
               FindModel(record.models, run.request.model);
      });
  run.model = is_listed ? run.request.model : std::string();
}

}  // namespace

std::optional<engine_choice> ChooseEngineFor(forward_run& run,
                                             bool is_last_resort) {
  PreparePrompt(run);
  UpdateModel(run);
  engine_request query;
  query.service = run.service;
  query.model = run.model;
  query.prompt = {run.chain.tokens, run.chain.head_tokens, run.chain.head,
                  run.request.output_tokens};
  query.segments_at = [&run](const target_view& view) {
    return SegmentsAt(run, view);
  };
  const auto service = run.table->services.find(run.service);
  if (service != run.table->services.end())
    query.transfer_time_per_token = TransferTimePerToken(service->second);
  const auto stores = UsableStores(*run.state);
  query.cache_stores = stores;
  query.stream = StreamNeeds(run);
  query.failed_target = run.failed_target;
  query.ignore_backoff = is_last_resort;
  if (SharesLoad(*run.state))
    query.near_equal_share = kNearEqualShare;
  return ChooseEngine(run.state->placement.targets, run.state->caches, query,
                      std::chrono::steady_clock::now());
}

namespace {

std::optional<placement> ChoosePlacement(forward_run& run,
                                         engine_choice& engine,
                                         bool is_last_resort) {
  entry_state& state = *run.state;
  const instant now = std::chrono::steady_clock::now();
  UpdateModel(run);
  if (run.matched_route->has_prompt) {
    const auto chosen = ChooseEngineFor(run, is_last_resort);
    if (!chosen)
      return std::nullopt;
    engine = *chosen;
    return placement{chosen->target,
                     chosen->cached_tokens + chosen->fetched_tokens, now, true};
  }
  const placement_request query{
      &run.chain,        run.service,    "",
      run.failed_target, state.random(), is_last_resort,
      StreamNeeds(run),  run.model};
  return Place(state.placement, query, now);
}

}  // namespace

namespace {

// Notes for the log which weights the target is expected to have.
void NoteWeights(forward_run& run, const dispatch& attempt) {
  run.weights_version = attempt.weights.version;
  run.outdated_for.reset();
  run.time_to_start.reset();
  const auto history = run.state->desired_weights.find(attempt.weights.model);
  if (history == run.state->desired_weights.end())
    return;
  if (const auto since =
          LearnedOutdatedAt(history->second, attempt.weights.version))
    run.outdated_for = SuspendAwareNow() - *since;
}

}  // namespace

std::optional<target_choice> ChooseTarget(forward_run& run) {
  target_choice out;
  auto chosen = ChoosePlacement(run, out.engine, false);
  if (!chosen)
    chosen = ChoosePlacement(run, out.engine, true);
  if (!chosen)
    return std::nullopt;
  out.chosen = *chosen;
  return out;
}

dispatch BeginDispatch(forward_run& run, const target_choice& choice) {
  entry_state& state = *run.state;
  dispatch out;
  out.chosen = choice.chosen;
  out.engine = choice.engine;
  out.has_permit = choice.has_permit;
  target_view& view = state.placement.targets[choice.chosen.target];
  out.target = state.targets.at(view.name);
  if (const model_weights* served =
          FindRequestedModel(out.target.record.models, run.model))
    out.weights = *served;
  out.uncached_tokens = run.chain.tokens -
                        std::min(run.chain.tokens, choice.chosen.cached_tokens);
  out.epoch = view.epoch;
  run.target_id = view.name;
  run.target_build = out.target.record.build;
  run.cached_tokens = choice.chosen.cached_tokens;
  run.target_in_flight = InFlight(view);
  run.target_waiting = view.others_waiting;
  run.target_rate = view.rate.per_second;
  out.started = std::chrono::steady_clock::now();
  run.targets_age = KnowledgeAge(state, object_kind::kTargets);
  if (DependsOnWeights(run, out))
    out.time_to_start =
        TimeToStart(state, out.weights.model, out.weights.version);
  NoteWeights(run, out);
  RecordDispatch(state.placement, out.chosen, out.uncached_tokens);
  RecordSent(view, out.started);
  view.own_cache_tokens += run.chain.tokens + run.request.output_tokens;
  return out;
}

stream_origin OriginAt(const dispatch& attempt) {
  const target_record& record = attempt.target.record;
  return {record.service, record.build, record.id,
          static_cast<std::uint64_t>(record.incarnation)};
}

bool DependsOnWeights(const forward_run& run, const dispatch& attempt) {
  return run.matched_route->has_prompt && attempt.weights.version > 0;
}

bool IsCurrent(const entry_state& state, const dispatch& attempt) {
  return state.placement.targets[attempt.chosen.target].name ==
         attempt.target.record.id;
}

void ReleaseWindowTokens(forward_run& run,
                         std::optional<duration> time_to_first_byte) {
  if (run.window_tokens <= 0)
    return;
  prefill_window& flow_control =
      run.state->dispatch_queues[run.service].flow_control;
  if (time_to_first_byte)
    RecordFirstByte(flow_control, run.window_tokens, *time_to_first_byte,
                    run.matched_route->latency_objective,
                    std::chrono::steady_clock::now());
  else
    RecordPrefillEnded(flow_control, run.window_tokens);
  run.window_tokens = 0;
  DispatchQueuedRequests(*run.state, run.service);
}

void MarkResponding(forward_run& run, dispatch& attempt) {
  entry_state& state = *run.state;
  if (attempt.has_response)
    return;
  attempt.has_response = true;
  run.time_to_start = std::chrono::steady_clock::now() - attempt.started;
  if (run.outdated_for)
    Observe(state.stats, "waxwing_outdated_start_seconds",
            *run.outdated_for + *run.time_to_start);
  ReleaseWindowTokens(run, *run.time_to_start);
  RecordContact(state.placement.targets[attempt.chosen.target],
                std::chrono::steady_clock::now());
}

void UpdateTargetLoad(entry_state& state,
                      const dispatch& attempt,
                      const response_info& facts) {
  if (!IsCurrent(state, attempt) || !facts.current_load)
    return;
  target_view& view = state.placement.targets[attempt.chosen.target];
  const response_info::load& load = *facts.current_load;
  RecordLoad(view,
             {load.running + load.waiting, load.waiting,
              load.slowdown.value_or(0), std::chrono::steady_clock::now()});
  view.has_load_news = true;
  if (load.slowdown && !std::exchange(state.states_slowdown, true))
    LogInfo("slowdown_stated",
            {{"target", view.name}, {"slowdown", *load.slowdown}});
}

void MarkPrefilled(entry_state& state, dispatch& attempt) {
  if (attempt.is_prefilled)
    return;
  attempt.is_prefilled = true;
  RecordPrefilled(state.placement, attempt.chosen, attempt.uncached_tokens);
}

void RecordCachedSegments(forward_run& run, const dispatch& attempt) {
  entry_state& state = *run.state;
  const target_view& view = state.placement.targets[attempt.chosen.target];
  if (!IsCurrent(state, attempt) || view.epoch != attempt.epoch)
    return;
  for (const cached_segment& segment : SegmentsAt(run, view))
    RecordCached(state.caches, segment.key, attempt.chosen.target,
                 attempt.epoch, segment.tokens);
}

void FinishDispatch(forward_run& run,
                    dispatch& attempt,
                    forward_outcome outcome) {
  entry_state& state = *run.state;
  const instant now = std::chrono::steady_clock::now();
  MarkPrefilled(state, attempt);
  ReleaseWindowTokens(run, std::nullopt);
  RecordFinished(state.placement, attempt.chosen);
  target_view& view = state.placement.targets[attempt.chosen.target];
  view.own_cache_tokens =
      std::max(0.0, view.own_cache_tokens - run.chain.tokens -
                        run.request.output_tokens);
  const bool was_unresponsive =
      !attempt.has_response && IsUnresponsive(view, now);
  const bool was_aborted = outcome == forward_outcome::kCallerGone ||
                           outcome == forward_outcome::kWithdrawn;
  if (!attempt.has_response)
    RecordUnanswered(view);
  if (!IsCurrent(state, attempt))
    return;
  if (outcome == forward_outcome::kDone || outcome == forward_outcome::kFailed)
    RecordResponse(view, outcome == forward_outcome::kFailed, attempt.started,
                   now);
  if (outcome == forward_outcome::kDone) {
    RecordSuccess(view, now - attempt.started);
  } else if (outcome == forward_outcome::kFailed) {
    // The target is working; errors that it returns count in its error rate.
    ClearFailures(view);
  } else if ((!was_aborted || was_unresponsive) &&
             !IsLoadPending(view, run.model) && !IsPaused(view, now)) {
    RecordFailure(view, attempt.started, now);
  }
}

namespace {

// Sets where the target fetches the shared segments that it has not cached, and
// whether it saves them to the cache store.
void AddCacheTransfers(forward_run& run,
                       const dispatch& attempt,
                       attempt_parameters& out) {
  entry_state& state = *run.state;
  const auto source = attempt.engine.source;
  if (source && !IsCacheStore(*source))
    out.cache_source = state.placement.targets[*source].address;
  const auto found =
      std::find_if(state.cache_stores.begin(), state.cache_stores.end(),
                   [&](const auto& entry) {
                     return entry.second.index == attempt.engine.store;
                   });
  if (found == state.cache_stores.end() || run.chain.head_tokens == 0)
    return;
  auto& [address, store] = *found;
  const instant now = std::chrono::steady_clock::now();
  SetLinkRate(store.saves, store.link_mbps, state.caller_load.total_listed,
              now);
  if (source && IsCacheStore(*source)) {
    out.cache_source = address;
    RecordFetch(store.saves,
                BytesPerToken(run) * attempt.engine.fetched_tokens);
  }
  const target_view& view = state.placement.targets[attempt.chosen.target];
  const std::uint32_t stored =
      CachedPrefixTokens(state.caches, SegmentsAt(run, view), store.index, 0);
  if (stored >= run.chain.head_tokens ||
      !IsWorthSaving(run.chain.head_tokens, run.chain.tokens))
    return;
  const std::uint64_t save_key =
      CombineHashes(run.chain.head, Hash64(WeightsVersion(view, run.model)));
  const double bytes = BytesPerToken(run) * (run.chain.tokens - stored);
  if (TryStartSave(store.saves, save_key, bytes, now))
    out.cache_store = address;
}

}  // namespace

attempt_parameters MakeRunOrder(forward_run& run, const dispatch& attempt) {
  attempt_parameters out;
  out.target = attempt.target.record.id;
  out.account = run.account.name;
  out.time_left =
      std::max(milliseconds(1), TimeLeft(run) - kResponseTransitTime);
  // A request that must not be repeated is sent with the limit as its deadline:
  // the target then states that it has not run it.
  if (attempt.time_to_start && !MayRepeat(*run.matched_route))
    out.time_left = std::clamp(
        std::chrono::duration_cast<milliseconds>(*attempt.time_to_start),
        milliseconds(1), out.time_left);
  if (run.matched_route->has_prompt) {
    PreparePrompt(run);
    out.priority = RequestPriority(*run.table, *run.matched_route, run.account);
    const model_weights& weights = attempt.weights;
    out.cache_salt =
        CacheSalt(run, weights.model.empty() ? run.model : weights.model,
                  std::to_string(weights.version));
    // Without a version, a cached segment could belong to any weights.
    if (weights.version > 0) {
      out.weights_version = weights.version;
      AddCacheTransfers(run, attempt, out);
    }
  }
  out.resume_after = run.request.resume_after;
  if (run.stream_started)
    out.resume_after = run.last_event_id;
  run.cache_source = out.cache_source ? ToText(*out.cache_source) : "";
  return out;
}

}  // namespace waxwing
