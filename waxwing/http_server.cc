#include "waxwing/http_server.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cerrno>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "waxwing/listener.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace detail {

struct http_listener;

struct http_connection {
  // Reads use its socket directly: when a time limit of the stream passes, it
  // closes the socket, and no response can be sent.
  beast::tcp_stream stream;
  const http_listener* listener = nullptr;
  bool keep_alive = true;
  bool busy = false;
  instant request_began;
  // The longest limit that its caller may go by while it is idle.
  milliseconds idle_limit{};
  connection_report report;

  http_connection(beast::tcp_stream s, const http_listener& l)
      : stream(std::move(s)), listener(&l) {}
};

// The wait for a caller's disconnect; may outlive its exchange.
struct caller_watch {
  std::function<void()> on_disconnect;
};

// The time limit of a wait or a read; may outlive its connection.
struct read_timer {
  asio::steady_timer timer;
  // Null once the read has ended.
  http_connection* connection = nullptr;
  bool is_over = false;

  explicit read_timer(http_connection& c)
      : timer(c.stream.get_executor()), connection(&c) {}
};

// Limits that callers may still go by until a time.
struct past_limits {
  request_limits limits;
  instant until;
};

struct http_listener {
  asio::any_io_executor executor;
  asio::ip::tcp::acceptor acceptor;
  http_limits limits;
  http_handler handler;
  bool stopping = false;
  bool close_after_responses = false;
  connection_observer observer;
  std::vector<past_limits> past;
  std::set<http_connection*> connections;
  std::size_t refusals = 0;

  http_listener(asio::ip::tcp::acceptor a, const http_limits& l, http_handler h)
      : executor(a.get_executor()),
        acceptor(std::move(a)),
        limits(l),
        handler(std::move(h)) {}
};

}  // namespace detail

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);

using listener_ptr = std::shared_ptr<detail::http_listener>;
using request_parser = http::request_parser<http::string_body>;

// The bodies of all requests and responses exceed the memory for them.
constexpr auto kOutOfMemory = asio::error::no_memory;

void LogEnd(const connection_report& report) {
  const auto log = LacksResponse(report) ? LogWarning : LogInfo;
  log("connection_ended", {{"reason", NameOf(report.end)},
                           {"error", report.error},
                           {"request", report.request_id},
                           {"peer", report.peer},
                           {"read", report.is_read},
                           {"responded", report.has_response},
                           {"complete", report.is_complete},
                           {"requests", report.requests},
                           {"bytes_read", report.bytes_read},
                           {"bytes_written", report.bytes_written},
                           {"age_ms", ToMs(report.age)},
                           {"request_ms", ToMs(report.request_age)},
                           {"limits_then", report.limits_at_request},
                           {"limits_now", report.limits_now}});
}

void ReportEnd(const detail::http_listener& listener,
               const connection_report& report) {
  if (!IsRegular(report.end) || LacksResponse(report))
    LogEnd(report);
  if (listener.observer)
    listener.observer(report);
}

void StartRequestReport(connection_report& report) {
  report.request_id.clear();
  report.is_read = false;
  report.has_response = false;
  report.is_complete = false;
}

// Records why a connection ends, unless a reason is known already.
void SetEnd(detail::http_connection& connection,
            connection_end end,
            const beast::error_code& error = {}) {
  connection_report& report = connection.report;
  if (report.end != connection_end::kResponded)
    return;
  report.end = end;
  if (error)
    report.error = error.message();
}

// The response to a request that could not be parsed.
http_response ParseFailureResponse(const beast::error_code& error) {
  if (error == http::error::body_limit)
    return JsonResponse(413,
                        R"({"error":{"type":"body_too_large"},"ran":"no"})");
  if (error == http::error::header_limit)
    return JsonResponse(431,
                        R"({"error":{"type":"header_too_large"},"ran":"no"})");
  if (error == beast::error::timeout)
    return JsonResponse(408,
                        R"({"error":{"type":"request_timeout"},"ran":"no"})");
  if (error == kOutOfMemory) {
    http_response refusal =
        JsonResponse(503, R"({"error":{"type":"out_of_memory"},"ran":"no"})");
    refusal.headers.push_back({"Retry-After", "1"});
    return refusal;
  }
  return JsonResponse(400,
                      R"({"error":{"type":"malformed_request"},"ran":"no"})");
}

