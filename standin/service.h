// A simulated application service, such as a game server's control panel or a
// queue of burst reports. It counts how often each request ran.

#ifndef STANDIN_SERVICE_H_
#define STANDIN_SERVICE_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "waxwing/types.h"

namespace standin {

struct service_options {
  waxwing::endpoint address{"127.0.0.1", 0};
  waxwing::milliseconds processing_time{10};
  std::uint64_t seed = 1;
};

struct service_faults {
  // Fraction of requests that run but get no response.
  double lose_answer = 0;
  // Fraction of requests rejected with status 503 without running.
  double refuse = 0;
};

struct service_state;

struct service {
  std::shared_ptr<service_state> state;
  waxwing::endpoint address;
};

tl::expected<service, std::string> StartService(
    boost::asio::any_io_executor executor,
    const service_options& options);

void StopService(service& instance);

service_faults& MutableFaults(service& instance);
// Makes the connections accepted so far unresponsive: requests that arrive on
// them do not run, and they are aborted after 30 seconds. Later connections
// work normally.
void StallConnections(service& instance);
// Returns how often the request with this body ran.
std::uint64_t GetRunCount(const service& instance, const std::string& body);
// Returns the highest run count of any request body.
std::uint64_t GetMaxRunCount(const service& instance);

}  // namespace standin

#endif  // STANDIN_SERVICE_H_
