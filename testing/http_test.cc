// Tests of the HTTP server and client, mostly with misbehaving peers.

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <thread>

#include "testing/event_loop.h"
#include "waxwing/http_client.h"
#include "waxwing/http_server.h"
#include "waxwing/log.h"
#include "waxwing/sse.h"

namespace waxwing {
namespace {

namespace asio = boost::asio;

using testing_support::RunToEnd;

struct fixture {
  asio::io_context context;
  http_server server;
  http_pool pool;
  int handled = 0;

  explicit fixture(const http_limits& limits = {}) {
    server = *StartHttpServer(
        context.get_executor(), {"127.0.0.1", 0}, limits,
        [this](http_exchange& exchange) -> asio::awaitable<void> {
          ++handled;
          const http_response response{200, {}, exchange.request.body};
          co_await Respond(exchange, response);
        });
    pool = MakeHttpPool(context.get_executor(), {});
  }
  ~fixture() { CloseServer(server); }

  tl::expected<http_response, http_error> Post(std::string body, bool reuse) {
    http_request request{"POST", "/", {}, std::move(body)};
    const http_call_options options{milliseconds(300), reuse};
    return RunToEnd(context, Fetch(pool, server.address, request, options));
  }
};

TEST(Http, FetchReturnsTheResponseBody) {
  fixture f;
  const auto response = f.Post("hello", true);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body, "hello");
}

// The second call is sent on the idle connection of the first. The peer closes
// that connection and its listener, so that connecting anew fails.
TEST(Http, FailureOnAReusedConnectionIsReportedAsMaybeSent) {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  const endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::string bytes(1024, '\0');
        co_await socket.async_read_some(asio::buffer(bytes),
                                        asio::use_awaitable);
        const std::string response =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(response),
                                   asio::use_awaitable);
        co_await socket.async_read_some(asio::buffer(bytes),
                                        asio::use_awaitable);
        acceptor.close();
        socket.close();
      },
      asio::detached);
  const http_pool pool = MakeHttpPool(context.get_executor(), {});
  const http_call_options options{milliseconds(1'000), true};
  const http_request request;
  ASSERT_TRUE(RunToEnd(context, Fetch(pool, address, request, options)));
  const auto second = RunToEnd(context, Fetch(pool, address, request, options));
  ASSERT_FALSE(second);
  EXPECT_TRUE(second.error().maybe_sent);
}

TEST(Log, LinesAboveTheLimitPerSecondAreRejected) {
  detail::log_rate_limit rate_limit;
  for (int i = 0; i < kMaxLogLinesPerSecond; ++i)
    EXPECT_TRUE(detail::AllowLogLine(rate_limit, 7));
  EXPECT_FALSE(detail::AllowLogLine(rate_limit, 7));
  EXPECT_TRUE(detail::AllowLogLine(rate_limit, 8));
}

// Sends raw bytes and returns all that is received until the server closes.
std::string SendRaw(fixture& f, const std::string& bytes) {
  asio::ip::tcp::socket caller(f.context);
  caller.connect({asio::ip::make_address("127.0.0.1"), f.server.address.port});
  asio::write(caller, asio::buffer(bytes));
  std::string response;
  boost::system::error_code error;
  bool done = false;
  asio::async_read(
      caller, asio::dynamic_buffer(response),
      [&](const boost::system::error_code&, std::size_t) { done = true; });
  const instant deadline = std::chrono::steady_clock::now() + seconds(3);
  while (!done && std::chrono::steady_clock::now() < deadline) {
    f.context.restart();
    f.context.run_one_for(milliseconds(20));
  }
  caller.close(error);
  f.context.restart();
  f.context.poll();
  return response;
}

TEST(Http, AmbiguousBodyFramingIsRejected) {
  const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n";
  for (const char* framing :
       {"Transfer-Encoding: xchunked", "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: gzip, chunked",
        "Content-Length: 0\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Content-Length: 0\r\nContent-Length: 0", "Content-Length: +0",
        "Transfer-Encoding : chunked"}) {
    fixture f;
    const std::string response =
        SendRaw(f, std::string("POST / HTTP/1.1\r\nHost: x\r\n") + framing +
                       "\r\n\r\n" + smuggled);
    EXPECT_EQ(f.handled, 0) << framing;
    EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << framing << response;
  }
}

TEST(Http, IdleConnectionsDoNotBlockNewCallers) {
  http_limits limits;
  limits.max_connections = 4;
  fixture f(limits);
  std::vector<asio::ip::tcp::socket> idle;
  for (int i = 0; i < 10; ++i) {
    idle.emplace_back(f.context);
    idle.back().connect(
        {asio::ip::make_address("127.0.0.1"), f.server.address.port});
    f.context.run_for(milliseconds(5));
  }
  EXPECT_TRUE(f.Post("x", false));
}

TEST(Http, CallsWithoutReuseLeaveNoOpenConnection) {
  http_limits limits;
  limits.max_connections = 4;
  fixture f(limits);
  for (int i = 0; i < 20; ++i)
    EXPECT_TRUE(f.Post("x", false));
}

TEST(Http, AbortedCallIsNotSentOnAKeptConnection) {
  fixture f;
  ASSERT_TRUE(f.Post("first", true));
  http_abort abort;
  Abort(abort);
  http_request request{"POST", "/", {}, "second"};
  http_call_options options{milliseconds(300), true};
  options.abort = &abort;
  const auto response =
      RunToEnd(f.context, Fetch(f.pool, f.server.address, request, options));
  ASSERT_FALSE(response);
  EXPECT_FALSE(response.error().maybe_sent);
  EXPECT_EQ(f.handled, 1);
}

TEST(Http, ConnectFailureIsReportedAsNotSent) {
  fixture f;
  const endpoint address = f.server.address;
  CloseServer(f.server);
  f.context.run_for(milliseconds(5));
  http_request request;
  const http_call_options options{milliseconds(300), false};
  const auto response =
      RunToEnd(f.context, Fetch(f.pool, address, request, options));
  ASSERT_FALSE(response);
  EXPECT_EQ(response.error().failure, http_failure::kConnect);
  EXPECT_FALSE(response.error().maybe_sent);
}

TEST(Http, UnresponsivePeerIsReportedAsTimeoutAndMaybeSent) {
  asio::io_context context;
  asio::ip::tcp::acceptor unresponsive(
      context, {asio::ip::make_address("127.0.0.1"), 0});
  const auto pool = MakeHttpPool(context.get_executor(), {});
  http_request request;
  const http_call_options options{milliseconds(50), false};
  const endpoint address{"127.0.0.1", unresponsive.local_endpoint().port()};
  const auto response =
      RunToEnd(context, Fetch(pool, address, request, options));
  ASSERT_FALSE(response);
  EXPECT_EQ(response.error().failure, http_failure::kTimeout);
  EXPECT_TRUE(response.error().maybe_sent);
}

// Accepts a connection and answers with `beginning`, then with `rest`, and then
// stalls the event loop for longer than `limit`.
asio::awaitable<void> RespondAndStall(asio::ip::tcp::acceptor& acceptor,
                                      std::string beginning,
                                      std::string rest,
                                      milliseconds limit) {
  auto socket = co_await acceptor.async_accept(asio::use_awaitable);
  std::string bytes(4096, '\0');
  co_await socket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
  co_await asio::async_write(socket, asio::buffer(beginning),
                             asio::use_awaitable);
  asio::steady_timer timer(acceptor.get_executor(), limit / 6);
  co_await timer.async_wait(asio::use_awaitable);
  asio::write(socket, asio::buffer(rest));
  std::this_thread::sleep_for(limit);
}

// The rest of a body that takes one read, and one that takes several.
constexpr std::size_t kRestLengths[] = {4, 8 * 1024};

std::string BeginResponse(std::size_t length) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

TEST(Http, FetchReturnsACompleteResponseThatIsReadAfterAStall) {
  constexpr milliseconds kLimit{300};
  for (const std::size_t length : kRestLengths) {
    SCOPED_TRACE(length);
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    const std::string rest(length, 'x');
    asio::co_spawn(context,
                   RespondAndStall(acceptor, BeginResponse(4 + length) + "half",
                                   rest, kLimit),
                   asio::detached);
    const http_pool pool = MakeHttpPool(context.get_executor(), {});
    const http_call_options options{kLimit, false};
    const http_request request;
    const endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
    const auto response =
        RunToEnd(context, Fetch(pool, address, request, options));
    ASSERT_TRUE(response) << response.error().detail;
    EXPECT_EQ(response->body, "half" + rest);
  }
}

TEST(Http, SkipResponseFindsTheNextResponseThatIsReadAfterAStall) {
  constexpr milliseconds kLimit{300};
  for (const std::size_t length : kRestLengths) {
    SCOPED_TRACE(length);
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    asio::co_spawn(
        context,
        RespondAndStall(acceptor, BeginResponse(4 + length) + "half",
                        std::string(length, 'x') + BeginResponse(4) + "next",
                        kLimit),
        asio::detached);
    const http_pool pool = MakeHttpPool(context.get_executor(), {});
    const http_call_options options{kLimit, false};
    const http_request request;
    const endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
    auto call = RunToEnd(context, StartCall(pool, address, request, options));
    ASSERT_TRUE(call) << call.error().detail;
    const auto skipped = RunToEnd(context, SkipResponse(pool, *call, kLimit));
    ASSERT_TRUE(skipped) << skipped.error().detail;
    std::string body;
    const auto more =
        RunToEnd(context, ReadSomeBody(pool, *call, kLimit, body));
    ASSERT_TRUE(more) << more.error().detail;
    EXPECT_EQ(body, "next");
  }
}

TEST(Http, NewConnectionWithDataBeforeTheRequestIsNotUsed) {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  const http_pool pool = MakeHttpPool(context.get_executor(), {});
  const http_call_options options{milliseconds(300), false};
  const endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
  const http_request request;
  std::optional<tl::expected<http_call, http_error>> call;
  asio::co_spawn(context, StartCall(pool, address, request, options),
                 [&](const std::exception_ptr&, auto result) {
                   call.emplace(std::move(result));
                 });
  context.poll_one();
  // The connection is established, but the call has not been resumed yet.
  asio::ip::tcp::socket socket = acceptor.accept();
  asio::write(socket, asio::buffer(BeginResponse(0)));
  context.run();
  ASSERT_TRUE(call);
  ASSERT_FALSE(*call);
  EXPECT_FALSE(call->error().maybe_sent);
  EXPECT_EQ(socket.available(), 0u);
}

// Calls a peer that answers the first call with `response`, as soon as it has
// received the beginning of it, and then closes or resets the connection.
tl::expected<http_response, http_error> FetchFromPeer(std::string response,
                                                      bool resets,
                                                      std::string body = "") {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::string bytes(1024, '\0');
        co_await socket.async_read_some(asio::buffer(bytes),
                                        asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(response),
                                   asio::use_awaitable);
        if (resets)
          socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
      },
      asio::detached);
  const http_pool pool = MakeHttpPool(context.get_executor(), {});
  const endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
  const http_request request{"POST", "/", {}, std::move(body)};
  const http_call_options options{milliseconds(1'000), false};
  return RunToEnd(context, Fetch(pool, address, request, options));
}

// Callers of the router got answers with status 000, and a write or an order
// that was answered so counted as not done.
TEST(Http, ResponseWithoutAValidStatusIsMalformed) {
  for (const std::string status : {"000", "001", "099"}) {
    const auto response = FetchFromPeer(
        "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n{}", false);
    ASSERT_FALSE(response) << status;
    EXPECT_EQ(response.error().failure, http_failure::kMalformed);
    EXPECT_TRUE(response.error().maybe_sent);
  }
}

// Guards all calls of the system itself, to targets, caches and the store.
TEST(Http, ResponseThatAResetCutsIsNoResponse) {
  constexpr std::size_t kUploadBytes = 3'200'000;
  for (const std::size_t size : {std::size_t{0}, kUploadBytes}) {
    const auto response = FetchFromPeer("HTTP/1.1 200 OK\r\n\r\n{}", true,
                                        std::string(size, 'u'));
    ASSERT_FALSE(response) << size;
    EXPECT_TRUE(response.error().maybe_sent);
  }
}

TEST(Http, HandlerThatThrowsGivesStatus500) {
  asio::io_context context;
  auto server = *StartHttpServer(context.get_executor(), {"127.0.0.1", 0}, {},
                                 [](http_exchange&) -> asio::awaitable<void> {
                                   throw std::runtime_error("broken");
                                   co_return;
                                 });
  const auto pool = MakeHttpPool(context.get_executor(), {});
  http_request request;
  const http_call_options options{milliseconds(300), true};
  const auto response =
      RunToEnd(context, Fetch(pool, server.address, request, options));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 500u);
  EXPECT_NE(response->body.find("\"ran\":\"unknown\""), std::string::npos);
  CloseServer(server);
}

