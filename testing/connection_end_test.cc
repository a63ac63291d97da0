// How connections of callers end: each end has a response or a report with its
// reason.

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <optional>
#include <set>
#include <thread>

#include "testing/event_loop.h"
#include "waxwing/http_client.h"
#include "waxwing/http_server.h"

namespace waxwing {
namespace {

namespace asio = boost::asio;

// A server whose handler responds to /echo, never responds to /hang, cuts the
// stream of /cut and does not end that of /forgotten; and callers that write
// raw bytes.
struct fixture {
  asio::io_context context;
  http_server server;
  std::vector<connection_report> reports;
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> callers;
  asio::steady_timer hanging{context};

  explicit fixture(const http_limits& limits = {}) {
    hanging.expires_at(instant::max());
    server = *StartHttpServer(
        context.get_executor(), {"127.0.0.1", 0}, limits,
        [this](http_exchange& exchange) { return Handle(exchange); });
    ObserveConnections(server, [this](const connection_report& report) {
      reports.push_back(report);
    });
  }
  ~fixture() {
    CloseServer(server);
    hanging.cancel();
    Run(milliseconds(20));
  }

  asio::awaitable<void> Handle(http_exchange& exchange) {
    exchange.id = "r1";
    if (exchange.request.target == "/hang")
      co_await hanging.async_wait(asio::as_tuple(asio::use_awaitable));
    if (exchange.request.target == "/cut" ||
        exchange.request.target == "/forgotten") {
      const http_response head{200, {}, ""};
      co_await BeginStream(exchange, head);
      if (exchange.request.target == "/cut")
        AbortExchange(exchange);
      co_return;
    }
    const std::size_t size =
        exchange.request.target == "/large" ? 64 * 1024 * 1024 : 4;
    const http_response response{200, {}, std::string(size, 'x')};
    co_await Respond(exchange, response);
  }

  void Run(milliseconds time) {
    context.restart();
    context.run_for(time);
  }
  bool RunUntil(const std::function<bool()>& condition,
                milliseconds limit = seconds(3)) {
    const instant end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context.restart();
      context.run_one_for(milliseconds(10));
    }
    return condition();
  }

