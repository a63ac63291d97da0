// Promises over real processes that a plain load does not show.

#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "standin/answer.h"
#include "testing/cluster.h"
#include "waxwing/json.h"
#include "waxwing/prefix.h"

namespace testing_support {
namespace {

using waxwing::http_request;
using waxwing::http_response;
using waxwing::milliseconds;
using waxwing::ParseObject;

constexpr milliseconds kPatience{20'000};

std::string RanOf(const http_response& answer) {
  const auto body = ParseObject(answer.body);
  return body ? waxwing::ReadTextOr(*body, "ran", "").value_or("") : "";
}

std::int64_t StatusNumber(cluster& c, int vm, std::string_view field) {
  const auto body = ParseObject(CallOperators(c, vm, "GET", "/v1/status").body);
  return body ? waxwing::ReadIntegerOr(*body, field, 0, 1LL << 53, -1)
                    .value_or(-1)
              : -1;
}

bool StatusFlag(cluster& c, int vm, std::string_view field) {
  const auto body = ParseObject(CallOperators(c, vm, "GET", "/v1/status").body);
  return body && waxwing::ReadBoolOr(*body, field, false).value_or(false);
}

std::int64_t RouterGeneration(cluster& c, int vm) {
  http_request request;
  request.target = "/healthz";
  const auto body = ParseObject(
      Call(c, c.vms[static_cast<std::size_t>(vm)].router_address, request)
          .body);
  return body ? waxwing::ReadIntegerOr(*body, "generation", 0, 1LL << 53, -1)
                    .value_or(-1)
              : -1;
}

http_response Send(cluster& c, int vm, const http_request& request) {
  return Call(c, c.vms[static_cast<std::size_t>(vm)].router_address, request);
}

// Starts a call whose answer is filled in when it comes.
std::shared_ptr<std::optional<http_response>>
SendLater(cluster& c, int vm, const http_request& request) {
  auto out = std::make_shared<std::optional<http_response>>();
  asio::co_spawn(
      c.context,
      [](cluster* system, waxwing::endpoint address,
         http_request message) -> asio::awaitable<http_response> {
        const waxwing::http_call_options options{kPatience, false};
        auto answer = co_await Fetch(system->pool, address, message, options);
        co_return answer ? *answer : http_response{0, {}, ""};
      }(&c, c.vms[static_cast<std::size_t>(vm)].router_address, request),
      [out](const std::exception_ptr&, http_response answer) {
        out->emplace(std::move(answer));
      });
  return out;
}

// The VM whose agent holds the lease for orders, or -1.
int OrdersHolder(cluster& c) {
  for (int i = 0; i < c.options.vms; ++i) {
    if (c.vms[static_cast<std::size_t>(i)].agent != 0 &&
        StatusFlag(c, i, "holds_orders"))
      return i;
  }
  return -1;
}

// Writes raw bytes to a listener and reads until it closes or falls silent.
std::string SendRaw(cluster& c,
                    const waxwing::endpoint& address,
                    std::string bytes) {
  auto body = [](asio::any_io_executor executor, waxwing::endpoint to,
                 std::string data) -> asio::awaitable<std::string> {
    constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
    asio::ip::tcp::socket socket(executor);
    const asio::ip::tcp::endpoint remote(asio::ip::make_address(to.host),
                                         to.port);
    // A peer may close before all is written; what it answered is read anyway.
    co_await socket.async_connect(remote, kTuple);
    co_await asio::async_write(socket, asio::buffer(data), kTuple);
    asio::steady_timer limit(executor, milliseconds(1'500));
    limit.async_wait([&socket](const boost::system::error_code& error) {
      if (!error)
        socket.cancel();
    });
    std::string answer;
    std::string piece(4096, '\0');
    while (true) {
      auto [error, count] =
          co_await socket.async_read_some(asio::buffer(piece), kTuple);
      if (error)
        break;
      answer.append(piece, 0, count);
    }
    co_return answer;
  };
  return Await(c, body(c.context.get_executor(), address, std::move(bytes)));
}

TEST(SystemTest, ATicketRunsOnceWhicheverRoutersItReaches) {
  const auto c = StartCluster({});
  const std::string ticket = TicketOf(*c, 0);
  ASSERT_FALSE(ticket.empty());
  std::vector<std::shared_ptr<std::optional<http_response>>> answers;
  answers.reserve(6);
  for (int copy = 0; copy < 6; ++copy)
    answers.push_back(
        SendLater(*c, copy % 3, ServiceRequest(*c, "{\"n\":1}", ticket)));
  for (const auto& answer : answers) {
    ASSERT_TRUE(RunUntil(
        *c, [&] { return answer->has_value(); }, kPatience));
    EXPECT_EQ((*answer)->status, 200u) << (*answer)->body;
  }
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":1}"), 1u);
  const auto late = Send(*c, 1, ServiceRequest(*c, "{\"n\":1}", ticket));
  EXPECT_EQ(late.status, 200u);
  EXPECT_EQ(late.body, (*answers[0])->body);
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":1}"), 1u);
}

TEST(SystemTest, AServiceCallKeepsItsQueryAlsoWithoutAPath) {
  const auto c = StartCluster({});
  for (const std::string rest : {"?x=1", "/run?x=1"}) {
    http_request request = ServiceRequest(*c, "{\"n\":9}", TicketOf(*c, 0));
    const std::string_view service = "/v1/services/";
    const std::size_t end = request.target.find('/', service.size());
    request.target = request.target.substr(0, end) + rest;
    const auto answer = Send(*c, 0, request);
    EXPECT_EQ(answer.status, 200u) << request.target << ": " << answer.body;
    EXPECT_NE(answer.body.find("\"query\":\"x=1\""), std::string::npos)
        << answer.body;
  }
}

TEST(SystemTest, ARunCutOffByARouterRestartIsUnknownAndNeverRerun) {
  const auto c = StartCluster({});
  const std::string ticket = TicketOf(*c, 0);
  const auto request = ServiceRequest(*c, "{\"n\":2}", ticket);
  standin::StallConnections(c->services[0]);
  // The service takes the call in and never answers.
  standin::MutableFaults(c->services[0]).lose_answer = 0;
  const auto first = SendLater(*c, 0, request);
  RunUntil(
      *c, [&] { return standin::GetRunCount(c->services[0], "{\"n\":2}") > 0; },
      kPatience);
  KillProcess(c->vms[0].router);
  StartVmRouter(*c, 0);
  ASSERT_TRUE(RunUntil(
      *c, [&] { return RouterGeneration(*c, 0) >= 1; }, kPatience));
  const auto again = Send(*c, 0, request);
  EXPECT_NE(RanOf(again), "no") << again.body;
  const auto elsewhere = Send(*c, 1, request);
  EXPECT_NE(RanOf(elsewhere), "no") << elsewhere.body;
  RunFor(*c, milliseconds(300));
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":2}"), 1u);
}

