// The leased duty of bringing targets to the weights that operators name.
//
// The lease is taken only while a model is behind its goal, and the VM that
// held it last goes on holding it; both keep calls to the store few. Whoever
// takes it from another VM waits until no order of that VM can still arrive.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kPeriod{100};
constexpr milliseconds kLeaseTermHere{2'000};
constexpr milliseconds kLeaseRenewalHere{700};
constexpr milliseconds kLeaseMarginHere{400};
constexpr milliseconds kOrderTimeout{400};
constexpr milliseconds kStoreTimeout{600};
// Pause between two looks at a lease that another VM holds.
constexpr milliseconds kLeaseLook{1'500};
// A VM that is not the first choice looks at the lease only when a rollout has
// made no progress for this long.
constexpr milliseconds kOthersWait{2'500};
// Time in which the other VMs learn of new weights and steer work away from
// the targets that load first.
constexpr milliseconds kSteerAhead{500};
constexpr std::string_view kLeaseName = "weights";
constexpr std::string_view kDuty = "weights";

lease_terms TermsOf(const entry_state& state) {
  return {kLeaseTermHere, kLeaseRenewalHere, kLeaseMarginHere,
          kLeaseTermHere + state.options.bounds.order_turn + kOrderTimeout};
}

struct pending_load {
  std::string target;
  endpoint address;
  std::string model;
  std::int64_t goal = 0;
};

// The targets that should load now, over all models.
std::vector<pending_load> FindPendingLoads(const entry_state& state,
                                           instant now) {
  std::vector<pending_load> out;
  for (const auto& [model, goal] : state.goals) {
    if (now < goal.since + kSteerAhead)
      continue;
    std::vector<rollout_target> list;
    std::vector<const target_record*> records;
    for (const auto& [id, target] : state.targets) {
      if (target.record.model != model || target.record.is_leaving)
        continue;
      const target_view& view = state.placement.targets[target.index];
      list.push_back({view.name_hash, target.record.weights_version});
      records.push_back(&target.record);
    }
    for (const std::size_t i : ChooseLoads(list, goal.version))
      out.push_back({records[i]->id, records[i]->address, model, goal.version});
  }
  return out;
}

asio::awaitable<void> LookAtLease(entry_ptr state) {
  const auto object = co_await state->spoken.get(
      state->store, object_kind::kLease, std::string(kLeaseName));
  if (!object) {
    if (object.error().failure == store_failure::kAbsent)
      state->lease.version = 0;
    co_return;
  }
  const auto record = ReadLease(object->spec);
  if (!record) {
    LogError("lease_unreadable", {{"error", ToText(record.error())}});
    co_return;
  }
  ObserveLease(state->lease, *record, object->revision, SuspendAwareNow(), {});
}

// Takes or renews the lease if it is time to.
asio::awaitable<void> AdvanceLease(entry_ptr state) {
  state->lease.terms = TermsOf(*state);
  const lease_action action = NextAction(state->lease, SuspendAwareNow());
  if (action == lease_action::kWait)
    co_return;
  const lease_record next = NextRecord(state->lease, action);
  const instant sent = SuspendAwareNow();
  const stored_object object{std::string(kLeaseName), state->lease.version,
                             WriteLease(next)};
  const auto put = co_await state->spoken.put(state->store, object_kind::kLease,
                                              object, kStoreTimeout);
  if (put) {
    ObserveLease(state->lease, next, *put, SuspendAwareNow(), sent);
    if (action == lease_action::kTake)
      LogInfo("lease_taken", {{"fence", next.fence}, {"revision", *put}});
    co_return;
  }
  if (put.error().failure == store_failure::kConflict ||
      put.error().failure == store_failure::kAbsent)
    co_await LookAtLease(state);
}

// Asks the target for its state and orders the load that it lacks.
asio::awaitable<void> LoadTarget(entry_ptr state, pending_load load) {
  rollout_progress& progress = state->rollouts[load.model];
  progress.orders[load.target] = {load.goal, std::chrono::steady_clock::now()};
  const auto now = co_await state->spoken.read_target(
      state->pool, load.address, load.target, load.model, kOrderTimeout);
  if (!now) {
    LogInfo("target_state_unknown",
            {{"target", load.target}, {"error", now.error().detail}});
    co_return;
  }
  if (now->weights_version >= load.goal || now->is_busy)
    co_return;
  const auto goal = state->goals.find(load.model);
  const bool is_current =
      goal != state->goals.end() && goal->second.version == load.goal;
  if (!is_current || !HoldsLease(state->lease, SuspendAwareNow()))
    co_return;
  weights_order order;
  order.target = load.target;
  order.model = load.model;
  order.version = load.goal;
  order.holder = state->options.vm;
  order.fence = state->lease.record.fence;
  order.precondition = now->orders_accepted;
  order.runs = runs_at_load::kBreak;
  Count(state->stats, "waxwing_weights_orders_total");
  const order_outcome outcome = co_await state->spoken.send_order(
      state->pool, load.address, order, kOrderTimeout);
  LogInfo("weights_ordered", {{"target", load.target},
                              {"version", load.goal},
                              {"from", now->weights_version},
                              {"fence", order.fence},
                              {"running", now->running},
                              {"outcome", static_cast<int>(outcome)}});
}

// True if this VM should look after the lease now.
bool IsCandidate(const entry_state& state, instant pending_since, instant now) {
  const bool held_last =
      state.lease.version != 0 && state.lease.record.holder == state.options.vm;
  if (held_last)
    return true;
  const bool is_first =
      state.lease.version == 0 && ChooseForDuty(state.members.state->members,
                                                kDuty, "") == state.options.vm;
  return is_first || now >= pending_since + kOthersWait;
}

}  // namespace

asio::awaitable<void> KeepWeights(entry_ptr state) {
  std::optional<instant> pending_since;
  std::size_t last_count = 0;
  instant last_look{};
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kPeriod);
    const instant now = std::chrono::steady_clock::now();
    const auto loads = FindPendingLoads(*state, now);
    if (loads.empty() || state->is_draining) {
      pending_since.reset();
      continue;
    }
    // Progress of whoever holds the lease starts the wait anew.
    if (!pending_since || loads.size() != last_count)
      pending_since = now;
    last_count = loads.size();
    if (!IsCandidate(*state, *pending_since, now))
      continue;
    const bool is_own = HoldsLease(state->lease, SuspendAwareNow());
    if (!is_own && now >= last_look + kLeaseLook) {
      last_look = now;
      co_await LookAtLease(state);
    }
    co_await AdvanceLease(state);
    if (!HoldsLease(state->lease, SuspendAwareNow()))
      continue;
    for (const pending_load& load : loads) {
      if (IsOrderDue(state->rollouts[load.model], load.target, load.goal, now))
        asio::co_spawn(state->executor, LoadTarget(state, load),
                       asio::detached);
    }
  }
}

}  // namespace waxwing
