// A stand-in for the platform: the object API and the lagging list of VMs.
//
//   GET    /v1/objects/KEY                 value; its version in X-Version
//   PUT    /v1/objects/KEY  If-Version: N  stores if the version is N (0:
//   absent) DELETE /v1/objects/KEY  If-Version: N GET    /v1/objects?prefix=P
//   keys and versions GET    /v1/watch?prefix=P&revision=R&timeout_ms=T   waits
//   for a change after R GET    /v1/vms                         live and
//   leaving VMs, some time late POST   /standin/faults, GET /standin/stats for
//   tests
//
// A failed condition is status 409, an outage 503, too many calls 429. With the
// fault "lose_answer" a write takes effect and the connection then breaks.

#ifndef STANDIN_PLATFORM_H_
#define STANDIN_PLATFORM_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "waxwing/types.h"

namespace standin {

struct platform_options {
  waxwing::endpoint address{"127.0.0.1", 0};
  std::size_t max_value_bytes = 1024 * 1024;
  waxwing::milliseconds vm_list_lag{2'000};
  std::uint64_t seed = 1;
};

struct platform_faults {
  waxwing::milliseconds latency{2};
  bool outage = false;
  // Shares of calls answered 429, and of writes whose answer is lost.
  double reject = 0;
  double lose_answer = 0;
};

struct platform_counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t lost_answers = 0;
};

struct platform_state;

struct platform {
  std::shared_ptr<platform_state> state;
  waxwing::endpoint address;
};

tl::expected<platform, std::string> StartPlatform(
    boost::asio::any_io_executor executor,
    const platform_options& options);

void StopPlatform(platform& instance);

platform_faults& MutableFaults(platform& instance);
const platform_counts& GetCounts(const platform& instance);

// Value of an object for tests; empty if absent.
std::string GetObjectValue(const platform& instance, const std::string& key);

// Writes an object as the platform's owner would.
void SetObjectValue(platform& instance,
                    const std::string& key,
                    const std::string& value);

}  // namespace standin

#endif  // STANDIN_PLATFORM_H_