// True if the header defines the end of the body unambiguously. Beast ignores
// unknown transfer codings, which another server may apply (request smuggling).
bool HasStrictFraming(const request_parser& parser) {
  const auto& message = parser.get();
  const auto codings = message.equal_range(http::field::transfer_encoding);
  for (auto it = codings.first; it != codings.second; ++it) {
    if (!beast::iequals(it->value(), "chunked") || message.version() != 11)
      return false;
  }
  const auto lengths = message.equal_range(http::field::content_length);
  return std::distance(lengths.first, lengths.second) <= 1;
}

http_request ReleaseRequest(request_parser& parser) {
  auto message = parser.release();
  http_request out;
  out.method = std::string(message.method_string());
  out.target = std::string(message.target());
  for (const auto& field : message)
    out.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  out.body = std::move(message.body());
  return out;
}

// A read that ended just before it was interrupted may be followed by another
// one, so the interruption is repeated.
constexpr milliseconds kInterruptPeriod{10};

void InterruptWhenOver(const std::shared_ptr<detail::read_timer>& limit) {
  limit->timer.async_wait([limit](const beast::error_code& error) {
    if (error || !limit->connection)
      return;
    limit->is_over = true;
    beast::error_code ignored;
    limit->connection->stream.socket().cancel(ignored);
    limit->timer.expires_after(kInterruptPeriod);
    InterruptWhenOver(limit);
  });
}

// Interrupts what is read from the connection when the time is over, for the
// lifetime of this object.
struct read_limit {
  std::shared_ptr<detail::read_timer> state;

  read_limit(detail::http_connection& connection, instant end)
      : state(std::make_shared<detail::read_timer>(connection)) {
    state->timer.expires_at(end);
    InterruptWhenOver(state);
  }
  ~read_limit() {
    state->connection = nullptr;
    state->timer.cancel();
  }
  read_limit(const read_limit&) = delete;
  read_limit& operator=(const read_limit&) = delete;
};

constexpr std::size_t kReadBytes = 16 * 1024;

// Raises the limits in `out` to those of `other` that are higher.
void RaiseLimits(request_limits& out, const request_limits& other) {
  out.max_header_bytes = std::max(out.max_header_bytes, other.max_header_bytes);
  out.max_body_bytes = std::max(out.max_body_bytes, other.max_body_bytes);
  out.read_timeout = std::max(out.read_timeout, other.read_timeout);
  out.idle_timeout = std::max(out.idle_timeout, other.idle_timeout);
}

bool HaveSameValues(const request_limits& a, const request_limits& b) {
  return a.max_header_bytes == b.max_header_bytes &&
         a.max_body_bytes == b.max_body_bytes &&
         a.read_timeout == b.read_timeout && a.idle_timeout == b.idle_timeout;
}

// Returns the highest limits that callers may go by now.
request_limits LimitsInForce(const detail::http_listener& listener) {
  request_limits out = listener.limits;
  const instant now = std::chrono::steady_clock::now();
  for (const detail::past_limits& past : listener.past) {
    if (now < past.until)
      RaiseLimits(out, past.limits);
  }
  return out;
}

// Discards what the caller still sends, within bounds, so that closing does not
// reset the connection before the response has been read.
asio::awaitable<void> DiscardRest(beast::tcp_stream& stream) {
  constexpr milliseconds kMaxTime{500};
  constexpr int kMaxReads = 1024;
  beast::error_code ignored;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  std::string discarded(kReadBytes, '\0');
  stream.expires_after(kMaxTime);
  for (int i = 0; i < kMaxReads; ++i) {
    auto [error, bytes] =
        co_await stream.async_read_some(asio::buffer(discarded), kUseTuple);
    if (error)
      break;
  }
}

