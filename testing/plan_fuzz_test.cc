// Stateful fuzzing of the configuration protocol: operators that race each
// other on a platform that has outages, rejects calls and loses responses.

#include "waxwing/plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <boost/asio.hpp>
#include <map>
#include <set>

#include "standin/platform.h"
#include "testing/event_loop.h"

namespace waxwing {
namespace {

namespace asio = boost::asio;

enum class op_kind { kPlan, kConfirm, kFaults, kConfirmTwoAtOnce };

struct op {
  op_kind kind;
  int plan;
  int fault;
};

void showValue(const op& o, std::ostream& out) {
  out << "{" << static_cast<int>(o.kind) << "," << o.plan << "," << o.fault
      << "}";
}

struct simulation {
  asio::io_context context;
  standin::platform store;
  platform_client client;
  std::vector<std::string> plans;
  std::map<std::string, std::uint64_t> confirmed;
  std::set<std::string> superseded;
  std::uint64_t last_generation = 0;

  simulation() {
    auto started = standin::StartPlatform(context.get_executor(), {});
    store = *started;
    standin::MutableFaults(store).latency = milliseconds(0);
    client.pool = MakeHttpPool(context.get_executor(), {});
    client.address = store.address;
    client.first_retry_delay = milliseconds(0);
  }
  ~simulation() { standin::StopPlatform(store); }

