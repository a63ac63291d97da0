// Tests of the memory that connections of callers hold, and of the choice which
// of them is closed.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <boost/asio.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "testing/event_loop.h"
#include "waxwing/held_memory.h"
#include "waxwing/http_server.h"

namespace waxwing {
namespace {

namespace asio = boost::asio;

constexpr instant kStart = instant() + std::chrono::hours(1);

connection_load Reading(std::size_t held, duration age, std::uint64_t recent) {
  connection_load out;
  out.phase = connection_phase::kReading;
  out.held = held;
  out.since = kStart - age;
  out.received = held;
  out.recent = {recent, 0};
  out.period_start = kStart;
  return out;
}

connection_load Idle(duration age) {
  connection_load out;
  out.held = 4'000;
  out.since = kStart - age;
  return out;
}

std::optional<std::size_t> Choose(const std::vector<connection_load>& loads,
                                  const memory_demand& demand) {
  std::vector<const connection_load*> pointers;
  pointers.reserve(loads.size());
  for (const connection_load& load : loads)
    pointers.push_back(&load);
  return ChooseConnectionToClose(pointers, demand, kStart);
}

TEST(ConnectionMemory, RequestThatMovesIsNotStalled) {
  EXPECT_FALSE(IsStalled(Reading(4'000'000, seconds(2), 1'000'000), kStart));
  EXPECT_FALSE(IsStalled(Reading(4'000'000, milliseconds(500), 0), kStart));
  EXPECT_TRUE(IsStalled(Reading(4'000'000, seconds(2), 10), kStart));
  connection_load announced = Reading(100, seconds(2), 100);
  announced.remaining = 4'000'000;
  EXPECT_TRUE(IsStalled(announced, kStart));
}

TEST(ConnectionMemory, StalledConnectionThatHoldsMostIsClosedFirst) {
  const std::vector<connection_load> loads = {
      Idle(seconds(20)), Reading(3'000'000, seconds(1), 1'000'000),
      Reading(10'000, seconds(2), 0), Reading(500'000, seconds(2), 0)};
  EXPECT_EQ(Choose(loads, {1'000'000}), 3u);
  EXPECT_EQ(Choose(loads, {10'000}), 3u);
}

TEST(ConnectionMemory, LargeRequestThatIsBeingReadClosesOnlyStalledOnes) {
  const std::vector<connection_load> loads = {
      Idle(seconds(20)), Reading(3'000'000, seconds(1), 1'000'000)};
  EXPECT_EQ(Choose(loads, {1'000'000}), std::nullopt);
  EXPECT_EQ(Choose(loads, {1'000'000, true}), 0u);
}

TEST(ConnectionMemory, RequestInProgressIsClosedOnlyIfItsCallerSendsAhead) {
  std::vector<connection_load> loads(2);
  for (connection_load& load : loads)
    load.phase = connection_phase::kServing;
  EXPECT_EQ(Choose(loads, {10'000, true}), std::nullopt);
  loads[1].sends_ahead = true;
  EXPECT_EQ(Choose(loads, {10'000, true}), 1u);
}

TEST(ConnectionMemory, CallerThatHasJustConnectedIsClosedLast) {
  const std::vector<connection_load> loads = {
      Idle(milliseconds(10)), Reading(20'000, milliseconds(10), 20'000)};
  EXPECT_EQ(Choose(loads, {10'000}), 1u);
  EXPECT_EQ(Choose({loads[0]}, {10'000}), 0u);
}

// All that a process may hold for others, counted or not, and what it needs
// itself fit into its memory at the sizes of VM in use.
TEST(ConnectionMemory, WhatIsNotCountedFitsBesideWhatIs) {
  constexpr std::size_t kMegabyte = 1'000'000;
  constexpr std::size_t kOwnMegabytes = 16;
  // The least that a request in progress counts for, and what a target may send
  // ahead for it.
  constexpr std::size_t kServing = 30 * 1024;
  constexpr std::size_t kTargetWindow = 16 * 1024;
  for (const auto& [megabytes, descriptors] :
       {std::pair(88, 4'100), std::pair(96, 3'075), std::pair(110, 4'100),
        std::pair(220, 10'250), std::pair(260, 4'200), std::pair(512, 8'192)}) {
    const std::size_t memory = static_cast<std::size_t>(megabytes) * kMegabyte;
    const std::size_t counted = HeldMemoryLimit(memory) * 5 / 4;
    const std::size_t unread =
        MaxConnections(static_cast<std::size_t>(descriptors), memory) *
        kUnreadBytes;
    const std::size_t ahead = counted / kServing * kTargetWindow;
    EXPECT_LE(counted + unread + ahead + kOwnMegabytes * kMegabyte, memory)
        << megabytes;
  }
}

struct counted_connection {
  held_memory& memory;
  connection_load load;
  bool is_closed = false;

  explicit counted_connection(held_memory& m) : memory(m) {
    load.close = [this] {
      is_closed = true;
      return true;
    };
  }
  ~counted_connection() { RemoveConnection(memory, load); }
};

RC_GTEST_PROP(ConnectionMemory, UsedIsWhatOpenConnectionsHold, ()) {
  held_memory memory;
  memory.limit = 1'000'000;
  memory.max_connections = 20;
  std::list<counted_connection> connections;
  instant now = kStart;
  for (int i = *rc::gen::inRange(1, 100); i > 0; --i) {
    now += milliseconds(*rc::gen::inRange(0, 400));
    if (connections.empty() || *rc::gen::inRange(0, 3) == 0) {
      auto& added = connections.emplace_back(memory);
      if (!AddConnection(memory, added.load, now))
        connections.pop_back();
    } else {
      auto chosen = connections.begin();
      std::advance(chosen,
                   *rc::gen::inRange<std::size_t>(0, connections.size()));
      const auto bytes = *rc::gen::inRange<std::size_t>(0, 600'000);
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          connections.erase(chosen);
          break;
        case 1:
          SetPhase(memory, chosen->load, connection_phase::kReading, now);
          break;
        case 2:
          SetPhase(memory, chosen->load, connection_phase::kServing, now);
          break;
        case 3:
          RecordArrival(chosen->load, bytes, now);
          break;
        default:
          SetHeld(memory, chosen->load, bytes, now);
      }
    }
    std::size_t held = 0;
    std::size_t open = 0;
    for (const counted_connection& connection : connections) {
      held += connection.load.held;
      open += connection.load.phase != connection_phase::kClosing;
      RC_ASSERT(connection.is_closed ==
                (connection.load.phase == connection_phase::kClosing));
    }
    RC_ASSERT(memory.used == held);
    RC_ASSERT(memory.open == open);
    RC_ASSERT(memory.used <= memory.limit * 5 / 4);
    RC_ASSERT(memory.open <= memory.max_connections);
  }
  connections.clear();
  RC_ASSERT(memory.used == 0u);
  RC_ASSERT(memory.open == 0u);
}

// Clients that stop short come without end; a caller with a small request finds
// room each time.
TEST(ConnectionMemory, SmallRequestsFindRoomInACrowdThatStopsShort) {
  held_memory memory;
  memory.limit = 10'000'000;
  memory.max_connections = 500;
  std::list<counted_connection> crowd;
  instant now = kStart;
  for (int i = 0; i < 5'000; ++i) {
    now += milliseconds(1);
    auto& client = crowd.emplace_back(memory);
    if (AddConnection(memory, client.load, now)) {
      SetPhase(memory, client.load, connection_phase::kReading, now);
      const std::size_t bytes = i % 3 == 0 ? 1'000'000 : 20'000;
      RecordArrival(client.load, bytes, now);
      SetHeld(memory, client.load, bytes, now);
    }
    std::erase_if(crowd, [](const counted_connection& c) {
      return c.is_closed || c.load.held == 0;
    });
    counted_connection caller(memory);
    ASSERT_TRUE(AddConnection(memory, caller.load, now)) << i;
    SetPhase(memory, caller.load, connection_phase::kReading, now);
    RecordArrival(caller.load, 500, now);
    ASSERT_TRUE(SetHeld(memory, caller.load, 8'000, now)) << i;
    SetPhase(memory, caller.load, connection_phase::kServing, now);
    ASSERT_TRUE(SetHeld(memory, caller.load, 40'000, now)) << i;
  }
}

// Requests of any framing that arrive in any pieces: whatever the response,
// nothing stays counted once their connections have ended.
RC_GTEST_PROP(ConnectionMemory, NothingStaysCountedAfterAnyRequests, ()) {
  asio::io_context context;
  http_limits limits;
  limits.max_header_bytes = 1'000;
  limits.max_body_bytes = 60'000;
  limits.held->limit = 200'000;
  limits.max_connections = 8;
  http_server server = *StartHttpServer(
      context.get_executor(), {"127.0.0.1", 0}, limits,
      [](http_exchange& exchange) -> asio::awaitable<void> {
        const http_response response{200, {}, exchange.request.body};
        co_await Respond(exchange, response);
      });
  const auto run = [&] {
    context.restart();
    context.poll();
  };
  std::list<asio::ip::tcp::socket> callers;
  for (int i = *rc::gen::inRange(1, 16); i > 0; --i) {
    auto& caller = callers.emplace_back(context);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.address.port});
    const auto size = *rc::gen::inRange<std::size_t>(0, 80'000);
    std::string text = "POST / HTTP/1.1\r\nHost: h\r\n";
    for (int fields = *rc::gen::inRange(0, 250); fields > 0; --fields)
      text += "a:b\r\n";
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text += "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
                std::string(size, 'x');
        break;
      case 1:
        text += "Transfer-Encoding: chunked\r\n\r\n";
        for (std::size_t sent = 0; sent < size; sent += 0x1000)
          text += "1000;e\r\n" + std::string(0x1000, 'x') + "\r\n";
        text += "0\r\nTrailer-Field: x\r\n\r\n";
        break;
      case 2:
        text += "Transfer-Encoding: chunked\r\n\r\n0\r\na:" +
                std::string(size, 'x');
        break;
      default:
        text += "X: " + std::string(size, 'x');
    }
    if (*rc::gen::inRange(0, 3) == 0)
      text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
    caller.non_blocking(true);
    for (std::size_t at = 0; at < text.size();) {
      const auto piece = *rc::gen::inRange<std::size_t>(1, 40'000);
      boost::system::error_code error;
      const std::size_t sent = caller.write_some(
          asio::buffer(text.data() + at, std::min(piece, text.size() - at)),
          error);
      run();
      if (error)
        break;
      at += sent;
      RC_ASSERT(limits.held->used <= limits.held->limit * 5 / 4);
      RC_ASSERT(limits.held->open <= limits.max_connections);
    }
  }
  callers.clear();
  const auto end = std::chrono::steady_clock::now() + seconds(5);
  while (!limits.held->connections.empty() &&
         std::chrono::steady_clock::now() < end)
    run();
  RC_ASSERT(limits.held->used == 0u);
  RC_ASSERT(limits.held->open == 0u);
  CloseServer(server);
}

// A field of the trailers does not become one of the head.
TEST(ConnectionMemory, TrailersAreNotPassedToTheHandler) {
  asio::io_context context;
  http_headers seen;
  http_server server =
      *StartHttpServer(context.get_executor(), {"127.0.0.1", 0}, {},
                       [&](http_exchange& exchange) -> asio::awaitable<void> {
                         seen = exchange.request.headers;
                         const http_response response{200, {}, ""};
                         co_await Respond(exchange, response);
                       });
  asio::ip::tcp::socket caller(context);
  caller.connect({asio::ip::make_address("127.0.0.1"), server.address.port});
  asio::write(caller, asio::buffer(std::string(
                          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n1\r\nx\r\n0\r\nDeadline-Ms: "
                          "1\r\n\r\n")));
  context.run_for(milliseconds(100));
  EXPECT_EQ(FindHeader(seen, "Host"), "h");
  EXPECT_EQ(FindHeader(seen, "Deadline-Ms"), "");
  CloseServer(server);
}

}  // namespace
}  // namespace waxwing
