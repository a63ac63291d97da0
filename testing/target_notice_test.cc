// Tests of targets that state in their responses that they are leaving, or that
// they want no requests for some time.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "platform/workers.h"
#include "testing/entry_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

response_info ReadHead(unsigned status, http_headers headers) {
  return platform::ReadResponseHead({status, std::move(headers), ""});
}

TEST(TargetNotice, PauseIsReadFromRefusalsInSeconds) {
  const auto pause = [](std::string_view text) {
    return ReadHead(503, {{"Retry-After", std::string(text)}}).pause;
  };
  EXPECT_EQ(pause("2"), seconds(2));
  EXPECT_EQ(pause("0.25"), milliseconds(250));
  for (const std::string_view invalid :
       {"", "0", "-1", "soon", "nan", "1 2", "Wed, 21 Oct 2026 07:28:00 GMT"})
    EXPECT_EQ(pause(invalid), milliseconds(0)) << invalid;
  EXPECT_EQ(pause("1e300"), std::chrono::hours(24));
  EXPECT_EQ(pause("inf"), std::chrono::hours(24));
  EXPECT_EQ(ReadHead(200, {{"Retry-After", "2"}}).pause, milliseconds(0));
  EXPECT_EQ(ReadHead(503, {}).pause, milliseconds(0));
}

TEST(TargetNotice, LeavingIsReadFromAnyResponse) {
  for (const unsigned status : {200u, 421u, 500u, 503u}) {
    EXPECT_TRUE(ReadHead(status, {{"Server-Leaving", "1"}}).is_leaving);
    EXPECT_FALSE(ReadHead(status, {{"Connection", "close"}}).is_leaving);
  }
}