TEST(SystemTest, AnUndispatchedTicketStillRunsAfterARouterRestart) {
  const auto c = StartCluster({});
  const std::string ticket = TicketOf(*c, 0);
  KillProcess(c->vms[0].router);
  StartVmRouter(*c, 0);
  ASSERT_TRUE(RunUntil(
      *c, [&] { return RouterGeneration(*c, 0) >= 1; }, kPatience));
  const auto answer = Send(*c, 0, ServiceRequest(*c, "{\"n\":3}", ticket));
  EXPECT_EQ(answer.status, 200u) << answer.body;
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":3}"), 1u);
}

TEST(SystemTest, TheAnswerOutlivesTheRouterThatGotIt) {
  const auto c = StartCluster({});
  const auto request = ServiceRequest(*c, "{\"n\":4}", TicketOf(*c, 0));
  const auto first = Send(*c, 0, request);
  ASSERT_EQ(first.status, 200u);
  KillProcess(c->vms[0].router);
  StartVmRouter(*c, 0);
  ASSERT_TRUE(RunUntil(
      *c, [&] { return RouterGeneration(*c, 0) >= 1; }, kPatience));
  const auto again = Send(*c, 2, request);
  EXPECT_EQ(again.status, 200u);
  EXPECT_EQ(again.body, first.body);
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":4}"), 1u);
}

