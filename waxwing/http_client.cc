#include "waxwing/http_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cerrno>
#include <list>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace waxwing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Limits a chunk header or trailer, which the parser does not.
constexpr std::size_t kMaxBufferedBytes = 64 * 1024;

}  // namespace

namespace detail {

struct http_call_state {
  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxBufferedBytes};
  std::optional<http::response_parser<http::buffer_body>> parser;
  endpoint address;
  // The connection may return to the pool after the call.
  bool reusable = true;
  // Bytes that ReadSomeBody() has taken from the connection and parsed.
  std::size_t parsed_bytes = 0;

  explicit http_call_state(beast::tcp_stream s) : stream(std::move(s)) {}
};

struct idle_connection {
  beast::tcp_stream stream;
  instant since;
};

struct http_pool_state {
  asio::any_io_executor executor;
  http_pool_limits limits;
  // Most recently used last; the last one is reused first.
  std::map<endpoint, std::list<idle_connection>> idle;
};

}  // namespace detail

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBufferBytes = 16 * 1024;
// Idle time before a TCP keep-alive probe, and between probes. Several probes
// distinguish a lost packet from a lost peer.
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 3;
// The kernel closes a connection whose data is unacknowledged for this long.
constexpr unsigned kUserTimeoutMs = 3'000;

using state_ptr = std::shared_ptr<detail::http_call_state>;

http_error MakeError(const beast::error_code& error, bool sent) {
  http_failure failure = http_failure::kMalformed;
  if (error == beast::error::timeout)
    failure = http_failure::kTimeout;
  else if (error.category() == asio::error::get_system_category() ||
           error.category() == asio::error::get_misc_category() ||
           error == http::error::end_of_stream ||
           error == http::error::partial_message)
    failure = http_failure::kClosed;
  return {failure, sent, error.message()};
}

// Returns the time until `limit`, at least 1 ms.
milliseconds TimeUntil(instant limit) {
  return std::max(milliseconds(1),
                  std::chrono::ceil<milliseconds>(
                      limit - std::chrono::steady_clock::now()));
}

http_error TimedOut() {
  return {http_failure::kTimeout, true, "the response does not end"};
}

// True if nothing has arrived on an idle connection, neither its end nor data.
bool IsQuiet(beast::tcp_stream& stream) {
  char byte = 0;
  return ::recv(stream.socket().native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) < 0 &&
         errno == EAGAIN;
}

// True if data has arrived on a connection.
bool HasData(beast::tcp_stream& stream) {
  char byte = 0;
  return ::recv(stream.socket().native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

// True if the text contains the beginning of a status line, up to the space
// after its status.
bool ContainsStatusLine(std::string_view text) {
  constexpr std::string_view kVersion = "HTTP/1.";
  // The minor version, a space, the status and a space.
  constexpr std::size_t kLength = 6;
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  for (std::size_t at = text.find(kVersion); at != std::string_view::npos;
       at = text.find(kVersion, at + 1)) {
    const std::string_view rest = text.substr(at + kVersion.size(), kLength);
    if (rest.size() == kLength && is_digit(rest[0]) && rest[1] == ' ' &&
        is_digit(rest[2]) && is_digit(rest[3]) && is_digit(rest[4]) &&
        rest[5] == ' ')
      return true;
  }
  return false;
}

// True if a head consists of the beginning of one response, which ended within
// a line, and the head of the next one.
bool IsJoined(const http::response_parser<http::buffer_body>& parser) {
  const auto& head = parser.get();
  return ContainsStatusLine(head.reason()) ||
         std::any_of(head.begin(), head.end(), [](const auto& field) {
           return ContainsStatusLine(field.value());
         });
}

http_error JoinedResponses() {
  return {http_failure::kMalformed, true, "a response begins within a head"};
}

// The parser accepts any three digits.
bool HasValidStatus(const http::response_parser<http::buffer_body>& parser) {
  constexpr unsigned kMinStatus = 100;
  return parser.get().result_int() >= kMinStatus;
}

http_error InvalidStatus() {
  return {http_failure::kMalformed, true, "the status is invalid"};
}

// Removes an idle connection from the pool, if there is a recent one.
std::optional<beast::tcp_stream> TakeIdleConnection(
    detail::http_pool_state& pool,
    const endpoint& address) {
  const auto found = pool.idle.find(address);
  if (found == pool.idle.end() || found->second.empty())
    return std::nullopt;
  detail::idle_connection last = std::move(found->second.back());
  found->second.pop_back();
  if (std::chrono::steady_clock::now() - last.since >
      pool.limits.max_idle_age) {
    found->second.clear();
    return std::nullopt;
  }
  if (!IsQuiet(last.stream))
    return std::nullopt;
  return std::move(last.stream);
}

void ReturnIdleConnection(detail::http_pool_state& pool,
                          detail::http_call_state& call) {
  // Data beyond the response belongs to no request.
  if (call.buffer.size() > 0)
    return;
  auto& list = pool.idle[call.address];
  if (list.size() >= pool.limits.max_idle_per_address)
    return;
  call.stream.expires_never();
  list.push_back({std::move(call.stream), std::chrono::steady_clock::now()});
}

// Lets the kernel detect a peer that disappeared without a reset.
void SetKeepAlive(asio::ip::tcp::socket& socket) {
  const int on = 1;
  const int handle = socket.native_handle();
  ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveSeconds,
               sizeof kKeepAliveSeconds);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveSeconds,
               sizeof kKeepAliveSeconds);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
               sizeof kKeepAliveProbes);
  ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
               sizeof kUserTimeoutMs);
}

