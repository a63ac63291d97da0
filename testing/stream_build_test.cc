// Tests that a stream goes on only at targets of the build that began it.

#include <gtest/gtest.h>

#include <array>

#include "testing/take_up_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

constexpr int kStreams = 12;

struct build_fixture : entry_fixture {
  // Engines by build, in the order in which they were added.
  std::vector<std::string> builds;

  void AddEngine(std::string_view build, std::string_view service = "llm") {
    targets.push_back(StartTarget(context, BreakAfterFirstEvent));
    builds.emplace_back(build);
    PutObject(*store, "servers", "e" + std::to_string(targets.size() - 1),
              EntryTargetRecord(targets.back()->Address(), service, 1, "ready",
                                build));
  }
  // Adds a route that is split evenly between two services of engines.
  void PutSplitConfig() {
    boost::json::object split =
        EntryRoute("split", "/split/", "streaming", "llm", 2, true);
    split["backends"] = boost::json::array{
        boost::json::object{{"service", "llm"}, {"weight", 1}},
        boost::json::object{{"service", "llm-2"}, {"weight", 1}}};
    PutObject(*store, "config", "main",
              EntryConfig(2, boost::json::array{std::move(split)}));
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

TEST(StreamBuild, StreamTakenUpAtAnotherVmGoesOnOnlyAtItsBuild) {
  take_up_fixture f(3);
  for (int i = 0; i < kStreams; ++i) {
    const std::string first = "first-" + std::to_string(i);
    const std::string next = "next-" + std::to_string(i);
    ASSERT_TRUE(f.BeginAndLeave(0, first));
    const auto response = f.TakeUp(1 + i % 2, next, first);
    EXPECT_TRUE(response && response->status == 200) << next;
    EXPECT_EQ(f.BuildOf(next), f.BuildOf(first)) << next;
  }
}

TEST(StreamBuild, StreamOfAVmThatEndedGoesOnOnlyAtItsBuild) {
  take_up_fixture f(4);
  for (int i = 0; i < kStreams; ++i)
    ASSERT_TRUE(f.BeginAndLeave(0, "first-" + std::to_string(i)));
  StopEntry(f.vms[0]);
  for (int i = 0; i < kStreams; ++i) {
    const std::string first = "first-" + std::to_string(i);
    const std::string next = "next-" + std::to_string(i);
    const auto response = f.TakeUp(1 + i % 3, next, first);
    EXPECT_TRUE(response && response->status == 200) << next;
    EXPECT_EQ(f.BuildOf(next), f.BuildOf(first)) << next;
  }
}

TEST(StreamBuild, StreamWhoseBuildNobodyKnowsIsRefusedAsNotRun) {
  take_up_fixture f(3);
  const auto response = f.TakeUp(1, "next", "unheard-of");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503u);
  EXPECT_FALSE(FindHeader(response->headers, "Retry-After").empty());
  EXPECT_EQ(f.BuildOf("next"), "");
}

TEST(StreamBuild, StreamOfASplitRouteGoesOnAtItsService) {
  build_fixture f;
  f.PutSplitConfig();
  f.AddEngine("v1");
  f.AddEngine("v1", "llm-2");
  f.Start(2);
  for (int i = 0; i < kStreams; ++i) {
    const std::string first = "r" + std::to_string(f.next_id);
    ASSERT_TRUE(f.Send("/split/x"));
    const std::string next = "r" + std::to_string(f.next_id);
    const auto response =
        f.Send("/split/x", {{"Last-Event-Id", "1"}, {"Resumes", first}});
    EXPECT_TRUE(response && response->status == 200) << next;
    EXPECT_EQ(f.EnginesOf(next), f.EnginesOf(first)) << next;
  }
}

TEST(StreamBuild, AccountCannotTakeUpAStreamOfAnother) {
  EXPECT_NE(StreamKey("shop", "r1"), StreamKey("bank", "r1"));
  EXPECT_NE(StreamKey("shop", "r1"), StreamKey("shopr", "1"));
}

TEST(StreamBuild, UnrecordedStreamGoesOnWhileThereIsOneBuild) {
  entry_fixture f;
  for (const std::string id : {"e1", "e2"})
    f.AddTarget(id, "llm", BreakAfterFirstEvent);
  f.Start(2);
  entry_state& state = *f.running.state;
  const http_headers take_up = {{"Last-Event-Id", "1"}, {"Resumes", "r0"}};
  // Until streams that began before this VM's start can't be taken up any more,
  // they may be of a build that is gone.
  EXPECT_EQ(f.Send(kResumablePath, take_up)->status, 503u);
  *state.builds.at("llm").observed_since -= state.stream_lifetime;
  EXPECT_EQ(f.Send(kResumablePath, take_up)->status, 200u);
  EXPECT_EQ(state.stream_queries.size(), 0u);
}

bool IsResumed(const http_request& request) {
  return !FindHeader(request.headers, "Last-Event-Id").empty();
}

// Targets that start again under their IDs.
struct restart_fixture : entry_fixture {
  void Put(std::size_t index, std::string_view build, int born) {
    boost::json::object record =
        boost::json::parse(EntryTargetRecord(targets[index]->Address(), "llm",
                                             1, "ready", build))
            .as_object();
    if (born > 0)
      record["born"] = born;
    PutObject(*store, "servers", "e" + std::to_string(index),
              boost::json::serialize(record));
  }
  void Add(std::string_view build, int born) {
    targets.push_back(StartTarget(context, BreakAfterFirstEvent));
    Put(targets.size() - 1, build, born);
  }
  // The target accepts streams only in part, so that they begin elsewhere.
  void RefuseNewStreams(std::size_t index) {
    targets[index]->script = [](const http_request& request) {
      return IsResumed(request) ? BreakAfterFirstEvent(request)
                                : RefuseAsNotExecuted(request);
    };
  }
  // Writes the target's next record when it gets a request, which it starts
  // once the record is known.
  void RestartAtRequest(std::size_t index, std::string build, int born) {
    const auto script = targets[index]->script;
    targets[index]->script = [=, this](const http_request& request) {
      scripted_response out = script(request);
      if (out.pieces.size() > 1) {
        Put(index, build, born);
        out.delay = milliseconds(150);
      }
      return out;
    };
  }
  std::ptrdiff_t ResumedAt(std::size_t index) const {
    return std::count_if(targets[index]->requests.begin(),
                         targets[index]->requests.end(), IsResumed);
  }
};

// Values of `born` before and after a restart; 0 if records have none.
constexpr std::pair<int, int> kBirths[] = {{0, 0}, {1, 2}};

TEST(StreamBuild, StreamEndsIfItsNextTargetIsFoundToHaveAnotherBuild) {
  for (const auto& [born, born_again] : kBirths) {
    restart_fixture f;
    f.Add("v1", born);
    f.Add("v1", born);
    f.RefuseNewStreams(1);
    f.RestartAtRequest(1, "v2", born_again);
    f.Start(2);
    const auto response = f.Send(kResumablePath);
    EXPECT_FALSE(response && response->body.find("two") != std::string::npos)
        << born;
  }
}

TEST(StreamBuild, OriginIsTheBuildKnownWhenTheFirstEventComes) {
  for (const auto& [born, born_again] : kBirths) {
    restart_fixture f;
    f.caller_deadline_ms = 1'400;
    f.Add("v1", born);
    f.Add("v1", born);
    f.RefuseNewStreams(1);
    f.RestartAtRequest(0, "v2", born_again);
    f.Start(2);
    f.Send(kResumablePath);
    EXPECT_EQ(f.ResumedAt(1), 0) << born;
  }
}

TEST(StreamBuild, OlderCopyOfTheStoreDoesNotReplaceALaterStart) {
  restart_fixture f;
  f.store->era = 1;
  f.Add("v1", 1);
  f.Add("v1", 1);
  f.RefuseNewStreams(1);
  f.Start(2);
  entry_state& state = *f.running.state;
  const store_copy copy = CopyStore(*f.store);
  f.Put(1, "v2", 2);
  ASSERT_TRUE(f.RunUntil(
      [&] { return state.targets.at("e1").record.incarnation == 2; }));
  RestoreStore(*f.store, copy);
  ASSERT_TRUE(f.RunUntil([&] {
    return state.store_era == 2 &&
           state.watches.at(object_kind::kTargets).is_listed;
  }));
  EXPECT_EQ(state.targets.at("e1").record.incarnation, 2);
  f.Send(kResumablePath);
  EXPECT_EQ(f.ResumedAt(1), 0);
}

// Two VMs, the second of which issues the permits of the target `limited`.
struct permit_wait_fixture : zone_fixture {
  std::string limited;

