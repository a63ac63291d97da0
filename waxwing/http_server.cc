#include "waxwing/http_server.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
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
  http_listener* listener = nullptr;
  bool keep_alive = true;
  bool busy = false;
  instant request_began;
  // The longest limit that its caller may go by while it is idle.
  milliseconds idle_limit{};
  connection_report report;
  // What it holds, while it is counted in the memory of the listener.
  connection_load load;
  bool is_window_large = false;
  // Frees what has been read of a request.
  std::function<void()> drop_request;
  // Of the request in progress, if its handler watches its caller.
  std::weak_ptr<caller_watch> watch;

  http_connection(beast::tcp_stream s, http_listener& l);
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;
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
  // Refused connections whose callers are given time to read the refusal.
  std::size_t refusals = 0;
  // Lines logged since a time about connections without a request.
  instant log_start;
  int logged = 0;

  http_listener(asio::ip::tcp::acceptor a, const http_limits& l, http_handler h)
      : executor(a.get_executor()),
        acceptor(std::move(a)),
        limits(l),
        handler(std::move(h)) {}
};

http_connection::http_connection(beast::tcp_stream s, http_listener& l)
    : stream(std::move(s)), listener(&l) {}

http_connection::~http_connection() {
  RemoveConnection(*listener->limits.held, load);
}

}  // namespace detail

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);

using listener_ptr = std::shared_ptr<detail::http_listener>;
using request_parser = http::request_parser<http::string_body>;

// The memory for connections and responses is used up.
constexpr auto kOutOfMemory = asio::error::no_memory;

// Receive windows. Bytes that arrive while a request is in progress wait in the
// small one; the large one is for bodies that don't fit into the small one.
constexpr int kSmallWindow = static_cast<int>(kUnreadBytes);
constexpr int kLargeWindow = 64 * 1024;

// What is read at a time, of heads and of bodies.
constexpr std::size_t kHeadReadBytes = 4 * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;
// The parser and coroutines of a request that is being read, and those of one
// that is in progress.
constexpr std::size_t kReadingBytes = 2 * 1024;
constexpr std::size_t kServingBytes = 24 * 1024;
// A request in progress has copies of its header fields: as read, as passed on,
// for a target, and as written to it.
constexpr std::size_t kHeaderCopies = 4;
// The parser holds a node for each field, the shortest of which has five bytes.
constexpr std::size_t kParsedFactor = 20;
// A node of the heap beside the text that it holds.
constexpr std::size_t kNodeBytes = 32;

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

// Returns false if a line about a connection without a request is left out, so
// that a crowd of them does not displace other lines.
bool MayLog(detail::http_listener& listener) {
  constexpr int kMaxLinesPerSecond = 50;
  const instant now = std::chrono::steady_clock::now();
  if (now - listener.log_start >= seconds(1)) {
    listener.log_start = now;
    listener.logged = 0;
  }
  return ++listener.logged <= kMaxLinesPerSecond;
}

