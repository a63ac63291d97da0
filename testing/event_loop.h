// Runs an event loop in a test.

#ifndef TESTING_EVENT_LOOP_H_
#define TESTING_EVENT_LOOP_H_

#include <boost/asio.hpp>
#include <exception>
#include <optional>
#include <utility>

namespace testing_support {

// Runs the event loop until the coroutine has finished, and returns its result.
// Other work of the loop is run as well.
template <typename T>
T RunToEnd(boost::asio::io_context& context, boost::asio::awaitable<T> body) {
  std::optional<T> out;
  boost::asio::co_spawn(context, std::move(body),
                        [&](const std::exception_ptr&, T result) {
                          out.emplace(std::move(result));
                        });
  while (!out) {
    // A loop that ran out of work has stopped and has to be restarted.
    context.restart();
    context.run_one();
  }
  return std::move(*out);
}

}  // namespace testing_support

#endif  // TESTING_EVENT_LOOP_H_
