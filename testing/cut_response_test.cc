// Tests that a response of a target that breaks off never looks complete, and
// that nothing of a later response gets into a stream that has begun.

#include <gtest/gtest.h>

#include <boost/beast/http.hpp>

#include "testing/entry_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

// What a caller has received until the response ended or its connection closed.
struct received_response {
  std::string bytes;
  bool is_complete = false;
};

struct cut_fixture : entry_fixture {
  // Sends a request on a connection of its own.
  received_response SendRaw(std::string_view path, std::string_view body = "") {
    asio::ip::tcp::socket caller(context);
    caller.connect({asio::ip::make_address("127.0.0.1"),
                    running.state->caller_server.address.port});
    const std::string request =
        "POST " + std::string(path) +
        " HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: r" +
        std::to_string(next_id++) +
        "\r\nDeadline-Ms: 1000\r\nAuthorization: Token key-1\r\n"
        "Connection: close\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
    asio::async_write(caller, asio::buffer(request),
                      [](const boost::system::error_code&, std::size_t) {});
    received_response out;
    std::array<char, 4096> buffer;
    bool is_closed = false;
    std::function<void()> read = [&] {
      caller.async_read_some(
          asio::buffer(buffer),
          [&](const boost::system::error_code& error, std::size_t count) {
            out.bytes.append(buffer.data(), count);
            is_closed = static_cast<bool>(error);
            if (!error)
              read();
          });
    };
    read();
    RunUntil([&] { return is_closed; });
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    parser.put(asio::buffer(out.bytes), error);
    out.is_complete = !error && parser.is_done();
    return out;
  }
};

