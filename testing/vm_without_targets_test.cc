// Callers of a VM that reaches no target, while other VMs do.

#include <gtest/gtest.h>

#include "testing/entry_fixture.h"
#include "testing/target_path.h"
#include "waxwing/forwarded_request.h"

namespace testing_support {
namespace {

constexpr int kTargetsPerService = 3;
// Time within which requests may fail after a cut has begun.
constexpr milliseconds kContactTime{3'000};

struct cut_fixture : zone_fixture {
  // By VM, then by target.
  std::vector<std::vector<std::shared_ptr<target_path>>> paths;

  explicit cut_fixture(std::size_t count) : zone_fixture(count) {
    for (int i = 0; i < kTargetsPerService; ++i) {
      AddTarget("engine-" + std::to_string(i), "llm", StreamTwoEvents);
      AddTarget("panel-" + std::to_string(i), "panel", RespondOk);
    }
    EXPECT_TRUE(WaitUntilSettled());
    EXPECT_TRUE(RunUntil([&] {
      return std::all_of(vms.begin(), vms.end(), [&](const entry& vm) {
        return vm.state->targets.size() == targets.size();
      });
    }));
    for (const entry& vm : vms)
      paths.push_back(RoutePaths(*vm.state));
  }

  void Cut(std::size_t vm, path_cut kind) {
    for (const auto& path : paths[vm])
      SetCut(path, kind);
  }

  http_request MakeRequest(std::string_view path, http_headers extra = {}) {
    http_request request;
    request.method = "POST";
    request.target = std::string(path);
    request.headers = {{"Host", "calls.example"},
                       {"Request-Id", "r" + std::to_string(next_id++)},
                       {"Deadline-Ms", std::to_string(caller_deadline_ms)},
                       {"Authorization", "Token key-1"}};
    for (http_header& header : extra)
      request.headers.push_back(std::move(header));
    return request;
  }

  asio::awaitable<tl::expected<http_response, http_error>> Call(
      std::size_t vm,
      http_request request) {
    const http_call_options options{milliseconds(2'000), false};
    co_return co_await Fetch(pool, vms[vm].state->caller_server.address,
                             request, options);
  }

  tl::expected<http_response, http_error> SendTo(std::size_t vm,
                                                 std::string_view path,
                                                 http_headers extra = {}) {
    return RunToEnd(context, Call(vm, MakeRequest(path, std::move(extra))));
  }

  // The number of requests that targets have received, by their ID.
  std::map<std::string, int> Arrivals() const {
    std::map<std::string, int> out;
    for (const auto& target : targets) {
      for (const http_request& request : target->requests)
        ++out[IdOf(request)];
    }
    return out;
  }

  // Sends requests to a VM for some time, on all routes in turn. Returns how
  // many of them were served.
  std::pair<int, int> ServedOf(std::size_t vm, milliseconds time) {
    constexpr std::string_view kPaths[] = {kIdempotentPath, kNonIdempotentPath,
                                           kStreamPath, kResumablePath};
    std::pair<int, int> out;
    const instant end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      const auto response =
          SendTo(vm, kPaths[static_cast<std::size_t>(out.second) % 4]);
      out.first += response && response->status == 200;
      ++out.second;
    }
    return out;
  }
};

class VmWithoutTargets : public ::testing::TestWithParam<path_cut> {};

TEST_P(VmWithoutTargets, FirstTriesOfItsCallersAreServed) {
  cut_fixture f(3);
  const auto [before, sent_before] = f.ServedOf(0, milliseconds(300));
  ASSERT_EQ(before, sent_before);
  f.Cut(0, GetParam());
  f.ServedOf(0, kContactTime);
  const auto [served, sent] = f.ServedOf(0, milliseconds(1'000));
  EXPECT_GE(served, 0.95 * sent) << served << " of " << sent;
}

INSTANTIATE_TEST_SUITE_P(Cuts,
                         VmWithoutTargets,
                         ::testing::Values(path_cut::kHanging,
                                           path_cut::kResetting,
                                           path_cut::kRefusingNew));

// Requests of the first second after a cut, which are sent all the time.
TEST_P(VmWithoutTargets, RequestsOfTheFirstSecondAreServed) {
  cut_fixture f(3);
  f.ServedOf(0, milliseconds(300));
  f.Cut(0, GetParam());
  constexpr int kRequests = 40;
  constexpr milliseconds kPeriod{25};
  int served = 0;
  int ended = 0;
  for (int i = 0; i < kRequests; ++i) {
    asio::co_spawn(
        f.context,
        f.Call(0, f.MakeRequest(i % 2 ? kIdempotentPath : kNonIdempotentPath)),
        [&](const std::exception_ptr&, const auto& response) {
          served += response && response->status == 200;
          ++ended;
        });
    f.context.restart();
    f.context.run_for(kPeriod);
  }
  f.RunUntil([&] { return ended == kRequests; });
  EXPECT_GE(served, 0.9 * kRequests);
}

TEST_P(VmWithoutTargets, IsBackWithinTwoSecondsOfTheEndOfTheCut) {
  cut_fixture f(3);
  f.Cut(0, GetParam());
  f.ServedOf(0, milliseconds(1'500));
  f.Cut(0, path_cut::kNone);
  EXPECT_TRUE(f.RunUntil([&] {
    return !ReachesTooFewTargets(*f.vms[0].state, "panel") &&
           !ReachesTooFewTargets(*f.vms[0].state, "llm");
  }));
  EXPECT_EQ(f.SendTo(0, kNonIdempotentPath)->status, 200u);
}

TEST_P(VmWithoutTargets, NonIdempotentRequestsRunOnceAtMost) {
  cut_fixture f(3);
  f.Cut(0, GetParam());
  int served = 0;
  for (int i = 0; i < 40; ++i) {
    const auto response = f.SendTo(0, kNonIdempotentPath);
    served += response && response->status == 200;
  }
  int arrived = 0;
  for (const auto& [id, count] : f.Arrivals()) {
    EXPECT_LE(count, 1) << id;
    arrived += count;
  }
  EXPECT_EQ(arrived, served);
}

TEST(VmsWithoutTargets, CallersOfAllButOneAreServed) {
  cut_fixture f(4);
  for (const std::size_t vm : {0, 1, 2})
    f.Cut(vm, path_cut::kResetting);
  for (const std::size_t vm : {0, 1, 2})
    f.ServedOf(vm, milliseconds(500));
  for (const std::size_t vm : {0, 1, 2}) {
    const auto [served, sent] = f.ServedOf(vm, milliseconds(300));
    EXPECT_GE(served, 0.95 * sent) << "VM " << vm;
  }
}

TEST(VmsWithoutTargets,
     WithoutAnyVmThatReachesTargetsRequestsAreRefusedAtOnce) {
  cut_fixture f(3);
  for (const std::size_t vm : {0, 1, 2})
    f.Cut(vm, path_cut::kHanging);
  for (const std::size_t vm : {0, 1, 2})
    f.ServedOf(vm, milliseconds(1'000));
  const auto arrivals = f.Arrivals();
  for (int i = 0; i < 20; ++i) {
    const instant sent = std::chrono::steady_clock::now();
    const auto response = f.SendTo(0, kNonIdempotentPath);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503u);
    EXPECT_LT(std::chrono::steady_clock::now() - sent, milliseconds(200));
  }
  EXPECT_EQ(f.Arrivals(), arrivals);
}

TEST(VmsWithoutTargets, TargetCannotDeclineInPlaceOfAVm) {
  cut_fixture f(3);
  f.Cut(0, path_cut::kResetting);
  f.ServedOf(0, milliseconds(500));
  for (const auto& target : f.targets)
    target->script = [](const http_request& request) {
      return scripted_response{{PlainResponse(200, IdOf(request), "body",
                                              "waxwing-declined: -\r\n")}};
    };
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(f.next_id);
    const auto response = f.SendTo(0, kNonIdempotentPath);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200u) << id;
    EXPECT_EQ(f.Arrivals()[id], 1) << id;
  }
}

TEST(VmsWithoutTargets, ForwardedRequestIsCancelledWhenItsCallerLeaves) {
  cut_fixture f(2);
  f.Cut(0, path_cut::kResetting);
  f.ServedOf(0, milliseconds(500));
  int started = 0;
  for (const auto& target : f.targets)
    target->script = [&](const http_request& request) {
      ++started;
      scripted_response out = RespondOk(request);
      out.delay = milliseconds(5'000);
      return out;
    };
  asio::ip::tcp::socket caller(f.context);
  const endpoint address = f.vms[0].state->caller_server.address;
  caller.connect({asio::ip::make_address(address.host), address.port});
  asio::write(caller,
              asio::buffer(std::string("POST /status/x HTTP/1.1\r\nHost: "
                                       "calls.example\r\nRequest-Id: "
                                       "leaves\r\nAuthorization: Token "
                                       "key-1\r\nContent-Length: 0\r\n\r\n")));
  ASSERT_TRUE(f.RunUntil([&] { return started > 0; }));
  caller.close();
  EXPECT_TRUE(f.RunUntil([&] {
    return std::all_of(f.vms.begin(), f.vms.end(), [](const entry& vm) {
      return ActiveExchanges(vm.state->caller_server) == 0;
    });
  }));
}

TEST(VmsWithoutTargets, CallersCanNotClaimToBeVms) {
  cut_fixture f(2);
  http_request request = f.MakeRequest(kIdempotentPath);
  AddForwarded(request, {"vm-1", "llm", 1, milliseconds(5'000)}, "guessed key");
  const auto forged = RunToEnd(f.context, f.Call(0, request));
  EXPECT_EQ(forged->status, 200u);
  EXPECT_EQ(f.targets[0]->requests.size(), 0u) << "an engine has run it";
  for (const auto& target : f.targets) {
    for (const http_request& arrived : target->requests)
      EXPECT_EQ(FindHeader(arrived.headers, kForwardedHeader), "");
  }
}

// A request was served by a VM that still had the configuration under which it
// had arrived elsewhere, and used cache entries that were shared no longer.
TEST(VmsWithoutTargets, RequestIsNotForwardedToAVmWithAnOlderConfiguration) {
  cut_fixture f(2);
  f.ServedOf(0, milliseconds(300));
  f.Cut(0, path_cut::kHanging);
  const std::string id = "r" + std::to_string(f.next_id);
  bool is_done = false;
  asio::co_spawn(
      f.context, f.Call(0, f.MakeRequest(kResumablePath)),
      [&](const std::exception_ptr&, const auto&) { is_done = true; });
  entry_state& state = *f.vms[0].state;
  ASSERT_TRUE(f.RunUntil([&] { return !state.runs.empty(); }));
  auto newer = std::make_shared<route_table>(*state.table);
  ++newer->version;
  state.table = std::move(newer);
  EXPECT_TRUE(f.RunUntil([&] { return is_done; }));
  EXPECT_EQ(f.Arrivals()[id], 0);
}

// A VM that had not learned of a new route or key refused forwarded requests
// with 404 or 401, which callers got from a VM that knew them.
TEST(VmsWithoutTargets, VmThatLacksANewRouteOrKeyDeclinesForwardedRequests) {
  for (const auto& [path, key] :
       {std::pair<std::string_view, std::string>{"/new/x", "key-1"},
        {kIdempotentPath, "key-2"}}) {
    cut_fixture f(2);
    f.Cut(0, path_cut::kResetting);
    f.ServedOf(0, milliseconds(500));
    entry_state& state = *f.vms[0].state;
    auto newer = std::make_shared<route_table>(*state.table);
    ++newer->version;
    route added = *FindRoute(*newer, "calls.example", kIdempotentPath);
    added.path_prefix = "/new/";
    AddRoute(*newer, added);
    newer->account_of_key["key-2"] = newer->account_of_key.at("key-1");
    state.table = std::move(newer);
    http_request request = f.MakeRequest(path);
    std::erase_if(request.headers, [](const http_header& header) {
      return header.name == "Authorization";
    });
    request.headers.push_back({"Authorization", "Token " + key});
    const auto response = RunToEnd(f.context, f.Call(0, request));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503u) << path;
    EXPECT_FALSE(FindHeader(response->headers, "Retry-After").empty());
  }
}

TEST(VmsWithoutTargets, ForwardedRequestKeepsItsServiceDeadlineAndOrigin) {
  http_request request;
  const stream_origin origin{"llm", "v2", "engine-1", 7};
  AddForwarded(
      request,
      {"vm-1", "llm", 3, milliseconds(250), true, 2, 12, origin, 5, "v2"},
      "key");
  const auto read = TakeForwarded(request, "key");
  ASSERT_TRUE(read);
  EXPECT_EQ(read->service, "llm");
  EXPECT_EQ(read->config_version, 3);
  EXPECT_EQ(read->time_left, milliseconds(250));
  EXPECT_TRUE(read->is_counted);
  EXPECT_EQ(read->attempts, 2);
  EXPECT_EQ(read->resume_after, 12u);
  EXPECT_EQ(read->origin, origin);
  EXPECT_EQ(read->attempt_number, 5u);
  EXPECT_EQ(read->told_build, "v2");
  EXPECT_EQ(FindHeader(request.headers, kForwardedHeader), "");
  AddForwarded(request, *read, "key");
  request.body = "changed";
  EXPECT_FALSE(TakeForwarded(request, "key"));
}

// A VM that is cut off must not make others hold back requests.
// An idempotent request ran at three targets, two are allowed: first for the VM
// that is cut, then twice for the VM that it is forwarded to, which counted
// from zero.
void ExpectFewRunsOfForwardedRequests(const std::string& body) {
  for (const path_cut kind : {path_cut::kResetting, path_cut::kHanging}) {
    cut_fixture f(3);
    for (const auto& target : f.targets)
      target->script = [](const http_request& request) {
        scripted_response out{{PlainResponse(500, IdOf(request), "sorry")}};
        out.delay = milliseconds(150);
        return out;
      };
    std::size_t ended = 0;
    constexpr std::size_t kRequests = 10;
    for (std::size_t i = 0; i < kRequests; ++i) {
      http_request request = f.MakeRequest(kIdempotentPath);
      request.body = body;
      asio::co_spawn(f.context, f.Call(0, std::move(request)),
                     [&](const std::exception_ptr&, const auto&) { ++ended; });
    }
    f.RunUntil([&] { return f.Arrivals().size() == kRequests; });
    f.Cut(0, kind);
    f.RunUntil([&] { return ended == kRequests; });
    for (const auto& [id, arrivals] : f.Arrivals())
      EXPECT_LE(arrivals, 2) << id;
  }
}

TEST(VmsWithoutTargets, ForwardedRequestRunsAtNoMoreTargetsThanAllowed) {
  ExpectFewRunsOfForwardedRequests("");
}

// What a VM stated of a request with a body was not recognized, so that streams
// that it had begun were run from their beginning.
TEST(VmsWithoutTargets, StatementOnARequestWithABodyIsRecognized) {
  ExpectFewRunsOfForwardedRequests("body");
}

TEST(VmsWithoutTargets, ResetConnectionsAreNotReportedAsEndsOfTargets) {
  cut_fixture f(2);
  for (const auto& target : f.targets)
    target->script = [](const http_request& request) {
      scripted_response out = RespondOk(request);
      out.delay = milliseconds(500);
      return out;
    };
  int ended = 0;
  constexpr int kRequests = 6;
  for (int i = 0; i < kRequests; ++i)
    asio::co_spawn(f.context, f.Call(0, f.MakeRequest(kIdempotentPath)),
                   [&](const std::exception_ptr&, const auto&) { ++ended; });
  f.context.restart();
  f.context.run_for(milliseconds(200));
  f.Cut(0, path_cut::kResetting);
  f.RunUntil([&] { return ended == kRequests; });
  for (const entry& vm : f.vms)
    EXPECT_TRUE(vm.state->suspects.ends.empty());
}

}  // namespace
}  // namespace testing_support