// Counts the body as far as it has been read. Returns false if it, or what the
// header states, exceeds the memory for bodies.
bool CountBody(const detail::http_connection& connection,
               const request_parser& parser,
               held_share& share) {
  if (!parser.is_header_done())
    return true;
  const std::size_t size = parser.get().body().size();
  const auto rest = parser.content_length_remaining();
  const auto& memory = connection.listener->limits.held;
  if (UpdateSize(share, size) &&
      (!rest || HasRoom(*memory, static_cast<std::size_t>(*rest))))
    return true;
  LogWarning("body_refused", {{"peer", connection.report.peer},
                              {"bytes", size + rest.value_or(0)},
                              {"held", memory->used},
                              {"limit", memory->limit}});
  return false;
}

// Returns how many bytes may wait in the buffer for the rest of the header of a
// chunk, or of the last one and the trailers.
std::size_t UnparsedLimit(const beast::flat_buffer& buffer,
                          std::size_t max_header_bytes) {
  const std::string_view text(static_cast<const char*>(buffer.data().data()),
                              buffer.size());
  const std::size_t begin = text.starts_with("\r\n") ? 2 : 0;
  const std::size_t line_end = text.find("\r\n", begin);
  return max_header_bytes + (line_end == std::string_view::npos ? 0 : line_end);
}

// Reads one request. After the time limit only what has already arrived is
// read: a request that was complete in time is not lost if this process stalls.
asio::awaitable<beast::error_code> ReadMessage(
    detail::http_connection& connection,
    beast::flat_buffer& buffer,
    request_parser& parser,
    held_share& share,
    const request_limits& limits) {
  const read_limit limit(connection,
                         connection.request_began + limits.read_timeout);
  asio::ip::tcp::socket& socket = connection.stream.socket();
  std::optional<std::size_t> arrived;
  parser.eager(true);
  while (true) {
    beast::error_code parse_error;
    const std::size_t parsed = parser.put(buffer.data(), parse_error);
    buffer.consume(parsed);
    if (parser.is_done())
      co_return CountBody(connection, parser, share) ? beast::error_code()
                                                     : kOutOfMemory;
    if (parse_error && parse_error != http::error::need_more)
      co_return parse_error;
    if (parser.is_header_done() &&
        buffer.size() > UnparsedLimit(buffer, limits.max_header_bytes))
      co_return beast::error_code(http::error::header_limit);
    if (!CountBody(connection, parser, share))
      co_return kOutOfMemory;
    if (limit.state->is_over && !arrived) {
      beast::error_code ignored;
      arrived = socket.available(ignored);
    }
    if (arrived == 0U)
      co_return beast::error_code(beast::error::timeout);
    auto [error, bytes] = co_await socket.async_read_some(
        buffer.prepare(std::min(kReadBytes, arrived.value_or(kReadBytes))),
        kUseTuple);
    buffer.commit(bytes);
    connection.report.bytes_read += bytes;
    if (arrived)
      *arrived -= bytes;
    if (error == asio::error::eof) {
      if (!parser.got_some())
        co_return beast::error_code(http::error::end_of_stream);
      co_return beast::error_code(http::error::partial_message);
    }
    const bool is_interrupted =
        error == asio::error::operation_aborted && limit.state->is_over;
    if (error && !is_interrupted)
      co_return error;
  }
}

// Returns how a connection ends on which reading a request has failed.
connection_end EndOfRead(const request_parser& parser,
                         const beast::error_code& error) {
  if (error == beast::error::timeout)
    return connection_end::kLate;
  if (error == kOutOfMemory)
    return connection_end::kRefused;
  if (!parser.got_some())
    return connection_end::kCallerLeft;
  const bool is_broken = error == http::error::partial_message ||
                         error.category() == asio::error::get_system_category();
  return is_broken ? connection_end::kCallerBroke : connection_end::kMalformed;
}

bool HasArrived(asio::ip::tcp::socket& socket) {
  beast::error_code ignored;
  return socket.available(ignored) > 0;
}

