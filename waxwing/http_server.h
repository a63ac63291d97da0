// An HTTP/1.1 server: an accept loop that hands each request to a handler.
//
// The handler is a coroutine. It answers its exchange either at once, by
// Respond(), or piece by piece, by BeginStream(), WriteStream() and
// EndStream(). A handler that returns without an answer makes the server send
// status 500, so that no caller is left without one.
//
// Limits bound what a hostile or slow caller can hold: the number of
// connections, the size of header and body, and the time each may take.

#ifndef WAXWING_HTTP_SERVER_H_
#define WAXWING_HTTP_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include <tl/expected.hpp>

#include "waxwing/http.h"
#include "waxwing/types.h"

namespace waxwing {

struct http_limits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  std::size_t max_connections = 4096;
  milliseconds read_timeout{10'000};   // from first byte to whole request
  milliseconds idle_timeout{60'000};   // between requests
  milliseconds write_timeout{20'000};  // for one piece of an answer
};

namespace detail {
struct http_connection;
struct http_listener;
struct caller_watch;
}  // namespace detail

// One request and the means to answer it.
struct http_exchange {
  http_request request;
  // Address of the caller, for logs.
  std::string peer;
  // When the connection was accepted.
  instant accepted_at;
  // Set once the first byte of an answer may have been written.
  bool response_started = false;
  bool streaming = false;
  // Set when the connection can't be used any more.
  bool broken = false;
  detail::http_connection* connection = nullptr;
  std::shared_ptr<detail::caller_watch> watch;
};

using http_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&)>;

// A running server. Destroying it closes the listener and all connections.
struct http_server {
  std::shared_ptr<detail::http_listener> listener;
  endpoint address;
};

// Listens at `address` (port 0 picks a free one). Fails with the system's text.
tl::expected<http_server, std::string> StartHttpServer(
    boost::asio::any_io_executor executor,
    const endpoint& address,
    const http_limits& limits,
    http_handler handler);

// From now on every answer closes its connection.
void CloseAfterResponses(http_server& server);

// Stops accepting; connections in use go on, idle ones are closed.
void StopAccepting(http_server& server);

// Stops accepting and breaks all connections, also those in use.
void CloseServer(http_server& server);

// The number of requests whose handler has not returned yet.
std::size_t ActiveExchanges(const http_server& server);

// Sends a whole answer. False if the caller is gone.
boost::asio::awaitable<bool> Respond(http_exchange& exchange,
                                     http_response response);

// Starts an answer of unknown length. False if the caller is gone.
boost::asio::awaitable<bool> BeginStream(http_exchange& exchange,
                                         http_response head);

// Sends one piece of it. False if the caller is gone.
boost::asio::awaitable<bool> WriteStream(http_exchange& exchange,
                                         std::string_view data);

// Ends it. False if the caller is gone.
boost::asio::awaitable<bool> EndStream(http_exchange& exchange);

// Calls `on_disconnect` once if the caller closes its connection before the
// handler returns. A caller that already sends its next request is not watched
// further.
void WatchCaller(http_exchange& exchange, std::function<void()> on_disconnect);

// Replaces the limits; connections that are open follow them from their next
// request on.
void SetLimits(http_server& server, const http_limits& limits);

// Breaks the connection without ending the answer, so that the caller sees
// that it is not whole.
void AbortExchange(http_exchange& exchange);

}  // namespace waxwing

#endif  // WAXWING_HTTP_SERVER_H_
