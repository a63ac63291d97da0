// Tests of what callers see at the limits of a server, while these change and
// while it stops: each complete request gets a response, each incomplete one
// status 408.

#include <gtest/gtest.h>

#include <boost/beast.hpp>
#include <list>
#include <random>

#include "testing/entry_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);

// What a caller saw of one request.
enum class seen_end { kResponse, kNothing, kPartOfResponse };

struct seen_response {
  seen_end end = seen_end::kNothing;
  unsigned status = 0;
};

std::string MakePost(std::string_view path, std::size_t body_bytes) {
  return "POST " + std::string(path) +
         " HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: r\r\n"
         "Authorization: Token key-1\r\nDeadline-Ms: 1000\r\n"
         "Content-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
}

asio::awaitable<void> Sleep(duration time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(kUseTuple);
}

asio::awaitable<seen_response> ReadResponse(tcp::socket& socket) {
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  auto [error, bytes] =
      co_await http::async_read(socket, buffer, parser, kUseTuple);
  if (!error)
    co_return seen_response{seen_end::kResponse, parser.get().result_int()};
  co_return seen_response{parser.got_some() ? seen_end::kPartOfResponse
                                            : seen_end::kNothing};
}

// Callers whose test process stalls for longer than this do not keep to their
// limits.
constexpr milliseconds kMaxStall{50};

// Sleeps. Returns false if the process has stalled.
asio::awaitable<bool> SleepInTime(duration time) {
  const instant due = std::chrono::steady_clock::now() + time;
  co_await Sleep(time);
  co_return std::chrono::steady_clock::now() < due + kMaxStall;
}

// Sends a request in `parts` pieces over `time`, unless the connection breaks.
// Sets `is_stalled` if the process has stalled meanwhile.
asio::awaitable<void> WriteOver(std::shared_ptr<tcp::socket> socket,
                                std::string bytes,
                                duration time,
                                std::size_t parts,
                                std::shared_ptr<bool> is_stalled) {
  const std::size_t length = bytes.size() / parts + 1;
  for (std::size_t at = 0; at < bytes.size(); at += length) {
    if (at > 0 && !co_await SleepInTime(time / static_cast<int>(parts - 1)))
      *is_stalled = true;
    const auto part = asio::buffer(bytes) + at;
    auto [error, written] = co_await asio::async_write(
        *socket, asio::buffer(part, length), kUseTuple);
    if (error)
      co_return;
  }
}

// A server whose handler responds after `delay`.
struct limited_server {
  asio::io_context context;
  http_server server;
  milliseconds delay{0};

  explicit limited_server(const http_limits& limits) {
    server = *StartHttpServer(
        context.get_executor(), {"127.0.0.1", 0}, limits,
        [this](http_exchange& exchange) -> asio::awaitable<void> {
          if (delay.count() > 0)
            co_await Sleep(delay);
          const http_response response{200, {}, "ok"};
          co_await Respond(exchange, response);
        });
  }
  ~limited_server() {
    CloseServer(server);
    Run(milliseconds(50));
  }

  tcp::endpoint Address() const {
    return {asio::ip::make_address("127.0.0.1"), server.address.port};
  }
  std::list<tcp::socket> Connect(std::size_t count) {
    std::list<tcp::socket> out;
    for (std::size_t i = 0; i < count; ++i)
      out.emplace_back(context).connect(Address());
    return out;
  }
  void Run(duration time) {
    context.restart();
    context.run_for(time);
  }
  // Reads one response on each connection for at most `time`; returns how many
  // came.
  std::size_t CountResponses(std::list<tcp::socket>& callers, duration time) {
    std::size_t responses = 0;
    for (tcp::socket& caller : callers) {
      asio::co_spawn(
          context, ReadResponse(caller),
          [&responses](const std::exception_ptr&, const seen_response& seen) {
            responses += seen.end == seen_end::kResponse;
          });
    }
    Run(time);
    for (tcp::socket& caller : callers)
      caller.close();
    Run(milliseconds(20));
    return responses;
  }
};