// Waits for the next request. Returns false if the connection is to be closed;
// a request that has arrived by then is still served.
asio::awaitable<bool> WaitForRequest(detail::http_connection& connection) {
  asio::ip::tcp::socket& socket = connection.stream.socket();
  const instant began = std::chrono::steady_clock::now();
  while (true) {
    const read_limit limit(connection, began + connection.idle_limit);
    auto [error] =
        co_await socket.async_wait(asio::ip::tcp::socket::wait_read, kUseTuple);
    if (!error || HasArrived(socket)) {
      connection.report.end = connection_end::kResponded;
      co_return true;
    }
    const bool is_interrupted =
        limit.state->is_over &&
        connection.report.end == connection_end::kResponded;
    if (is_interrupted &&
        std::chrono::steady_clock::now() < began + connection.idle_limit)
      continue;
    SetEnd(connection,
           is_interrupted ? connection_end::kIdle : connection_end::kCallerLeft,
           error);
    co_return false;
  }
}

// Reads the next request. Returns false if the connection is to be closed;
// after a parse error, the error response has been sent by then.
asio::awaitable<bool> ReadRequest(http_exchange& exchange,
                                  beast::flat_buffer& buffer) {
  detail::http_connection& connection = *exchange.connection;
  connection.idle_limit = LimitsInForce(*connection.listener).idle_timeout;
  if (buffer.size() == 0) {
    // Idle connections hold no memory.
    buffer.shrink_to_fit();
    if (!co_await WaitForRequest(connection))
      co_return false;
  }
  connection.busy = true;
  connection.request_began = std::chrono::steady_clock::now();
  const request_limits limits = LimitsInForce(*connection.listener);
  request_parser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser.body_limit(limits.max_body_bytes);
  exchange.share.emplace(connection.listener->limits.held);
  const beast::error_code error =
      co_await ReadMessage(connection, buffer, parser, *exchange.share, limits);
  if (error) {
    // Other requests may need the memory before this connection is closed.
    std::string().swap(parser.get().body());
    exchange.share.reset();
    SetEnd(connection, EndOfRead(parser, error), error);
    if (error != http::error::end_of_stream &&
        error != asio::error::connection_reset &&
        error != asio::error::operation_aborted) {
      connection.keep_alive = false;
      http_response error_response = ParseFailureResponse(error);
      co_await Respond(exchange, std::move(error_response));
      co_await DiscardRest(connection.stream);
    }
    co_return false;
  }
  if (!HasStrictFraming(parser)) {
    SetEnd(connection, connection_end::kMalformed);
    connection.keep_alive = false;
    http_response error_response = ParseFailureResponse({});
    co_await Respond(exchange, std::move(error_response));
    co_await DiscardRest(connection.stream);
    co_return false;
  }
  connection.keep_alive = parser.keep_alive();
  exchange.request = ReleaseRequest(parser);
  connection.report.is_read = true;
  connection.report.limits_at_request = connection.listener->limits.version;
  ++connection.report.requests;
  co_return true;
}

asio::awaitable<void> RunHandler(const listener_ptr& listener,
                                 http_exchange& exchange) {
  try {
    co_await listener->handler(exchange);
  } catch (const std::exception& error) {
    LogError("handler_failed",
             {{"target", exchange.request.target}, {"error", error.what()}});
  }
  // What a watch calls belongs to the handler, which has returned.
  if (exchange.watch) {
    exchange.watch->on_disconnect = nullptr;
    beast::error_code ignored;
    exchange.connection->stream.socket().cancel(ignored);
  }
  if (exchange.broken)
    co_return;
  if (!exchange.response_started) {
    LogWarning("response_missing", {{"request", exchange.id}});
    http_response error_response =
        JsonResponse(500, R"({"error":{"type":"internal"},"ran":"unknown"})");
    co_await Respond(exchange, std::move(error_response));
  } else if (!exchange.connection->report.is_complete) {
    AbortExchange(exchange);
  }
}

