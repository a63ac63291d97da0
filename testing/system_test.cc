// Tests of a cluster of real processes: guarantees that the load of
// fault_test.cc doesn't check.

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

constexpr milliseconds kTimeout{20'000};

std::string RanField(const http_response& response) {
  const auto body = ParseObject(response.body);
  return body ? waxwing::ReadStringOr(*body, "ran", "").value_or("") : "";
}

std::int64_t StatusNumber(cluster& c, int vm, std::string_view field) {
  const auto body =
      ParseObject(CallOperatorApi(c, vm, "GET", "/v1/status").body);
  return body ? waxwing::ReadIntegerOr(*body, field, 0, 1LL << 53, -1)
                    .value_or(-1)
              : -1;
}

bool StatusFlag(cluster& c, int vm, std::string_view field) {
  const auto body =
      ParseObject(CallOperatorApi(c, vm, "GET", "/v1/status").body);
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

// Starts a call. The response is set when the call has ended; its status is 0
// if the call failed.
std::shared_ptr<std::optional<http_response>>
SendAsync(cluster& c, int vm, const http_request& request) {
  auto out = std::make_shared<std::optional<http_response>>();
  asio::co_spawn(
      c.context,
      [](cluster* system, waxwing::endpoint address,
         http_request message) -> asio::awaitable<http_response> {
        const waxwing::http_call_options options{kTimeout, false};
        auto response = co_await Fetch(system->pool, address, message, options);
        co_return response ? *response : http_response{0, {}, ""};
      }(&c, c.vms[static_cast<std::size_t>(vm)].router_address, request),
      [out](const std::exception_ptr&, http_response response) {
        out->emplace(std::move(response));
      });
  return out;
}

// Returns the VM whose agent holds the lease for orders, or -1.
int FindLeaseHolder(cluster& c) {
  for (int i = 0; i < c.options.vms; ++i) {
    if (c.vms[static_cast<std::size_t>(i)].agent != 0 &&
        StatusFlag(c, i, "holds_orders"))
      return i;
  }
  return -1;
}

// Writes raw bytes to a listener and reads until it closes the connection
// or 1.5 s have passed.
std::string SendRaw(cluster& c,
                    const waxwing::endpoint& address,
                    std::string bytes) {
  auto body = [](asio::any_io_executor executor, waxwing::endpoint to,
                 std::string data) -> asio::awaitable<std::string> {
    constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
    asio::ip::tcp::socket socket(executor);
    const asio::ip::tcp::endpoint remote(asio::ip::make_address(to.host),
                                         to.port);
    // The peer may respond and close before everything is written, so write
    // errors are ignored.
    co_await socket.async_connect(remote, kTuple);
    co_await asio::async_write(socket, asio::buffer(data), kTuple);
    asio::steady_timer limit(executor, milliseconds(1'500));
    limit.async_wait([&socket](const boost::system::error_code& error) {
      if (!error)
        socket.cancel();
    });
    std::string response;
    std::string chunk(4096, '\0');
    while (true) {
      auto [error, count] =
          co_await socket.async_read_some(asio::buffer(chunk), kTuple);
      if (error)
        break;
      response.append(chunk, 0, count);
    }
    co_return response;
  };
  return Await(c, body(c.context.get_executor(), address, std::move(bytes)));
}

TEST(SystemTest, CopiesOfARequestAtSeveralRoutersRunOnce) {
  const auto c = StartCluster({});
  const std::string ticket = RequestTicket(*c, 0);
  ASSERT_FALSE(ticket.empty());
  std::vector<std::shared_ptr<std::optional<http_response>>> responses;
  responses.reserve(6);
  for (int copy = 0; copy < 6; ++copy)
    responses.push_back(
        SendAsync(*c, copy % 3, ServiceRequest(*c, "{\"n\":1}", ticket)));
  for (const auto& response : responses) {
    ASSERT_TRUE(RunUntil(
        *c, [&] { return response->has_value(); }, kTimeout));
    EXPECT_EQ((*response)->status, 200u) << (*response)->body;
  }
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":1}"), 1u);
  const auto late = Send(*c, 1, ServiceRequest(*c, "{\"n\":1}", ticket));
  EXPECT_EQ(late.status, 200u);
  EXPECT_EQ(late.body, (*responses[0])->body);
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":1}"), 1u);
}

