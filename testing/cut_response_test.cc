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
  received_response SendRaw(std::string_view path) {
    asio::ip::tcp::socket caller(context);
    caller.connect({asio::ip::make_address("127.0.0.1"),
                    running.state->caller_server.address.port});
    asio::write(caller,
                asio::buffer("POST " + std::string(path) +
                             " HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: "
                             "r" +
                             std::to_string(next_id++) +
                             "\r\nDeadline-Ms: 1000\r\nAuthorization: Token "
                             "key-1\r\nConnection: close\r\nContent-Length: "
                             "0\r\n\r\n"));
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

}  // namespace
}  // namespace waxwing
