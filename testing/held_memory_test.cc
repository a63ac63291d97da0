// Tests of the bound on the memory for bodies of requests and responses.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>

#include "testing/entry_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBodyBytes = 4 * 1024 * 1024;
// The smallest memory of a VM in the deployments.
constexpr std::size_t kSmallestMemory = 88'000'000;

RC_GTEST_PROP(HeldMemory, UsedIsWhatTheSharesCount, ()) {
  const auto memory = std::make_shared<held_memory>();
  memory->limit = 1'000'000;
  std::map<int, std::unique_ptr<held_share>> shares;
  for (int i = *rc::gen::inRange(1, 60); i > 0; --i) {
    const int key = *rc::gen::inRange(0, 6);
    if (*rc::gen::inRange(0, 4) == 0) {
      shares.erase(key);
    } else {
      auto& share = shares[key];
      if (!share)
        share = std::make_unique<held_share>(memory);
      const auto size = *rc::gen::inRange<std::size_t>(0, 600'000);
      const bool fits = UpdateSize(*share, size);
      RC_ASSERT(fits || (size > kUncountedBytes && memory->used > 1'000'000u));
    }
    std::size_t sum = 0;
    for (const auto& [index, share] : shares)
      sum += share->counted;
    RC_ASSERT(memory->used == sum);
  }
  shares.clear();
  RC_ASSERT(memory->used == 0u);
}

TEST(HeldMemory, LimitFollowsTheMemoryOfTheVm) {
  EXPECT_EQ(HeldMemoryLimit(0), held_memory().limit);
  EXPECT_LT(HeldMemoryLimit(kSmallestMemory), kSmallestMemory / 3);
  EXPECT_GT(HeldMemoryLimit(kSmallestMemory), kBodyBytes);
  EXPECT_GT(HeldMemoryLimit(1), kBodyBytes);
}

struct bodies_fixture : entry_fixture {
  std::map<unsigned, int> statuses;
  int done = 0;
  std::size_t peak = 0;

  // Starts an entry with one target that never reads a request.
  bodies_fixture()
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    PutObject(*store, "servers", "t1",
              EntryTargetRecord({"127.0.0.1", acceptor.local_endpoint().port()},
                                "panel", 0));
    entry_options options;
    options.store = store->server.address;
    options.key = "test";
    options.memory_bytes = kSmallestMemory;
    running = *StartEntry(context.get_executor(), options,
                          platform::MakeProtocolAdapter());
    RunUntil([&] {
      return running.state->table->version > 0 &&
             running.state->targets.size() == 1;
    });
  }
  ~bodies_fixture() { acceptor.close(); }

  void Post(std::string body, bool is_chunked) {
    const std::string id = "large-" + std::to_string(next_id++);
    std::string text = "POST " + std::string(kNonIdempotentPath) +
                       " HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: " + id +
                       "\r\nDeadline-Ms: 1000\r\nAuthorization: Token "
                       "key-1\r\n";
    if (is_chunked)
      text += "Transfer-Encoding: chunked\r\n\r\n" + Chunks(body) + "0\r\n\r\n";
    else
      text +=
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::co_spawn(context, Exchange(std::move(text)), asio::detached);
  }
  static std::string Chunks(const std::string& body) {
    constexpr std::size_t kChunk = 0x8000;
    std::string out;
    for (std::size_t at = 0; at < body.size(); at += kChunk)
      out += "8000\r\n" + body.substr(at, kChunk) + "\r\n";
    return out;
  }
  // Sends the text and reads a status, which may come before all is sent.
  asio::awaitable<void> Exchange(std::string text) {
    auto socket = std::make_shared<asio::ip::tcp::socket>(context);
    const endpoint& to = running.state->caller_server.address;
    co_await socket->async_connect({asio::ip::make_address(to.host), to.port},
                                   kUseTuple);
    asio::co_spawn(
        context,
        [](auto s, std::string t) -> asio::awaitable<void> {
          co_await asio::async_write(*s, asio::buffer(t), kUseTuple);
        }(socket, std::move(text)),
        asio::detached);
    std::string response;
    co_await asio::async_read_until(*socket, asio::dynamic_buffer(response),
                                    "\r\n", kUseTuple);
    ++done;
    ++statuses[response.size() > 12
                   ? static_cast<unsigned>(std::stoul(response.substr(9, 3)))
                   : 0];
  }
  bool RunUntilDone(int count) {
    return RunUntil([&] {
      peak = std::max(peak, running.state->held->used);
      return done == count;
    });
  }

  asio::ip::tcp::acceptor acceptor;
};

// Bodies for a target that does not read were held three times each without a
// bound, until the process exceeded its memory and all its requests were lost.
TEST(HeldMemory, BodiesForATargetThatDoesNotReadAreBounded) {
  for (const bool is_chunked : {false, true}) {
    SCOPED_TRACE(is_chunked ? "chunked" : "with length");
    bodies_fixture f;
    constexpr int kBodies = 24;
    for (int i = 0; i < kBodies; ++i)
      f.Post(std::string(kBodyBytes, 'x'), is_chunked);
    ASSERT_TRUE(f.RunUntilDone(kBodies));
    EXPECT_LE(f.peak, HeldMemoryLimit(kSmallestMemory) + kBodyBytes);
    // Those that were refused were so before the deadline of the others.
    EXPECT_GT(f.statuses[503], 0);
    EXPECT_GT(f.statuses[504], 0);
    EXPECT_EQ(f.statuses[503] + f.statuses[504], kBodies);
    EXPECT_TRUE(f.RunUntil([&] { return f.running.state->held->used == 0; }));
  }
}

// Small requests are served while large ones have used up the memory.
TEST(HeldMemory, SmallRequestsAreServedMeanwhile) {
  bodies_fixture f;
  f.AddTarget("t2", "llm", [](const http_request& request) {
    return request.target.starts_with("/api/")
               ? scripted_response{{PlainResponse(404, "", "{}")}}
               : StreamTwoEvents(request);
  });
  ASSERT_TRUE(
      f.RunUntil([&] { return f.running.state->targets.contains("t2"); }));
  f.running.state->held->used = f.running.state->held->limit;
  EXPECT_EQ(f.Send(kStreamPath)->status, 200u);
  const int before = f.done;
  f.Post(std::string(kBodyBytes, 'x'), false);
  ASSERT_TRUE(f.RunUntilDone(before + 1));
  EXPECT_EQ(f.statuses[503], 1);
  f.running.state->held->used = 0;
}

}  // namespace
}  // namespace waxwing