TEST(Log, ValuesCanNotInjectALine) {
  EXPECT_EQ(detail::EscapeLogValue("plain-1"), "plain-1");
  EXPECT_EQ(detail::EscapeLogValue(""), "\"\"");
  EXPECT_EQ(detail::EscapeLogValue("a b"), "\"a b\"");
  EXPECT_EQ(detail::EscapeLogValue("a\nevent=x"), "\"a\\x0aevent=x\"");
  EXPECT_EQ(detail::EscapeLogValue("say \"x\""), "\"say \\\"x\\\"\"");
}

TEST(Sse, ConsumesEventsAndReadsTheirFields) {
  std::string_view buffer =
      "id: 7\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\\\"b\"}}]}\n\n"
      "data: [DONE]\n\ndata: half";
  const std::string_view first = ConsumeEvent(buffer);
  EXPECT_EQ(EventId(first), 7u);
  EXPECT_EQ(Unescape(EscapedContent(first)), "a\"b");
  EXPECT_TRUE(IsDoneEvent(ConsumeEvent(buffer)));
  EXPECT_TRUE(ConsumeEvent(buffer).empty());
  EXPECT_EQ(buffer, "data: half");
}

// Streams were resumed from their beginning as the IDs of events that are
// written without a space were not recognized.
TEST(Sse, SpaceAfterAFieldNameIsOptional) {
  EXPECT_EQ(EventId("id:7\ndata:a\n\n"), 7u);
  EXPECT_EQ(EventId("data:a\nid:7\n\n"), 7u);
  EXPECT_EQ(EventId("id:  7\ndata: a\n\n"), std::nullopt);
  EXPECT_EQ(EventId("id\n\n"), std::nullopt);
  EXPECT_EQ(EventData("id:7\ndata:a b\n\n"), "a b");
  EXPECT_EQ(EventData("data: a\n\n"), "a");
  EXPECT_TRUE(IsDoneEvent("data:[DONE]\n\n"));
}

TEST(Sse, LinesMayEndWithCarriageReturnAndLineFeed) {
  std::string_view buffer = "id: 7\r\ndata: a\r\n\r\nid: 8\r\n";
  const std::string_view first = ConsumeEvent(buffer);
  EXPECT_EQ(first, "id: 7\r\ndata: a\r\n\r\n");
  EXPECT_EQ(EventId(first), 7u);
  EXPECT_EQ(EventData(first), "a");
  EXPECT_TRUE(ConsumeEvent(buffer).empty());
  EXPECT_EQ(buffer, "id: 8\r\n");
}

TEST(Sse, ReadsUsage) {
  const auto usage = EventUsage(
      "data: {\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":2,"
      "\"prompt_tokens_details\":{\"cached_tokens\":8}}}\n\n");
  ASSERT_TRUE(usage);
  EXPECT_EQ(usage->prompt_tokens, 10u);
  EXPECT_EQ(usage->cached_tokens, 8u);
}

}  // namespace
}  // namespace waxwing