TEST(SystemTest, ServiceCallWithOrWithoutPathKeepsQuery) {
  const auto c = StartCluster({});
  for (const std::string rest : {"?x=1", "/run?x=1"}) {
    http_request request =
        ServiceRequest(*c, "{\"n\":9}", RequestTicket(*c, 0));
    const std::string_view service = "/v1/services/";
    const std::size_t end = request.target.find('/', service.size());
    request.target = request.target.substr(0, end) + rest;
    const auto response = Send(*c, 0, request);
    EXPECT_EQ(response.status, 200u) << request.target << ": " << response.body;
    EXPECT_NE(response.body.find("\"query\":\"x=1\""), std::string::npos)
        << response.body;
  }
}

TEST(SystemTest, RouterRestartDuringRunNeverReportsNotRunOrReruns) {
  const auto c = StartCluster({});
  const std::string ticket = RequestTicket(*c, 0);
  const auto request = ServiceRequest(*c, "{\"n\":2}", ticket);
  standin::StallConnections(c->services[0]);
  // The service drops no responses. The router is killed as soon as the call
  // has run, and may or may not have received the response by then.
  standin::MutableFaults(c->services[0]).lose_answer = 0;
  const auto first = SendAsync(*c, 0, request);
  RunUntil(
      *c, [&] { return standin::GetRunCount(c->services[0], "{\"n\":2}") > 0; },
      kTimeout);
  KillProcess(c->vms[0].router);
  StartVmRouter(*c, 0);
  ASSERT_TRUE(RunUntil(
      *c, [&] { return RouterGeneration(*c, 0) >= 1; }, kTimeout));
  const auto again = Send(*c, 0, request);
  EXPECT_NE(RanField(again), "no") << again.body;
  const auto elsewhere = Send(*c, 1, request);
  EXPECT_NE(RanField(elsewhere), "no") << elsewhere.body;
  RunFor(*c, milliseconds(300));
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":2}"), 1u);
}

TEST(SystemTest, StalledStreamThatSendsAByteNowAndThenIsResumed) {
  const auto c = StartCluster({});
  for (standin::engine& engine : c->engines)
    standin::MutableFaults(engine).stalled_streams_drip = true;
  const auto stream = SendAsync(*c, 0, ChatRequest(*c, "hello", 150, true));
  const auto tokens = [&c] {
    std::uint64_t sum = 0;
    for (const standin::engine& engine : c->engines)
      sum += standin::GetCounts(engine).answer_tokens;
    return sum;
  };
  ASSERT_TRUE(RunUntil(
      *c, [&] { return tokens() > 20; }, kTimeout));
  ASSERT_FALSE(stream->has_value());
  for (standin::engine& engine : c->engines)
    standin::StallConnections(engine);
  ASSERT_TRUE(RunUntil(
      *c, [&] { return stream->has_value(); }, milliseconds(8'000)));
  EXPECT_NE((*stream)->body.find("[DONE]"), std::string::npos);
  EXPECT_EQ((*stream)->body.find("event: error"), std::string::npos);
}

TEST(SystemTest, UndispatchedTicketRunsAfterRouterRestart) {
  const auto c = StartCluster({});
  const std::string ticket = RequestTicket(*c, 0);
  KillProcess(c->vms[0].router);
  StartVmRouter(*c, 0);
  ASSERT_TRUE(RunUntil(
      *c, [&] { return RouterGeneration(*c, 0) >= 1; }, kTimeout));
  const auto response = Send(*c, 0, ServiceRequest(*c, "{\"n\":3}", ticket));
  EXPECT_EQ(response.status, 200u) << response.body;
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":3}"), 1u);
}

TEST(SystemTest, StoredResponseSurvivesRouterRestart) {
  const auto c = StartCluster({});
  const auto request = ServiceRequest(*c, "{\"n\":4}", RequestTicket(*c, 0));
  const auto first = Send(*c, 0, request);
  ASSERT_EQ(first.status, 200u);
  KillProcess(c->vms[0].router);
  StartVmRouter(*c, 0);
  ASSERT_TRUE(RunUntil(
      *c, [&] { return RouterGeneration(*c, 0) >= 1; }, kTimeout));
  const auto again = Send(*c, 2, request);
  EXPECT_EQ(again.status, 200u);
  EXPECT_EQ(again.body, first.body);
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":4}"), 1u);
}

TEST(SystemTest, AgentRestartKeepsTicketsAndLedger) {
  const auto c = StartCluster({});
  const auto request = ServiceRequest(*c, "{\"n\":5}", RequestTicket(*c, 0));
  ASSERT_EQ(Send(*c, 0, request).status, 200u);
  const std::string unused = RequestTicket(*c, 0);
  KillProcess(c->vms[0].agent);
  StartVmAgent(*c, 0);
  ASSERT_TRUE(RunUntil(
      *c, [&] { return StatusNumber(*c, 0, "ledger_entries") >= 1; },
      kTimeout));
  EXPECT_EQ(Send(*c, 0, ServiceRequest(*c, "{\"n\":6}", unused)).status, 200u);
  KillProcess(c->vms[0].router);
  StartVmRouter(*c, 0);
  ASSERT_TRUE(RunUntil(
      *c, [&] { return RouterGeneration(*c, 0) >= 1; }, kTimeout));
  EXPECT_EQ(Send(*c, 0, request).status, 200u);
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":5}"), 1u);
}