  permit_wait_fixture() : zone_fixture(2) {
    WaitUntilSettled();
    for (int i = 0; limited.empty(); ++i) {
      const std::string id = "x" + std::to_string(i);
      if (ChoosePermitIssuer(Own().membership_agent.state->members, id, "a") ==
          "vm-1")
        limited = id;
    }
    AddTarget(limited, "llm", [](const http_request& request) {
      if (IsResumed(request))
        return BreakAfterFirstEvent(request);
      return scripted_response{{PlainResponse(
          503, IdOf(request), "", "Not-Executed: 1\r\nServer-Limit: 50\r\n")}};
    });
    AddTarget("e0", "llm", BreakAfterFirstEvent);
    RunUntil([&] {
      return Own().targets.size() == 2 && Issuer().targets.size() == 2;
    });
    const instant now = std::chrono::steady_clock::now();
    for (entry_state* state : {&Own(), &Issuer()})
      state->placement.targets[state->targets.at(limited).index].rate = {
          50.0, 1, now};
    Issuer().permit_buckets[limited] = {3.0, now, now - seconds(60), now};
  }
  entry_state& Own() const { return *vms[0].state; }
  entry_state& Issuer() const { return *vms[1].state; }
};

TEST(StreamBuild, TargetThatRestartsWhileItsPermitIsAwaitedIsNotUsed) {
  permit_wait_fixture f;
  auto& handler = f.Issuer().membership_agent.state->on_replication_message;
  bool was_asked = false;
  handler = [&, original = handler](const peer_link& link,
                                    wire::messageUnion& message) {
    // The stream has begun at the other target.
    if (message.Aspermit_request() && !f.targets[1]->requests.empty() &&
        !std::exchange(was_asked, true)) {
      target_record changed = f.Own().targets.at(f.limited).record;
      changed.build = "v2";
      changed.incarnation = 2;
      AddOrUpdateTarget(f.Own(), changed);
    }
    original(link, message);
  };
  http_request request;
  request.method = "POST";
  request.target = std::string(kResumablePath);
  request.headers = {{"Host", "calls.example"},
                     {"Request-Id", "r1"},
                     {"Deadline-Ms", "1400"},
                     {"Authorization", "Token key-1"}};
  const http_call_options options{milliseconds(2'000), false};
  RunToEnd(f.context,
           Fetch(f.pool, f.Own().caller_server.address, request, options));
  EXPECT_TRUE(was_asked);
  EXPECT_EQ(std::count_if(f.targets[0]->requests.begin(),
                          f.targets[0]->requests.end(), IsResumed),
            0);
}

// Times of a build history, in seconds.
constexpr seconds kLifetime{30};
instant At(double time) {
  return instant{} + seconds(1'000) +
         std::chrono::duration_cast<duration>(
             std::chrono::duration<double>(time));
}

TEST(BuildHistory, VmThatStartsLaterKnowsNothingOfEarlierStreams) {
  build_history later;
  build_history first = MakeFirstHistory();
  for (build_history* history : {&later, &first})
    ObserveBuilds(*history, {{"v1", 2}}, At(0), kLifetime, At(0));
  EXPECT_EQ(SoleBuild(first, At(0), kLifetime, At(1)), "v1");
  EXPECT_FALSE(SoleBuild(later, At(0), kLifetime, At(1)));
  ObserveBuilds(later, {{"v1", 2}}, At(1), kLifetime, At(1));
  EXPECT_EQ(SoleBuild(later, At(29), kLifetime, At(30)), "v1");
  EXPECT_TRUE(NeedsRecords(later, At(28), kLifetime, At(29)));
  EXPECT_FALSE(NeedsRecords(later, At(29), kLifetime, At(30)));
}

TEST(BuildHistory, BuildThatCameAndWentInAGapMayHaveStreams) {
  build_history history = MakeFirstHistory();
  ObserveBuilds(history, {{"v1", 2}}, At(0), kLifetime, At(0));
  ObserveBuilds(history, {{"v1", 2}}, At(3), kLifetime, At(3));
  EXPECT_EQ(SoleBuild(history, At(3), kLifetime, At(3)), "v1");
  ObserveBuilds(history, {{"v1", 2}}, At(8), kLifetime, At(8));
  EXPECT_FALSE(SoleBuild(history, At(8), kLifetime, At(8)));
  // After the store has lost changes, it is not known how long the gap was.
  history = MakeFirstHistory();
  ObserveBuilds(history, {{"v1", 2}}, At(0), kLifetime, At(0));
  ObserveBuilds(history, {{"v1", 2}}, std::nullopt, kLifetime, At(1));
  ObserveBuilds(history, {{"v1", 2}}, At(2), kLifetime, At(2));
  EXPECT_FALSE(SoleBuild(history, At(2), kLifetime, At(2)));
}

TEST(BuildHistory, NewBuildHasNoStreamsUntilItHasSettled) {
  build_history history = MakeFirstHistory();
  ObserveBuilds(history, {{"v1", 2}}, At(0), kLifetime, At(0));
  ObserveBuilds(history, {{"v1", 2}, {"v2", 1}}, At(1), kLifetime, At(2));
  EXPECT_TRUE(NeedsRecords(history, At(2), kLifetime, At(2)));
  EXPECT_EQ(SoleBuild(history, At(4), kLifetime, At(4.9)), "v1");
  EXPECT_FALSE(SoleBuild(history, At(4), kLifetime, At(5)));
  EXPECT_EQ(history.builds.at("v2").usable_since, At(6));
}

TEST(BuildHistory, StaleListConcludesNothing) {
  build_history history = MakeFirstHistory();
  ObserveBuilds(history, {{"v1", 2}}, At(0), kLifetime, At(0));
  EXPECT_TRUE(SoleBuild(history, At(0), kLifetime, At(3.9)));
  EXPECT_FALSE(SoleBuild(history, At(0), kLifetime, At(4)));
  EXPECT_FALSE(SoleBuild(history, std::nullopt, kLifetime, At(0)));
  EXPECT_TRUE(NeedsRecords(history, At(0), kLifetime, At(2.5)));
}

TEST(BuildConclusion, NeedsRepliesOfHalfTheOthersAndOfOneThatGetsRecords) {
  const std::vector<std::string> one = {"v1"};
  const auto conclude = [&](std::size_t count, bool has_keeper,
                            std::size_t other_vms) {
    return ConcludeBuild({count, has_keeper, {"v1"}, {"v1"}}, "v1", one,
                         other_vms);
  };
  EXPECT_EQ(conclude(0, false, 0), "v1");
  EXPECT_FALSE(conclude(0, false, 1));
  EXPECT_EQ(conclude(1, true, 2), "v1");
  EXPECT_FALSE(conclude(2, true, 5));
  EXPECT_EQ(conclude(3, true, 5), "v1");
  EXPECT_FALSE(conclude(3, false, 5));
  EXPECT_EQ(conclude(4, true, 300), "v1");
}

TEST(BuildConclusion, VmThatKnowsOfAnotherBuildIsBelieved) {
  const std::vector<std::string> one = {"v1"};
  const std::vector<std::string> two = {"v1", "v2"};
  EXPECT_FALSE(ConcludeBuild({2, true, {"v1"}, {"v1", "v2"}}, "v1", one, 2));
  EXPECT_FALSE(ConcludeBuild({2, true, {"v2"}, {}}, "v1", one, 2));
  EXPECT_FALSE(ConcludeBuild({1, true, {"v1"}, {"v1"}}, std::nullopt, two, 2));
  // A VM that has just started concludes nothing itself.
  EXPECT_EQ(ConcludeBuild({2, true, {"v1"}, {"v1"}}, std::nullopt, one, 2),
            "v1");
}

// A stream of one event; resumed after it, nothing is left.
scripted_response StreamOneEvent(const http_request& request) {
  if (request.target.starts_with("/api/"))
    return {{PlainResponse(404, "", "{}")}};
  if (IsResumed(request))
    return {{StreamHead(IdOf(request)), StreamEnd()}};
  return {{StreamHead(IdOf(request)), StreamEvent(1, "one"), StreamEnd()}};
}

TEST(StreamResume, StreamOfWhichOnlyTheEndIsLeftIsComplete) {
  entry_fixture f;
  f.AddTarget("e0", "llm", StreamOneEvent);
  f.Start(1);
  ASSERT_TRUE(f.Send(kResumablePath));
  const auto response =
      f.Send(kResumablePath, {{"Last-Event-Id", "1"}, {"Resumes", "r1"}});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200u);
  EXPECT_EQ(response->body, "");
  EXPECT_EQ(f.targets[0]->requests.size(), 2u);
}

// Returns the events 1 to 3 that a target sends after the one that the caller
// has. The first response breaks off after event 2.
std::vector<std::string> EventsAfter(const http_request& request,
                                     const std::array<std::string, 3>& events,
                                     bool is_first) {
  std::vector<std::string> out{StreamHead(IdOf(request))};
  const std::string last(FindHeader(request.headers, "Last-Event-Id"));
  const std::size_t begin = last.empty() ? 0 : std::stoul(last);
  for (std::size_t i = begin; i < (is_first ? 2 : events.size()); ++i) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", events[i].size());
    out.push_back(size + events[i] + "\r\n");
  }
  if (!is_first)
    out.push_back(StreamEnd());
  return out;
}

// What a caller gets of a stream whose first target breaks off. Empty if the
// response is not complete.
std::string ResumedStream(const std::array<std::string, 3>& events) {
  entry_fixture f;
  int runs = 0;
  const auto script = [&](const http_request& request) -> scripted_response {
    if (request.target.starts_with("/api/"))
      return {{PlainResponse(404, "", "{}")}};
    const bool is_first = ++runs == 1;
    return {EventsAfter(request, events, is_first), is_first};
  };
  f.AddTarget("e1", "llm", script);
  f.AddTarget("e2", "llm", script);
  f.Start(2);
  const auto response = f.Send(kResumablePath);
  return response ? response->body : "";
}

// Callers got the events of a stream twice after its target had ended, since
// the stream was resumed from its beginning.
TEST(StreamResume, EventsWithoutASpaceInTheirIdComeOnce) {
  const std::array<std::string, 3> events = {
      "id:1\ndata:a\n\n", "id:2\ndata:b\n\n", "id:3\ndata:c\n\n"};
  EXPECT_EQ(ResumedStream(events), events[0] + events[1] + events[2]);
}

// Where such a stream stands is not known, so it is cut rather than resumed.
TEST(StreamResume, StreamWithEventsThatHaveNoIdIsNotResumed) {
  EXPECT_EQ(ResumedStream({"data: a\n\n", "data: b\n\n", "data: c\n\n"}), "");
  EXPECT_EQ(ResumedStream(
                {"id: 1\ndata: a\n\n", "data: b\n\n", "id: 3\ndata: c\n\n"}),
            "");
}

TEST(StreamResume, CommentsDoNotKeepAStreamFromBeingResumed) {
  EXPECT_EQ(ResumedStream(
                {"id: 1\ndata: a\n\n", ": comment\n\n", "id: 3\ndata: c\n\n"}),
            "id: 1\ndata: a\n\n: comment\n\n: comment\n\n"
            "id: 3\ndata: c\n\n");
}

TEST(StreamResume, StreamThatWasNotResumedAndHasNoEventIsNotComplete) {
  entry_fixture f;
  f.AddTarget("e0", "llm", [](const http_request& request) {
    if (request.target.starts_with("/api/"))
      return scripted_response{{PlainResponse(404, "", "{}")}};
    return scripted_response{{StreamHead(IdOf(request)), StreamEnd()}};
  });
  f.Start(1);
  const auto response = f.Send(kResumablePath);
  EXPECT_TRUE(response && response->status == 502u);
}

}  // namespace
}  // namespace waxwing
