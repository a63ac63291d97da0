// Tests that streams are taken up at their build after all VMs have ended.

#include <gtest/gtest.h>

#include "testing/take_up_fixture.h"
#include "waxwing/stored_streams.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

constexpr int kStreams = 12;
constexpr std::string_view kStreamsKind = "waxwing-streams";

struct all_ended_fixture : take_up_fixture {
  std::vector<http_call> open;

  using take_up_fixture::take_up_fixture;

  // Begins a stream, whose connection stays open.
  bool Begin(std::size_t vm, const std::string& id) {
    const auto begin = [&]() -> asio::awaitable<bool> {
      const http_call_options options{milliseconds(1'000), false};
      auto call = co_await StartCall(pool, vms[vm].state->caller_server.address,
                                     MakeRequest(id, {}), options);
      std::string body;
      while (call && body.find("id: 1") == std::string::npos) {
        const auto more =
            co_await ReadSomeBody(pool, *call, milliseconds(1'000), body);
        if (!more || !*more)
          co_return false;
      }
      if (call)
        open.push_back(std::move(*call));
      co_return call.has_value();
    };
    return RunToEnd(context, begin());
  }
  std::size_t StoredStreams() const {
    std::size_t count = 0;
    const auto kind = store->objects_by_kind.find(std::string(kStreamsKind));
    if (kind == store->objects_by_kind.end())
      return 0;
    for (const auto& [name, object] : kind->second) {
      if (const auto record = ReadStoredStreams(object.spec))
        count += record->streams.size();
    }
    return count;
  }
  bool AllKnowTargets() {
    return RunUntil([&] {
      return (vms.size() == 1 || WaitUntilSettled()) && AllHaveConfig(1) &&
             std::all_of(vms.begin(), vms.end(), [&](const entry& vm) {
               return vm.state->targets.size() == targets.size();
             });
    });
  }
  // Ends all VMs at once and starts as many again.
  void RestartVms() {
    const std::size_t count = vms.size();
    StopVms();
    for (http_call& call : open)
      CancelCall(call);
    StartVms(count);
    AllKnowTargets();
  }
  // Writes all targets' records again, with a time of birth, without those of a
  // build that is gone.
  void PutTargets(unix_ms born, std::string_view gone_build = "") {
    for (std::size_t i = 0; i < targets.size(); ++i) {
      const std::string id = "e" + std::to_string(i);
      if (builds[i] == gone_build) {
        RemoveObject(*store, "servers", id);
        continue;
      }
      boost::json::object record =
          boost::json::parse(EntryTargetRecord(targets[i]->Address(), "llm", 1,
                                               "ready", builds[i]))
              .as_object();
      record["born"] = born;
      PutObject(*store, "servers", id, boost::json::serialize(record));
    }
  }
};

std::string FirstId(int i) {
  return "first-" + std::to_string(i);
}

TEST(StoredStreams, StreamsOfTwoBuildsGoOnAfterAllVmsHaveEnded) {
  for (const std::size_t vms : {1, 3, 6}) {
    all_ended_fixture f(vms);
    f.AllKnowTargets();
    for (int i = 0; i < kStreams; ++i)
      ASSERT_TRUE(f.Begin(static_cast<std::size_t>(i) % vms, FirstId(i)));
    ASSERT_TRUE(f.RunUntil([&] { return f.StoredStreams() == kStreams; }));
    f.RestartVms();
    int resumed = 0;
    for (int i = 0; i < kStreams; ++i) {
      const std::string next = "next-" + std::to_string(i);
      const auto response =
          f.TakeUp(static_cast<std::size_t>(i + 1) % vms, next, FirstId(i));
      resumed += response && response->status == 200;
      if (!f.BuildOf(next).empty()) {
        EXPECT_EQ(f.BuildOf(next), f.BuildOf(FirstId(i))) << next;
      }
    }
    EXPECT_GE(resumed, 0.9 * kStreams) << vms << " VMs";
  }
}

// The records must survive the next end of all VMs as well.
TEST(StoredStreams, StreamsGoOnAfterAllVmsHaveEndedTwice) {
  all_ended_fixture f(3);
  f.AllKnowTargets();
  for (int i = 0; i < kStreams; ++i)
    ASSERT_TRUE(f.Begin(static_cast<std::size_t>(i) % 3, FirstId(i)));
  ASSERT_TRUE(f.RunUntil([&] { return f.StoredStreams() == kStreams; }));
  f.RestartVms();
  ASSERT_TRUE(f.Begin(0, "another"));
  const auto has_another = [&] { return f.StoredStreams() > kStreams; };
  ASSERT_TRUE(f.RunUntil(has_another));
  f.RestartVms();
  const auto response = f.TakeUp(1, "next", FirstId(0));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200u);
  EXPECT_EQ(f.BuildOf("next"), f.BuildOf(FirstId(0)));
}

TEST(StoredStreams, UnrecordedStreamIsRefusedIfAnotherBuildHasJustGone) {
  all_ended_fixture f(3);
  f.AllKnowTargets();
  ASSERT_TRUE(f.Begin(0, FirstId(0)));
  ASSERT_TRUE(f.RunUntil([&] { return f.StoredStreams() == 1; }));
  f.PutTargets(UnixNow() - 1'000'000, "v1");
  f.targets.erase(f.targets.begin() + 2);
  f.targets.erase(f.targets.begin());
  f.RestartVms();
  const auto response = f.TakeUp(1, "next", "unrecorded");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503u);
}

TEST(StoredStreams, StreamIsRefusedWhileTheStoreIsAway) {
  all_ended_fixture f(3);
  f.AllKnowTargets();
  ASSERT_TRUE(f.Begin(0, FirstId(0)));
  ASSERT_TRUE(f.RunUntil([&] { return f.StoredStreams() == 1; }));
  f.RestartVms();
  f.store->is_down = true;
  const auto refused = f.TakeUp(1, "next", FirstId(0));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 503u);
  f.store->is_down = false;
  const auto served = f.TakeUp(1, "again", FirstId(0));
  ASSERT_TRUE(served);
  EXPECT_EQ(served->status, 200u);
}

// With one build for long, nothing is stored, and streams go on at once.
TEST(StoredStreams, StreamsOfTheOnlyBuildGoOnAfterAllVmsHaveEnded) {
  for (const auto& [age, status] :
       {std::pair(1'000'000, 200u), std::pair(0, 503u)}) {
    all_ended_fixture f(3);
    f.builds.assign(4, "v1");
    f.PutTargets(UnixNow() - age);
    f.StopVms();
    // Those of the fixture's two builds.
    f.store->objects_by_kind.erase(std::string(kStreamsKind));
    f.StartVms(3);
    f.AllKnowTargets();
    ASSERT_TRUE(f.Begin(0, FirstId(0)));
    f.RestartVms();
    EXPECT_EQ(f.StoredStreams(), 0u);
    const auto response = f.TakeUp(1, "next", FirstId(0));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, status) << age;
  }
}

