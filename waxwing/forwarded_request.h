// What one VM states to another about a request that it forwards: a header of
// the request, which no caller can forge, since it has a MAC under the key that
// only VMs know.
//
// The VM that received the request from its caller decides once what the other
// one must not decide anew: the service, the time left, the attempts left, the
// origin of a stream that is continued, and the build of one that other VMs
// expect to begin.

#ifndef WAXWING_FORWARDED_REQUEST_H_
#define WAXWING_FORWARDED_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "waxwing/http.h"
#include "waxwing/stream_builds.h"
#include "waxwing/types.h"

namespace waxwing {

inline constexpr std::string_view kForwardedHeader = "Waxwing-Forwarded";
// Of a response: the VM has not sent the request to any target, and another VM
// may be tried, best the one that it names (peer_choice.h).
inline constexpr std::string_view kDeclinedHeader = "Waxwing-Declined";

struct forwarded_request {
  // The VM that the caller is connected to.
  std::string vm;
  std::string service;
  // Version of the configuration by which it was routed.
  std::int64_t config_version = 0;
  milliseconds time_left{0};
  // The request has been counted in a retry budget already.
  bool is_counted = false;
  // Targets that may have run it, of those that its route allows.
  int attempts = 0;
  // Last event that the caller has, and where the stream began, if it is known.
  std::optional<std::uint64_t> resume_after;
  std::optional<stream_origin> origin;
  // Number of the last attempt at a target so far.
  std::uint32_t attempt_number = 0;
  // The only build at which the stream may begin, if there is such a limit.
  std::optional<std::string> told_build;
};

// Adds the statement to a request, in place of any that it has.
void AddForwarded(http_request& request,
                  const forwarded_request& forwarded,
                  std::string_view key);

// Removes the statement from a request. Returns std::nullopt if there is none,
// or if it can't be read or has not been made with the key.
std::optional<forwarded_request> TakeForwarded(http_request& request,
                                               std::string_view key);

}  // namespace waxwing

#endif  // WAXWING_FORWARDED_REQUEST_H_