bool IsOpen(tcp::socket& socket) {
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <
             0 &&
         errno == EAGAIN;
}

void WriteAll(std::list<tcp::socket>& callers, const std::string& bytes) {
  for (tcp::socket& caller : callers)
    asio::write(caller, asio::buffer(bytes));
}

// Limits of which the tests change the times; small, so that tests are short.
http_limits ShortLimits(milliseconds read_timeout, milliseconds idle_timeout) {
  http_limits out;
  out.read_timeout = read_timeout;
  out.idle_timeout = idle_timeout;
  return out;
}

TEST(LimitsChange, LateRequestGets408) {
  limited_server f(ShortLimits(milliseconds(300), milliseconds(2'000)));
  for (const std::size_t body_bytes : {0UL, 4'000UL}) {
    for (const std::size_t sent : {10UL, 200UL}) {
      if (sent > MakePost("/", body_bytes).size())
        continue;
      auto callers = f.Connect(5);
      WriteAll(callers, MakePost("/", body_bytes).substr(0, sent));
      std::size_t timeouts = 0;
      for (tcp::socket& caller : callers) {
        asio::co_spawn(
            f.context, ReadResponse(caller),
            [&](const std::exception_ptr&, const seen_response& seen) {
              timeouts += seen.status == 408;
            });
      }
      f.Run(milliseconds(700));
      EXPECT_EQ(timeouts, callers.size())
          << sent << " bytes of a request with a body of " << body_bytes;
    }
  }
}

TEST(LimitsChange, IdleConnectionIsClosed) {
  limited_server f(ShortLimits(milliseconds(300), milliseconds(300)));
  auto unused = f.Connect(5);
  auto kept = f.Connect(5);
  WriteAll(kept, MakePost("/", 10));
  f.Run(milliseconds(1'500));
  std::size_t open = 0;
  char response[4'096];
  for (tcp::socket& caller : kept)
    caller.read_some(asio::buffer(response));
  for (auto* callers : {&unused, &kept}) {
    for (tcp::socket& caller : *callers)
      open += IsOpen(caller);
  }
  EXPECT_EQ(open, 0u) << "after five times the limit";
}

// The limits become shorter just before a caller pauses, or sends a request,
// for a time that the limits allow that it knows.
TEST(LimitsChange, CallersThatKnowOnlyTheLongerLimitGetAResponse) {
  const http_limits longer =
      ShortLimits(milliseconds(1'000), milliseconds(1'000));
  const http_limits shorter = ShortLimits(milliseconds(300), milliseconds(300));
  for (const bool is_pause : {false, true}) {
    limited_server f(longer);
    auto callers = f.Connect(5);
    const std::string request = MakePost("/", 10);
    WriteAll(callers, request);
    f.Run(milliseconds(100));
    char response[4'096];
    for (tcp::socket& caller : callers)
      caller.read_some(asio::buffer(response));
    SetLimits(f.server, shorter);
    if (!is_pause)
      WriteAll(callers, request.substr(0, 20));
    f.Run(milliseconds(700));
    boost::system::error_code ignored;
    for (tcp::socket& caller : callers)
      asio::write(caller, asio::buffer(is_pause ? request : request.substr(20)),
                  ignored);
    EXPECT_EQ(f.CountResponses(callers, milliseconds(300)), callers.size())
        << (is_pause ? "after a pause" : "while sending");
  }
}

TEST(LimitsChange, RequestsThatHaveArrivedBeforeAStopGetAResponse) {
  limited_server f({});
  auto callers = f.Connect(20);
  f.Run(milliseconds(50));
  WriteAll(callers, MakePost("/", 10));
  StopAccepting(f.server);
  EXPECT_EQ(f.CountResponses(callers, milliseconds(500)), callers.size());
}

TEST(LimitsChange, ConnectionsWithARequestAreNotClosedForNewOnes) {
  http_limits limits;
  limits.max_connections = 20;
  for (const bool connects_first : {false, true}) {
    limited_server f(limits);
    auto callers = f.Connect(20);
    f.Run(milliseconds(50));
    std::list<tcp::socket> more;
    if (connects_first)
      more = f.Connect(20);
    WriteAll(callers, MakePost("/", 10));
    if (!connects_first)
      more = f.Connect(20);
    EXPECT_EQ(f.CountResponses(callers, milliseconds(500)), callers.size())
        << connects_first;
  }
}

TEST(LimitsChange, ConnectionsAboveABusyLimitGetARefusal) {
  http_limits limits;
  limits.max_connections = 20;
  limited_server f(limits);
  f.delay = milliseconds(300);
  auto callers = f.Connect(20);
  WriteAll(callers, MakePost("/", 10));
  f.Run(milliseconds(100));
  auto more = f.Connect(20);
  WriteAll(more, MakePost("/", 10));
  EXPECT_EQ(f.CountResponses(more, milliseconds(800)), more.size());
}

TEST(LimitsChange, CallerThatEndsItsSendingSideGetsAResponse) {
  entry_fixture f;
  f.AddTarget("p1", "panel", [](const http_request& request) {
    scripted_response out = RespondOk(request);
    out.delay = milliseconds(100);
    return out;
  });
  f.Start(1);
  const tcp::endpoint address(asio::ip::make_address("127.0.0.1"),
                              f.running.state->caller_server.address.port);
  for (const std::string_view path : {kIdempotentPath, kNonIdempotentPath}) {
    tcp::socket caller(f.context);
    caller.connect(address);
    asio::write(caller, asio::buffer(MakePost(path, 10)));
    caller.shutdown(tcp::socket::shutdown_send);
    const auto seen = RunToEnd(f.context, ReadResponse(caller));
    EXPECT_EQ(seen.end, seen_end::kResponse) << path;
  }
}

// The entry's first configuration comes after its start; the limit of
// connections is that of the process.
TEST(LimitsChange, ConfigurationKeepsTheLimitOfConnections) {
  constexpr std::size_t kDescriptors = 2'050;
  constexpr std::size_t kConnections = kDescriptors - 1'000;
  entry_fixture f;
  entry_options options;
  options.store = f.store->server.address;
  options.key = "test";
  options.max_descriptors = kDescriptors;
  f.running = *StartEntry(f.context.get_executor(), options,
                          platform::MakeProtocolAdapter());
  ASSERT_TRUE(f.RunUntil([&] { return f.running.state->table->version > 0; }));
  const tcp::endpoint address(asio::ip::make_address("127.0.0.1"),
                              f.running.state->caller_server.address.port);
  std::list<tcp::socket> callers;
  for (std::size_t i = 0; i < kConnections + 100; ++i) {
    callers.emplace_back(f.context).connect(address);
    f.context.restart();
    f.context.poll();
  }
  f.context.run_for(milliseconds(200));
  std::size_t open = 0;
  for (tcp::socket& caller : callers)
    open += IsOpen(caller);
  EXPECT_LE(open, kConnections);
}

TEST(LimitsChange, StopAnswersRequestsThatStillWait) {
  entry_fixture f;
  f.AddTarget("p1", "panel", [](const http_request& request) {
    scripted_response out = RespondOk(request);
    out.delay = milliseconds(3'000);
    return out;
  });
  f.Start(1);
  // Callers keep the directory's response for three lifetimes.
  f.running.state->options.bounds.max_directory_ttl = milliseconds(100);
  f.running.state->options.bounds.stop_timeout = milliseconds(900);
  const tcp::endpoint address(asio::ip::make_address("127.0.0.1"),
                              f.running.state->caller_server.address.port);
  std::size_t responses = 0;
  std::list<tcp::socket> callers;
  for (int i = 0; i < 20; ++i) {
    tcp::socket& caller = callers.emplace_back(f.context);
    caller.connect(address);
    asio::write(caller, asio::buffer(MakePost(
                            i % 2 ? kIdempotentPath : kNonIdempotentPath, 10)));
    asio::co_spawn(f.context, ReadResponse(caller),
                   [&](const std::exception_ptr&, const seen_response& seen) {
                     responses += seen.end == seen_end::kResponse;
                   });
  }
  f.RunUntil([&] { return f.targets[0]->requests.size() == 20; });
  RunToEnd(f.context, DrainEntry(f.running));
  f.context.restart();
  f.context.run_for(milliseconds(200));
  EXPECT_EQ(responses, callers.size());
}

// --- Limits that change while requests are sent.

// Callers learn of a change of the limits up to this much later than the
// server.
constexpr milliseconds kMaxNoticeDelay{100};
// Callers use at most this share of a limit that they know.
constexpr double kUsedShare = 0.8;

milliseconds Scale(milliseconds limit, double share) {
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(limit.count()) * share));
}

// What callers saw of requests sent in time, and of those sent too slowly.
struct seen_counts {
  int served = 0;
  int refused = 0;
  int unanswered = 0;
  int late = 0;
  int late_unanswered = 0;
  std::string first_failure;
};

enum class caller_kind { kFast, kSlow, kOftenLate };

// Callers on kept connections, while the limits of the server change.
struct changing_limits {
  asio::io_context& context;
  tcp::endpoint address;
  std::function<void(const http_limits&)> change;
  std::mt19937_64 random;
  instant end;
  http_limits known;
  seen_counts counts;
  int running = 0;

  std::int64_t Pick(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(random);
  }
  bool IsOver() const { return std::chrono::steady_clock::now() >= end; }

  asio::awaitable<void> ChangeLimits() {
    ++running;
    while (!IsOver()) {
      co_await Sleep(milliseconds(Pick(100, 1'000)));
      http_limits limits = known;
      limits.read_timeout = milliseconds(Pick(300, 1'000));
      limits.idle_timeout = milliseconds(Pick(400, 1'500));
      change(limits);
      co_await Sleep(milliseconds(Pick(0, kMaxNoticeDelay.count())));
      known = limits;
    }
    --running;
  }

  // Sends one request. Returns false if the connection is not used again.
  asio::awaitable<bool> CallOnce(std::shared_ptr<tcp::socket> socket,
                                 caller_kind kind) {
    const bool is_late = kind == caller_kind::kOftenLate && Pick(0, 3) == 0;
    const milliseconds limit = known.read_timeout;
    const milliseconds time = kind == caller_kind::kFast
                                  ? milliseconds(0)
                                  : Scale(limit, is_late ? 2 : kUsedShare);
    const instant began = std::chrono::steady_clock::now();
    const auto is_stalled = std::make_shared<bool>(false);
    asio::co_spawn(
        context,
        WriteOver(
            socket,
            MakePost(kIdempotentPath, static_cast<std::size_t>(Pick(0, 6'000))),
            time, kind == caller_kind::kFast ? 1 : 4, is_stalled),
        asio::detached);
    const seen_response seen = co_await ReadResponse(*socket);
    if (is_late) {
      ++counts.late;
      counts.late_unanswered += seen.end != seen_end::kResponse;
      co_return false;
    }
    if (seen.status == 200) {
      ++counts.served;
      co_return true;
    }
    if (*is_stalled)
      co_return false;
    ++(seen.end == seen_end::kResponse ? counts.refused : counts.unanswered);
    if (counts.first_failure.empty())
      counts.first_failure =
          "status " + std::to_string(seen.status) + " after " +
          std::to_string(ToMs(std::chrono::steady_clock::now() - began)) +
          " ms, sent over " + std::to_string(time.count()) + " of " +
          std::to_string(limit.count()) + " ms";
    co_return false;
  }

  asio::awaitable<void> Call(caller_kind kind) {
    ++running;
    while (!IsOver()) {
      const auto socket = std::make_shared<tcp::socket>(context);
      auto [error] = co_await socket->async_connect(address, kUseTuple);
      bool is_usable = !error;
      while (is_usable && !IsOver()) {
        is_usable = co_await CallOnce(socket, kind);
        const milliseconds pause(
            Pick(0, Scale(known.idle_timeout, kUsedShare).count()));
        if (is_usable)
          is_usable = co_await SleepInTime(pause);
      }
    }
    --running;
  }

  void Run() {
    asio::co_spawn(context, ChangeLimits(), asio::detached);
    for (int i = 0; i < 13; ++i) {
      for (const caller_kind kind :
           {caller_kind::kFast, caller_kind::kSlow, caller_kind::kOftenLate})
        asio::co_spawn(context, Call(kind), asio::detached);
    }
    while (!IsOver() || running > 0) {
      context.restart();
      context.run_for(milliseconds(50));
    }
    EXPECT_GT(counts.served, 50);
    EXPECT_EQ(counts.refused, 0)
        << "of " << counts.served << ", " << counts.first_failure;
    EXPECT_EQ(counts.unanswered, 0)
        << "of " << counts.served << ", " << counts.first_failure;
    EXPECT_GT(counts.late, 2);
    EXPECT_EQ(counts.late_unanswered, 0) << "of " << counts.late;
  }
};

// Limits at the start; Run() opens half as many connections.
http_limits FirstLimits() {
  http_limits out = ShortLimits(milliseconds(500), milliseconds(1'000));
  out.max_connections = 80;
  return out;
}

constexpr std::uint64_t kSeeds[] = {1, 2, 3};
constexpr milliseconds kRunTime{2'000};

TEST(LimitsChange, ServerRespondsToRequestsSentInTime) {
  for (const std::uint64_t seed : kSeeds) {
    SCOPED_TRACE(seed);
    limited_server f(FirstLimits());
    f.delay = milliseconds(20);
    changing_limits run{
        f.context,
        f.Address(),
        [&](const http_limits& limits) { SetLimits(f.server, limits); },
        std::mt19937_64(seed),
        std::chrono::steady_clock::now() + kRunTime,
        FirstLimits()};
    run.Run();
  }
}

std::string ConfigWithLimits(int version, const http_limits& limits) {
  auto config = boost::json::parse(EntryConfig(version)).as_object();
  config["limits"] =
      boost::json::object{{"max_header_bytes", limits.max_header_bytes},
                          {"max_body_bytes", limits.max_body_bytes},
                          {"header_timeout_ms", limits.read_timeout.count()},
                          {"idle_timeout_ms", limits.idle_timeout.count()}};
  return boost::json::serialize(config);
}

TEST(LimitsChange, EntryRespondsToRequestsSentInTime) {
  for (const std::uint64_t seed : kSeeds) {
    SCOPED_TRACE(seed);
    entry_fixture f;
    int version = 2;
    PutObject(*f.store, "config", "main",
              ConfigWithLimits(version, FirstLimits()));
    f.AddTarget("p1", "panel", RespondOk);
    f.AddTarget("p2", "panel", RespondOk);
    f.Start(2);
    changing_limits run{f.context,
                        {asio::ip::make_address("127.0.0.1"),
                         f.running.state->caller_server.address.port},
                        [&](const http_limits& limits) {
                          PutObject(*f.store, "config", "main",
                                    ConfigWithLimits(++version, limits));
                        },
                        std::mt19937_64(seed),
                        std::chrono::steady_clock::now() + kRunTime,
                        FirstLimits()};
    run.Run();
  }
}

}  // namespace
}  // namespace waxwing
