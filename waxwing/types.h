// Basic types shared by every module: time and addresses.
//
// Policy code never reads a clock. It receives the current time as an argument,
// so that tests can set the time freely.

#ifndef WAXWING_TYPES_H_
#define WAXWING_TYPES_H_

#include <time.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace waxwing {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A time point of the process's monotonic clock. Not comparable between VMs.
using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

// Milliseconds since the Unix epoch, on the VM's wall clock, which may jump.
using unix_ms = std::int64_t;

// An IP address and a port.
struct endpoint {
  std::string host;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
};

// Formats `address` as "host:port".
inline std::string ToText(const endpoint& address) {
  return address.host + ":" + std::to_string(address.port);
}

inline unix_ms UnixNow() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Time on a clock that, unlike steady_clock, keeps running while the VM is
// suspended. Comparable only with other results of this function.
inline instant SuspendAwareNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return instant(seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

// Whole milliseconds, for logs.
inline std::int64_t ToMs(duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

// Returns the wall-clock time of a result of SuspendAwareNow(), and the reverse
// for a time that is not in the future.
inline unix_ms ToUnix(instant time) {
  return UnixNow() - ToMs(SuspendAwareNow() - time);
}
inline instant FromUnix(unix_ms time) {
  const unix_ms age = UnixNow() - time;
  return SuspendAwareNow() - milliseconds(age > 0 ? age : 0);
}

inline double ToSeconds(duration d) {
  return std::chrono::duration<double>(d).count();
}

inline duration FromSeconds(double s) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

}  // namespace waxwing

#endif  // WAXWING_TYPES_H_