asio::awaitable<void> ServeRequests(const listener_ptr& listener,
                                    detail::http_connection& connection) {
  beast::flat_buffer buffer;
  const instant accepted_at = std::chrono::steady_clock::now();
  while (connection.keep_alive && (!listener->stopping || buffer.size() > 0 ||
                                   HasArrived(connection.stream.socket()))) {
    http_exchange exchange;
    exchange.connection = &connection;
    exchange.peer = connection.report.peer;
    exchange.accepted_at = accepted_at;
    connection.busy = false;
    StartRequestReport(connection.report);
    if (!co_await ReadRequest(exchange, buffer))
      co_return;
    if (listener->close_after_responses)
      connection.keep_alive = false;
    co_await RunHandler(listener, exchange);
    connection.report.request_id = exchange.id;
    if (exchange.broken)
      co_return;
  }
  if (connection.keep_alive)
    SetEnd(connection, connection_end::kStopped);
}

asio::awaitable<void> ServeConnection(listener_ptr listener,
                                      asio::ip::tcp::socket socket) {
  detail::http_connection connection(beast::tcp_stream(std::move(socket)),
                                     *listener);
  beast::error_code ignored;
  connection.stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto remote = connection.stream.socket().remote_endpoint(ignored);
  const instant accepted_at = std::chrono::steady_clock::now();
  connection_report& report = connection.report;
  report.peer =
      remote.address().to_string() + ":" + std::to_string(remote.port());
  connection.request_began = accepted_at;
  listener->connections.insert(&connection);
  try {
    co_await ServeRequests(listener, connection);
  } catch (const std::exception& error) {
    SetEnd(connection, connection_end::kFailed);
    report.error = error.what();
  }
  listener->connections.erase(&connection);
  connection.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both,
                                      ignored);
  const instant now = std::chrono::steady_clock::now();
  report.age = now - accepted_at;
  report.request_age = now - connection.request_began;
  report.limits_now = listener->limits.version;
  ReportEnd(*listener, report);
}

// Reports a connection that is closed before any request was read from it.
void ReportUnserved(const detail::http_listener& listener,
                    detail::http_connection& connection,
                    connection_end end) {
  beast::error_code ignored;
  const auto remote = connection.stream.socket().remote_endpoint(ignored);
  connection_report& report = connection.report;
  report.end = end;
  report.peer =
      remote.address().to_string() + ":" + std::to_string(remote.port());
  report.limits_now = listener.limits.version;
  ReportEnd(listener, report);
}

// Refuses a connection at the limit of connections, whatever is sent on it.
asio::awaitable<void> RefuseConnection(listener_ptr listener,
                                       asio::ip::tcp::socket socket) {
  ++listener->refusals;
  detail::http_connection connection(beast::tcp_stream(std::move(socket)),
                                     *listener);
  connection.keep_alive = false;
  http_exchange exchange;
  exchange.connection = &connection;
  http_response refusal = JsonResponse(
      503, R"({"error":{"type":"too_many_connections"},"ran":"no"})");
  refusal.headers.push_back({"Retry-After", "1"});
  co_await Respond(exchange, std::move(refusal));
  ReportUnserved(*listener, connection, connection_end::kRefused);
  co_await DiscardRest(connection.stream);
  --listener->refusals;
}

// Closes one connection that waits for a request to free its slot, so that idle
// callers can't lock others out. False if all connections are busy.
bool CloseIdleConnection(detail::http_listener& listener) {
  for (detail::http_connection* connection : listener.connections) {
    if (connection->busy || HasArrived(connection->stream.socket()))
      continue;
    connection->busy = true;
    SetEnd(*connection, connection_end::kDisplaced);
    connection->stream.cancel();
    return true;
  }
  return false;
}

// Connections above the limit that are sent a refusal at a time.
constexpr std::size_t kMaxRefusals = 64;

