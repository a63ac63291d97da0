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
  // Returns the builds that have received a request, in any order.
  std::set<std::string> BuildsOf(const std::string& request) const {
    std::set<std::string> out;
    for (std::size_t i = 0; i < targets.size(); ++i) {
      for (const http_request& received : targets[i]->requests) {
        if (IdOf(received) == request)
          out.insert(builds[i]);
      }
    }
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

}  // namespace
}  // namespace waxwing
