// The leased duty of bringing targets to the weights that operators name.
//
// The lease is taken only while a model is behind its goal, and the VM that
// held it last goes on holding it; both keep calls to the store few. Whoever
// takes it from another VM waits until no order of that VM can still arrive.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/hash.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kPeriod{100};
// Short, since the duty is idle most of the time: the holder renews while it
// gives orders, and a successor waits no longer than it must.
constexpr milliseconds kLeaseTermHere{1'200};
constexpr milliseconds kLeaseRenewalHere{400};
constexpr milliseconds kLeaseMarginHere{400};
constexpr milliseconds kOrderTimeout{400};
constexpr milliseconds kStoreTimeout{600};
// Pause between two looks at a lease that another VM holds, while there is work
// and while there is none.
constexpr milliseconds kLeaseLook{700};
constexpr milliseconds kIdleLook{4'000};
// Candidates that know since when the lease has not changed.
constexpr std::size_t kReadyCandidates = 2;
// Time without progress after which the first candidate takes the duty over,
// and how much later each further one does.
constexpr milliseconds kFirstCandidateWait{800};
constexpr milliseconds kNextCandidateWait{500};
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
  for (const auto& [model, history] : state.goals) {
    if (history.goals.empty() || now < history.goals.back().since + kSteerAhead)
      continue;
    const std::int64_t goal = GoalOf(history);
    std::vector<rollout_target> list;
    std::vector<const target_record*> records;
    for (const auto& [id, target] : state.targets) {
      if (target.record.model != model || target.record.is_draining)
        continue;
      const target_view& view = state.placement.targets[target.index];
      list.push_back({view.name_hash, target.record.weights_version});
      records.push_back(&target.record);
    }
    for (const std::size_t i : ChooseLoads(list, goal))
      out.push_back({records[i]->id, records[i]->address, model, goal});
  }
  return out;
}

asio::awaitable<void> LookAtLease(entry_ptr state) {
  const auto object = co_await state->protocol.get(
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
  const auto put = co_await state->protocol.put(
      state->store, object_kind::kLease, object, kStoreTimeout);
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
  const auto now = co_await state->protocol.fetch_target_state(
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
      goal != state->goals.end() && GoalOf(goal->second) == load.goal;
  if (!is_current || !HoldsLease(state->lease, SuspendAwareNow()))
    co_return;
  weights_order order;
  order.target = load.target;
  order.model = load.model;
  order.version = load.goal;
  order.holder = state->options.vm;
  order.fence = state->lease.record.fence;
  order.precondition = now->orders_accepted;
  order.load_mode = weights_load_mode::kAbort;
  Count(state->stats, "waxwing_weights_orders_total");
  const order_outcome outcome = co_await state->protocol.send_weights_order(
      state->pool, load.address, order, kOrderTimeout);
  LogInfo("weights_ordered", {{"target", load.target},
                              {"version", load.goal},
                              {"from", now->weights_version},
                              {"fence", order.fence},
                              {"running", now->running},
                              {"outcome", static_cast<int>(outcome)}});
}

// This VM's place among those that may take the duty over from its holder.
std::size_t CandidateRank(const entry_state& state) {
  const std::uint64_t duty = Hash64(kDuty);
  const std::uint64_t own = RendezvousWeight(duty, Hash64(state.options.vm));
  std::size_t rank = 0;
  for (const auto& [vm, record] : state.members.state->members.members) {
    const bool is_ahead = vm != state.options.vm &&
                          vm != state.lease.record.holder &&
                          record.data.status == member_status::kAlive &&
                          RendezvousWeight(duty, Hash64(vm)) > own;
    rank += is_ahead ? 1 : 0;
  }
  return rank;
}

bool HeldLast(const entry_state& state) {
  return state.lease.version != 0 &&
         state.lease.record.holder == state.options.vm;
}

// How long this VM leaves a rollout without progress to others.
milliseconds WaitForOthers(const entry_state& state) {
  if (HeldLast(state))
    return milliseconds(0);
  const std::size_t rank = CandidateRank(state);
  if (state.lease.version == 0 && rank == 0)
    return milliseconds(0);
  return kFirstCandidateWait + kNextCandidateWait * static_cast<int>(rank);
}

// Looks at the lease if the last look is older than `period`.
asio::awaitable<void> LookIfDue(entry_ptr state,
                                instant& last_look,
                                milliseconds period) {
  const instant now = std::chrono::steady_clock::now();
  if (now < last_look + period)
    co_return;
  last_look = now;
  co_await LookAtLease(state);
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
    if (loads.empty()) {
      pending_since.reset();
      if (!HeldLast(*state) && CandidateRank(*state) < kReadyCandidates)
        co_await LookIfDue(state, last_look, kIdleLook);
      continue;
    }
    // Progress of whoever holds the lease starts the wait anew.
    if (!pending_since || loads.size() != last_count)
      pending_since = now;
    last_count = loads.size();
    if (now < *pending_since + WaitForOthers(*state))
      continue;
    if (!HoldsLease(state->lease, SuspendAwareNow()))
      co_await LookIfDue(state, last_look, kLeaseLook);
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
