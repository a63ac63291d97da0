// Tests of requests that end the targets that run them.

#include <gtest/gtest.h>

#include "testing/crash_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

constexpr milliseconds kContactTime{1'000};
constexpr std::size_t kAllowedAfterwards = 3;

std::string Segments(int head, const std::string& middle, int last) {
  return std::to_string(head) + ":100," + middle + ":50," +
         std::to_string(1'000 + last) + ":20";
}

TEST(CrashSuspects, SegmentThatEndsEnginesIsNotSentOn) {
  constexpr std::size_t kEngines = 9;
  constexpr std::string_view kHarmful = "bad:50";
  crash_fixture f(6);
  f.is_harmful = [&](const http_request& request) {
    return FindHeader(request.headers, "Prefix-Hash").find(kHarmful) !=
           std::string_view::npos;
  };
  for (std::size_t i = 0; i < kEngines; ++i)
    f.AddCrashingTarget("llm");
  ASSERT_TRUE(f.Settle(kEngines));
  const auto send = [&](const std::string& middle, int i) {
    f.SendOne(i % 2 == 0 ? kStreamPath : kResumablePath,
              {{"Model", "m"},
               {"Token-Count", "170,5"},
               {"Prefix-Hash", Segments(i % 4, middle, i)}});
  };
  const instant end = std::chrono::steady_clock::now() + seconds(6);
  for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
    send(std::to_string(500 + i % 40), i);
    if (i > 50 && i % 6 == 0)
      send("bad", i);
    f.context.run_for(milliseconds(10));
  }
  EXPECT_GE(f.ends.size(), 1u);
  EXPECT_LE(f.ArrivalsAfterEnd(5, kContactTime), kAllowedAfterwards)
      << f.ends.size() << " targets ended";
  EXPECT_GE(f.served, f.sent * 9 / 10) << f.sent;
}

hold MakeHold(std::uint64_t segment) {
  hold out;
  out.key = SegmentKey("llm", segment);
  out.service = "llm";
  out.sequence = 1;
  out.targets = {"t1", "t2", "t3"};
  return out;
}

// VMs before one engine, of which the first learns of a hold.
struct hold_fixture : zone_fixture {
  static constexpr std::uint64_t kSegment = 0xbad;

  hold_fixture() : zone_fixture(2) { AddTarget("e1", "llm", StreamTwoEvents); }
  ~hold_fixture() { running = {}; }

  bool Knows(const entry& vm) const {
    return vm.state->suspects.holds.contains(SegmentKey("llm", kSegment));
  }
  bool IsStored() const {
    const auto kind = store->objects_by_kind.find("waxwing-holds");
    return kind != store->objects_by_kind.end() && !kind->second.empty();
  }
  void Hold() {
    for (const entry& vm : vms)
      MergeHold(vm.state->suspects, MakeHold(kSegment));
  }
  entry StartAnother(std::vector<endpoint> seeds) {
    entry_options options;
    options.vm = "vm-late";
    options.store = store->server.address;
    options.key = "test";
    options.seeds = std::move(seeds);
    return *StartEntry(context.get_executor(), options,
                       platform::MakeProtocolAdapter());
  }
  tl::expected<http_response, http_error> SendHarmful(const entry& vm) {
    running = vm;
    return Send(kStreamPath, {{"Model", "m"},
                              {"Token-Count", "70,5"},
                              {"Prefix-Hash", "1:20,bad:30,7:20"}});
  }
};

TEST(CrashSuspects, HoldIsKnownToVmThatStartsWithTheStore) {
  hold_fixture f;
  ASSERT_TRUE(f.WaitUntilSettled());
  f.Hold();
  ASSERT_TRUE(f.RunUntil([&] { return f.IsStored(); }));
  for (entry& vm : f.vms)
    StopEntry(vm);
  f.vms.push_back(f.StartAnother({}));
  const entry& late = f.vms.back();
  ASSERT_TRUE(f.RunUntil([&] {
    return CanServe(*late.state) && late.state->targets.contains("e1");
  }));
  const auto response = f.SendHarmful(late);
  ASSERT_EQ(response->status, 503u);
  EXPECT_FALSE(FindHeader(response->headers, "Retry-After").empty());
  EXPECT_TRUE(f.targets[0]->requests.empty());
}

TEST(CrashSuspects, HoldIsKnownToVmThatStartsWithoutTheStore) {
  hold_fixture f;
  ASSERT_TRUE(f.WaitUntilSettled());
  f.store->is_down = true;
  f.Hold();
  f.vms.push_back(f.StartAnother({f.vms[0].state->membership_agent.address}));
  EXPECT_TRUE(f.RunUntil([&] { return f.Knows(f.vms.back()); }));
  // Stored as soon as the store is back.
  f.store->is_down = false;
  EXPECT_TRUE(f.RunUntil([&] { return f.IsStored(); }));
}

// The notice of a hold is sent once; who misses it learns of it from the store.
TEST(CrashSuspects, HoldReachesAVmThatHasMissedItsNotice) {
  hold_fixture f;
  ASSERT_TRUE(f.WaitUntilSettled());
  MergeHold(f.vms[0].state->suspects, MakeHold(hold_fixture::kSegment));
  EXPECT_FALSE(f.Knows(f.vms[1]));
  EXPECT_TRUE(f.RunUntil([&] { return f.Knows(f.vms[1]); }));
}

TEST(CrashSuspects, HoldOutlivesAStoreThatReturnsFromAnOlderCopy) {
  hold_fixture f;
  f.store->era = 1;
  ASSERT_TRUE(f.WaitUntilSettled());
  const store_copy copy = CopyStore(*f.store);
  f.Hold();
  ASSERT_TRUE(f.RunUntil([&] { return f.IsStored(); }));
  RestoreStore(*f.store, copy);
  ASSERT_FALSE(f.IsStored());
  EXPECT_TRUE(f.RunUntil([&] { return f.IsStored(); }));
}

TEST(CrashSuspects, OperatorLiftsAHold) {
  hold_fixture f;
  ASSERT_TRUE(f.WaitUntilSettled());
  f.Hold();
  ASSERT_TRUE(f.RunUntil([&] { return f.IsStored(); }));
  EXPECT_EQ(f.SendHarmful(f.vms[0])->status, 503u);
  hold lifted = MakeHold(hold_fixture::kSegment);
  lifted.is_lifted = true;
  PutObject(*f.store, "waxwing-holds", ToHex(lifted.key), WriteHold(lifted));
  ASSERT_TRUE(f.RunUntil([&] {
    return std::all_of(f.vms.begin(), f.vms.end(), [&](const entry& vm) {
      return vm.state->suspects.holds.at(lifted.key).is_lifted;
    });
  }));
  EXPECT_EQ(f.SendHarmful(f.vms[0])->status, 200u);
  // The lifting itself does not get lost.
  const auto known = ReadHold(
      f.store->objects_by_kind["waxwing-holds"][ToHex(lifted.key)].spec);
  ASSERT_TRUE(known);
  EXPECT_TRUE(known->is_lifted);
}

TEST(CrashSuspects, SurvivalOnOlderWeightsIsPassedOnOnce) {
  const instant now = instant{} + seconds(100);
  const suspect_key key = SegmentKey("llm", 1);
  suspect_table table;
  const target_end end{"t1", 1, "llm", 2, {key}, {}};
  EXPECT_TRUE(RecordEnd(table, end, now));
  EXPECT_FALSE(RecordEnd(table, end, now));
  EXPECT_TRUE(MergeSurvival(table, key, 1, now));
  EXPECT_FALSE(MergeSurvival(table, key, 1, now));
  // It says nothing about the newer weights, so there is nothing to announce.
  EXPECT_TRUE(RecordSurvival(table, {&key, 1}, 1, now).empty());
  EXPECT_EQ(CheckKeys(table, {&key, 1}), suspicion::kSuspected);
  EXPECT_EQ(RecordSurvival(table, {&key, 1}, 2, now).size(), 1u);
  EXPECT_EQ(CheckKeys(table, {&key, 1}), suspicion::kNone);
}

TEST(CrashSuspects, ReportWithoutATargetIsPassedOnOnce) {
  const instant now = instant{} + seconds(100);
  suspect_table table;
  EXPECT_TRUE(RecordEnd(table, {}, now));
  EXPECT_FALSE(RecordEnd(table, {}, now));
}

TEST(CrashSuspects, HoldIsReadBackAsWritten) {
  hold written = MakeHold(0xbad);
  written.companions = {SegmentKey("llm", 1)};
  written.since = 1'790'000'000'000;
  EXPECT_EQ(ReadHold(WriteHold(written)), written);
  for (const std::string_view invalid :
       {"", "[]", R"({"key":"x","service":"s","sequence":1})",
        R"({"key":"00000000000000000000000000000bad","service":"s"})",
        R"({"key":7,"service":"s","sequence":1})"})
    EXPECT_FALSE(ReadHold(invalid)) << invalid;
}

}  // namespace
}  // namespace waxwing