TEST(SystemTest, ForgedOrMissingTicketIsRefusedAsNotRun) {
  const auto c = StartCluster({});
  std::string ticket = RequestTicket(*c, 0);
  ticket.back() = ticket.back() == '0' ? '1' : '0';
  const auto forged = Send(*c, 0, ServiceRequest(*c, "{\"n\":7}", ticket));
  EXPECT_EQ(forged.status, 403u);
  EXPECT_EQ(RanField(forged), "no");
  const auto none = Send(*c, 0, ServiceRequest(*c, "{\"n\":7}", ""));
  EXPECT_EQ(none.status, 428u);
  EXPECT_EQ(RanField(none), "no");
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"n\":7}"), 0u);
}

TEST(SystemTest, GracefulShutdownCompletesStreams) {
  const auto c = StartCluster({});
  const auto stream = SendAsync(*c, 0, ChatRequest(*c, "hello", 150, true));
  RunFor(*c, milliseconds(200));
  ASSERT_FALSE(stream->has_value());
  EXPECT_EQ(TerminateProcess(*c, c->vms[0].router), 0);
  ASSERT_TRUE(RunUntil(
      *c, [&] { return stream->has_value(); }, kTimeout));
  EXPECT_EQ((*stream)->status, 200u);
  EXPECT_NE((*stream)->body.find("id: 149\n"), std::string::npos);
  EXPECT_TRUE((*stream)->body.ends_with("data: [DONE]\n\n"));
}

TEST(SystemTest, RemovedTargetGetsNoRequestsAfterThreeSeconds) {
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
  ExpectGuaranteesHold(*c, result);
}

TEST(SystemTest, RestartsNeverRevertAcceptedConfiguration) {
  const auto c = StartCluster({});
  std::uint64_t generation = 0;
  for (int i = 1; i <= 3; ++i)
    generation = ApplyIntent(*c, i % 3,
                             R"({"kind":"limit_account","account":)"
                             R"("contractor-1","tokens_per_second":)" +
                                 std::to_string(i * 1'000'000) +
                                 R"(,"burst_tokens":1000000})");
  ASSERT_EQ(generation, 4u);
  ASSERT_TRUE(WaitUntilInForce(*c, 0, generation));
  standin::MutableFaults(c->platform).outage = true;
  // VMs restart one at a time while the store is unavailable, so each has to
  // get the configuration from the others.
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
        kTimeout));
  }
  EXPECT_EQ(Send(*c, 1, ChatRequest(*c, "hello", 3, false)).status, 200u);
}

TEST(SystemTest, RestartOfAllVmsDuringStoreOutageRefusesRequests) {
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
      *c, [&] { return RouterGeneration(*c, 0) == 0; }, kTimeout));
  const auto refused = Send(*c, 0, ChatRequest(*c, "hello", 3, false));
  EXPECT_EQ(refused.status, 503u);
  EXPECT_EQ(RanField(refused), "no");
  EXPECT_FALSE(FindHeader(refused.headers, "Retry-After").empty());
  standin::MutableFaults(c->platform).outage = false;
  EXPECT_TRUE(RunUntil(
      *c, [&] { return RouterGeneration(*c, 0) == 1; }, kTimeout));
}

