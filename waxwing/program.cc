#include "waxwing/program.h"

#include <boost/asio.hpp>
#include <csignal>

#include "waxwing/log.h"
#include "waxwing/settings.h"

namespace waxwing {

namespace asio = boost::asio;

int RunUntilStopped(asio::io_context& context,
                    std::function<asio::awaitable<bool>()> stop) {
  int exit_code = kExitSuccess;
  bool is_stopping = false;
  std::signal(SIGPIPE, SIG_IGN);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  std::function<void()> wait = [&] {
    signals.async_wait([&](const boost::system::error_code& error, int number) {
      if (error)
        return;
      LogInfo("signal", {{"number", number}, {"again", is_stopping}});
      if (is_stopping) {
        exit_code = kExitFailure;
        context.stop();
        return;
      }
      is_stopping = true;
      wait();
      asio::co_spawn(context, stop(),
                     [&](const std::exception_ptr& failure, bool clean) {
                       if (failure || !clean)
                         exit_code = kExitFailure;
                       context.stop();
                     });
    });
  };
  wait();
  context.run();
  return exit_code;
}

}  // namespace waxwing