  template <typename T>
  T Run(asio::awaitable<T> body) {
    return testing_support::RunToEnd(context, std::move(body));
  }
};

constexpr std::string_view kAddAccountIntent =
    R"({"kind":"add_account","account":"a","key":"k","tokens_per_second":1,)"
    R"("burst_tokens":1,"priority":4})";

std::string LimitIntent(int amount) {
  return R"({"kind":"limit_account","account":"a","tokens_per_second":)" +
         std::to_string(amount) + R"(,"burst_tokens":1})";
}

void SetFaults(simulation& sim, int fault) {
  auto& faults = standin::MutableFaults(sim.store);
  faults = {};
  faults.latency = milliseconds(0);
  if (fault == 1)
    faults.lose_answer = 0.5;
  else if (fault == 2)
    faults.outage = true;
  else if (fault == 3)
    faults.reject = 0.3;
}

void RecordOutcome(simulation& sim,
                   const std::string& id,
                   const tl::expected<std::uint64_t, plan_error>& result) {
  if (result) {
    const auto [entry, is_new] = sim.confirmed.emplace(id, *result);
    // A repeated confirm returns the same generation.
    RC_ASSERT(entry->second == *result);
  } else if (result.error().failure == plan_failure::kSuperseded) {
    sim.superseded.insert(id);
  }
}

void Plan(simulation& sim, int amount) {
  const std::string intent = sim.confirmed.empty()
                                 ? std::string(kAddAccountIntent)
                                 : LimitIntent(amount);
  const auto created =
      sim.Run(CreatePlan(sim.client, {}, intent, "operator", 1));
  if (created)
    sim.plans.push_back(created->id);
}

void Confirm(simulation& sim, int index) {
  if (sim.plans.empty())
    return;
  const std::string id =
      sim.plans[static_cast<std::size_t>(index) % sim.plans.size()];
  RecordOutcome(sim, id, sim.Run(ConfirmPlan(sim.client, id, "operator", 1)));
}

void ConfirmTwo(simulation& sim, int index) {
  if (sim.plans.size() < 2)
    return;
  const std::string first_id =
      sim.plans[static_cast<std::size_t>(index) % sim.plans.size()];
  const std::string second_id = sim.plans.back();
  std::optional<tl::expected<std::uint64_t, plan_error>> first;
  std::optional<tl::expected<std::uint64_t, plan_error>> second;
  for (const auto& [id, slot] :
       {std::pair(&first_id, &first), std::pair(&second_id, &second)}) {
    asio::co_spawn(sim.context, ConfirmPlan(sim.client, *id, "operator", 1),
                   [slot = slot](const std::exception_ptr&, auto result) {
                     slot->emplace(std::move(result));
                   });
  }
  while (!first || !second) {
    sim.context.restart();
    sim.context.run_one();
  }
  RecordOutcome(sim, first_id, *first);
  RecordOutcome(sim, second_id, *second);
}

// Accepted generations are consecutive, and each plan is accepted once.
void CheckChain(simulation& sim) {
  const std::string text =
      standin::GetObjectValue(sim.store, std::string(kRootKey));
  if (text.empty()) {
    RC_ASSERT(sim.confirmed.empty());
    return;
  }
  const auto root = ReadRoot(text);
  RC_ASSERT(root.has_value());
  RC_ASSERT(root->generation >= sim.last_generation);
  sim.last_generation = root->generation;
  std::map<std::string, std::uint64_t> accepted;
  std::uint64_t expected = 1;
  for (const audit_entry& entry : root->audit) {
    RC_ASSERT(entry.generation == expected++);
    RC_ASSERT(accepted.emplace(entry.plan, entry.generation).second);
  }
  RC_ASSERT(root->generation + 1 == expected);
  for (const auto& [id, generation] : sim.confirmed)
    RC_ASSERT(accepted[id] == generation);
  for (const std::string& id : sim.superseded)
    RC_ASSERT(!accepted.contains(id));
}

RC_GTEST_PROP(PlanFuzz, AcceptedGenerationsFormOneChain, ()) {
  const auto ops = *rc::gen::container<std::vector<op>>(
      25, rc::gen::construct<op>(
              rc::gen::map(rc::gen::element(0, 0, 1, 1, 1, 2, 3, 3),
                           [](int k) { return static_cast<op_kind>(k); }),
              rc::gen::inRange(0, 8), rc::gen::inRange(0, 5)));
  simulation sim;
  for (const op& o : ops) {
    if (o.kind == op_kind::kPlan)
      Plan(sim, o.fault + 1);
    else if (o.kind == op_kind::kConfirm)
      Confirm(sim, o.plan);
    else if (o.kind == op_kind::kFaults)
      SetFaults(sim, o.fault);
    else
      ConfirmTwo(sim, o.plan);
    CheckChain(sim);
  }
}

TEST(Plan, SupersededConfirmReturnsTheInterveningChanges) {
  simulation sim;
  Plan(sim, 1);
  Confirm(sim, 0);
  Plan(sim, 2);
  Plan(sim, 3);
  Confirm(sim, 1);
  const auto rejected =
      sim.Run(ConfirmPlan(sim.client, sim.plans[2], "operator", 1));
  ASSERT_FALSE(rejected);
  EXPECT_EQ(rejected.error().failure, plan_failure::kSuperseded);
  ASSERT_EQ(rejected.error().changes.size(), 1u);
  EXPECT_EQ(rejected.error().changes[0].plan, sim.plans[1]);
}

TEST(Plan, PlanIsCreatedAndConfirmedDespitePlatformFaults) {
  simulation sim;
  Plan(sim, 1);
  Confirm(sim, 0);
  standin::MutableFaults(sim.store).reject = 0.2;
  standin::MutableFaults(sim.store).lose_answer = 0.3;
  const auto created =
      sim.Run(CreatePlan(sim.client, {}, LimitIntent(7), "operator", 1));
  ASSERT_TRUE(created) << created.error().message;
  const auto confirmed_generation =
      sim.Run(ConfirmPlan(sim.client, created->id, "operator", 1));
  ASSERT_TRUE(confirmed_generation) << confirmed_generation.error().message;
  EXPECT_EQ(*confirmed_generation, 2u);
}

TEST(Plan, ConfirmSucceedsAfterItsPutResponseIsLost) {
  simulation sim;
  Plan(sim, 1);
  standin::MutableFaults(sim.store).lose_answer = 1;
  const auto confirmed_generation =
      sim.Run(ConfirmPlan(sim.client, sim.plans[0], "operator", 1));
  ASSERT_TRUE(confirmed_generation);
  EXPECT_EQ(*confirmed_generation, 1u);
  EXPECT_GE(standin::GetCounts(sim.store).lost_answers, 1u);
}

}  // namespace
}  // namespace waxwing
