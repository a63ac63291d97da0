// Tests of the startup and shutdown of daemons.

#include "waxwing/program.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <csignal>

namespace waxwing {
namespace {

namespace asio = boost::asio;

// Runs until two signals have come, one before and one during the shutdown.
// Returns the exit code, and whether the shutdown ran to its end.
std::pair<int, bool> StopTwice(int first, int second) {
  asio::io_context context;
  bool is_complete = false;
  asio::post(context, [first] { std::raise(first); });
  const int exit_code =
      RunUntilStopped(context, [&]() -> asio::awaitable<bool> {
        std::raise(second);
        asio::steady_timer timer(context, milliseconds(50));
        co_await timer.async_wait(asio::use_awaitable);
        is_complete = true;
        co_return true;
      });
  return {exit_code, is_complete};
}

TEST(Program, SecondSigtermDoesNotCutTheShutdownShort) {
  EXPECT_EQ(StopTwice(SIGTERM, SIGTERM), std::pair(kExitSuccess, true));
}

TEST(Program, SecondSigintEndsAtOnce) {
  EXPECT_EQ(StopTwice(SIGTERM, SIGINT), std::pair(kExitFailure, false));
}

}  // namespace
}  // namespace waxwing
