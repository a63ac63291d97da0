// Client of the platform's object API.
//
// Every call counts against the platform's rate limits, so users of this client
// must keep the number of calls independent of the number of VMs. A write whose
// response was lost is reported as kUncertain: it may have taken effect, and
// the caller has to read the object back before it decides what to do.

#ifndef WAXWING_PLATFORM_CLIENT_H_
#define WAXWING_PLATFORM_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "waxwing/http_client.h"
#include "waxwing/types.h"

namespace waxwing {

enum class platform_failure {
  kAbsent,       // there is no object with this key
  kConflict,     // the object's version differs from the expected one
  kUnavailable,  // nothing was changed; retry later
  kUncertain,    // the write may have taken effect
  kRefused,      // the request was rejected; a retry would fail as well
};

struct platform_error {
  platform_failure failure = platform_failure::kUnavailable;
  std::string detail;
};

struct platform_object {
  std::string value;
  std::uint64_t version = 0;
};

struct platform_client {
  http_pool pool;
  endpoint address;
  milliseconds timeout{1'000};
  // Delay before the first retry of a failed call; doubles with each failure.
  milliseconds first_retry_delay{10};
  // Calls made so far.
  std::uint64_t calls = 0;
};

template <typename T>
using platform_result = tl::expected<T, platform_error>;

boost::asio::awaitable<platform_result<platform_object>> GetObject(
    platform_client& client,
    std::string_view key);

// Stores `value` if the object's version is `if_version`, where 0 means that
// the object does not exist. Returns the new version.
boost::asio::awaitable<platform_result<std::uint64_t>> PutObject(
    platform_client& client,
    std::string_view key,
    std::string value,
    std::uint64_t if_version);

// Stores an immutable object. Succeeds if it already exists.
boost::asio::awaitable<platform_result<void>>
PutImmutable(platform_client& client, std::string_view key, std::string value);

// Waits for at most `wait` until an object below `prefix` changes after
// `revision`. Returns the platform's current revision.
boost::asio::awaitable<platform_result<std::uint64_t>> WatchPrefix(
    platform_client& client,
    std::string_view prefix,
    std::uint64_t revision,
    milliseconds wait);

// Returns a short name for a failure, for logs and operators.
std::string_view NameOf(platform_failure failure);

}  // namespace waxwing

#endif  // WAXWING_PLATFORM_CLIENT_H_