TEST(SystemTest, AnAgentRestartKeepsTicketsAndLedger) {
  const auto c = StartCluster({});
  const auto request = ServiceRequest(*c, "{\"n\":5}", TicketOf(*c, 0));
  ASSERT_EQ(Send(*c, 0, request).status, 200u);
  const std::string unused = TicketOf(*c, 0);
  KillProcess(c->vms[0].agent);
  StartVmAgent(*c, 0);
  ASSERT_TRUE(RunUntil(
      *c, [&] { return StatusNumber(*c, 0, "ledger_entries") >= 1; },
      kPatience));
  EXPECT_EQ(Send(*c, 0, ServiceRequest(*c, "{\"n\":6}", unused)).status, 200u);
  KillProcess(c->vms[0].router);
  StartVmRouter(*c, 0);
  ASSERT_TRUE(RunUntil(
      *c, [&] { return RouterGeneration(*c, 0) >= 1; }, kPatience));
  EXPECT_EQ(Send(*c, 0, request).status, 200u);
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":5}"), 1u);
}

TEST(SystemTest, BadTicketsAreRefusedAsNotRun) {
  const auto c = StartCluster({});
  std::string ticket = TicketOf(*c, 0);
  ticket.back() = ticket.back() == '0' ? '1' : '0';
  const auto forged = Send(*c, 0, ServiceRequest(*c, "{\"n\":7}", ticket));
  EXPECT_EQ(forged.status, 403u);
  EXPECT_EQ(RanOf(forged), "no");
  const auto none = Send(*c, 0, ServiceRequest(*c, "{\"n\":7}", ""));
  EXPECT_EQ(none.status, 428u);
  EXPECT_EQ(RanOf(none), "no");
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":7}"), 0u);
}

TEST(SystemTest, APlannedStopCutsNoStream) {
  const auto c = StartCluster({});
  const auto stream = SendLater(*c, 0, ChatRequest(*c, "hello", 150, true));
  RunFor(*c, milliseconds(200));
  ASSERT_FALSE(stream->has_value());
  EXPECT_EQ(TerminateProcess(*c, c->vms[0].router), 0);
  ASSERT_TRUE(RunUntil(
      *c, [&] { return stream->has_value(); }, kPatience));
  EXPECT_EQ((*stream)->status, 200u);
  EXPECT_NE((*stream)->body.find("id: 149\n"), std::string::npos);
  EXPECT_TRUE((*stream)->body.ends_with("data: [DONE]\n\n"));
}