asio::awaitable<tl::expected<state_ptr, http_error>> Connect(
    const http_pool& pool,
    const endpoint& address,
    const http_call_options& options) {
  auto call = std::make_shared<detail::http_call_state>(
      beast::tcp_stream(pool.state->executor));
  call->address = address;
  if (options.abort)
    options.abort->call = call;
  beast::error_code code;
  const asio::ip::tcp::endpoint remote(
      asio::ip::make_address(address.host, code), address.port);
  if (code)
    co_return tl::unexpected(
        http_error{http_failure::kConnect, false, code.message()});
  if (options.receive_window > 0) {
    call->stream.socket().open(remote.protocol(), code);
    call->stream.socket().set_option(
        asio::socket_base::receive_buffer_size(options.receive_window), code);
  }
  call->stream.expires_after(
      options.connect_timeout.value_or(pool.state->limits.connect_timeout));
  auto [error] = co_await call->stream.async_connect(remote, kUseTuple);
  if (error)
    co_return tl::unexpected(
        http_error{http_failure::kConnect, false, error.message()});
  call->stream.socket().set_option(asio::ip::tcp::no_delay(true), code);
  SetKeepAlive(call->stream.socket());
  co_return call;
}

// The message refers to the body, which may be large.
http::request<http::span_body<const char>> ToBeast(const http_request& request,
                                                   std::string_view body,
                                                   const endpoint& address) {
  http::request<http::span_body<const char>> out;
  out.method_string(request.method);
  out.target(request.target);
  out.version(11);
  if (FindHeader(request.headers, "Host").empty())
    out.set(http::field::host, ToText(address));
  for (const http_header& header : request.headers)
    out.insert(header.name, header.value);
  out.body() = {body.data(), body.size()};
  out.prepare_payload();
  return out;
}

http_response ResponseHead(
    const http::response_parser<http::buffer_body>& parser) {
  http_response head;
  head.status = parser.get().result_int();
  for (const auto& field : parser.get())
    head.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  return head;
}

// Sends the request and reads the response header on one connection.
asio::awaitable<tl::expected<http_call, http_error>> SendRequest(
    state_ptr call,
    const http_request& request,
    const http_call_options& options,
    std::size_t max_response_bytes) {
  const std::string_view body =
      request.body.empty() ? options.body : request.body;
  const auto message = ToBeast(request, body, call->address);
  call->stream.expires_after(options.header_timeout);
  auto [write_error, written] =
      co_await http::async_write(call->stream, message, kUseTuple);
  if (write_error)
    co_return tl::unexpected(MakeError(write_error, true));
  call->parser.emplace();
  call->parser->body_limit(max_response_bytes);
  auto [read_error, read] = co_await http::async_read_header(
      call->stream, call->buffer, *call->parser, kUseTuple);
  if (read_error)
    co_return tl::unexpected(MakeError(read_error, true));
  if (IsJoined(*call->parser))
    co_return tl::unexpected(JoinedResponses());
  if (!HasValidStatus(*call->parser))
    co_return tl::unexpected(InvalidStatus());
  http_call out;
  out.head = ResponseHead(*call->parser);
  out.ends_with_connection = call->parser->need_eof();
  out.state = call;
  co_return out;
}

}  // namespace

