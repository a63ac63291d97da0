// An HTTP/1.1 server: an accept loop that passes each request to a handler.
//
// The handler is a coroutine. It sends its response either in one call,
// Respond(), or as a stream, with BeginStream(), WriteStream() and EndStream().
// If the handler returns without having responded, the server sends status 500,
// so that every request gets a response.
//
// Limits bound the resources of a hostile or slow caller: the number of
// connections, the size of header, trailers and body, the memory of all
// connections, and the time each may take.

#ifndef WAXWING_HTTP_SERVER_H_
#define WAXWING_HTTP_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <tl/expected.hpp>

#include "waxwing/connection_end.h"
#include "waxwing/held_memory.h"
#include "waxwing/http.h"
#include "waxwing/types.h"

namespace waxwing {

// Limits on requests, which a configuration may replace.
struct request_limits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  milliseconds read_timeout{10'000};  // from first byte to complete request
  milliseconds idle_timeout{60'000};  // between requests
  // Increases with each change; for logs.
  std::int64_t version = 0;
};

// Limits of a server. Those beside the request limits are the process's own.
struct http_limits : request_limits {
  std::size_t max_connections = 4096;
  milliseconds write_timeout{20'000};  // for one write of a response
  // What connections hold. Servers that share it also share the number of
  // connections.
  std::shared_ptr<held_memory> held = std::make_shared<held_memory>();
};

namespace detail {
struct http_connection;
struct http_listener;
struct caller_watch;
}  // namespace detail

// One request and the state of its response.
struct http_exchange {
  http_request request;
  // May be set by the handler; for logs.
  std::string id;
  // Address of the caller, for logs.
  std::string peer;
  // When the connection was accepted.
  instant accepted_at;
  // Set once the first byte of the response may have been written.
  bool response_started = false;
  bool streaming = false;
  // Set when the connection can no longer be used.
  bool broken = false;
  detail::http_connection* connection = nullptr;
  std::shared_ptr<detail::caller_watch> watch;
};

using http_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&)>;

// Is called at the end of each connection.
using connection_observer = std::function<void(const connection_report&)>;

// A running server; it runs until CloseServer(), even if this is destroyed.
struct http_server {
  std::shared_ptr<detail::http_listener> listener;
  endpoint address;
};

// Listens on `address` (port 0: any free port). Fails with an error message.
tl::expected<http_server, std::string> StartHttpServer(
    boost::asio::any_io_executor executor,
    const endpoint& address,
    const http_limits& limits,
    http_handler handler);

// Replaces the observer of the ends of connections. Ends that are not regular
// are logged in any case.
void ObserveConnections(http_server& server, connection_observer observer);

// Closes connections after the response to any request read from now on.
void CloseAfterResponses(http_server& server);

// Stops accepting and closes idle connections; requests in progress go on.
void StopAccepting(http_server& server);

// Stops accepting and closes all connections, including those in use.
void CloseServer(http_server& server);

// The number of requests of which a byte has arrived and whose handler has not
// returned yet.
std::size_t ActiveExchanges(const http_server& server);

// Sends a complete response. False if the caller has disconnected.
boost::asio::awaitable<bool> Respond(http_exchange& exchange,
                                     http_response response);

// Starts a response of unknown length. False if the caller has disconnected.
boost::asio::awaitable<bool> BeginStream(http_exchange& exchange,
                                         http_response head);

// Sends the next part of its body. False if the caller has disconnected.
boost::asio::awaitable<bool> WriteStream(http_exchange& exchange,
                                         std::string_view data);

// Ends its body. False if the caller has disconnected.
boost::asio::awaitable<bool> EndStream(http_exchange& exchange);

// Calls `on_disconnect` once if the caller closes its connection before the
// handler returns. A caller that already sends its next request is not watched
// further.
void WatchCaller(http_exchange& exchange, std::function<void()> on_disconnect);

// Replaces the limits on requests; open connections use the new ones from their
// next operation on.
void SetLimits(http_server& server, const request_limits& limits);

// Closes the connection without ending the response, so that the caller can
// tell that it is incomplete.
void AbortExchange(http_exchange& exchange);

}  // namespace waxwing

#endif  // WAXWING_HTTP_SERVER_H_
