#include "waxwing/program.h"

#include <unistd.h>

#include <boost/asio.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr int kFatalSignals[] = {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};

// Writes a line about a fatal signal, without anything that may allocate, and
// ends the process by the signal.
void ReportFatalSignal(int number) {
  char line[] = "level=error event=process_crashed signal=00\n";
  const std::size_t digits = sizeof line - 4;
  line[digits] = static_cast<char>('0' + number / 10);
  line[digits + 1] = static_cast<char>('0' + number % 10);
  [[maybe_unused]] const auto written =
      ::write(STDOUT_FILENO, line, sizeof line - 1);
  ::raise(number);
}

[[noreturn]] void ReportTerminate() {
  std::string reason = "no exception";
  if (const auto current = std::current_exception()) {
    try {
      std::rethrow_exception(current);
    } catch (const std::exception& error) {
      reason = error.what();
    } catch (...) {
      reason = "unknown exception";
    }
  }
  LogError("process_terminated", {{"error", reason}});
  std::abort();
}

void ReportCrashes() {
  std::set_terminate(ReportTerminate);
  struct sigaction action {};
  action.sa_handler = ReportFatalSignal;
  // The second signal has its default effect.
  action.sa_flags = static_cast<int>(SA_RESETHAND) | SA_NODEFER;
  for (const int number : kFatalSignals)
    ::sigaction(number, &action, nullptr);
}

}  // namespace

int RunDaemon(std::string_view program,
              std::span<const setting> table,
              int argc,
              const char** argv,
              const daemon_start& start) {
  const auto read = ReadSettingsOrExitCode(program, table, argc, argv);
  if (!read)
    return read.error();
  StartLog(program, ParseLogLevel(GetString(*read, kLogLevelSetting.name)));
  ReportCrashes();
  asio::io_context context(1);
  const auto stop = start(context, *read);
  if (!stop) {
    std::fprintf(stderr, "%.*s: %s\n", static_cast<int>(program.size()),
                 program.data(), stop.error().message.c_str());
    return stop.error().exit_code;
  }
  const int exit_code = RunUntilStopped(context, *stop);
  LogInfo("process_ended", {{"exit_code", exit_code}});
  return exit_code;
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
      if (is_stopping && number == SIGTERM) {
        wait();
        return;
      }
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
