// What the mains of all daemons share.

#ifndef WAXWING_PROGRAM_H_
#define WAXWING_PROGRAM_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>

namespace waxwing {

// Runs the context until SIGTERM or SIGINT; then runs `stop`, whose end, or a
// second signal, ends the program. Gives the exit code.
int RunUntilStopped(boost::asio::io_context& context,
                    std::function<boost::asio::awaitable<bool>()> stop);

}  // namespace waxwing

#endif  // WAXWING_PROGRAM_H_