http_pool MakeHttpPool(asio::any_io_executor executor,
                       const http_pool_limits& limits) {
  auto state = std::make_shared<detail::http_pool_state>();
  state->executor = executor;
  state->limits = limits;
  return {state};
}

asio::awaitable<tl::expected<http_call, http_error>> StartCall(
    const http_pool& pool,
    const endpoint& address,
    const http_request& request,
    const http_call_options& options) {
  bool was_sent = false;
  const instant began = std::chrono::steady_clock::now();
  if (options.abort && options.abort->aborted)
    co_return tl::unexpected(
        http_error{http_failure::kConnect, false, "aborted"});
  if (options.reuse) {
    auto idle = TakeIdleConnection(*pool.state, address);
    if (idle) {
      auto call = std::make_shared<detail::http_call_state>(std::move(*idle));
      call->address = address;
      if (options.abort)
        options.abort->call = call;
      auto response = co_await SendRequest(
          call, request, options, pool.state->limits.max_response_bytes);
      if (response)
        co_return response;
      was_sent = true;
      response.error().on_reused_connection = true;
      // If the idle connection timed out, the others may be unresponsive too.
      if (response.error().failure == http_failure::kTimeout)
        pool.state->idle.erase(address);
      if (options.abort && options.abort->aborted)
        co_return response;
      if (std::chrono::duration_cast<milliseconds>(
              std::chrono::steady_clock::now() - began) >
          options.max_resend_delay)
        co_return response;
    }
  }
  auto connected = co_await Connect(pool, address, options);
  if (!connected) {
    http_error error = connected.error();
    error.maybe_sent = error.maybe_sent || was_sent;
    co_return tl::unexpected(error);
  }
  (*connected)->reusable = options.reuse;
  if (options.abort && options.abort->aborted)
    co_return tl::unexpected(
        http_error{http_failure::kConnect, was_sent, "aborted"});
  if (HasData((*connected)->stream))
    co_return tl::unexpected(http_error{http_failure::kMalformed, was_sent,
                                        "data before the request"});
  auto response = co_await SendRequest(*connected, request, options,
                                       pool.state->limits.max_response_bytes);
  if (response) {
    response->was_sent_before = was_sent;
    response->is_on_new_connection = true;
  }
  co_return response;
}

asio::awaitable<tl::expected<bool, http_error>> ReadSomeBody(
    const http_pool& pool,
    http_call& call,
    milliseconds timeout,
    std::string& out) {
  detail::http_call_state& state = *call.state;
  auto& parser = *state.parser;
  std::array<char, kReadBufferBytes> read_buffer;
  state.stream.expires_after(timeout);
  while (!parser.is_done()) {
    parser.get().body().data = read_buffer.data();
    parser.get().body().size = read_buffer.size();
    parser.get().body().more = true;
    auto [error, bytes] = co_await http::async_read_some(
        state.stream, state.buffer, parser, kUseTuple);
    state.parsed_bytes += bytes;
    if (error && error != http::error::need_buffer) {
      if (error == beast::error::timeout)
        pool.state->idle.erase(state.address);
      co_return tl::unexpected(MakeError(error, true));
    }
    const std::size_t count = read_buffer.size() - parser.get().body().size;
    out.append(read_buffer.data(), count);
    if (count > 0)
      co_return true;
  }
  // An interim response is followed by the final one.
  const bool is_final = parser.get().result_int() >= 200;
  if (parser.keep_alive() && state.reusable && is_final)
    ReturnIdleConnection(*pool.state, state);
  co_return false;
}

asio::awaitable<tl::expected<bool, http_error>> ReadSomeBodyUntil(
    const http_pool& pool,
    http_call& call,
    body_limit& limit,
    std::string& out) {
  detail::http_call_state& state = *call.state;
  if (!limit.last_byte && std::chrono::steady_clock::now() >= limit.time) {
    beast::error_code ignored;
    limit.last_byte = state.parsed_bytes + state.buffer.size() +
                      state.stream.socket().available(ignored);
  }
  const auto more =
      co_await ReadSomeBody(pool, call, TimeUntil(limit.time), out);
  const bool goes_on = more && *more;
  if (goes_on && limit.last_byte && state.parsed_bytes > *limit.last_byte)
    co_return tl::unexpected(TimedOut());
  co_return more;
}

