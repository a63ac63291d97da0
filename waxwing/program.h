// Startup and shutdown shared by the main functions of all daemons.

#ifndef WAXWING_PROGRAM_H_
#define WAXWING_PROGRAM_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "waxwing/settings.h"

namespace waxwing {

// Shuts a daemon down on SIGTERM. Returns false if the shutdown failed.
using daemon_stop = std::function<boost::asio::awaitable<bool>()>;

// Why a daemon can't start, and the code to exit with.
struct start_error {
  std::string message;
  int exit_code = kExitFailure;
};

// Starts a daemon on the context.
using daemon_start = std::function<tl::expected<daemon_stop, start_error>(
    boost::asio::io_context&,
    const settings&)>;

// Implements main for a daemon: reads the settings, starts the log at the level
// of "log-level", which the table must contain, starts the daemon and runs it
// until SIGTERM. Returns the exit code.
int RunDaemon(std::string_view program,
              std::span<const setting> table,
              int argc,
              const char** argv,
              const daemon_start& start);

// Runs the context until SIGTERM or SIGINT, then runs `stop`. Returns the exit
// code when `stop` has finished. A second SIGINT ends it at once; a second
// SIGTERM, which may be one of two overlapping requests to stop, does not.
int RunUntilStopped(boost::asio::io_context& context, const daemon_stop& stop);

}  // namespace waxwing

#endif  // WAXWING_PROGRAM_H_
