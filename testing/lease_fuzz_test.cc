// Stateful fuzzing of the lease: agents that pause, restart or can't reach the
// store, a store whose responses are lost, and an engine that honours fencing
// tokens.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "waxwing/lease.h"

namespace waxwing {
namespace {

constexpr int kAgents = 3;

enum class op_kind {
  kStep,              // the agent performs NextLeaseAction()
  kLosePutResponse,   // the same, but the response to a put is lost
  kStoreUnreachable,  // the same, but the store can't be reached
  kSendOrder,         // sends an order if it holds the lease
  kCheckLease,        // checks the lease for an order sent later
  kSendDelayedOrder,  // sends the order of an earlier kCheckLease
  kRestart,
};

struct op {
  op_kind kind;
  int agent;
  int advance_ms;
};

void showValue(const op& o, std::ostream& out) {
  out << "{" << static_cast<int>(o.kind) << "," << o.agent << ","
      << o.advance_ms << "}";
}

struct agent_model {
  lease_view view;
  std::uint64_t delayed_fencing_token = 0;
};

struct simulation {
  instant now{};
  lease_record stored;
  std::uint64_t version = 0;
  std::vector<agent_model> agents;
  std::uint64_t engine_fencing_token = 0;
  // Fencing tokens of the orders that the engine accepted, in sequence.
  std::vector<std::uint64_t> accepted_fencing_tokens;
};

void ObserveStored(simulation& sim,
                   agent_model& a,
                   const std::optional<lease_put>& put) {
  ObserveLease(a.view, sim.stored, sim.version, sim.now, put);
}

void Step(simulation& sim, agent_model& a, op_kind kind) {
  if (kind == op_kind::kStoreUnreachable)
    return;
  const lease_action action = NextLeaseAction(a.view, sim.now);
  if (action == lease_action::kWait) {
    if (!HoldsLease(a.view, sim.now))
      ObserveStored(sim, a, std::nullopt);
    return;
  }
  const instant sent = sim.now;
  const lease_record next = NextLeaseRecord(a.view, action);
  const bool is_applied = a.view.version == sim.version;
  if (is_applied) {
    sim.stored = next;
    ++sim.version;
  }
  if (is_applied && kind != op_kind::kLosePutResponse)
    ObserveLease(a.view, next, sim.version, sim.now, lease_put{next, sent});
  else
    ObserveStored(sim, a, lease_put{next, sent});
}

void SendOrder(simulation& sim, std::uint64_t fencing_token) {
  if (fencing_token < sim.engine_fencing_token)
    return;
  sim.engine_fencing_token = fencing_token;
  sim.accepted_fencing_tokens.push_back(fencing_token);
}

void Restart(agent_model& a, int index, simulation& sim) {
  a = agent_model();
  a.view.self = "agent-" + std::to_string(index);
  a.view.incarnation = sim.version * 10 + static_cast<std::uint64_t>(index) + 1;
}

void Apply(simulation& sim, const op& o) {
  sim.now += milliseconds(o.advance_ms);
  agent_model& a = sim.agents[static_cast<std::size_t>(o.agent)];
  switch (o.kind) {
    case op_kind::kStep:
    case op_kind::kLosePutResponse:
    case op_kind::kStoreUnreachable:
      Step(sim, a, o.kind);
      break;
    case op_kind::kSendOrder:
      if (HoldsLease(a.view, sim.now))
        SendOrder(sim, a.view.record.fencing_token);
      break;
    case op_kind::kCheckLease:
      a.delayed_fencing_token =
          HoldsLease(a.view, sim.now) ? a.view.record.fencing_token : 0;
      break;
    case op_kind::kSendDelayedOrder:
      if (a.delayed_fencing_token != 0)
        SendOrder(sim, a.delayed_fencing_token);
      a.delayed_fencing_token = 0;
      break;
    case op_kind::kRestart:
      Restart(a, o.agent, sim);
      break;
  }
}

RC_GTEST_PROP(LeaseFuzz, AtMostOneHolderAndFencingTokensNeverDecrease, ()) {
  const auto ops = *rc::gen::container<std::vector<op>>(
      150, rc::gen::construct<op>(
               rc::gen::map(rc::gen::element(0, 0, 0, 1, 2, 3, 4, 5, 6),
                            [](int k) { return static_cast<op_kind>(k); }),
               rc::gen::inRange(0, kAgents),
               rc::gen::element(0, 50, 400, 1'600, 6'500)));
  simulation sim;
  sim.agents.resize(kAgents);
  for (int i = 0; i < kAgents; ++i)
    Restart(sim.agents[static_cast<std::size_t>(i)], i, sim);
  std::uint64_t last_fencing_token = 0;
  for (const op& o : ops) {
    Apply(sim, o);
    int holders = 0;
    for (const agent_model& a : sim.agents)
      holders += HoldsLease(a.view, sim.now);
    RC_ASSERT(holders <= 1);
    RC_ASSERT(sim.stored.fencing_token >= last_fencing_token);
    last_fencing_token = sim.stored.fencing_token;
  }
  for (std::size_t i = 1; i < sim.accepted_fencing_tokens.size(); ++i)
    RC_ASSERT(sim.accepted_fencing_tokens[i] >=
              sim.accepted_fencing_tokens[i - 1]);
}

TEST(Lease, UnresponsiveHolderIsReplacedUnderNextFencingToken) {
  simulation sim;
  sim.agents.resize(kAgents);
  for (int i = 0; i < kAgents; ++i)
    Restart(sim.agents[static_cast<std::size_t>(i)], i, sim);
  Apply(sim, {op_kind::kStep, 0, 0});
  ASSERT_TRUE(HoldsLease(sim.agents[0].view, sim.now));
  Apply(sim, {op_kind::kStep, 1, 0});
  Apply(sim, {op_kind::kStep, 1, 5'900});
  EXPECT_FALSE(HoldsLease(sim.agents[1].view, sim.now));
  Apply(sim, {op_kind::kStep, 1, 200});
  EXPECT_TRUE(HoldsLease(sim.agents[1].view, sim.now));
  EXPECT_EQ(sim.stored.fencing_token, 2u);
  EXPECT_FALSE(HoldsLease(sim.agents[0].view, sim.now));
}

TEST(Lease, SerializedLeaseParsesToTheSameRecord) {
  const lease_record record{"vm-1", ~std::uint64_t{0}, 12};
  EXPECT_EQ(*ReadLease(WriteLease(record)), record);
  EXPECT_FALSE(ReadLease("{\"holder\":1}"));
}

}  // namespace
}  // namespace waxwing
