// A simulated platform: the object API and the list of VMs, which lags behind.
//
//   GET    /v1/objects/KEY         value; its version in X-Version
//   PUT    /v1/objects/KEY         stores the body as the value
//   DELETE /v1/objects/KEY         deletes the object
//   GET    /v1/objects?prefix=P    keys and versions
//   GET    /v1/watch?prefix=P&revision=R&timeout_ms=T
//                                  returns on a change after R or after T ms
//   GET    /v1/vms                 live and leaving VMs, vm_list_lag late
//   POST   /standin/faults         sets faults
//   GET    /standin/stats          counts of calls
//   POST   /standin/vms?name=N&state=S
//                                  sets the state of a VM
//
// A PUT or DELETE with If-Version: N is applied only if the version of the
// object is N (0: the object does not exist); otherwise it gets status 409. An
// outage is status 503, too many calls 429. With the fault "lose_answer" a
// write takes effect and the connection is then aborted without a response.

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
  // Fraction of calls rejected with status 429.
  double reject = 0;
  // Fraction of writes that take effect but get no response.
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

// Returns the value of an object; empty if it does not exist.
std::string GetObjectValue(const platform& instance, const std::string& key);

// Writes an object without going through the API, as the owner of the platform
// could.
void SetObjectValue(platform& instance,
                    const std::string& key,
                    const std::string& value);

}  // namespace standin

#endif  // STANDIN_PLATFORM_H_
