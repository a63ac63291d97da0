// Tests that a stream goes on only at targets of the build that began it.

#include <gtest/gtest.h>

#include "testing/entry_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

constexpr int kStreams = 12;

// Streams one event and resets the connection; the rest if it is resumed.
scripted_response BreakAfterFirstEvent(const http_request& request) {
  if (request.target.starts_with("/api/"))
    return {{PlainResponse(404, "", "{}")}};
  if (FindHeader(request.headers, "Last-Event-Id").empty())
    return {{StreamHead(IdOf(request)), StreamEvent(1, "one")}, true};
  return {{StreamHead(IdOf(request)), StreamEvent(2, "two"), StreamEnd()}};
}

struct build_fixture : entry_fixture {
  // Engines by build, in the order in which they were added.
  std::vector<std::string> builds;

  void AddEngine(std::string_view build) {
    targets.push_back(StartTarget(context, BreakAfterFirstEvent));
    builds.emplace_back(build);
    PutEngine(targets.size() - 1, "ready");
  }
  void PutEngine(std::size_t index, std::string_view state) {
    PutObject(*store, "servers", "e" + std::to_string(index),
              EntryTargetRecord(targets[index]->Address(), "llm", 1, state,
                                builds[index]));
  }
  // Lets each engine end after the first event of its first stream.
  void EndAfterFirstEvent() {
    for (const auto& target : targets) {
      target->script = [raw = target.get()](const http_request& request) {
        if (!request.target.starts_with("/api/"))
          raw->acceptor.close();
        return BreakAfterFirstEvent(request);
      };
    }
  }
  // Returns the engines that have received a request, and their builds.
  std::set<std::size_t> EnginesOf(const std::string& request) const {
    std::set<std::size_t> out;
    for (std::size_t i = 0; i < targets.size(); ++i) {
      for (const http_request& received : targets[i]->requests) {
        if (IdOf(received) == request)
          out.insert(i);
      }
    }
    return out;
  }
  std::set<std::string> BuildsOf(const std::string& request) const {
    std::set<std::string> out;
    for (const std::size_t engine : EnginesOf(request))
      out.insert(builds[engine]);
    return out;
  }
};

TEST(StreamBuild, BrokenStreamGoesOnOnlyAtItsBuildWithinOneResponse) {
  build_fixture f;
  for (const std::string_view build : {"v1", "v2", "v1", "v2"})
    f.AddEngine(build);
  f.Start(4);
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "r" + std::to_string(f.next_id);
    const auto response = f.Send(kResumablePath);
    EXPECT_TRUE(response && response->status == 200) << id;
    EXPECT_EQ(f.BuildsOf(id).size(), 1u) << id;
  }
}

TEST(StreamBuild, StreamIsCutAtOnceIfNoTargetOfItsBuildIsLeft) {
  for (const std::string_view other_build : {"v2", ""}) {
    build_fixture f;
    f.caller_deadline_ms = 1'400;
    f.AddEngine("v1");
    f.AddEngine(other_build);
    f.EndAfterFirstEvent();
    f.Start(2);
    const instant sent = std::chrono::steady_clock::now();
    EXPECT_FALSE(f.Send(kResumablePath));
    EXPECT_LT(std::chrono::steady_clock::now() - sent, milliseconds(700));
    EXPECT_EQ(f.BuildsOf("r1").size(), 1u);
  }
}

TEST(StreamBuild, StreamOfUnknownBuildGoesOnOnlyAtItsOwnTarget) {
  build_fixture f;
  for (int i = 0; i < 3; ++i)
    f.AddEngine("");
  f.Start(3);
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "r" + std::to_string(f.next_id);
    const auto response = f.Send(kResumablePath);
    EXPECT_TRUE(response && response->status == 200) << id;
    EXPECT_EQ(f.EnginesOf(id).size(), 1u) << id;
  }
}

}  // namespace
}  // namespace waxwing
