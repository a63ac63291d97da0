// An HTTP/1.1 client with a pool of connections for each address.
//
// Idle connections can go silent for good while new ones work. Therefore an
// idle connection is reused only while it is young, the first timeout on any
// connection drops all idle ones to that address, and a call that must not be
// repeated always dials anew, so that a failure to connect means that no byte
// of it has left.

#ifndef WAXWING_HTTP_CLIENT_H_
#define WAXWING_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>

#include <tl/expected.hpp>

#include "waxwing/http.h"
#include "waxwing/types.h"

namespace waxwing {

struct http_pool_limits {
  std::size_t max_idle_per_address = 256;
  milliseconds max_idle_age{4'000};
  milliseconds connect_timeout{500};
  std::size_t max_response_bytes = 64 * 1024 * 1024;
};

namespace detail {
struct http_pool_state;
struct http_call_state;
}  // namespace detail

// Connections to any number of addresses.
struct http_pool {
  std::shared_ptr<detail::http_pool_state> state;
};

// A call whose answer's header has been read and whose body is being read.
struct http_call {
  // Status and header fields; the body stays empty.
  http_response head;
  // The request was sent before, on a kept connection that broke, and may have
  // run then.
  bool was_sent_before = false;
  std::shared_ptr<detail::http_call_state> state;
};

http_pool MakeHttpPool(boost::asio::any_io_executor executor,
                       const http_pool_limits& limits);

// Lets another coroutine break a call that is in progress.
struct http_abort {
  bool aborted = false;
  std::weak_ptr<detail::http_call_state> call;
};

// Breaks the call, or keeps it from being started.
void Abort(http_abort& abort);

// How one call is made.
struct http_call_options {
  // Longest silence before the answer's header.
  milliseconds header_timeout{2'000};
  // May use an idle connection, be sent again if that one proves dead, and
  // leave its own connection to later calls.
  bool reuse = true;
  // May be null; must outlive the call.
  http_abort* abort = nullptr;
};

// Sends a request and reads the header of its answer.
boost::asio::awaitable<tl::expected<http_call, http_error>> StartCall(
    const http_pool& pool,
    const endpoint& address,
    const http_request& request,
    const http_call_options& options);

// Appends the next piece of the body to `out`. False at the end of the body,
// when the connection goes back to its pool.
boost::asio::awaitable<tl::expected<bool, http_error>> ReadSomeBody(
    const http_pool& pool,
    http_call& call,
    milliseconds timeout,
    std::string& out);

// Reads the rest of an answer that belongs to another request, and then the
// header of the next answer on the same connection.
boost::asio::awaitable<tl::expected<void, http_error>>
SkipResponse(const http_pool& pool, http_call& call, milliseconds timeout);

// Breaks the call's connection; a pending read ends with an error.
void CancelCall(http_call& call);

// Makes a call and reads its whole answer, within `timeout` for each step.
boost::asio::awaitable<tl::expected<http_response, http_error>> Fetch(
    const http_pool& pool,
    const endpoint& address,
    const http_request& request,
    const http_call_options& options);

}  // namespace waxwing

#endif  // WAXWING_HTTP_CLIENT_H_