TEST(SystemTest, RolloutLoadsNewVersionOnAllEngines) {
  const auto c = StartCluster({});
  const auto load = StartLoad(*c, 40, milliseconds(4'000), 6);
  ASSERT_GT(ApplyIntent(*c, 0, R"({"kind":"roll_out","model":"triage",
      "version":"v2","percent":100})"),
            0u);
  const standin::load_result result = FinishLoad(*c, load);
  ExpectGuaranteesHold(*c, result);
  EXPECT_TRUE(RunUntil(
      *c,
      [&] {
        const auto response = CallOperatorApi(*c, 0, "GET", "/v1/status");
        std::size_t running = 0;
        std::size_t at = 0;
        while ((at = response.body.find("\"runs_version\":\"v2\"", at)) !=
               std::string::npos) {
          ++running;
          ++at;
        }
        return running == c->engines.size();
      },
      kTimeout));
}

TEST(SystemTest, PausedLeaseHolderLosesLeaseToSuccessor) {
  const auto c = StartCluster({});
  int holder = -1;
  ASSERT_TRUE(RunUntil(
      *c, [&] { return (holder = FindLeaseHolder(*c)) >= 0; }, kTimeout));
  const std::int64_t fence = StatusNumber(*c, holder, "fence");
  const pid_t paused = c->vms[static_cast<std::size_t>(holder)].agent;
  PauseProcess(paused);
  // The paused agent doesn't respond, so FindLeaseHolder() must skip it.
  pid_t& agent_pid = c->vms[static_cast<std::size_t>(holder)].agent;
  agent_pid = 0;
  int successor = -1;
  EXPECT_TRUE(RunUntil(
      *c, [&] { return (successor = FindLeaseHolder(*c)) >= 0; }, kTimeout));
  EXPECT_NE(successor, holder);
  ASSERT_GE(successor, 0);
  EXPECT_GT(StatusNumber(*c, successor, "fence"), fence);
  ResumeProcess(paused);
  agent_pid = paused;
  EXPECT_TRUE(RunUntil(
      *c, [&] { return !StatusFlag(*c, holder, "holds_orders"); }, kTimeout));
}

TEST(SystemTest, EntryResponsesOmitDeadVm) {
  const auto c = StartCluster({});
  KillProcess(c->vms[2].router);
  KillProcess(c->vms[2].agent);
  const std::string dead = ToText(c->vms[2].router_address);
  for (int i = 0; i < 8; ++i) {
    http_request request;
    request.target = "/v1/entry";
    request.headers.push_back(
        {"Authorization",
         "Bearer " + standin::AccountKey(c->options.deployment, i)});
    EXPECT_TRUE(RunUntil(
        *c,
        [&] {
          const auto response = Send(*c, 0, request);
          return response.status == 200 &&
                 response.body.find(dead) == std::string::npos;
        },
        kTimeout));
  }
}

TEST(SystemTest, MalformedBytesDoNotDisruptListeners) {
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
  EXPECT_EQ(CallOperatorApi(*c, 0, "GET", "/v1/status").status, 200u);
}

TEST(SystemTest, InvalidRequestsGetTypedErrorAndDoNotRun) {
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
    const auto response = Send(*c, 0, request);
    EXPECT_EQ(response.status, b.status) << b.body;
    EXPECT_EQ(RanField(response), "no") << b.body;
    EXPECT_NE(response.body.find(b.type), std::string::npos) << response.body;
  }
  http_request unknown_caller = ChatRequest(*c, "x", 1, false);
  unknown_caller.headers[0].value = "Bearer nobody";
  EXPECT_EQ(Send(*c, 0, unknown_caller).status, 401u);
  // The operator API is not served to callers and requires its key.
  http_request status;
  status.target = "/v1/status";
  EXPECT_EQ(Send(*c, 0, status).status, 404u);
  EXPECT_EQ(Call(*c, c->vms[0].operator_address, status).status, 401u);
}

TEST(SystemTest, OverloadIsRefusedImmediatelyWithRetryAfter) {
  const auto c = StartCluster({});
  const std::uint64_t generation =
      ApplyIntent(*c, 0, R"({"kind":"limit_account","account":"contractor-0",
          "tokens_per_second":2,"burst_tokens":60})");
  ASSERT_TRUE(WaitUntilInForce(*c, 0, generation));
  // This VM enforces half of the burst, since an account uses two entry VMs.
  EXPECT_EQ(Send(*c, 0, ChatRequest(*c, "hello", 20, false)).status, 200u);
  const auto limited = Send(*c, 0, ChatRequest(*c, "hello", 20, false));
  EXPECT_EQ(limited.status, 429u);
  EXPECT_EQ(RanField(limited), "no");
  EXPECT_FALSE(FindHeader(limited.headers, "Retry-After").empty());
  EXPECT_EQ(standin::GetCounts(c->engines[0]).runs +
                standin::GetCounts(c->engines[1]).runs +
                standin::GetCounts(c->engines[2]).runs,
            1u);
  // Other accounts are not limited. With engines that refuse all requests,
  // theirs fail long before the deadline.
  for (standin::engine& engine : c->engines)
    standin::MutableFaults(engine).refuse = 1;
  http_request refused_request = ChatRequest(*c, "hello", 3, false);
  refused_request.headers[0].value =
      "Bearer " + standin::AccountKey(c->options.deployment, 1);
  refused_request.headers.push_back({"X-Deadline-Ms", "30000"});
  const auto begin = std::chrono::steady_clock::now();
  const auto refused = Send(*c, 0, refused_request);
  EXPECT_GE(refused.status, 500u);
  EXPECT_NE(RanField(refused), "yes");
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(15'000));
}

}  // namespace
}  // namespace testing_support