TEST(SystemTest, ALeavingTargetGetsNoNewWorkAfterThreeSeconds) {
  const auto c = StartCluster({});
  const auto load = StartLoad(*c, 60, milliseconds(7'000), 5);
  RunFor(*c, milliseconds(1'000));
  ASSERT_GT(
      ApplyIntent(*c, 1, R"({"kind":"remove_target","target":"engine-0"})"),
      0u);
  RunFor(*c, milliseconds(3'000));
  const std::uint64_t before = standin::GetCounts(c->engines[0]).runs;
  const standin::load_result result = FinishLoad(*c, load);
  EXPECT_EQ(standin::GetCounts(c->engines[0]).runs, before);
  ExpectPromisesKept(*c, result);
}

TEST(SystemTest, AnAcceptedConfigurationNeverRevertsOverRestarts) {
  const auto c = StartCluster({});
  std::uint64_t generation = 0;
  for (int i = 1; i <= 3; ++i)
    generation = ApplyIntent(*c, i % 3,
                             R"({"kind":"limit_account","account":)"
                             R"("contractor-1","tokens_per_second":)" +
                                 std::to_string(i * 1'000'000) +
                                 R"(,"burst_tokens":1000000})");
  ASSERT_EQ(generation, 4u);
  ASSERT_TRUE(WaitInForce(*c, 0, generation));
  standin::MutableFaults(c->platform).outage = true;
  // One VM at a time, with the store down: the others give it what it needs.
  for (int i = 0; i < 3; ++i) {
    vm& v = c->vms[static_cast<std::size_t>(i)];
    KillProcess(v.router);
    KillProcess(v.agent);
    StartVmAgent(*c, i);
    StartVmRouter(*c, i);
    std::int64_t highest = 0;
    EXPECT_TRUE(RunUntil(
        *c,
        [&] {
          const std::int64_t now = RouterGeneration(*c, i);
          EXPECT_TRUE(now < 0 || now >= highest);
          highest = std::max(highest, now);
          return now == static_cast<std::int64_t>(generation);
        },
        kPatience));
  }
  EXPECT_EQ(Send(*c, 1, ChatRequest(*c, "hello", 3, false)).status, 200u);
}

TEST(SystemTest, WithEverythingGoneAndTheStoreDownItSaysSo) {
  const auto c = StartCluster({});
  standin::MutableFaults(c->platform).outage = true;
  for (vm& v : c->vms) {
    KillProcess(v.router);
    KillProcess(v.agent);
  }
  for (int i = 0; i < 3; ++i) {
    StartVmAgent(*c, i);
    StartVmRouter(*c, i);
  }
  ASSERT_TRUE(RunUntil(
      *c, [&] { return RouterGeneration(*c, 0) == 0; }, kPatience));
  const auto refused = Send(*c, 0, ChatRequest(*c, "hello", 3, false));
  EXPECT_EQ(refused.status, 503u);
  EXPECT_EQ(RanOf(refused), "no");
  EXPECT_FALSE(FindHeader(refused.headers, "Retry-After").empty());
  standin::MutableFaults(c->platform).outage = false;
  EXPECT_TRUE(RunUntil(
      *c, [&] { return RouterGeneration(*c, 0) == 1; }, kPatience));
}

TEST(SystemTest, ARolloutLoadsTheNewVersionAndDropsOldCaches) {
  const auto c = StartCluster({});
  const auto load = StartLoad(*c, 40, milliseconds(4'000), 6);
  ASSERT_GT(ApplyIntent(*c, 0, R"({"kind":"roll_out","model":"triage",
      "version":"v2","percent":100})"),
            0u);
  const standin::load_result result = FinishLoad(*c, load);
  ExpectPromisesKept(*c, result);
  EXPECT_TRUE(RunUntil(
      *c,
      [&] {
        const auto answer = CallOperators(*c, 0, "GET", "/v1/status");
        std::size_t running = 0;
        std::size_t at = 0;
        while ((at = answer.body.find("\"runs_version\":\"v2\"", at)) !=
               std::string::npos) {
          ++running;
          ++at;
        }
        return running == c->engines.size();
      },
      kPatience));
}

TEST(SystemTest, APausedHolderIsSucceededAndItsOrdersAreRefused) {
  const auto c = StartCluster({});
  int holder = -1;
  ASSERT_TRUE(RunUntil(
      *c, [&] { return (holder = OrdersHolder(*c)) >= 0; }, kPatience));
  const std::int64_t fence = StatusNumber(*c, holder, "fence");
  const pid_t paused = c->vms[static_cast<std::size_t>(holder)].agent;
  PauseProcess(paused);
  // The paused VM does not answer; ask the others.
  pid_t& slot = c->vms[static_cast<std::size_t>(holder)].agent;
  slot = 0;
  int successor = -1;
  EXPECT_TRUE(RunUntil(
      *c, [&] { return (successor = OrdersHolder(*c)) >= 0; }, kPatience));
  EXPECT_NE(successor, holder);
  ASSERT_GE(successor, 0);
  EXPECT_GT(StatusNumber(*c, successor, "fence"), fence);
  ResumeProcess(paused);
  slot = paused;
  EXPECT_TRUE(RunUntil(
      *c, [&] { return !StatusFlag(*c, holder, "holds_orders"); }, kPatience));
}

TEST(SystemTest, EntryAnswersDropADeadVm) {
  const auto c = StartCluster({});
  KillProcess(c->vms[2].router);
  KillProcess(c->vms[2].agent);
  const std::string dead = ToText(c->vms[2].router_address);
  for (int i = 0; i < 8; ++i) {
    http_request request;
    request.target = "/v1/entry";
    request.headers.push_back(
        {"Authorization",
         "Bearer " + standin::AccountKey(c->options.shape, i)});
    EXPECT_TRUE(RunUntil(
        *c,
        [&] {
          const auto answer = Send(*c, 0, request);
          return answer.status == 200 &&
                 answer.body.find(dead) == std::string::npos;
        },
        kPatience));
  }
}

TEST(SystemTest, HostileBytesHarmNoListener) {
  const auto c = StartCluster({});
  const std::string garbage(70'000, '\xfe');
  const std::string long_frame = std::string("\xff\xff\xff\x7f", 4) + garbage;
  const std::string huge_header =
      "GET / HTTP/1.1\r\nX: " + std::string(40'000, 'x') + "\r\n\r\n";
  const std::string huge_body =
      "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n";
  const vm& v = c->vms[0];
  for (const auto& address :
       {v.router_address, v.agent_address, v.operator_address}) {
    for (const std::string& bytes :
         {garbage, long_frame, huge_header, huge_body, std::string("\0", 1)})
      SendRaw(*c, address, bytes);
  }
  EXPECT_NE(SendRaw(*c, v.router_address, huge_body).find("413"),
            std::string::npos);
  EXPECT_NE(SendRaw(*c, v.router_address, huge_header).find("431"),
            std::string::npos);
  EXPECT_NE(SendRaw(*c, v.router_address, "nonsense\r\n\r\n").find("400"),
            std::string::npos);
  EXPECT_EQ(Send(*c, 0, ChatRequest(*c, "hello", 3, false)).status, 200u);
  EXPECT_EQ(CallOperators(*c, 0, "GET", "/v1/status").status, 200u);
}

TEST(SystemTest, BadRequestsGetATypedErrorAndDidNotRun) {
  const auto c = StartCluster({});
  struct bad {
    std::string body;
    unsigned status;
    std::string type;
  };
  const std::string model = R"("model":"triage",)";
  for (const bad& b : std::vector<bad>{
           {"{", 400, "malformed_request"},
           {"[]", 400, "malformed_request"},
           {R"({"messages":[]})", 400, "malformed_request"},
           {"{" + model + R"("messages":"x"})", 400, "malformed_request"},
           {"{" + model + R"("messages":[1]})", 400, "malformed_request"},
           {"{" + model + R"("messages":[{"role":"u","content":1}]})", 400,
            "malformed_request"},
           {"{" + model + R"("max_tokens":-1,"messages":[]})", 400,
            "malformed_request"},
           {R"({"model":"none","messages":[{"role":"u","content":"x"}]})", 404,
            "unknown_model"}}) {
    http_request request = ChatRequest(*c, "x", 1, false);
    request.body = b.body;
    const auto answer = Send(*c, 0, request);
    EXPECT_EQ(answer.status, b.status) << b.body;
    EXPECT_EQ(RanOf(answer), "no") << b.body;
    EXPECT_NE(answer.body.find(b.type), std::string::npos) << answer.body;
  }
  http_request stranger = ChatRequest(*c, "x", 1, false);
  stranger.headers[0].value = "Bearer nobody";
  EXPECT_EQ(Send(*c, 0, stranger).status, 401u);
  // Operators' calls are not reachable for callers, nor without the key.
  http_request status;
  status.target = "/v1/status";
  EXPECT_EQ(Send(*c, 0, status).status, 404u);
  EXPECT_EQ(Call(*c, c->vms[0].operator_address, status).status, 401u);
}

TEST(SystemTest, OverloadIsRefusedAtOnceWithATimeToComeBack) {
  const auto c = StartCluster({});
  const std::uint64_t generation =
      ApplyIntent(*c, 0, R"({"kind":"limit_account","account":"contractor-0",
          "tokens_per_second":2,"burst_tokens":60})");
  ASSERT_TRUE(WaitInForce(*c, 0, generation));
  // Half of the burst is this VM's share.
  EXPECT_EQ(Send(*c, 0, ChatRequest(*c, "hello", 20, false)).status, 200u);
  const auto limited = Send(*c, 0, ChatRequest(*c, "hello", 20, false));
  EXPECT_EQ(limited.status, 429u);
  EXPECT_EQ(RanOf(limited), "no");
  EXPECT_FALSE(FindHeader(limited.headers, "Retry-After").empty());
  EXPECT_EQ(standin::GetCounts(c->engines[0]).runs +
                standin::GetCounts(c->engines[1]).runs +
                standin::GetCounts(c->engines[2]).runs,
            1u);
  // Other accounts are not touched; one that can't make its deadline is told
  // so long before it ends.
  for (standin::engine& engine : c->engines)
    standin::MutableFaults(engine).refuse = 1;
  http_request doomed = ChatRequest(*c, "hello", 3, false);
  doomed.headers[0].value =
      "Bearer " + standin::AccountKey(c->options.shape, 1);
  doomed.headers.push_back({"X-Deadline-Ms", "30000"});
  const auto begin = std::chrono::steady_clock::now();
  const auto refused = Send(*c, 0, doomed);
  EXPECT_GE(refused.status, 500u);
  EXPECT_NE(RanOf(refused), "yes");
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(15'000));
}

}  // namespace
}  // namespace testing_support
