// Tests with targets that send bytes without end where a response is due.

#include <gtest/gtest.h>

#include <fstream>
#include <thread>

#include "testing/endless_target.h"
#include "testing/entry_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

// Resident memory of this process in bytes.
std::size_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

constexpr std::size_t kMaxGrowth = 48 * 1024 * 1024;

TEST(EndlessResponse, CallEndsInTimeAndKeepsLittleInMemory) {
  for (const bool is_slow : {false, true}) {
    for (const endless_script& script : EndlessScripts()) {
      SCOPED_TRACE(script.name + (is_slow ? ", slowly" : ""));
      asio::io_context context;
      endless_target target(context, script);
      target.is_slow = is_slow;
      const http_pool pool = MakeHttpPool(context.get_executor(), {});
      http_call_options options{milliseconds(400), true};
      options.max_body_bytes = 1024 * 1024;
      const http_request request;
      const std::size_t before = ResidentBytes();
      std::size_t peak = before;
      bool is_done = false;
      const instant start = std::chrono::steady_clock::now();
      constexpr int kCalls = 20;
      int done = 0;
      const endpoint address = target.Address();
      for (int i = 0; i < kCalls; ++i) {
        asio::co_spawn(context, Fetch(pool, address, request, options),
                       [&](const std::exception_ptr&, const auto& response) {
                         EXPECT_TRUE(!response || response->status == 100);
                         is_done = ++done == kCalls;
                       });
      }
      while (!is_done &&
             std::chrono::steady_clock::now() < start + seconds(3)) {
        context.run_for(milliseconds(5));
        peak = std::max(peak, ResidentBytes());
      }
      EXPECT_TRUE(is_done);
      EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(1'500));
      EXPECT_LT(peak - before, kMaxGrowth);
      target.acceptor.close();
      context.run_for(milliseconds(100));
      EXPECT_EQ(target.open, 0) << "connections left open";
    }
  }
}

TEST(EndlessResponse, BodyThatNeverPausesIsEndedByTheTimeLimit) {
  const std::string beginning =
      "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n";
  const endless_script script{"", beginning, std::string(kFillerBytes, 'x')};
  const http_call_options options{milliseconds(50), false};
  for (const bool is_skipped : {false, true}) {
    SCOPED_TRACE(is_skipped ? "SkipResponse" : "Fetch");
    asio::io_context context;
    endless_target target(context, script);
    const http_pool pool = MakeHttpPool(context.get_executor(), {});
    const http_request request;
    const endpoint address = target.Address();
    std::optional<http_error> error;
    if (is_skipped) {
      auto call = RunToEnd(context, StartCall(pool, address, request, options));
      ASSERT_TRUE(call) << call.error().detail;
      const auto skipped =
          RunToEnd(context, SkipResponse(pool, *call, options.header_timeout));
      if (!skipped)
        error = skipped.error();
    } else {
      const auto response =
          RunToEnd(context, Fetch(pool, address, request, options));
      if (!response)
        error = response.error();
    }
    ASSERT_TRUE(error);
    EXPECT_EQ(error->failure, http_failure::kTimeout) << error->detail;
    target.acceptor.close();
  }
}

struct endless_fixture : entry_fixture {
  std::unique_ptr<endless_target> target;

  void StartWith(const endless_script& script, bool is_slow) {
    target = std::make_unique<endless_target>(context, script);
    target->is_slow = is_slow;
    PutObject(*store, "servers", "e1",
              EntryTargetRecord(target->Address(), "llm", 1));
    PutObject(*store, "servers", "p1",
              EntryTargetRecord(target->Address(), "panel", 0));
    Start(2);
  }
  ~endless_fixture() { target->acceptor.close(); }
};

// Sends `count` requests at once; returns the statuses, 0 for none.
std::vector<unsigned> SendAtOnce(endless_fixture& f,
                                 std::string_view path,
                                 int count,
                                 std::size_t& peak) {
  std::vector<unsigned> out;
  std::vector<http_request> requests(static_cast<std::size_t>(count));
  const http_call_options options{milliseconds(3'000), false};
  int done = 0;
  for (http_request& request : requests) {
    request.method = "POST";
    request.target = std::string(path);
    request.headers = {{"Host", "calls.example"},
                       {"Request-Id", "r" + std::to_string(f.next_id++)},
                       {"Deadline-Ms", "500"},
                       {"Authorization", "Token key-1"}};
    asio::co_spawn(
        f.context,
        Fetch(f.pool, f.running.state->caller_server.address, request, options),
        [&](const std::exception_ptr&, const auto& response) {
          ++done;
          out.push_back(response ? response->status : 0);
        });
  }
  const instant limit = std::chrono::steady_clock::now() + seconds(4);
  while (done < count && std::chrono::steady_clock::now() < limit) {
    f.context.restart();
    f.context.run_for(milliseconds(5));
    peak = std::max(peak, ResidentBytes());
  }
  return out;
}

TEST(EndlessResponse, RequestsEndByTheirDeadlineAndNoAnswerLooksComplete) {
  constexpr int kRequests = 40;
  for (const std::string_view path :
       {kNonIdempotentPath, kIdempotentPath, kStreamPath}) {
    for (const bool is_slow : {false, true}) {
      for (const endless_script& script : EndlessScripts()) {
        SCOPED_TRACE(std::string(path) + ", " + script.name +
                     (is_slow ? ", slowly" : ""));
        endless_fixture f;
        f.StartWith(script, is_slow);
        const std::size_t before = ResidentBytes();
        std::size_t peak = before;
        const instant start = std::chrono::steady_clock::now();
        const auto statuses = SendAtOnce(f, path, kRequests, peak);
        EXPECT_LT(std::chrono::steady_clock::now() - start,
                  milliseconds(1'000));
        EXPECT_EQ(statuses.size(), static_cast<std::size_t>(kRequests));
        for (const unsigned status : statuses)
          EXPECT_TRUE(status == 0 || status == 502 || status == 504 ||
                      status == 503)
              << status;
        EXPECT_LT(peak - before, kMaxGrowth);
      }
    }
  }
}

// The VM stalls while the end of a response arrives, until after the deadline.
TEST(EndlessResponse, CompleteResponseThatIsReadAfterAStallIsDelivered) {
  entry_fixture f;
  f.caller_deadline_ms = 300;
  asio::ip::tcp::acceptor acceptor(f.context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  PutObject(*f.store, "servers", "p1",
            EntryTargetRecord({"127.0.0.1", acceptor.local_endpoint().port()},
                              "panel", 0));
  asio::co_spawn(
      f.context,
      [&]() -> asio::awaitable<void> {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::string bytes(4096, '\0');
        co_await socket.async_read_some(asio::buffer(bytes),
                                        asio::use_awaitable);
        const std::string beginning =
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
            "Content-Length: 8\r\n\r\nhalf";
        co_await asio::async_write(socket, asio::buffer(beginning),
                                   asio::use_awaitable);
        asio::steady_timer timer(f.context, milliseconds(200));
        co_await timer.async_wait(asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer("half", 4),
                                   asio::use_awaitable);
        std::this_thread::sleep_for(milliseconds(200));
      },
      asio::detached);
  f.Start(1);
  const auto response = f.Send(kNonIdempotentPath);
  EXPECT_EQ(response->status, 200u);
  EXPECT_EQ(response->body, "halfhalf");
  acceptor.close();
}

// A complete response, then bytes without end on the kept connection.
TEST(EndlessResponse, BytesAfterAResponseBelongToNoRequest) {
  entry_fixture f;
  endless_script script{"after", "", std::string(kFillerBytes, 'x')};
  script.beginning =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
      "Content-Length: 4\r\n\r\nbody";
  endless_target target(f.context, script);
  PutObject(*f.store, "servers", "p1",
            EntryTargetRecord(target.Address(), "panel", 0));
  f.Start(1);
  EXPECT_EQ(f.Send(kIdempotentPath)->body, "body");
  EXPECT_TRUE(f.RunUntil([&] { return target.open == 0; }));
  target.acceptor.close();
}

}  // namespace
}  // namespace waxwing