TEST(StoredStreams, RecordsAreReadAsWritten) {
  stored_streams record;
  record.written = 123;
  record.builds["llm"] = {"v1", "v2"};
  record.streams[{1, 2}] = {{"llm", "v1", "e1", 17}, 2, 99};
  record.streams[{3, 4}] = {{"llm", "", "e2", 0}, 1, 100};
  const auto read = ReadStoredStreams(WriteStoredStreams(record));
  ASSERT_TRUE(read) << ToText(read.error());
  EXPECT_EQ(*read, record);
  for (const char* text :
       {"", "[]", "{}", R"({"written":1,"builds":{},"streams":{}})",
        R"({"written":1,"builds":[],"streams":[]})",
        R"({"written":1,"builds":{"a":[1]},"streams":[]})",
        R"({"written":1,"builds":{},"streams":[{"key":"x"}]})"})
    EXPECT_FALSE(ReadStoredStreams(text)) << text;
}

TEST(StoredStreams, OnlyAnOldBuildWithoutContraryRecordsIsProved) {
  constexpr seconds kLifetime{20};
  constexpr unix_ms kNow = 10'000'000;
  constexpr unix_ms kOld = kNow - 100'000;
  const auto is_proved = [&](build_births listed,
                             std::vector<stored_streams> stored) {
    return ProvesSoleBuild(stored, "llm", listed, kLifetime, kNow);
  };
  const auto states = [](unix_ms written, std::set<std::string> builds) {
    stored_streams out;
    out.written = written;
    out.builds["llm"] = std::move(builds);
    return out;
  };
  EXPECT_TRUE(is_proved({{"v1", kOld}}, {}));
  EXPECT_FALSE(is_proved({{"v1", kNow - 1'000}}, {}));
  EXPECT_FALSE(is_proved({{"v1", 0}}, {}));
  EXPECT_FALSE(is_proved({{"", kOld}}, {}));
  EXPECT_FALSE(is_proved({{"v1", kOld}, {"v2", kOld}}, {}));
  EXPECT_FALSE(is_proved({}, {}));
  EXPECT_FALSE(is_proved({{"v1", kOld}}, {states(kNow, {"v1", "v2"})}));
  EXPECT_TRUE(is_proved({{"v1", kOld}}, {states(kOld, {"v1", "v2"})}));
}

}  // namespace
}  // namespace waxwing
