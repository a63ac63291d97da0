// Targets that send bytes without end where a response is due.

#ifndef TESTING_ENDLESS_TARGET_H_
#define TESTING_ENDLESS_TARGET_H_

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "waxwing/types.h"

namespace testing_support {

namespace asio = boost::asio;

// What a target sends: a beginning, then the same bytes again and again.
struct endless_script {
  std::string name;
  std::string beginning;
  std::string repeated;
};

inline constexpr std::size_t kFillerBytes = 16 * 1024;

inline std::vector<endless_script> EndlessScripts() {
  const std::string filler(kFillerBytes, 'x');
  const std::string chunk = "4000\r\n" + filler + "\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n";
  const std::string events = ok + "Content-Type: text/event-stream\r\n";
  return {
      {"no protocol", "", filler},
      {"head", ok, "X-Filler: " + std::string(100, 'x') + "\r\n"},
      {"header value", ok + "X-Filler: ", filler},
      {"chunk header", ok + "Transfer-Encoding: chunked\r\n\r\n1;", filler},
      {"trailer",
       ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: ", filler},
      {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", chunk},
      {"huge length", ok + "Content-Length: 60000000\r\n\r\n", filler},
      {"no length", ok + "\r\n", filler},
      {"event", events + "Transfer-Encoding: chunked\r\n\r\n", chunk},
      {"comments", events + "\r\n", ": x\n\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
  };
}

// Listens until destroyed; each connection gets the bytes of `script`. If
// `is_slow`, a few bytes at a time.
struct endless_target {
  asio::ip::tcp::acceptor acceptor;
  endless_script script;
  bool is_slow = false;
  int open = 0;
  int accepted = 0;

  endless_target(asio::io_context& context, endless_script s)
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
        script(std::move(s)) {
    asio::co_spawn(context, Accept(), asio::detached);
  }
  waxwing::endpoint Address() const {
    return {"127.0.0.1", acceptor.local_endpoint().port()};
  }

  asio::awaitable<void> Accept() {
    while (true) {
      auto [error, socket] =
          co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
      if (error)
        co_return;
      ++accepted;
      asio::co_spawn(acceptor.get_executor(), Serve(std::move(socket)),
                     asio::detached);
    }
  }
  asio::awaitable<void> Serve(asio::ip::tcp::socket socket) {
    ++open;
    std::string bytes(4096, '\0');
    co_await socket.async_read_some(asio::buffer(bytes),
                                    asio::as_tuple(asio::use_awaitable));
    std::string next = script.beginning;
    asio::steady_timer timer(socket.get_executor());
    boost::system::error_code error;
    while (!error) {
      if (!next.empty())
        std::tie(error, std::ignore) = co_await asio::async_write(
            socket, asio::buffer(next), asio::as_tuple(asio::use_awaitable));
      next = script.repeated;
      if (is_slow) {
        next.resize(std::min<std::size_t>(next.size(), 4));
        timer.expires_after(std::chrono::milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
      }
    }
    --open;
  }
};

}  // namespace testing_support

#endif  // TESTING_ENDLESS_TARGET_H_
