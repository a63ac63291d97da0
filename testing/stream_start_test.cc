// Tests of the records that name the build at which a stream began.

#include <gtest/gtest.h>

#include "testing/take_up_fixture.h"
#include "testing/target_path.h"
#include "waxwing/forwarded_request.h"
#include "waxwing/stored_streams.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

constexpr int kStreams = 12;
constexpr std::string_view kStreamsKind = "waxwing-streams";

std::string FirstId(int i) {
  return "first-" + std::to_string(i);
}

// The first of several VMs reaches no target.
struct forwarding_fixture : take_up_fixture {
  std::vector<std::shared_ptr<target_path>> paths;

  explicit forwarding_fixture(path_cut cut) : take_up_fixture(4) {
    paths = RoutePaths(*vms[0].state);
    for (const auto& path : paths)
      SetCut(path, cut);
  }

  asio::awaitable<void> Begin(std::string id, int& begun) {
    const http_call_options options{milliseconds(1'000), false};
    auto call = co_await StartCall(pool, vms[0].state->caller_server.address,
                                   MakeRequest(id, {}), options);
    std::string body;
    while (call && body.find("id: 1") == std::string::npos) {
      const auto more =
          co_await ReadSomeBody(pool, *call, milliseconds(1'000), body);
      if (!more || !*more)
        co_return;
    }
    ++begun;
    if (call)
      CancelCall(*call);
  }
  // Begins streams at the first VM, all before it knows that it is cut off.
  // Returns how many have begun.
  int BeginAll() {
    int begun = 0;
    for (int i = 0; i < kStreams; ++i)
      asio::co_spawn(context, Begin(FirstId(i), begun), asio::detached);
    RunUntil([&] { return begun == kStreams; });
    return begun;
  }
};

class ForwardedStream : public ::testing::TestWithParam<path_cut> {};

// Streams of a VM that reached no target and then ended went on at another
// build: the record of a target that was chosen, but not reached, was kept.
TEST_P(ForwardedStream, GoesOnAtTheBuildThatBeganIt) {
  forwarding_fixture f(GetParam());
  ASSERT_EQ(f.BeginAll(), kStreams);
  StopEntry(f.vms[0]);
  for (int i = 0; i < kStreams; ++i) {
    const std::string next = "next-" + std::to_string(i);
    const auto response = f.TakeUp(1 + i % 3, next, FirstId(i));
    EXPECT_TRUE(response && response->status == 200) << next;
    EXPECT_EQ(f.BuildOf(next), f.BuildOf(FirstId(i))) << next;
  }
}

// The VM that was cut off itself took the stream up at the build that it had
// chosen first.
TEST_P(ForwardedStream, GoesOnAtItsBuildAtTheVmThatForwardedIt) {
  forwarding_fixture f(GetParam());
  ASSERT_EQ(f.BeginAll(), kStreams);
  for (const auto& path : f.paths)
    SetCut(path, path_cut::kNone);
  ASSERT_TRUE(f.RunUntil(
      [&] { return !ReachesTooFewTargets(*f.vms[0].state, "llm"); }));
  for (int i = 0; i < kStreams; ++i) {
    const std::string next = "next-" + std::to_string(i);
    const auto response = f.TakeUp(0, next, FirstId(i));
    EXPECT_TRUE(response && response->status == 200) << next;
    EXPECT_EQ(f.BuildOf(next), f.BuildOf(FirstId(i))) << next;
  }
}

INSTANTIATE_TEST_SUITE_P(Cuts,
                         ForwardedStream,
                         ::testing::Values(path_cut::kHanging,
                                           path_cut::kResetting,
                                           path_cut::kRefusingNew));

// The objects that VMs read after all of them have ended named targets that
// were chosen for a request and had not begun its stream.
TEST(StreamStart, StoreNamesNoStreamBeforeItsFirstEvent) {
  take_up_fixture f(2);
  for (const auto& target : f.targets)
    target->script = [](const http_request& request) {
      scripted_response out = PauseAfterFirstEvent(request);
      out.delay = milliseconds(800);
      return out;
    };
  const http_call_options options{milliseconds(600), false};
  RunToEnd(f.context, Fetch(f.pool, f.vms[0].state->caller_server.address,
                            f.MakeRequest("first", {}), options));
  ASSERT_NE(f.BuildOf("first"), "");
  for (const auto& [name, object] :
       f.store->objects_by_kind[std::string(kStreamsKind)]) {
    const auto record = ReadStoredStreams(object.spec);
    ASSERT_TRUE(record);
    EXPECT_TRUE(record->streams.empty()) << name;
  }
}

// A request was refused although targets of another build were free, since
// other VMs had been told of the target that had refused it.
TEST(StreamStart, RequestThatABuildHasRefusedMayBeginAtAnother) {
  take_up_fixture f(3);
  // Each request may be sent four times.
  f.vms[0].state->options.bounds.retry_share = 3;
  for (std::size_t i = 0; i < f.targets.size(); ++i) {
    if (f.builds[i] == "v1")
      f.targets[i]->script = RefuseAsNotExecuted;
  }
  for (int i = 0; i < kStreams; ++i)
    EXPECT_TRUE(f.BeginAndLeave(0, FirstId(i))) << i;
  for (int i = 0; i < kStreams; ++i) {
    const std::string next = "next-" + std::to_string(i);
    const auto response = f.TakeUp(1 + i % 2, next, FirstId(i));
    EXPECT_TRUE(response && response->status == 200) << next;
    EXPECT_EQ(f.BuildOf(next), "v2") << next;
  }
}

}  // namespace
}  // namespace waxwing
