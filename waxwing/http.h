// HTTP message types, independent of any HTTP library.
//
// The server half is in http_server.h, the client half in http_client.h.

#ifndef WAXWING_HTTP_H_
#define WAXWING_HTTP_H_

#include <string>
#include <string_view>
#include <vector>

namespace waxwing {

// A header field. Names are case-insensitive.
struct http_header {
  std::string name;
  std::string value;
};

using http_headers = std::vector<http_header>;

struct http_request {
  std::string method = "GET";
  std::string target = "/";
  http_headers headers;
  std::string body;
};

struct http_response {
  unsigned status = 200;
  http_headers headers;
  std::string body;
};

// Why a call failed, as far as the client can tell.
enum class http_failure {
  kConnect,    // no connection; no byte of the request was sent
  kTimeout,    // no data from the peer within the timeout
  kClosed,     // the connection was closed or reset
  kMalformed,  // the response is not valid HTTP or exceeds a limit
};

struct http_error {
  http_failure failure = http_failure::kConnect;
  // True if any byte of the request may have reached the peer.
  bool maybe_sent = false;
  std::string detail;
  // The connection had been used before this call and may have failed alone.
  bool on_reused_connection = false;
};

// The value of the first field named `name`; empty if there is none.
std::string_view FindHeader(const http_headers& headers, std::string_view name);

// The path of a request target, without its query.
std::string_view PathOf(std::string_view target);

// The value of query parameter `name`, not decoded; empty if there is none.
std::string_view QueryValue(std::string_view target, std::string_view name);

// A response with a JSON body.
http_response JsonResponse(unsigned status, std::string body);

// The name of a failure, for logs.
std::string_view NameOf(http_failure failure);

}  // namespace waxwing

#endif  // WAXWING_HTTP_H_