asio::awaitable<void> AcceptLoop(listener_ptr listener) {
  while (!listener->stopping) {
    auto [error, socket] = co_await listener->acceptor.async_accept(kUseTuple);
    if (!error && listener->stopping) {
      detail::http_connection connection(beast::tcp_stream(std::move(socket)),
                                         *listener);
      ReportUnserved(*listener, connection, connection_end::kStopped);
      co_return;
    }
    if (error == asio::error::operation_aborted || listener->stopping)
      co_return;
    if (error) {
      // Most likely out of file descriptors: wait for some to be closed.
      LogWarning("accept_failed", {{"error", error.message()}});
      asio::steady_timer pause(listener->executor, milliseconds(50));
      co_await pause.async_wait(kUseTuple);
      continue;
    }
    if (listener->connections.size() >= listener->limits.max_connections &&
        !CloseIdleConnection(*listener)) {
      LogWarning("connection_refused",
                 {{"connections", listener->connections.size()}});
      if (listener->refusals < kMaxRefusals) {
        asio::co_spawn(listener->executor,
                       RefuseConnection(listener, std::move(socket)),
                       asio::detached);
      } else {
        detail::http_connection connection(beast::tcp_stream(std::move(socket)),
                                           *listener);
        ReportUnserved(*listener, connection, connection_end::kRefused);
      }
      continue;
    }
    asio::co_spawn(listener->executor,
                   ServeConnection(listener, std::move(socket)),
                   asio::detached);
  }
}

// Makes the header of a response with a chunked body.
http::response<http::empty_body> MakeStreamHead(const http_response& head,
                                                bool keep_alive) {
  http::response<http::empty_body> out;
  out.result(head.status);
  for (const http_header& header : head.headers)
    out.set(header.name, header.value);
  out.chunked(true);
  out.keep_alive(keep_alive);
  return out;
}

// Records a write of `bytes`, which ends the response if `is_last`.
bool RecordWriteResult(http_exchange& exchange,
                       const beast::error_code& error,
                       std::size_t bytes,
                       bool is_last) {
  connection_report& report = exchange.connection->report;
  report.has_response = true;
  report.bytes_written += bytes;
  report.is_complete = !error && is_last;
  if (error) {
    exchange.broken = true;
    SetEnd(*exchange.connection,
           error == beast::error::timeout ? connection_end::kUnread
                                          : connection_end::kCallerGone,
           error);
  }
  return !error;
}

}  // namespace

tl::expected<http_server, std::string> StartHttpServer(
    asio::any_io_executor executor,
    const endpoint& address,
    const http_limits& limits,
    http_handler handler) {
  auto acceptor = OpenListener(executor, address);
  if (!acceptor)
    return tl::unexpected(acceptor.error());
  auto listener = std::make_shared<detail::http_listener>(
      std::move(*acceptor), limits, std::move(handler));
  const std::uint16_t port = listener->acceptor.local_endpoint().port();
  asio::co_spawn(executor, AcceptLoop(listener), asio::detached);
  return http_server{listener, endpoint{address.host, port}};
}

void ObserveConnections(http_server& server, connection_observer observer) {
  server.listener->observer = std::move(observer);
}

void CloseAfterResponses(http_server& server) {
  server.listener->close_after_responses = true;
}

void StopAccepting(http_server& server) {
  server.listener->stopping = true;
  beast::error_code ignored;
  server.listener->acceptor.close(ignored);
  for (detail::http_connection* connection : server.listener->connections) {
    if (connection->busy)
      continue;
    SetEnd(*connection, connection_end::kStopped);
    connection->stream.cancel();
  }
}

void CloseServer(http_server& server) {
  StopAccepting(server);
  beast::error_code ignored;
  for (detail::http_connection* connection : server.listener->connections) {
    SetEnd(*connection, connection_end::kClosed);
    connection->stream.socket().close(ignored);
  }
}

std::size_t ActiveExchanges(const http_server& server) {
  const auto& connections = server.listener->connections;
  return static_cast<std::size_t>(std::count_if(
      connections.begin(), connections.end(),
      [](const detail::http_connection* each) { return each->busy; }));
}