std::vector<scripted_response> ErrorsOf(const std::string& id) {
  const std::string detail(3'000, 'e');
  return {{{PlainResponse(500, id, "FAULT " + detail)}},
          {{PlainResponse(503, id, "FAULT", "Not-Executed: 1\r\n")}},
          {{PlainResponse(404, id, "FAULT")}},
          {{PlainResponse(200, id, "FAULT: no such stream")}},
          {{PlainResponse(200, id, "")}},
          {{PlainResponse(204, id, "")}},
          {{"HTTP/1.1 500 X\r\nRequest-Id: " + id +
            "\r\nServer-Stamp: stamp\r\n\r\nFAULT"},
           true},
          {{"HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-St"}, true}};
}

// Callers found the text of an error in the middle of their stream, or a stream
// that ended as if it were complete, after the target that began it had broken
// off and the next one had answered with an error.
TEST(CutResponse, ErrorAfterABrokenStreamIsNotPartOfIt) {
  const std::size_t count = ErrorsOf("").size();
  for (std::size_t i = 0; i < count; ++i) {
    cut_fixture f;
    int runs = 0;
    const auto script = [&](const http_request& request) -> scripted_response {
      if (request.target.starts_with("/api/"))
        return {{PlainResponse(404, "", "{}")}};
      if (++runs == 1)
        return {{StreamHead(IdOf(request)), StreamEvent(1, "one"),
                 "1f\r\nid: 2\ndata: t"},
                true};
      return ErrorsOf(IdOf(request))[i];
    };
    f.AddTarget("e1", "llm", script);
    f.AddTarget("e2", "llm", script);
    f.Start(2);
    const received_response response = f.SendRaw(kResumablePath);
    EXPECT_GE(runs, 2) << "error " << i;
    EXPECT_NE(response.bytes.find("data: one"), std::string::npos);
    EXPECT_EQ(response.bytes.find("FAULT"), std::string::npos) << "error " << i;
    EXPECT_EQ(response.bytes.find("Request-Id"),
              response.bytes.rfind("Request-Id"));
    EXPECT_FALSE(response.is_complete) << "error " << i;
  }
}

// Callers got a 200 with an empty or short body, framed as whole, from a target
// that had closed its connection within the head of its response.
TEST(CutResponse, ResponseCutWithinItsHeadIsNoSuccess) {
  for (const std::string_view path :
       {kStreamPath, kResumablePath, kNonIdempotentPath, kIdempotentPath}) {
    cut_fixture f;
    std::size_t length = 1;
    bool is_whole = false;
    const auto script = [&](const http_request& request) -> scripted_response {
      if (request.target.starts_with("/api/"))
        return {{PlainResponse(404, "", "{}")}};
      const bool is_stream = path == kStreamPath || path == kResumablePath;
      const std::string head =
          is_stream ? StreamHead(IdOf(request))
                    : "HTTP/1.1 200 X\r\nRequest-Id: " + IdOf(request) +
                          "\r\nContent-Length: 4\r\nServer-Stamp: s\r\n\r\n";
      is_whole = length >= head.size();
      return {{head.substr(0, std::min(length, head.size() - 1))}, true};
    };
    f.AddTarget("e1", "llm", script);
    f.AddTarget("t1", "panel", script);
    f.Start(2);
    while (!is_whole) {
      const received_response response = f.SendRaw(path);
      EXPECT_FALSE(response.bytes.starts_with("HTTP/1.1 200"))
          << path << ", " << length << " bytes: " << response.bytes;
      EXPECT_FALSE(response.bytes.empty()) << path << ", " << length;
      ++length;
    }
  }
}

// A response head whose status line states `status`.
std::string HeadWithStatus(std::string_view status, std::string_view id) {
  return "HTTP/1.1 " + std::string(status) +
         " X\r\nRequest-Id: " + std::string(id) + "\r\nServer-Stamp: stamp\r\n";
}

// A request that must not run twice was sent to further targets, and callers
// were told that it had not run, after a target had answered with status 000.
TEST(CutResponse, ResponseWithoutAValidStatusIsNoAnswer) {
  for (const std::string_view path :
       {kStreamPath, kResumablePath, kNonIdempotentPath, kIdempotentPath}) {
    for (const std::string_view status : {"000", "001", "099"}) {
      for (const std::string_view mark : {"", "Not-Executed: 1\r\n"}) {
        cut_fixture f;
        int runs = 0;
        const auto script =
            [&](const http_request& request) -> scripted_response {
          if (request.target.starts_with("/api/"))
            return {{PlainResponse(404, "", "{}")}};
          ++runs;
          return {{HeadWithStatus(status, IdOf(request)) + std::string(mark) +
                   "Content-Length: 5\r\n\r\nFAULT"}};
        };
        for (const char* id : {"1", "2"}) {
          f.AddTarget("e" + std::string(id), "llm", script);
          f.AddTarget("t" + std::string(id), "panel", script);
        }
        f.Start(4);
        const received_response response = f.SendRaw(path);
        const auto context = std::string(path) + ", " + std::string(status) +
                             " " + std::string(mark);
        EXPECT_TRUE(response.bytes.starts_with("HTTP/1.1 502"))
            << context << ": " << response.bytes;
        EXPECT_EQ(response.bytes.find("FAULT"), std::string::npos) << context;
        if (path == kStreamPath || path == kNonIdempotentPath) {
          EXPECT_EQ(runs, 1) << context;
        }
      }
    }
  }
}

// A target that answers an upload at once, with a body that ends with its
// connection, and resets the connection `delay` later.
struct hasty_target {
  asio::ip::tcp::acceptor acceptor;
  milliseconds delay;

  hasty_target(asio::io_context& context, milliseconds reset_delay)
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
        delay(reset_delay) {
    asio::co_spawn(context, Serve(), asio::detached);
  }

  asio::awaitable<void> Serve() {
    while (true) {
      auto [error, socket] =
          co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
      if (error)
        co_return;
      co_await Respond(std::move(socket));
    }
  }
  asio::awaitable<void> Respond(asio::ip::tcp::socket socket) const {
    constexpr std::string_view kIdField = "Request-Id: ";
    std::string head(4096, '\0');
    const auto [read_error, size] = co_await socket.async_read_some(
        asio::buffer(head), asio::as_tuple(asio::use_awaitable));
    const std::size_t field = head.find(kIdField);
    if (read_error || field == std::string::npos)
      co_return;
    const std::size_t at = field + kIdField.size();
    const std::string id = head.substr(at, head.find('\r', at) - at);
    const std::string response = HeadWithStatus("200", id) +
                                 "Content-Type: text/event-stream\r\n\r\n"
                                 "id: 1\ndata: FAULT\n\n";
    co_await asio::async_write(socket, asio::buffer(response),
                               asio::as_tuple(asio::use_awaitable));
    asio::steady_timer timer(socket.get_executor(), delay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }
};

// Guards against a part of a response that is taken for a whole one because the
// connection was reset while the request was still being written.
TEST(CutResponse, UploadThatIsAnsweredAtOnceAndResetIsNotComplete) {
  constexpr std::size_t kUploadBytes = 3'200'000;
  const std::string upload(kUploadBytes, 'u');
  for (const std::string_view path :
       {kStreamPath, kResumablePath, kNonIdempotentPath, kIdempotentPath}) {
    for (const int delay_ms : {0, 60, 400}) {
      cut_fixture f;
      hasty_target target(f.context, milliseconds(delay_ms));
      const endpoint address{"127.0.0.1",
                             target.acceptor.local_endpoint().port()};
      PutObject(*f.store, "servers", "e1",
                EntryTargetRecord(address, "llm", 1));
      PutObject(*f.store, "servers", "t1",
                EntryTargetRecord(address, "panel", 0));
      f.Start(2);
      const received_response response = f.SendRaw(path, upload);
      EXPECT_FALSE(response.bytes.empty()) << path << ", " << delay_ms;
      EXPECT_FALSE(response.bytes.starts_with("HTTP/1.1 200") &&
                   response.is_complete)
          << path << ", " << delay_ms << ": " << response.bytes;
      target.acceptor.close();
    }
  }
}

// The same for a response that goes on with a stream that has broken off.
TEST(CutResponse, StreamTakenUpByAResponseThatIsResetIsNotComplete) {
  for (const bool has_events : {false, true}) {
    cut_fixture f;
    int runs = 0;
    const auto script = [&](const http_request& request) -> scripted_response {
      if (request.target.starts_with("/api/"))
        return {{PlainResponse(404, "", "{}")}};
      if (++runs == 1)
        return {{StreamHead(IdOf(request)), StreamEvent(1, "one")}, true};
      scripted_response out{{HeadWithStatus("200", IdOf(request)) +
                             "Content-Type: text/event-stream\r\n\r\n"}};
      if (has_events)
        out.pieces.push_back("id: 2\ndata: two\n\n");
      out.resets_connection = true;
      return out;
    };
    f.AddTarget("e1", "llm", script);
    f.AddTarget("e2", "llm", script);
    f.Start(2);
    const received_response response = f.SendRaw(kResumablePath);
    EXPECT_GE(runs, 2);
    EXPECT_NE(response.bytes.find("data: one"), std::string::npos);
    EXPECT_FALSE(response.is_complete) << response.bytes;
  }
}

}  // namespace
}  // namespace waxwing
