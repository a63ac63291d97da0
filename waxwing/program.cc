#include "waxwing/program.h"

#include <boost/asio.hpp>
#include <csignal>
#include <cstdio>

#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

int RunDaemon(std::string_view program,
              std::span<const setting> table,
              int argc,
              const char** argv,
              const daemon_start& start) {
  const auto read = ReadSettingsOrExitCode(program, table, argc, argv);
  if (!read)
    return read.error();
  StartLog(program, ParseLogLevel(GetString(*read, kLogLevelSetting.name)));
  asio::io_context context(1);
  const auto stop = start(context, *read);
  if (!stop) {
    std::fprintf(stderr, "%.*s: %s\n", static_cast<int>(program.size()),
                 program.data(), stop.error().message.c_str());
    return stop.error().exit_code;
  }
  return RunUntilStopped(context, *stop);
}

int RunUntilStopped(asio::io_context& context, const daemon_stop& stop) {
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
