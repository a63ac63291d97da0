// Supervision of a process's duties.
//
// A supervisor runs each duty as a coroutine. A duty that ends or throws is
// started again after a backoff that doubles up to a bound and falls back once
// the duty has run for a while. Duties are stopped in the reverse order of
// their start. A supervisor may be a duty of another one.

#ifndef WAXWING_SUPERVISOR_H_
#define WAXWING_SUPERVISOR_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "waxwing/types.h"

namespace waxwing {

// A duty's body. It should return soon after its stop function was called.
using task_body = std::function<boost::asio::awaitable<void>()>;

struct supervisor_limits {
  milliseconds first_backoff{20};
  milliseconds longest_backoff{2'000};
  // A duty that ran this long starts with the first backoff again.
  milliseconds healthy_after{5'000};
};

namespace detail {
struct supervisor_state;
}  // namespace detail

struct supervisor {
  std::shared_ptr<detail::supervisor_state> state;
};

supervisor MakeSupervisor(boost::asio::any_io_executor executor,
                          std::string name,
                          const supervisor_limits& limits);

// Starts a duty and keeps it running until the supervisor stops.
void Supervise(const supervisor& parent, std::string name, task_body body);

// Ends all restarts and cancels the duties' pending waits, last started first.
void StopSupervisor(const supervisor& parent);

bool IsStopping(const supervisor& parent);

// Waits for `time`; false if the supervisor is stopping.
boost::asio::awaitable<bool> Pause(const supervisor& parent, duration time);

}  // namespace waxwing

#endif  // WAXWING_SUPERVISOR_H_
