// What the mains of all daemons share.

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

// What a daemon does on SIGTERM. False: it did not end in order.
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

// The whole of a daemon's main: reads the settings, starts the log at the level
// of "log-level", which the table holds, starts the daemon and runs it until
// SIGTERM. Gives the exit code.
int RunDaemon(std::string_view program,
              std::span<const setting> table,
              int argc,
              const char** argv,
              const daemon_start& start);

// Runs the context until SIGTERM or SIGINT; then runs `stop`, whose end, or a
// second signal, ends the program. Gives the exit code.
int RunUntilStopped(boost::asio::io_context& context, const daemon_stop& stop);

}  // namespace waxwing

#endif  // WAXWING_PROGRAM_H_
