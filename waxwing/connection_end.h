// How connections of callers to the HTTP server end.

#ifndef WAXWING_CONNECTION_END_H_
#define WAXWING_CONNECTION_END_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "waxwing/types.h"

namespace waxwing {

enum class connection_end {
  kResponded,    // after a response that announced it
  kCallerLeft,   // by the caller, between two requests
  kCallerBroke,  // by the caller, in the middle of a request
  kCallerGone,   // by the caller, before it had the whole response
  kUnread,       // the caller did not read its response in time
  kLate,         // the request was not complete in time
  kMalformed,    // the request was unreadable or too large
  kAborted,      // the response can't be completed
  kIdle,         // idle for longer than the limit
  kDisplaced,    // idle, in favor of a new connection
  kRefused,      // new, at the limit of connections
  kStopped,      // idle or new, since the server stops accepting
  kClosed,       // by CloseServer(), whatever was in progress
  kFailed,       // by an unexpected error
};

inline constexpr connection_end kConnectionEnds[] = {
    connection_end::kResponded,   connection_end::kCallerLeft,
    connection_end::kCallerBroke, connection_end::kCallerGone,
    connection_end::kUnread,      connection_end::kLate,
    connection_end::kMalformed,   connection_end::kAborted,
    connection_end::kIdle,        connection_end::kDisplaced,
    connection_end::kRefused,     connection_end::kStopped,
    connection_end::kClosed,      connection_end::kFailed,
};

std::string_view NameOf(connection_end end);

// True if the end is part of a regular exchange of request and response.
bool IsRegular(connection_end end);

// One connection at its end.
struct connection_report {
  connection_end end = connection_end::kResponded;
  std::string peer;
  // The error that ended it, if any.
  std::string error;
  // Number of requests that were read completely, and the state of the last
  // one: its ID if the handler has set it, whether it was read completely, and
  // whether a response to it was begun and written to its end.
  std::size_t requests = 0;
  std::string request_id;
  bool is_read = false;
  bool has_response = false;
  bool is_complete = false;
  std::uint64_t bytes_read = 0;
  std::uint64_t bytes_written = 0;
  // Time since the connection was accepted, and since the first byte of the
  // last request was seen.
  duration age{};
  duration request_age{};
  // Version of the limits when the last request was read, and now.
  std::int64_t limits_at_request = 0;
  std::int64_t limits_now = 0;
};

// True if a request was read completely, and its response is missing or
// incomplete although its caller had not left.
bool LacksResponse(const connection_report& report);

}  // namespace waxwing

#endif  // WAXWING_CONNECTION_END_H_