RC_GTEST_PROP(TargetNotice, PausedTargetIsNeverUsable, ()) {
  target_view view;
  instant now = instant{} + seconds(100);
  instant end = now;
  for (int i = *rc::gen::inRange(1, 30); i > 0; --i) {
    now += milliseconds(*rc::gen::inRange(0, 500));
    const milliseconds pause(*rc::gen::inRange(0, 1'000));
    if (*rc::gen::inRange(0, 2) == 0) {
      RecordPause(view, pause, now);
      end = std::max(end, now + pause);
    }
    RC_ASSERT(IsUsable(view, now) == (now >= end));
    RC_ASSERT(IsUsableIgnoringBackoff(view, now) == (now >= end));
    const auto shortest = ShortestPause({&view, 1}, "", now);
    RC_ASSERT(shortest.has_value() == (now < end));
    RC_ASSERT(!shortest || *shortest == end - now);
  }
}

// The given response, and the plain one to all later requests.
std::function<scripted_response(const http_request&)> Once(
    std::string first_headers,
    unsigned first_status) {
  auto is_first = std::make_shared<bool>(true);
  return [=](const http_request& request) -> scripted_response {
    if (!std::exchange(*is_first, false))
      return RespondOk(request);
    return {{PlainResponse(first_status, IdOf(request), "", first_headers)}};
  };
}

struct notice_fixture : entry_fixture {
  // Two targets, the first of which is preferred.
  void StartPair(std::function<scripted_response(const http_request&)> first) {
    AddTarget("t1", "panel", std::move(first));
    AddTarget("t2", "panel", RespondOk);
    Start(2);
    ViewOf("t2").added_cost = milliseconds(100);
  }
  target_view& ViewOf(const std::string& id) {
    entry_state& state = *running.state;
    return state.placement.targets[state.targets.at(id).index];
  }
  void SendMany(int count) {
    for (int i = 0; i < count; ++i)
      EXPECT_EQ(Send(kNonIdempotentPath)->status, 200u);
  }
};

TEST(TargetNotice, TargetThatStatesItsDepartureGetsNoNewRequests) {
  for (const unsigned status : {200u, 503u}) {
    notice_fixture f;
    const std::string refusal = status == 503 ? "Not-Executed: 1\r\n" : "";
    f.StartPair(Once("Server-Leaving: 1\r\n" + refusal, status));
    f.store->is_down = true;
    while (f.targets[0]->requests.empty())
      ASSERT_EQ(f.Send(kNonIdempotentPath)->status, 200u);
    f.SendMany(10);
    EXPECT_EQ(f.targets[0]->requests.size(), 1u);
    // The store still lists it as ready.
    f.store->is_down = false;
    f.RunUntil([&] {
      return !f.running.state->watches[object_kind::kTargets]
                  .unavailable_since.has_value();
    });
    f.SendMany(10);
    EXPECT_EQ(f.targets[0]->requests.size(), 1u);
  }
}

TEST(TargetNotice, DepartureHoldsUntilTheIncarnationChanges) {
  notice_fixture f;
  f.StartPair(RespondOk);
  ObserveResponse(*f.running.state, "t1", "r", {.is_leaving = true});
  // Another record of the same incarnation.
  const endpoint address = f.targets[0]->Address();
  PutObject(*f.store, "servers", "t1",
            EntryTargetRecord(address, "panel", 0, "ready"));
  f.AddTarget("t3", "panel", RespondOk);
  const entry_state& state = *f.running.state;
  ASSERT_TRUE(f.RunUntil([&] { return state.targets.contains("t3"); }));
  EXPECT_FALSE(f.ViewOf("t1").is_in_service);
  auto record =
      boost::json::parse(EntryTargetRecord(address, "panel", 0)).as_object();
  record["born"] = 1'790'000'000'000;
  PutObject(*f.store, "servers", "t1", boost::json::serialize(record));
  EXPECT_TRUE(f.RunUntil([&] { return f.ViewOf("t1").is_in_service; }));
}

TEST(TargetNotice, StreamOfALeavingTargetIsFinished) {
  entry_fixture f;
  f.AddTarget("e1", "llm", [](const http_request& request) {
    if (request.target.starts_with("/api/"))
      return scripted_response{{PlainResponse(404, "", "{}")}};
    std::string head = StreamHead(IdOf(request));
    head.insert(head.size() - 2, "Server-Leaving: 1\r\n");
    return scripted_response{
        {head, StreamEvent(1, "one"), StreamEvent(2, "two"), StreamEnd()}};
  });
  f.Start(1);
  const auto response = f.Send(kStreamPath);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
  // Nobody else can serve: refused at once, and not run.
  EXPECT_EQ(f.Send(kStreamPath)->status, 503u);
  EXPECT_EQ(f.targets[0]->requests.size(), 1u);
}

TEST(TargetNotice, DepartureReachesOtherVms) {
  zone_fixture f(4);
  f.AddTarget("t1", "panel", RespondOk);
  ASSERT_TRUE(f.WaitUntilSettled());
  const auto all = [&](bool is_leaving) {
    return f.RunUntil([&] {
      return std::all_of(f.vms.begin(), f.vms.end(), [&](const entry& vm) {
        const auto found = vm.state->targets.find("t1");
        return found != vm.state->targets.end() &&
               found->second.record.is_draining == is_leaving;
      });
    });
  };
  ASSERT_TRUE(all(false));
  f.store->is_down = true;
  ObserveResponse(*f.vms[2].state, "t1", "r", {.is_leaving = true});
  EXPECT_TRUE(all(true));
}

// Returns whether `vm` knows that t1 is leaving.
bool KnowsDeparture(const entry& vm) {
  const auto found = vm.state->targets.find("t1");
  return found != vm.state->targets.end() && found->second.record.is_draining;
}

// A VM that was frozen or had no links when a departure was told sent requests
// to the target until the store listed the departure.
TEST(TargetNotice, DepartureReachesAVmThatHasMissedItsNotice) {
  zone_fixture f(4);
  f.AddTarget("t1", "panel", RespondOk);
  ASSERT_TRUE(f.WaitUntilSettled());
  ASSERT_TRUE(f.RunUntil([&] {
    return std::all_of(f.vms.begin(), f.vms.end(), [](const entry& vm) {
      return vm.state->targets.contains("t1");
    });
  }));
  auto& handler =
      f.vms[0].state->membership_agent.state->on_replication_message;
  const auto pass = handler;
  handler = [&](const peer_link& link, wire::messageUnion& message) {
    if (!message.Astarget_notice())
      pass(link, message);
  };
  ObserveResponse(*f.vms[2].state, "t1", "r", {.is_leaving = true});
  ASSERT_TRUE(f.RunUntil(
      [&] { return KnowsDeparture(f.vms[1]) && KnowsDeparture(f.vms[3]); }));
  // Until no copy of the notice is on its way any more.
  const instant passed = std::chrono::steady_clock::now() + milliseconds(300);
  f.RunUntil([&] { return std::chrono::steady_clock::now() >= passed; });
  EXPECT_FALSE(KnowsDeparture(f.vms[0]));
  handler = pass;
  EXPECT_TRUE(f.RunUntil([&] { return KnowsDeparture(f.vms[0]); }));
}

// The same for a VM that starts after a departure has been told.
TEST(TargetNotice, DepartureReachesAVmThatStartsLater) {
  zone_fixture f(3);
  f.AddTarget("t1", "panel", RespondOk);
  ASSERT_TRUE(f.WaitUntilSettled());
  ASSERT_TRUE(
      f.RunUntil([&] { return f.vms[2].state->targets.contains("t1"); }));
  ObserveResponse(*f.vms[2].state, "t1", "r", {.is_leaving = true});
  f.StartVms(1, "vm-late");
  EXPECT_TRUE(f.RunUntil([&] { return KnowsDeparture(f.vms[3]); }));
}

TEST(TargetNotice, PausedTargetGetsNoRequestsUntilThePauseEnds) {
  notice_fixture f;
  f.StartPair(Once("Not-Executed: 1\r\nRetry-After: 0.8\r\n", 503));
  while (f.targets[0]->requests.empty())
    ASSERT_EQ(f.Send(kNonIdempotentPath)->status, 200u);
  f.SendMany(20);
  EXPECT_EQ(f.targets[0]->requests.size(), 1u);
  const instant now = std::chrono::steady_clock::now();
  EXPECT_TRUE(IsPaused(f.ViewOf("t1"), now));
  ASSERT_TRUE(f.RunUntil([&] {
    return !IsPaused(f.ViewOf("t1"), std::chrono::steady_clock::now());
  }));
  f.SendMany(20);
  EXPECT_GT(f.targets[0]->requests.size(), 1u);
}

TEST(TargetNotice, CallersAreToldTheShortestPauseIfAllTargetsArePaused) {
  notice_fixture f;
  f.StartPair(RespondOk);
  const response_info pause{.pause = milliseconds(5'000)};
  ObserveResponse(*f.running.state, "t1", "r", pause);
  ObserveResponse(*f.running.state, "t2", "r", {.pause = milliseconds(2'000)});
  const instant sent = std::chrono::steady_clock::now();
  const auto response = f.Send(kIdempotentPath);
  EXPECT_LT(std::chrono::steady_clock::now() - sent, milliseconds(200));
  ASSERT_EQ(response->status, 503u);
  const double retry_after =
      std::stod(std::string(FindHeader(response->headers, "Retry-After")));
  EXPECT_GE(retry_after, 1.9);
  EXPECT_LE(retry_after, 2.5);
  EXPECT_TRUE(f.targets[0]->requests.empty());
  EXPECT_TRUE(f.targets[1]->requests.empty());
}

TEST(TargetNotice, RestartedTargetIsNotPaused) {
  notice_fixture f;
  f.StartPair(RespondOk);
  ObserveResponse(*f.running.state, "t1", "r", {.pause = seconds(60)});
  auto record =
      boost::json::parse(EntryTargetRecord(f.targets[0]->Address(), "panel", 0))
          .as_object();
  record["born"] = 1'790'000'000'000;
  PutObject(*f.store, "servers", "t1", boost::json::serialize(record));
  EXPECT_TRUE(f.RunUntil([&] {
    return !IsPaused(f.ViewOf("t1"), std::chrono::steady_clock::now());
  }));
}

// Requests in flight when the pause is stated may still arrive, no later ones.
TEST(TargetNotice, ManyRequestsInFlightDoNotFollowThePause) {
  notice_fixture f;
  const auto refuse = [](const http_request& request) -> scripted_response {
    return {{PlainResponse(503, IdOf(request), "",
                           "Not-Executed: 1\r\nRetry-After: 3\r\n")}};
  };
  f.AddTarget("t1", "panel", refuse);
  f.AddTarget("t2", "panel", refuse);
  f.Start(2);
  constexpr int kRequests = 30;
  int done = 0;
  std::vector<http_request> requests(kRequests);
  const http_call_options options{milliseconds(2'000), false};
  for (int i = 0; i < kRequests; ++i) {
    requests[i].method = "POST";
    requests[i].target = std::string(kIdempotentPath);
    requests[i].headers = {{"Host", "calls.example"},
                           {"Request-Id", "many-" + std::to_string(i)},
                           {"Authorization", "Token key-1"}};
    asio::co_spawn(f.context,
                   Fetch(f.pool, f.running.state->caller_server.address,
                         requests[i], options),
                   [&](const std::exception_ptr&, const auto&) { ++done; });
  }
  ASSERT_TRUE(f.RunUntil([&] { return done == kRequests; }));
  const std::size_t before =
      f.targets[0]->requests.size() + f.targets[1]->requests.size();
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(f.Send(kIdempotentPath)->status, 503u);
  EXPECT_EQ(f.targets[0]->requests.size() + f.targets[1]->requests.size(),
            before);
}

}  // namespace
}  // namespace waxwing
