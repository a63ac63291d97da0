// Supervision of a process's tasks.
//
// A supervisor runs each task as a coroutine. A task that returns or throws is
// restarted after a backoff, which doubles up to a limit and is reset once the
// task has run for a while. Tasks are stopped in the reverse order of their
// start. A supervisor may itself be a task of another one.

#ifndef WAXWING_SUPERVISOR_H_
#define WAXWING_SUPERVISOR_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "waxwing/types.h"

namespace waxwing {

// The function that runs a task. Its coroutine should return soon after it is
// cancelled.
using task_body = std::function<boost::asio::awaitable<void>()>;

struct supervisor_limits {
  milliseconds first_backoff{20};
  milliseconds longest_backoff{2'000};
  // A task that ran for longer than this is restarted with the first backoff.
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

// Starts a task and restarts it whenever it ends, until the supervisor stops.
void Supervise(const supervisor& parent, std::string name, task_body body);

// Stops restarting tasks and cancels their pending operations, last started
// first.
void StopSupervisor(const supervisor& parent);

bool IsStopping(const supervisor& parent);

// Waits for `time`. Returns false if the supervisor is stopping.
boost::asio::awaitable<bool> Pause(const supervisor& parent, duration time);

}  // namespace waxwing

#endif  // WAXWING_SUPERVISOR_H_
