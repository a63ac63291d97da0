// The leased role of bringing targets to the weights that operators announce.
//
// The lease is taken only while targets of a model lack the desired weights,
// and its last holder may take it again first; both keep calls to the store
// few. A VM that takes it over from another one waits until no order of that VM
// can still arrive.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/hash.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kRolloutPeriod{100};
// The term is short, since the role is idle most of the time: the holder renews
// the lease only while it sends orders, and a successor has to wait no longer
// than needed.
constexpr milliseconds kRolloutLeaseTerm{1'200};
constexpr milliseconds kRolloutLeaseRenewal{400};
constexpr milliseconds kRolloutLeaseMargin{400};
constexpr milliseconds kOrderTimeout{400};
constexpr milliseconds kStoreTimeout{600};
// Time until the lease is written again after the store has not taken it.
constexpr milliseconds kLeaseRetryPause{300};
// Time between two reads of a lease that another VM holds, while targets need
// to load weights and while none does.
constexpr milliseconds kLeasePollPeriod{700};
constexpr milliseconds kIdleLeasePollPeriod{4'000};
// Candidates that read the lease while the role is idle, so that they know
// since when it has not changed.
constexpr std::size_t kReadyCandidates = 2;
// Time without progress after which the first candidate takes over the role,
// and the additional time for each further candidate.
constexpr milliseconds kFirstCandidateWait{800};
constexpr milliseconds kNextCandidateWait{500};
constexpr std::string_view kLeaseName = "weights";
constexpr std::string_view kRole = "weights";

struct pending_load {
  std::string target;
  endpoint address;
  std::string model;
  std::int64_t desired_version = 0;
};

// Returns the targets of all models that should load weights now.
std::vector<pending_load> FindPendingLoads(const entry_state& state,
                                           instant now) {
  std::vector<pending_load> out;
  for (const auto& [model, history] : state.desired_weights) {
    const std::int64_t desired_version = DesiredVersion(history);
    std::vector<rollout_target> list;
    std::vector<const target_record*> records;
    for (const auto& [id, target] : state.targets) {
      const model_weights* served = FindModel(target.record.models, model);
      if (!served || target.record.is_draining)
        continue;
      const target_view& view = state.placement.targets[target.index];
      list.push_back({view.name_hash, served->version});
      records.push_back(&target.record);
    }
    for (const std::size_t i : ChooseTargetsToLoad(list, desired_version)) {
      if (IsLeadTimeOver(history, list[i].version, now))
        out.push_back(
            {records[i]->id, records[i]->address, model, desired_version});
    }
  }
  return out;
}

// Returns the loads to order now. A target loads the weights of one model at a
// time; the one that was ordered longest ago comes first.
std::vector<pending_load> ChooseDueLoads(const entry_state& state,
                                         std::span<const pending_load> loads,
                                         instant now) {
  struct candidate {
    const pending_load* load = nullptr;
    instant ordered_at;
    bool is_busy = false;
  };
  std::map<std::string_view, candidate> by_target;
  for (const pending_load& load : loads) {
    candidate& best = by_target[load.target];
    const auto progress = state.rollouts.find(load.model);
    const bool is_due =
        progress == state.rollouts.end() ||
        IsOrderDue(progress->second, load.target, load.desired_version, now);
    best.is_busy = best.is_busy || !is_due;
    const instant ordered_at = progress == state.rollouts.end()
                                   ? instant::min()
                                   : LastOrderAt(progress->second, load.target);
    if (!best.load || ordered_at < best.ordered_at) {
      best.load = &load;
      best.ordered_at = ordered_at;
    }
  }
  std::vector<pending_load> out;
  for (const auto& [target, chosen] : by_target) {
    if (!chosen.is_busy)
      out.push_back(*chosen.load);
  }
  return out;
}

asio::awaitable<void> RefreshLease(entry_ptr state) {
  const auto object = co_await state->protocol.get(
      state->store, object_kind::kLease, std::string(kLeaseName));
  if (!ObserveEra(*state, object))
    co_return;
  if (!object) {
    if (object.error().failure == store_failure::kAbsent)
      state->lease.version = 0;
    co_return;
  }
  const auto record = ReadLease(object->object.spec);
  if (!record) {
    LogError("lease_unreadable", {{"revision", object->object.revision},
                                  {"error", ToText(record.error())}});
    ObserveUnreadableLease(state->lease, object->object.revision,
                           SuspendAwareNow());
    co_return;
  }
  ObserveLease(state->lease, *record, object->object.revision,
               SuspendAwareNow(), {});
}

// Takes or renews the lease if that is due. Returns false if the store has not
// responded to the write as it should.
asio::awaitable<bool> AdvanceLease(entry_ptr state) {
  state->lease.timing = RolloutLeaseTiming(*state);
  const lease_action action = NextLeaseAction(state->lease, SuspendAwareNow());
  if (action == lease_action::kWait)
    co_return true;
  const lease_record next = NextLeaseRecord(state->lease, action);
  const instant sent = SuspendAwareNow();
  const std::uint64_t era = state->store_era;
  const stored_object object{std::string(kLeaseName), state->lease.version,
                             WriteLease(next)};
  const auto put = co_await state->protocol.put(
      state->store, object_kind::kLease, object, kStoreTimeout);
  // A record of an earlier era is void, whether the store has it or not.
  if (!ObserveEra(*state, put) || state->store_era != era)
    co_return false;
  if (put) {
    ObserveLease(state->lease, next, put->revision, SuspendAwareNow(),
                 lease_put{next, sent});
    if (action == lease_action::kAcquire)
      LogInfo("lease_taken", {{"fence", next.fencing_token},
                              {"revision", put->revision},
                              {"era", era}});
    co_return true;
  }
  if (put.error().failure != store_failure::kConflict &&
      put.error().failure != store_failure::kAbsent)
    co_return false;
  co_await RefreshLease(state);
  co_return true;
}

// Reads the state of a target and orders it to load the desired weights if it
// lacks them.
asio::awaitable<void> LoadTarget(entry_ptr state, pending_load load) {
  rollout_progress& progress = state->rollouts[load.model];
  progress.orders[load.target] = {load.desired_version,
                                  std::chrono::steady_clock::now()};
  const auto current = co_await state->protocol.fetch_target_state(
      state->pool, load.address, load.target, kOrderTimeout);
  if (!current) {
    LogInfo("target_state_unknown",
            {{"target", load.target}, {"error", current.error().detail}});
    co_return;
  }
  const model_weights* served = FindModel(current->models, load.model);
  if (!served) {
    LogInfo("model_not_served",
            {{"target", load.target}, {"model", load.model}});
    co_return;
  }
  if (served->version >= load.desired_version || current->is_busy)
    co_return;
  const auto desired = state->desired_weights.find(load.model);
  const bool is_current =
      desired != state->desired_weights.end() &&
      DesiredVersion(desired->second) == load.desired_version;
  if (!is_current || !HoldsLease(state->lease, SuspendAwareNow()))
    co_return;
  weights_order order;
  order.target = load.target;
  order.model = load.model;
  order.version = load.desired_version;
  order.holder = state->options.vm;
  order.fence = state->lease.record.fencing_token;
  order.precondition = current->orders_accepted;
  const auto target = state->targets.find(load.target);
  if (target == state->targets.end())
    co_return;
  order.load_mode = LetsRunsFinish(*state->table, target->second.record.service)
                        ? weights_load_mode::kDrain
                        : weights_load_mode::kAbort;
  Count(state->stats, "waxwing_weights_orders_total");
  const order_outcome outcome = co_await state->protocol.send_weights_order(
      state->pool, load.address, order, kOrderTimeout);
  LogInfo("weights_ordered",
          {{"target", load.target},
           {"model", load.model},
           {"version", load.desired_version},
           {"from", served->version},
           {"fence", order.fence},
           {"running", current->running},
           {"finish", order.load_mode == weights_load_mode::kDrain},
           {"outcome", static_cast<int>(outcome)}});
}

// Returns the rank of this VM among those that may take over the role from its
// holder.
std::size_t CandidateRank(const entry_state& state) {
  const std::uint64_t role = Hash64(kRole);
  const std::uint64_t own_weight =
      RendezvousWeight(role, Hash64(state.options.vm));
  std::size_t rank = 0;
  for (const auto& [vm, record] :
       state.membership_agent.state->members.members) {
    const bool is_ahead = vm != state.options.vm &&
                          vm != state.lease.record.holder &&
                          record.data.status == member_status::kAlive &&
                          RendezvousWeight(role, Hash64(vm)) > own_weight;
    rank += is_ahead ? 1 : 0;
  }
  return rank;
}

bool WasLastHolder(const entry_state& state) {
  return state.lease.version != 0 &&
         state.lease.record.holder == state.options.vm;
}

// Returns how long this VM leaves a rollout without progress to the other VMs.
milliseconds TakeoverDelay(const entry_state& state) {
  if (WasLastHolder(state))
    return milliseconds(0);
  const std::size_t rank = CandidateRank(state);
  if (state.lease.version == 0 && rank == 0)
    return milliseconds(0);
  return kFirstCandidateWait + kNextCandidateWait * static_cast<int>(rank);
}

// Reads the lease if the last read is older than `period`.
asio::awaitable<void> RefreshLeaseIfDue(entry_ptr state,
                                        instant& last_refresh,
                                        milliseconds period) {
  const instant now = std::chrono::steady_clock::now();
  if (now < last_refresh + period)
    co_return;
  last_refresh = now;
  co_await RefreshLease(state);
}

}  // namespace

lease_timing RolloutLeaseTiming(const entry_state& state) {
  return {
      kRolloutLeaseTerm, kRolloutLeaseRenewal, kRolloutLeaseMargin,
      kRolloutLeaseTerm + state.options.bounds.order_handover + kOrderTimeout};
}

asio::awaitable<void> RunRollout(entry_ptr state) {
  std::optional<instant> pending_since;
  std::size_t last_count = 0;
  instant last_refresh{};
  instant write_after{};
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kRolloutPeriod);
    const instant now = std::chrono::steady_clock::now();
    const auto loads = FindPendingLoads(*state, SuspendAwareNow());
    if (loads.empty()) {
      pending_since.reset();
      if (!WasLastHolder(*state) && CandidateRank(*state) < kReadyCandidates)
        co_await RefreshLeaseIfDue(state, last_refresh, kIdleLeasePollPeriod);
      continue;
    }
    // Progress by the holder of the lease restarts the delay.
    if (!pending_since || loads.size() != last_count)
      pending_since = now;
    last_count = loads.size();
    if (now < *pending_since + TakeoverDelay(*state))
      continue;
    if (!HoldsLease(state->lease, SuspendAwareNow()))
      co_await RefreshLeaseIfDue(state, last_refresh, kLeasePollPeriod);
    if (now >= write_after && !co_await AdvanceLease(state))
      write_after = std::chrono::steady_clock::now() + kLeaseRetryPause;
    if (!HoldsLease(state->lease, SuspendAwareNow()))
      continue;
    for (const pending_load& load : ChooseDueLoads(*state, loads, now))
      asio::co_spawn(state->executor, LoadTarget(state, load), asio::detached);
  }
}

}  // namespace waxwing