asio::awaitable<tl::expected<void, http_error>>
SkipResponse(const http_pool& pool, http_call& call, milliseconds timeout) {
  detail::http_call_state& state = *call.state;
  state.reusable = false;
  body_limit limit{std::chrono::steady_clock::now() + timeout};
  std::string discarded;
  while (true) {
    const auto more = co_await ReadSomeBodyUntil(pool, call, limit, discarded);
    if (!more)
      co_return tl::unexpected(more.error());
    if (!*more)
      break;
    discarded.clear();
  }
  state.parser.emplace();
  state.parser->body_limit(pool.state->limits.max_response_bytes);
  state.stream.expires_after(TimeUntil(limit.time));
  auto [error, bytes] = co_await http::async_read_header(
      state.stream, state.buffer, *state.parser, kUseTuple);
  if (error)
    co_return tl::unexpected(MakeError(error, true));
  if (IsJoined(*state.parser))
    co_return tl::unexpected(JoinedResponses());
  if (!HasValidStatus(*state.parser))
    co_return tl::unexpected(InvalidStatus());
  call.head = ResponseHead(*state.parser);
  call.ends_with_connection = state.parser->need_eof();
  co_return tl::expected<void, http_error>();
}

asio::awaitable<connect_result> TryConnect(const http_pool& pool,
                                           endpoint address,
                                           milliseconds timeout) {
  beast::tcp_stream stream(pool.state->executor);
  beast::error_code code;
  const asio::ip::tcp::endpoint remote(
      asio::ip::make_address(address.host, code), address.port);
  if (code)
    co_return connect_result::kNoResponse;
  stream.expires_after(timeout);
  auto [error] = co_await stream.async_connect(remote, kUseTuple);
  if (!error)
    co_return connect_result::kAccepted;
  co_return error == asio::error::connection_refused ||
          error == asio::error::connection_reset
      ? connect_result::kRefused
      : connect_result::kNoResponse;
}

asio::awaitable<bool> AcceptsConnection(const http_pool& pool,
                                        endpoint address,
                                        milliseconds timeout) {
  // Time within which a connection that is not meant to work is closed.
  constexpr milliseconds kStableAfter{20};
  beast::tcp_stream stream(pool.state->executor);
  beast::error_code code;
  const asio::ip::tcp::endpoint remote(
      asio::ip::make_address(address.host, code), address.port);
  if (code)
    co_return false;
  stream.expires_after(timeout);
  auto [connect_error] = co_await stream.async_connect(remote, kUseTuple);
  if (connect_error)
    co_return false;
  stream.expires_after(kStableAfter);
  char byte = 0;
  auto [error, bytes] =
      co_await stream.async_read_some(asio::buffer(&byte, 1), kUseTuple);
  co_return !error || error == beast::error::timeout;
}

void Abort(http_abort& abort) {
  abort.aborted = true;
  const auto call = abort.call.lock();
  if (!call)
    return;
  beast::error_code ignored;
  call->stream.socket().close(ignored);
}

void CancelCall(http_call& call) {
  beast::error_code ignored;
  call.state->stream.socket().close(ignored);
}

asio::awaitable<tl::expected<http_response, http_error>> Fetch(
    const http_pool& pool,
    const endpoint& address,
    const http_request& request,
    const http_call_options& options) {
  auto call = co_await StartCall(pool, address, request, options);
  if (!call)
    co_return tl::unexpected(call.error());
  http_response response = call->head;
  body_limit limit{std::chrono::steady_clock::now() + options.header_timeout};
  while (true) {
    const auto more =
        co_await ReadSomeBodyUntil(pool, *call, limit, response.body);
    if (!more)
      co_return tl::unexpected(more.error());
    if (!*more)
      co_return response;
    if (response.body.size() > options.max_body_bytes)
      co_return tl::unexpected(http_error{http_failure::kMalformed, true,
                                          "the response body is too long"});
  }
}

void PruneIdleConnections(const http_pool& pool) {
  const instant now = std::chrono::steady_clock::now();
  for (auto& [address, list] : pool.state->idle) {
    std::erase_if(list, [&](detail::idle_connection& connection) {
      return now - connection.since > pool.state->limits.max_idle_age ||
             !IsQuiet(connection.stream);
    });
  }
  std::erase_if(pool.state->idle,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace waxwing
