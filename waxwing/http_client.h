// An HTTP/1.1 client with a pool of connections for each address.
//
// An idle connection can become unresponsive while new ones to the same address
// work. Therefore idle connections are reused only for max_idle_age, a timeout
// on a reused connection or in a body drops all idle ones to that address, and
// a call that must not be retried opens a new connection, so that a connect
// failure means that no byte of the request was sent.

#ifndef WAXWING_HTTP_CLIENT_H_
#define WAXWING_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

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

// A call whose response header was read and whose body is being read.
struct http_call {
  // Status and header fields; the body stays empty.
  http_response head;
  // The request was first sent on a reused connection that failed, and may have
  // been executed then.
  bool was_sent_before = false;
  bool is_on_new_connection = false;
  // The response states neither its length nor chunks: it ends with the
  // connection.
  bool ends_with_connection = false;
  std::shared_ptr<detail::http_call_state> state;
};

http_pool MakeHttpPool(boost::asio::any_io_executor executor,
                       const http_pool_limits& limits);

// Lets another coroutine abort a call that is in progress.
struct http_abort {
  bool aborted = false;
  std::weak_ptr<detail::http_call_state> call;
};

// Aborts the call, or prevents it from starting.
void Abort(http_abort& abort);

// Options of one call.
struct http_call_options {
  // Time to send the request and read the response header.
  milliseconds header_timeout{2'000};
  // May use an idle connection, be sent again on a new one if that fails, and
  // return its own connection to the pool.
  bool reuse = true;
  // May be null; must outlive the call.
  http_abort* abort = nullptr;
  // A reused connection that fails later than this after the call began is not
  // replaced: what the request states, such as its deadline, and the choice of
  // the address may be out of date by then.
  milliseconds max_resend_delay = milliseconds::max();
  // Longest response body that Fetch() accepts.
  std::size_t max_body_bytes = 64 * 1024 * 1024;
  // Is sent if the request itself has no body; must outlive the call.
  std::string_view body;
  // Bytes that the peer may send on a new connection ahead of what is read; 0:
  // as the system decides.
  int receive_window = 0;
  // Time to connect; that of the pool if it is not set.
  std::optional<milliseconds> connect_timeout;
};

// Sends a request and reads the response header.
boost::asio::awaitable<tl::expected<http_call, http_error>> StartCall(
    const http_pool& pool,
    const endpoint& address,
    const http_request& request,
    const http_call_options& options);

// Appends the next part of the body to `out`. Returns false at the end of the
// body, where a reusable connection returns to its pool.
boost::asio::awaitable<tl::expected<bool, http_error>> ReadSomeBody(
    const http_pool& pool,
    http_call& call,
    milliseconds timeout,
    std::string& out);

// Until when a body is read with ReadSomeBodyUntil().
struct body_limit {
  instant time;
  // Once `time` was seen to have passed: the count of parsed bytes up to which
  // the response may still be read.
  std::optional<std::size_t> last_byte;
};

// Appends the next part of the body, like ReadSomeBody(). After the limit only
// what has already arrived is read: a response that was complete in time is not
// lost if this process stalls, but one that goes on is ended.
boost::asio::awaitable<tl::expected<bool, http_error>> ReadSomeBodyUntil(
    const http_pool& pool,
    http_call& call,
    body_limit& limit,
    std::string& out);

// Discards the rest of a response to another request, then reads the header of
// the next response on the same connection, within `timeout` in all.
boost::asio::awaitable<tl::expected<void, http_error>>
SkipResponse(const http_pool& pool, http_call& call, milliseconds timeout);

// What an address does with a new connection.
enum class connect_result { kAccepted, kRefused, kNoResponse };

// Opens a connection to an address and closes it again.
boost::asio::awaitable<connect_result> TryConnect(const http_pool& pool,
                                                  endpoint address,
                                                  milliseconds timeout);

// True if an address accepts a new connection and does not close it at once.
boost::asio::awaitable<bool> AcceptsConnection(const http_pool& pool,
                                               endpoint address,
                                               milliseconds timeout);

// Closes the call's connection; a pending read ends with an error.
void CancelCall(http_call& call);

// Closes idle connections that may no longer be reused, because they are too
// old, closed by the peer or have unsolicited data.
void PruneIdleConnections(const http_pool& pool);

// Makes a call and reads the complete response, within header_timeout for the
// header and the same time for the body.
boost::asio::awaitable<tl::expected<http_response, http_error>> Fetch(
    const http_pool& pool,
    const endpoint& address,
    const http_request& request,
    const http_call_options& options);

}  // namespace waxwing

#endif  // WAXWING_HTTP_CLIENT_H_