  asio::ip::tcp::socket& Connect() {
    callers.push_back(std::make_unique<asio::ip::tcp::socket>(context));
    callers.back()->connect(
        {asio::ip::make_address("127.0.0.1"), server.address.port});
    Run(milliseconds(5));
    return *callers.back();
  }
  asio::ip::tcp::socket& Send(const std::string& bytes) {
    asio::ip::tcp::socket& caller = Connect();
    asio::write(caller, asio::buffer(bytes));
    Run(milliseconds(20));
    return caller;
  }
  // Reads until the server closes the connection or the time is over.
  std::string ReadAll(asio::ip::tcp::socket& caller) {
    std::string out;
    bool is_done = false;
    asio::async_read(
        caller, asio::dynamic_buffer(out),
        [&](const boost::system::error_code&, std::size_t) { is_done = true; });
    RunUntil([&] { return is_done; });
    return out;
  }
  std::optional<connection_report> FindReport(connection_end end) {
    RunUntil([&] { return Find(end) != reports.end(); });
    const auto found = Find(end);
    return found == reports.end() ? std::nullopt : std::optional(*found);
  }
  std::vector<connection_report>::const_iterator Find(connection_end end) {
    return std::find_if(reports.begin(), reports.end(),
                        [&](const auto& r) { return r.end == end; });
  }
};

constexpr std::string_view kRequest = "GET /echo HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr std::string_view kHalfRequest = "GET /echo HTTP/1.1\r\nHo";

std::string RequestFor(std::string_view target) {
  return "GET " + std::string(target) + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

// Provokes one way in which a connection ends.
using provocation = void (*)(fixture&);

struct way {
  connection_end end;
  provocation provoke;
  // Whether the caller's last request was read, and lacks a response.
  bool is_read = false;
  bool lacks_response = false;
  http_limits limits;
};

http_limits Limits(std::size_t connections, milliseconds timeout) {
  http_limits out;
  out.max_connections = connections;
  out.read_timeout = timeout;
  out.write_timeout = timeout;
  return out;
}

http_limits IdleLimits(milliseconds timeout) {
  http_limits out;
  out.idle_timeout = timeout;
  return out;
}

const std::vector<way>& Ways() {
  constexpr milliseconds kShort{100};
  constexpr milliseconds kLong{10'000};
  static const std::vector<way> ways = {
      {connection_end::kResponded,
       [](fixture& f) {
         f.Send("GET /echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
       },
       true},
      {connection_end::kCallerLeft,
       [](fixture& f) { f.Send(std::string(kRequest)).close(); }},
      {connection_end::kCallerBroke,
       [](fixture& f) {
         f.Send(std::string(kHalfRequest))
             .shutdown(asio::ip::tcp::socket::shutdown_send);
       }},
      {connection_end::kCallerGone,
       [](fixture& f) {
         auto& caller = f.Send(RequestFor("/hang"));
         caller.set_option(asio::socket_base::linger(true, 0));
         caller.close();
         f.hanging.cancel();
       },
       true, false},
      {connection_end::kUnread,
       [](fixture& f) { f.Send(RequestFor("/large")); }, true, true,
       Limits(4096, kShort)},
      {connection_end::kLate,
       [](fixture& f) { f.Send(std::string(kHalfRequest)); }, false, false,
       Limits(4096, kShort)},
      {connection_end::kMalformed,
       [](fixture& f) { f.Send("nonsense\r\n\r\n"); }},
      {connection_end::kAborted, [](fixture& f) { f.Send(RequestFor("/cut")); },
       true, true},
      {connection_end::kIdle, [](fixture& f) { f.Connect(); }, false, false,
       IdleLimits(kShort)},
      {connection_end::kDisplaced,
       [](fixture& f) {
         f.Connect();
         f.Connect();
       },
       false, false, Limits(1, kLong)},
      {connection_end::kRefused,
       [](fixture& f) {
         f.Send(RequestFor("/hang"));
         f.Connect();
       },
       false, false, Limits(1, kLong)},
      {connection_end::kStopped,
       [](fixture& f) {
         f.Connect();
         StopAccepting(f.server);
       }},
      {connection_end::kClosed,
       [](fixture& f) {
         f.Send(RequestFor("/hang"));
         CloseServer(f.server);
         f.hanging.cancel();
       },
       true, true},
  };
  return ways;
}

TEST(ConnectionEnd, EachEndIsReportedWithItsReason) {
  std::set<connection_end> provoked;
  for (const way& each : Ways()) {
    SCOPED_TRACE(NameOf(each.end));
    fixture f(each.limits);
    each.provoke(f);
    const auto report = f.FindReport(each.end);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->is_read, each.is_read);
    EXPECT_EQ(LacksResponse(*report), each.lacks_response);
    EXPECT_EQ(report->request_id, each.is_read ? "r1" : "");
    provoked.insert(each.end);
  }
  for (const connection_end end : kConnectionEnds) {
    EXPECT_NE(NameOf(end), "unknown");
    EXPECT_TRUE(provoked.contains(end) || end == connection_end::kFailed)
        << NameOf(end);
  }
}

TEST(ConnectionEnd, RequestThatIsNotCompleteInTimeGets408) {
  for (const std::string_view part :
       {kHalfRequest,
        std::string_view("POST /echo HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"),
        std::string_view("POST /echo HTTP/1.1\r\nTransfer-Encoding: "
                         "chunked\r\n\r\n4\r\nab")}) {
    SCOPED_TRACE(part);
    fixture f(Limits(4096, milliseconds(100)));
    const std::string response = f.ReadAll(f.Send(std::string(part)));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 408")) << response;
  }
}

TEST(ConnectionEnd, RequestThatArrivesSlowlyButInTimeIsServed) {
  fixture f(Limits(4096, milliseconds(500)));
  asio::ip::tcp::socket& caller = f.Connect();
  for (const char byte : RequestFor("/echo")) {
    asio::write(caller, asio::buffer(&byte, 1));
    f.Run(milliseconds(2));
  }
  f.Run(milliseconds(20));
  EXPECT_GT(caller.available(), 0U);
}

TEST(ConnectionEnd, CompleteRequestThatIsReadAfterAStallIsServed) {
  fixture f(Limits(4096, milliseconds(100)));
  const std::string body(20'000, 'x');
  asio::ip::tcp::socket& caller =
      f.Send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\n");
  asio::write(caller, asio::buffer(body));
  std::this_thread::sleep_for(milliseconds(200));
  f.Run(milliseconds(50));
  std::string response(16, '\0');
  ASSERT_GE(caller.available(), response.size());
  asio::read(caller, asio::buffer(response));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
}

TEST(ConnectionEnd, CallerThatKeepsSendingDoesNotExtendTheTimeLimit) {
  fixture f(Limits(4096, milliseconds(100)));
  asio::ip::tcp::socket& caller =
      f.Send("POST /echo HTTP/1.1\r\nContent-Length: 100000\r\n\r\n");
  const instant began = std::chrono::steady_clock::now();
  while (f.Find(connection_end::kLate) == f.reports.end() &&
         std::chrono::steady_clock::now() < began + seconds(2)) {
    boost::system::error_code ignored;
    asio::write(caller, asio::buffer("x", 1), ignored);
    f.Run(milliseconds(2));
  }
  EXPECT_LT(std::chrono::steady_clock::now() - began, seconds(1));
}

TEST(ConnectionEnd, NewRequestLimitsLeaveTheLimitOfConnections) {
  constexpr std::size_t kConnections = 4;
  fixture f(Limits(kConnections, seconds(10)));
  SetLimits(f.server, {});
  for (std::size_t i = 0; i < 2 * kConnections; ++i)
    f.Send(RequestFor("/hang"));
  const auto refused = std::count_if(
      f.reports.begin(), f.reports.end(),
      [](const auto& r) { return r.end == connection_end::kRefused; });
  EXPECT_EQ(refused, static_cast<std::ptrdiff_t>(kConnections));
}

// The bytes are in the socket when the server decides, before it reads them.
TEST(ConnectionEnd, RequestThatArrivesAsTheServerStopsGetsAResponse) {
  fixture f;
  asio::ip::tcp::socket& caller = f.Connect();
  asio::write(caller, asio::buffer(kRequest));
  StopAccepting(f.server);
  const std::string response = f.ReadAll(caller);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
}

TEST(ConnectionEnd, RequestThatArrivesAtTheLimitOfConnectionsGetsAResponse) {
  fixture f(Limits(1, seconds(10)));
  asio::ip::tcp::socket& caller = f.Connect();
  asio::ip::tcp::socket other(f.context);
  other.connect({asio::ip::make_address("127.0.0.1"), f.server.address.port});
  asio::write(caller, asio::buffer(kRequest));
  f.Run(milliseconds(50));
  std::string response(12, '\0');
  ASSERT_GE(caller.available(), response.size());
  asio::read(caller, asio::buffer(response));
  EXPECT_EQ(response, "HTTP/1.1 200");
}

TEST(ConnectionEnd, ShorterIdleLimitDoesNotCloseBeforeTheOneThatCallersKnow) {
  fixture f(IdleLimits(milliseconds(400)));
  asio::ip::tcp::socket& caller = f.Send(std::string(kRequest));
  SetLimits(f.server, IdleLimits(milliseconds(50)));
  for (int i = 0; i < 2; ++i) {
    f.Run(milliseconds(300));
    EXPECT_TRUE(f.reports.empty());
    asio::write(caller, asio::buffer(kRequest));
    f.Run(milliseconds(30));
  }
  const auto report = f.FindReport(connection_end::kIdle);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->requests, 3U);
}

TEST(ConnectionEnd, LongerIdleLimitHoldsForConnectionsThatAreIdle) {
  fixture f(IdleLimits(milliseconds(100)));
  f.Send(std::string(kRequest));
  SetLimits(f.server, IdleLimits(milliseconds(400)));
  f.Run(milliseconds(250));
  EXPECT_TRUE(f.reports.empty());
  EXPECT_TRUE(f.FindReport(connection_end::kIdle));
}

TEST(ConnectionEnd, ResponseThatIsBegunAndNotEndedClosesTheConnection) {
  fixture f;
  f.Send(RequestFor("/forgotten"));
  const auto report = f.FindReport(connection_end::kAborted);
  ASSERT_TRUE(report);
  EXPECT_TRUE(LacksResponse(*report));
}

}  // namespace
}  // namespace waxwing
