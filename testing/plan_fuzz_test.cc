// Stateful fuzzing of the configuration protocol: operators that race each
// other against a platform that fails, rejects calls and loses answers.

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

struct world {
  asio::io_context context;
  standin::platform store;
  platform_client client;
  std::vector<std::string> plans;
  std::map<std::string, std::uint64_t> confirmed;
  std::set<std::string> certainly_not;
  std::uint64_t last_generation = 0;

  world() {
    auto started = standin::StartPlatform(context.get_executor(), {});
    store = *started;
    standin::FaultsOf(store).latency = milliseconds(0);
    client.pool = MakeHttpPool(context.get_executor(), {});
    client.address = store.address;
    client.first_retry_delay = milliseconds(0);
  }
  ~world() { standin::StopPlatform(store); }

  template <typename T>
  T Run(asio::awaitable<T> body) {
    return testing_support::RunToEnd(context, std::move(body));
  }
};

constexpr std::string_view kFirst =
    R"({"kind":"add_account","account":"a","key":"k","tokens_per_second":1,)"
    R"("burst_tokens":1,"priority":4})";

std::string LimitIntent(int amount) {
  return R"({"kind":"limit_account","account":"a","tokens_per_second":)" +
         std::to_string(amount) + R"(,"burst_tokens":1})";
}

void SetFaults(world& w, int fault) {
  auto& faults = standin::FaultsOf(w.store);
  faults = {};
  faults.latency = milliseconds(0);
  if (fault == 1)
    faults.lose_answer = 0.5;
  else if (fault == 2)
    faults.outage = true;
  else if (fault == 3)
    faults.reject = 0.3;
}

void NoteOutcome(world& w,
                 const std::string& id,
                 const tl::expected<std::uint64_t, plan_error>& result) {
  if (result) {
    const auto [entry, fresh] = w.confirmed.emplace(id, *result);
    // A repeated confirm gives the same generation.
    RC_ASSERT(entry->second == *result);
  } else if (result.error().failure == plan_failure::kSuperseded) {
    w.certainly_not.insert(id);
  }
}

void Plan(world& w, int amount) {
  const std::string intent =
      w.confirmed.empty() ? std::string(kFirst) : LimitIntent(amount);
  const auto made = w.Run(MakePlan(w.client, {}, intent, "operator", 1));
  if (made)
    w.plans.push_back(made->id);
}

void Confirm(world& w, int index) {
  if (w.plans.empty())
    return;
  const std::string id =
      w.plans[static_cast<std::size_t>(index) % w.plans.size()];
  NoteOutcome(w, id, w.Run(ConfirmPlan(w.client, id, "operator", 1)));
}

void ConfirmTwo(world& w, int index) {
  if (w.plans.size() < 2)
    return;
  const std::string one =
      w.plans[static_cast<std::size_t>(index) % w.plans.size()];
  const std::string two = w.plans.back();
  std::optional<tl::expected<std::uint64_t, plan_error>> first;
  std::optional<tl::expected<std::uint64_t, plan_error>> second;
  for (const auto& [id, slot] :
       {std::pair(&one, &first), std::pair(&two, &second)}) {
    asio::co_spawn(w.context, ConfirmPlan(w.client, *id, "operator", 1),
                   [slot = slot](const std::exception_ptr&, auto result) {
                     slot->emplace(std::move(result));
                   });
  }
  while (!first || !second) {
    w.context.restart();
    w.context.run_one();
  }
  NoteOutcome(w, one, *first);
  NoteOutcome(w, two, *second);
}

// The accepted generations form one chain, each plan once.
void CheckChain(world& w) {
  const std::string text = standin::ValueOf(w.store, std::string(kRootKey));
  if (text.empty()) {
    RC_ASSERT(w.confirmed.empty());
    return;
  }
  const auto root = ReadRoot(text);
  RC_ASSERT(root.has_value());
  RC_ASSERT(root->generation >= w.last_generation);
  w.last_generation = root->generation;
  std::map<std::string, std::uint64_t> accepted;
  std::uint64_t expected = 1;
  for (const audit_entry& entry : root->audit) {
    RC_ASSERT(entry.generation == expected++);
    RC_ASSERT(accepted.emplace(entry.plan, entry.generation).second);
  }
  RC_ASSERT(root->generation + 1 == expected);
  for (const auto& [id, generation] : w.confirmed)
    RC_ASSERT(accepted[id] == generation);
  for (const std::string& id : w.certainly_not)
    RC_ASSERT(!accepted.contains(id));
}

RC_GTEST_PROP(PlanFuzz, AcceptedGenerationsFormOneChain, ()) {
  const auto ops = *rc::gen::container<std::vector<op>>(
      25, rc::gen::construct<op>(
              rc::gen::map(rc::gen::element(0, 0, 1, 1, 1, 2, 3, 3),
                           [](int k) { return static_cast<op_kind>(k); }),
              rc::gen::inRange(0, 8), rc::gen::inRange(0, 5)));
  world w;
  for (const op& o : ops) {
    if (o.kind == op_kind::kPlan)
      Plan(w, o.fault + 1);
    else if (o.kind == op_kind::kConfirm)
      Confirm(w, o.plan);
    else if (o.kind == op_kind::kFaults)
      SetFaults(w, o.fault);
    else
      ConfirmTwo(w, o.plan);
    CheckChain(w);
  }
}

TEST(Plan, TheLoserOfARaceLearnsWhatChanged) {
  world w;
  Plan(w, 1);
  Confirm(w, 0);
  Plan(w, 2);
  Plan(w, 3);
  Confirm(w, 1);
  const auto lost = w.Run(ConfirmPlan(w.client, w.plans[2], "operator", 1));
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().failure, plan_failure::kSuperseded);
  ASSERT_EQ(lost.error().changes.size(), 1u);
  EXPECT_EQ(lost.error().changes[0].plan, w.plans[1]);
}

TEST(Plan, APlanIsMadeAndConfirmedOverAnUnreliablePlatform) {
  world w;
  Plan(w, 1);
  Confirm(w, 0);
  standin::FaultsOf(w.store).reject = 0.2;
  standin::FaultsOf(w.store).lose_answer = 0.3;
  const auto made =
      w.Run(MakePlan(w.client, {}, LimitIntent(7), "operator", 1));
  ASSERT_TRUE(made) << made.error().message;
  const auto done = w.Run(ConfirmPlan(w.client, made->id, "operator", 1));
  ASSERT_TRUE(done) << done.error().message;
  EXPECT_EQ(*done, 2u);
}

TEST(Plan, ALostAnswerIsReadBack) {
  world w;
  Plan(w, 1);
  standin::FaultsOf(w.store).lose_answer = 1;
  const auto done = w.Run(ConfirmPlan(w.client, w.plans[0], "operator", 1));
  ASSERT_TRUE(done);
  EXPECT_EQ(*done, 1u);
  EXPECT_GE(standin::CountsOf(w.store).lost_answers, 1u);
}

}  // namespace
}  // namespace waxwing
