// Runs an event loop from a test.

#ifndef TESTING_EVENT_LOOP_H_
#define TESTING_EVENT_LOOP_H_

#include <boost/asio.hpp>
#include <exception>
#include <optional>
#include <utility>

namespace testing_support {

// Runs the loop until the coroutine has ended, and gives its result. Other work
// of the loop goes on meanwhile.
template <typename T>
T RunToEnd(boost::asio::io_context& context, boost::asio::awaitable<T> body) {
  std::optional<T> out;
  boost::asio::co_spawn(context, std::move(body),
                        [&](const std::exception_ptr&, T result) {
                          out.emplace(std::move(result));
                        });
  while (!out) {
    // A loop that once ran out of work is stopped until it is restarted.
    context.restart();
    context.run_one();
  }
  return std::move(*out);
}

}  // namespace testing_support

#endif  // TESTING_EVENT_LOOP_H_
