// Client of the platform's object API.
//
// Every call counts against the platform's rates, so callers of this module
// keep their number independent of the fleet's size. A write whose answer was
// lost is reported as kUncertain: it may have taken effect, and the caller
// reads back before it decides.

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
  kAbsent,       // no object of this key
  kConflict,     // the condition on the version does not hold
  kUnavailable,  // nothing was done; try later
  kUncertain,    // a write may have taken effect
  kRefused,      // the platform will never do this
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
  // Pause before a call that failed is made again; doubles with each failure.
  milliseconds first_retry_delay{10};
  // Calls made so far.
  std::uint64_t calls = 0;
};

template <typename T>
using platform_result = tl::expected<T, platform_error>;

boost::asio::awaitable<platform_result<platform_object>> GetObject(
    platform_client& client,
    std::string_view key);

// Stores `value` if the object's version is `if_version` (0: it is absent).
// Gives the new version.
boost::asio::awaitable<platform_result<std::uint64_t>> PutObject(
    platform_client& client,
    std::string_view key,
    std::string value,
    std::uint64_t if_version);

// Stores an immutable object: one that is there already counts as stored.
boost::asio::awaitable<platform_result<void>>
PutImmutable(platform_client& client, std::string_view key, std::string value);

// Waits until something below `prefix` changes after `revision`, for `wait` at
// most. Gives the platform's revision.
boost::asio::awaitable<platform_result<std::uint64_t>> WatchPrefix(
    platform_client& client,
    std::string_view prefix,
    std::uint64_t revision,
    milliseconds wait);

// Short word for a failure, for logs and operators.
std::string_view NameOf(platform_failure failure);

}  // namespace waxwing

#endif  // WAXWING_PLATFORM_CLIENT_H_