void ReportEnd(detail::http_listener& listener,
               const connection_report& report) {
  if (LacksResponse(report) ||
      (!IsRegular(report.end) && (report.requests > 0 || MayLog(listener))))
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

asio::awaitable<bool> WriteResponse(http_exchange& exchange,
                                    http_response response,
                                    milliseconds timeout) {
  detail::http_connection& connection = *exchange.connection;
  exchange.response_started = true;
  http::response<http::string_body> message;
  message.result(response.status);
  for (const http_header& header : response.headers)
    message.set(header.name, header.value);
  message.keep_alive(connection.keep_alive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  connection.stream.expires_after(timeout);
  auto [error, bytes] =
      co_await http::async_write(connection.stream, message, kUseTuple);
  co_return RecordWriteResult(exchange, error, bytes, true);
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
bool HasStrictFraming(const request_parser::value_type& message) {
  const auto codings = message.equal_range(http::field::transfer_encoding);
  for (auto it = codings.first; it != codings.second; ++it) {
    if (!beast::iequals(it->value(), "chunked") || message.version() != 11)
      return false;
  }
  const auto lengths = message.equal_range(http::field::content_length);
  return std::distance(lengths.first, lengths.second) <= 1;
}

// Moves the head out of the message, which then takes the trailers.
void TakeHead(request_parser::value_type& message, http_request& out) {
  out.method = std::string(message.method_string());
  out.target = std::string(message.target());
  out.headers.reserve(
      static_cast<std::size_t>(std::distance(message.begin(), message.end())));
  for (const auto& field : message)
    out.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  message.clear();
}

std::size_t HeaderBytes(const http_request& request) {
  std::size_t sum = request.target.size();
  for (const http_header& header : request.headers)
    sum +=
        sizeof(header) + header.name.size() + header.value.size() + kNodeBytes;
  return sum;
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

void SetWindow(detail::http_connection& connection, int bytes) {
  asio::ip::tcp::socket& socket = connection.stream.socket();
  beast::error_code ignored;
  socket.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_WINDOW_CLAMP, &bytes,
               sizeof bytes);
  connection.is_window_large = bytes == kLargeWindow;
}

constexpr milliseconds kRefusalTime{500};
// Refused connections at a time whose callers are given time to read the
// refusal.
constexpr std::size_t kMaxRefusals = 64;

// Discards what the caller still sends, within bounds, so that closing does not
// reset the connection before the response has been read.
asio::awaitable<void> DiscardRest(detail::http_connection& connection,
                                  std::size_t& refusals) {
  constexpr int kMaxReads = 1024;
  if (refusals >= kMaxRefusals)
    co_return;
  ++refusals;
  // What is read is never looked at, so all connections share it.
  static std::array<char, kReadBytes> discarded;
  beast::tcp_stream& stream = connection.stream;
  beast::error_code ignored;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  stream.expires_after(kRefusalTime);
  for (int i = 0; i < kMaxReads; ++i) {
    auto [error, bytes] =
        co_await stream.async_read_some(asio::buffer(discarded), kUseTuple);
    if (error)
      break;
  }
  --refusals;
}

// A request that is being read.
struct request_reader {
  http_exchange& exchange;
  beast::flat_buffer& buffer;
  request_limits limits;
  request_parser parser;
  // Bytes of the head that were parsed; all of it has been.
  std::size_t parsed_head = 0;
  bool has_head = false;

  detail::http_connection& Connection() const { return *exchange.connection; }
  std::string& Body() { return parser.get().body(); }
};

// Counts what the request holds, with `more` bytes. Returns false if the memory
// is used up, or if the connection is to be closed for another one.
bool CountRequest(request_reader& reader, std::size_t more) {
  detail::http_connection& connection = reader.Connection();
  held_memory& memory = *connection.listener->limits.held;
  const std::size_t held =
      kReadingBytes + reader.buffer.capacity() + reader.Body().capacity() +
      (reader.has_head ? HeaderBytes(reader.exchange.request)
                       : reader.parsed_head * kParsedFactor) +
      more + (connection.is_window_large ? kLargeWindow : 0);
  if (SetHeld(memory, connection.load, held, std::chrono::steady_clock::now()))
    return true;
  if (MayLog(*connection.listener))
    LogWarning("request_not_read", {{"peer", connection.report.peer},
                                    {"bytes", connection.load.received},
                                    {"announced", connection.load.remaining},
                                    {"needed", held},
                                    {"held", memory.used},
                                    {"limit", memory.limit}});
  return false;
}

// Makes room in the body for all that is in the buffer. The body grows in steps
// that are counted before.
bool ReserveBody(request_reader& reader) {
  std::string& body = reader.Body();
  const std::size_t needed = body.size() + reader.buffer.size();
  if (!reader.has_head || needed <= body.capacity())
    return true;
  const std::size_t capacity = std::max(
      needed, std::min(2 * body.capacity(), reader.limits.max_body_bytes));
  if (!CountRequest(reader, capacity))
    return false;
  std::string grown;
  grown.reserve(capacity);
  grown += body;
  body.swap(grown);
  return true;
}

// Returns how many bytes may wait in the buffer for the rest of the header of a
// chunk, or of the last one and the trailers.
std::size_t UnparsedLimit(const request_reader& reader) {
  const std::string_view text(
      static_cast<const char*>(reader.buffer.data().data()),
      reader.buffer.size());
  const std::size_t begin = text.starts_with("\r\n") ? 2 : 0;
  const std::size_t line_end = text.find("\r\n", begin);
  return reader.limits.max_header_bytes +
         (line_end == std::string_view::npos ? 0 : line_end);
}

// Parses what is in the buffer. Returns `need_more` if the request is not
// complete.
beast::error_code Parse(request_reader& reader) {
  beast::error_code error = http::error::need_more;
  if (!ReserveBody(reader))
    return kOutOfMemory;
  const std::size_t parsed = reader.parser.put(reader.buffer.data(), error);
  reader.buffer.consume(parsed);
  if (!reader.has_head)
    reader.parsed_head += parsed;
  if (!reader.has_head && reader.parser.is_header_done()) {
    reader.has_head = true;
    if (!HasStrictFraming(reader.parser.get()))
      return http::error::bad_transfer_encoding;
    TakeHead(reader.parser.get(), reader.exchange.request);
    // The header is parsed alone, so that trailers don't become part of it.
    reader.parser.eager(true);
    if (!reader.parser.is_done() && reader.buffer.size() > 0)
      return Parse(reader);
  }
  if (reader.parser.is_done())
    return {};
  if (error && error != http::error::need_more)
    return error;
  if (reader.has_head && reader.buffer.size() > UnparsedLimit(reader))
    return http::error::header_limit;
  return http::error::need_more;
}

// Returns how much is read next, and enlarges the window for a long body.
std::size_t NextReadSize(request_reader& reader) {
  detail::http_connection& connection = reader.Connection();
  if (!reader.has_head)
    return kHeadReadBytes;
  connection.load.remaining =
      reader.parser.content_length_remaining().value_or(0);
  const bool is_long =
      connection.load.remaining > kUnreadBytes ||
      (reader.parser.chunked() && connection.load.received > kUnreadBytes);
  if (is_long && !connection.is_window_large &&
      HasRoom(*connection.listener->limits.held, kLargeWindow))
    SetWindow(connection, kLargeWindow);
  return kReadBytes;
}

bool IsClosing(const detail::http_connection& connection) {
  return connection.load.phase == connection_phase::kClosing;
}

// Reads one request. After the time limit only what has already arrived is
// read: a request that was complete in time is not lost if this process stalls.
asio::awaitable<beast::error_code> ReadMessage(request_reader& reader) {
  detail::http_connection& connection = reader.Connection();
  beast::flat_buffer& buffer = reader.buffer;
  const read_limit limit(connection,
                         connection.request_began + reader.limits.read_timeout);
  asio::ip::tcp::socket& socket = connection.stream.socket();
  std::optional<std::size_t> arrived;
  while (true) {
    const beast::error_code parsed = Parse(reader);
    if (parsed != http::error::need_more)
      co_return IsClosing(connection) ? kOutOfMemory : parsed;
    if (limit.state->is_over && !arrived) {
      beast::error_code ignored;
      arrived = socket.available(ignored);
    }
    if (arrived == 0U)
      co_return beast::error_code(beast::error::timeout);
    const std::size_t size = NextReadSize(reader);
    if (!CountRequest(reader, size))
      co_return kOutOfMemory;
    auto [error, bytes] = co_await socket.async_read_some(
        buffer.prepare(std::min(size, arrived.value_or(size))), kUseTuple);
    buffer.commit(bytes);
    connection.report.bytes_read += bytes;
    RecordArrival(connection.load, bytes, std::chrono::steady_clock::now());
    if (arrived)
      *arrived -= bytes;
    if (IsClosing(connection))
      co_return kOutOfMemory;
    if (error == asio::error::eof) {
      if (!reader.parser.got_some())
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

void SetConnectionPhase(detail::http_connection& connection,
                        connection_phase phase) {
  SetPhase(*connection.listener->limits.held, connection.load, phase,
           std::chrono::steady_clock::now());
}

// Sends the response to a request that was not read, and ends the connection.
asio::awaitable<void> RefuseRequest(http_exchange& exchange,
                                    const beast::error_code& error,
                                    std::size_t& refusals) {
  detail::http_connection& connection = *exchange.connection;
  SetConnectionPhase(connection, connection_phase::kClosing);
  connection.keep_alive = false;
  if (connection.is_window_large)
    SetWindow(connection, kSmallWindow);
  http_response response = ParseFailureResponse(error);
  co_await WriteResponse(exchange, std::move(response), kRefusalTime);
  co_await DiscardRest(connection, refusals);
}

// Counts what the request holds while it is in progress. Returns false if the
// memory is used up.
bool CountServing(request_reader& reader) {
  detail::http_connection& connection = reader.Connection();
  if (connection.is_window_large)
    SetWindow(connection, kSmallWindow);
  if (reader.buffer.size() == 0)
    reader.buffer.shrink_to_fit();
  return CountRequest(
      reader, kServingBytes +
                  (kHeaderCopies - 1) * HeaderBytes(reader.exchange.request));
}

// Reads the next request. Returns false if the connection is to be closed;
// after an error, the error response has been sent by then.
asio::awaitable<bool> ReadRequest(http_exchange& exchange,
                                  beast::flat_buffer& buffer,
                                  std::size_t& refusals) {
  detail::http_connection& connection = *exchange.connection;
  connection.idle_limit = LimitsInForce(*connection.listener).idle_timeout;
  if (buffer.size() == 0) {
    // Idle connections hold no memory.
    buffer.shrink_to_fit();
    SetHeld(*connection.listener->limits.held, connection.load, 0,
            std::chrono::steady_clock::now());
    SetConnectionPhase(connection, connection_phase::kIdle);
    if (!co_await WaitForRequest(connection))
      co_return false;
  }
  connection.busy = true;
  connection.request_began = std::chrono::steady_clock::now();
  SetConnectionPhase(connection, connection_phase::kReading);
  request_reader reader{exchange, buffer, LimitsInForce(*connection.listener)};
  reader.parser.header_limit(
      static_cast<std::uint32_t>(reader.limits.max_header_bytes));
  reader.parser.body_limit(reader.limits.max_body_bytes);
  connection.drop_request = [&reader] {
    std::string().swap(reader.Body());
    reader.parser.get().clear();
    reader.exchange.request = {};
  };
  beast::error_code error = co_await ReadMessage(reader);
  if (!error) {
    SetConnectionPhase(connection, connection_phase::kServing);
    connection.load.sends_ahead = buffer.size() > 0;
    if (!CountServing(reader))
      error = kOutOfMemory;
  }
  if (error) {
    // Other requests may need the memory before this connection is closed.
    connection.drop_request();
    buffer.clear();
    buffer.shrink_to_fit();
    SetEnd(connection, EndOfRead(reader.parser, error), error);
    if (error != http::error::end_of_stream &&
        error != asio::error::connection_reset &&
        error != asio::error::operation_aborted)
      co_await RefuseRequest(exchange, error, refusals);
    co_return false;
  }
  connection.keep_alive = reader.parser.keep_alive();
  exchange.request.body = std::move(reader.Body());
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
    if (!co_await ReadRequest(exchange, buffer, listener->refusals))
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

// Refuses a connection at the limit of connections or of memory, whatever is
// sent on it.
asio::awaitable<void> RefuseConnection(const listener_ptr& listener,
                                       detail::http_connection& connection) {
  const held_memory& memory = *listener->limits.held;
  if (MayLog(*listener))
    LogWarning("connection_refused", {{"connections", memory.open},
                                      {"held", memory.used},
                                      {"limit", memory.limit}});
  SetEnd(connection, connection_end::kRefused);
  connection.report.limits_now = listener->limits.version;
  ReportEnd(*listener, connection.report);
  if (listener->refusals >= kMaxRefusals)
    co_return;
  connection.keep_alive = false;
  http_exchange exchange;
  exchange.connection = &connection;
  http_response refusal = JsonResponse(
      503, R"({"error":{"type":"too_many_connections"},"ran":"no"})");
  refusal.headers.push_back({"Retry-After", "1"});
  co_await WriteResponse(exchange, std::move(refusal), kRefusalTime);
  co_await DiscardRest(connection, listener->refusals);
}

// Ends a connection so that others find room. Returns false if it is no longer
// idle.
bool Displace(detail::http_connection& connection) {
  if (connection.load.phase == connection_phase::kIdle &&
      HasArrived(connection.stream.socket()))
    return false;
  // A request that is being read gets a refusal.
  if (connection.load.phase == connection_phase::kReading)
    connection.drop_request();
  else
    SetEnd(connection, connection_end::kDisplaced);
  connection.busy = true;
  if (connection.load.phase != connection_phase::kServing) {
    connection.stream.cancel();
    return true;
  }
  beast::error_code ignored;
  connection.stream.socket().close(ignored);
  const auto watch = connection.watch.lock();
  if (watch && watch->on_disconnect)
    std::exchange(watch->on_disconnect, nullptr)();
  return true;
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
  connection.load.close = [&connection] { return Displace(connection); };
  if (!AddConnection(*listener->limits.held, connection.load, accepted_at)) {
    co_await RefuseConnection(listener, connection);
    co_return;
  }
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
void ReportUnserved(detail::http_listener& listener,
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

}  // namespace

tl::expected<http_server, std::string> StartHttpServer(
    asio::any_io_executor executor,
    const endpoint& address,
    const http_limits& limits,
    http_handler handler) {
  auto acceptor = OpenListener(executor, address, kSmallWindow);
  if (!acceptor)
    return tl::unexpected(acceptor.error());
  auto listener = std::make_shared<detail::http_listener>(
      std::move(*acceptor), limits, std::move(handler));
  limits.held->max_connections = limits.max_connections;
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
  return WriteResponse(exchange, std::move(response),
                       exchange.connection->listener->limits.write_timeout);
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
  connection.watch = exchange.watch;
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
        connection.load.sends_ahead = count > 0;
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