asio::awaitable<bool> Respond(http_exchange& exchange, http_response response) {
  detail::http_connection& connection = *exchange.connection;
  exchange.response_started = true;
  http::response<http::string_body> message;
  message.result(response.status);
  for (const http_header& header : response.headers)
    message.set(header.name, header.value);
  message.keep_alive(connection.keep_alive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  connection.stream.expires_after(connection.listener->limits.write_timeout);
  auto [error, bytes] =
      co_await http::async_write(connection.stream, message, kUseTuple);
  co_return RecordWriteResult(exchange, error, bytes, true);
}

asio::awaitable<bool> BeginStream(http_exchange& exchange, http_response head) {
  detail::http_connection& connection = *exchange.connection;
  exchange.response_started = true;
  exchange.streaming = true;
  auto message = MakeStreamHead(head, connection.keep_alive);
  http::response_serializer<http::empty_body> serializer(message);
  connection.stream.expires_after(connection.listener->limits.write_timeout);
  auto [error, bytes] = co_await http::async_write_header(
      connection.stream, serializer, kUseTuple);
  co_return RecordWriteResult(exchange, error, bytes, false);
}

asio::awaitable<bool> WriteStream(http_exchange& exchange,
                                  std::string_view data) {
  if (exchange.broken)
    co_return false;
  if (data.empty())
    co_return true;
  detail::http_connection& connection = *exchange.connection;
  const auto chunk =
      http::make_chunk(asio::const_buffer(data.data(), data.size()));
  connection.stream.expires_after(connection.listener->limits.write_timeout);
  auto [error, bytes] =
      co_await asio::async_write(connection.stream, chunk, kUseTuple);
  co_return RecordWriteResult(exchange, error, bytes, false);
}

asio::awaitable<bool> EndStream(http_exchange& exchange) {
  if (exchange.broken)
    co_return false;
  detail::http_connection& connection = *exchange.connection;
  const auto last = http::make_chunk_last();
  connection.stream.expires_after(connection.listener->limits.write_timeout);
  auto [error, bytes] =
      co_await asio::async_write(connection.stream, last, kUseTuple);
  co_return RecordWriteResult(exchange, error, bytes, true);
}

void WatchCaller(http_exchange& exchange, std::function<void()> on_disconnect) {
  detail::http_connection& connection = *exchange.connection;
  exchange.watch = std::make_shared<detail::caller_watch>(
      detail::caller_watch{on_disconnect});
  connection.stream.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [watch = exchange.watch, &connection](const beast::error_code& error) {
        // Without a callback the exchange, and maybe the connection, has ended.
        if (!watch->on_disconnect)
          return;
        char byte = 0;
        const auto count =
            error ? 0
                  : ::recv(connection.stream.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
        if (count > 0 || (count < 0 && errno == EAGAIN))
          return;
        SetEnd(connection, connection_end::kCallerGone, error);
        const auto call = std::move(watch->on_disconnect);
        watch->on_disconnect = nullptr;
        call();
      });
}

void SetLimits(http_server& server, const request_limits& limits) {
  // Callers learn of lower limits within this time.
  constexpr seconds kMemory{30};
  constexpr std::size_t kMaxRemembered = 16;
  detail::http_listener& listener = *server.listener;
  const instant now = std::chrono::steady_clock::now();
  request_limits raised = limits;
  RaiseLimits(raised, listener.limits);
  std::erase_if(listener.past, [&](const detail::past_limits& past) {
    return past.until <= now;
  });
  const bool is_lower = !HaveSameValues(raised, limits);
  if (is_lower && listener.past.size() < kMaxRemembered) {
    listener.past.push_back({listener.limits, now + kMemory});
  } else if (is_lower) {
    RaiseLimits(listener.past.back().limits, listener.limits);
    listener.past.back().until = now + kMemory;
  }
  static_cast<request_limits&>(listener.limits) = limits;
  for (detail::http_connection* connection : listener.connections)
    connection->idle_limit =
        std::max(connection->idle_limit, limits.idle_timeout);
}

void AbortExchange(http_exchange& exchange) {
  exchange.broken = true;
  exchange.response_started = true;
  SetEnd(*exchange.connection, connection_end::kAborted);
  beast::error_code ignored;
  exchange.connection->stream.socket().close(ignored);
}

}  // namespace waxwing
