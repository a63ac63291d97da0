// Objects in the store that another writer has left in an unexpected form.

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <random>

#include "testing/entry_fixture.h"
#include "waxwing/json.h"
#include "waxwing/stored_streams.h"

namespace testing_support {
namespace {

namespace json = boost::json;

struct odd_content {
  std::string name;
  std::string text;
};

std::string Nested(int levels, std::string_view open, std::string_view close) {
  std::string out;
  for (int i = 0; i < levels; ++i)
    out += open;
  out += "1";
  for (int i = 0; i < levels; ++i)
    out += close;
  return out;
}

// A good record with one member replaced by a text, or added.
std::string RecordWith(std::string_view member, std::string_view text) {
  json::object record =
      json::parse(EntryTargetRecord({"127.0.0.1", 9}, "llm", 1)).as_object();
  record.erase(member);
  std::string out = json::serialize(record);
  out.pop_back();
  return out + ",\"" + std::string(member) + "\":" + std::string(text) + "}";
}

std::vector<odd_content> OddContents() {
  std::vector<odd_content> out{
      {"null", "null"},
      {"number", "7"},
      {"text", R"("x")"},
      {"array", "[]"},
      {"empty object", "{}"},
      {"NaN", R"({"slots":NaN})"},
      {"duplicate fields", R"({"service":"llm","service":"llm"})"},
      {"megabyte", RecordWith("note", '"' + std::string(1'000'000, 'x') + '"')},
      {"megabyte of brackets", RecordWith("note", Nested(500'000, "[", "]"))},
  };
  for (const int levels : {10, 31, 33, 1'000, 100'000}) {
    const std::string text = std::to_string(levels) + " levels";
    out.push_back({text, Nested(levels, "[", "]")});
    out.push_back({text + " of objects", Nested(levels, R"({"a":)", "}")});
  }
  for (const int levels : {32, 1'000, 100'000})
    out.push_back({"record, " + std::to_string(levels) + " levels",
                   RecordWith("note", Nested(levels, "[", "]"))});
  for (const std::string_view member : {"born", "slots"}) {
    for (const std::string_view value :
         {"18446744073709551616", "1e999", "1e99999999999", "-1", "1.5",
          "9223372036854775808.0", R"("1")", "[]", "{}", "true"})
      out.push_back({std::string(member) + " " + std::string(value),
                     RecordWith(member, value)});
  }
  for (const std::string_view value : {"0", "1000001", "null"})
    out.push_back({"slots " + std::string(value), RecordWith("slots", value)});
  for (const std::string_view value :
       {R"("10.0.0.1:0")", R"("10.0.0.1:65536")", R"("10.0.0.1:-1")",
        R"("10.0.0.1:99999999999999999999")", R"("10.0.0.1:80.5")",
        R"("10.0.0.1:")", R"("10.0.0.1")", R"(":80")", R"("")", R"("::::80")",
        R"("10.0.0.1\u0000x:80")", R"("10.0.0.1\r\n:80")", R"("example:80")",
        "80", "null", "[]"})
    out.push_back(
        {"address " + std::string(value), RecordWith("address", value)});
  for (const std::string_view member : {"service", "zone", "state"}) {
    for (const std::string_view value :
         {"1", "null", "[]", "{}", R"("\ud800")", "\"\xff\xfe\"", "\"\x01\""})
      out.push_back({std::string(member) + " " + std::string(value),
                     RecordWith(member, value)});
  }
  out.push_back({"state", RecordWith("state", R"("resting")")});
  for (const std::string_view value : {"1", "[]", "{}"})
    out.push_back(
        {"version " + std::string(value), RecordWith("version", value)});
  for (const std::string_view value :
       {"1", "{}", "[1]", R"([{"name":1,"version":1}])",
        R"([{"name":"m","version":1e30}])", R"([{"name":"m","version":-1}])",
        R"([{"name":"m","version":18446744073709551616}])"})
    out.push_back(
        {"models " + std::string(value), RecordWith("models", value)});
  for (const std::string_view member : {"cold_left_ms", "sequence"}) {
    for (const std::string_view value : {R"("1")", "[]", "1e99999999999"})
      out.push_back({std::string(member) + " " + std::string(value),
                     RecordWith(member, value)});
  }
  return out;
}

std::string IdOfOdd(std::size_t i) {
  return "odd-" + std::to_string(i);
}

TEST(OddEntries, RecordNamesNoTarget) {
  const auto read = platform::MakeProtocolAdapter().read_target_record;
  ASSERT_TRUE(read("a", EntryTargetRecord({"10.0.0.1", 80}, "llm", 1)));
  for (const odd_content& odd : OddContents()) {
    // A size or a depth that only the list's reader limits.
    if (odd.name.starts_with("megabyte"))
      continue;
    EXPECT_FALSE(read("a", odd.text)) << odd.name;
  }
}

TEST(OddEntries, NameThatIsNoHeaderValueNamesNoTarget) {
  const auto read = platform::MakeProtocolAdapter().read_target_record;
  const std::string good = EntryTargetRecord({"10.0.0.1", 80}, "llm", 1);
  for (const std::string& name :
       {std::string(), std::string("a b"), std::string("a\r\nHost: b"),
        std::string("a\0b", 3), std::string("\xff"), std::string("\xc3\xa9"),
        std::string(70'000, 'a')})
    EXPECT_FALSE(read(name, good)) << name.substr(0, 20);
}

// Texts of any bytes end no reader, and none reads what is not JSON.
TEST(OddEntries, ChangedBytesEndNoReader) {
  const protocol_adapter adapter = platform::MakeProtocolAdapter();
  std::mt19937 random(20261203);
  const std::string texts[] = {EntryTargetRecord({"10.0.0.1", 80}, "llm", 1),
                               EntryConfig(1), R"({"model":"m","version":3})"};
  constexpr std::string_view kBytes = "{}[]\",:\\0e-9\xff \x01n";
  for (int i = 0; i < 20'000; ++i) {
    std::string text = texts[random() % std::size(texts)];
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t change = 0; change < changes; ++change) {
      const char byte = kBytes[random() % kBytes.size()];
      const std::size_t pos = random() % text.size();
      if (random() % 2 == 0)
        text[pos] = byte;
      else
        text.insert(pos, random() % 40, byte);
    }
    boost::system::error_code error;
    json::parse(text, error);
    const bool is_read = adapter.read_target_record("a", text).has_value() ||
                         adapter.read_config(text).has_value() ||
                         adapter.read_desired_weights(text).has_value();
    EXPECT_FALSE(is_read && error) << text;
    const auto elements = SplitArray("[" + text + ",7]");
    if (!error) {
      ASSERT_TRUE(elements) << text;
      EXPECT_EQ(elements->size(), 2u) << text;
      EXPECT_EQ(elements->back(), "7") << text;
    }
  }
}

struct odd_fixture : entry_fixture {
  odd_fixture() {
    AddTarget("good-0", "llm", StreamTwoEvents);
    AddTarget("good-1", "panel", RespondOk);
  }
  bool Knows(std::string_view id) const {
    return running.state->targets.contains(std::string(id));
  }
  bool IsServed() {
    const auto stream = Send(kStreamPath);
    const auto plain = Send(kIdempotentPath);
    return stream && stream->status == 200 && plain && plain->status == 200;
  }
  // True if a target that joins, and its leaving, are followed within a second.
  bool FollowsChanges() {
    const instant limit = std::chrono::steady_clock::now() + seconds(1);
    AddTarget("next", "panel", RespondOk);
    const bool is_added = RunUntil([&] { return Knows("next"); });
    RemoveObject(*store, "servers", "next");
    const bool is_removed = RunUntil([&] { return !Knows("next"); });
    return is_added && is_removed && std::chrono::steady_clock::now() < limit;
  }
};

TEST(OddEntries, AtStartKeepNoVmFromFollowingTheOthers) {
  const auto contents = OddContents();
  odd_fixture f;
  for (std::size_t i = 0; i < contents.size(); ++i)
    PutObject(*f.store, "servers", IdOfOdd(i), contents[i].text);
  f.store->page_size = 10;
  f.Start(2);
  EXPECT_EQ(f.running.state->targets.size(), 2u);
  EXPECT_TRUE(f.IsServed());
  EXPECT_TRUE(f.FollowsChanges());
}

TEST(OddEntries, AddedChangedAndRemovedKeepNoVmFromFollowingTheOthers) {
  odd_fixture f;
  f.Start(2);
  const std::string good = EntryTargetRecord({"127.0.0.1", 9}, "llm", 1);
  int stopped = 0;
  const auto contents = OddContents();
  for (const odd_content& odd : contents) {
    PutObject(*f.store, "servers", "odd", odd.text);
    bool is_followed = f.FollowsChanges() && !f.Knows("odd");
    PutObject(*f.store, "servers", "odd", good);
    is_followed = f.RunUntil([&] { return f.Knows("odd"); }) && is_followed;
    PutObject(*f.store, "servers", "odd", odd.text);
    is_followed = f.RunUntil([&] { return !f.Knows("odd"); }) && is_followed;
    RemoveObject(*f.store, "servers", "odd");
    is_followed = f.FollowsChanges() && f.IsServed() && is_followed;
    EXPECT_TRUE(is_followed) << odd.name;
    // A VM that has stopped following fails with all others as well.
    stopped = is_followed ? 0 : stopped + 1;
    if (stopped == 3)
      break;
  }
}

TEST(OddEntries, OddStatusOfAGoodEntryLeavesItInUse) {
  odd_fixture f;
  f.store->objects_by_kind["servers"]["good-0"].status =
      Nested(100'000, "[", "]");
  f.store->objects_by_kind["servers"]["good-1"].status = "1e99999999999";
  f.Start(2);
  EXPECT_EQ(f.running.state->targets.size(), 2u);
  EXPECT_TRUE(f.FollowsChanges());
}

TEST(OddEntries, NamesAtTheEndsOfPagesKeepNoVmFromFollowingTheOthers) {
  odd_fixture f;
  for (const std::string_view name :
       {"a b", "a&after=z", "b#c", "c\r\nd: e", "e%41", "\xc3\xa9", "f?g/h"})
    PutObject(*f.store, "servers", std::string(name),
              EntryTargetRecord({"127.0.0.1", 9}, "llm", 1));
  f.store->page_size = 1;
  f.Start(4);
  EXPECT_TRUE(
      f.RunUntil([&] { return f.Knows("good-0") && f.Knows("good-1"); }));
  EXPECT_TRUE(f.FollowsChanges());
}

TEST(OddEntries, OfOtherKindsKeepNoVmFromFollowingTheOthers) {
  odd_fixture f;
  for (const odd_content& odd : OddContents()) {
    for (const std::string_view kind :
         {"config", "versions", "waxwing-holds", "waxwing-streams"})
      PutObject(*f.store, std::string(kind), "odd-" + odd.name, odd.text);
  }
  f.Start(2);
  EXPECT_EQ(f.running.state->table->version, 1);
  EXPECT_TRUE(f.IsServed());
  PutObject(*f.store, "config", "main", EntryConfig(2));
  PutObject(*f.store, "versions", "m", R"({"model":"m","version":3})");
  EXPECT_TRUE(f.RunUntil([&] {
    return f.running.state->table->version == 2 &&
           f.running.state->desired_weights.contains("m");
  }));
}

TEST(OddEntries, LeaseIsTakenOverWithALargerToken) {
  odd_fixture f;
  const std::string lease =
      R"({"holder":"x","incarnation":"1","fence":5,"renewals":1})";
  for (int i = 0; i < 5; ++i)
    PutObject(*f.store, "waxwing-leases", "weights", lease);
  PutObject(*f.store, "waxwing-leases", "weights", Nested(1'000, "[", "]"));
  std::vector<std::uint64_t> fences;
  f.AddTarget("e1", "llm", [&](const http_request& request) {
    if (request.target != "/api/order")
      return scripted_response{{PlainResponse(
          200, "", R"({"models":[{"name":"m","version":1}],"sequence":3})")}};
    const auto body = json::parse(request.body).as_object();
    fences.push_back(body.at("fencing_token").to_number<std::uint64_t>());
    return scripted_response{{PlainResponse(202, "", "")}};
  });
  f.Start(3);
  f.running.state->options.bounds.order_handover = milliseconds(300);
  f.running.state->lease.create_at = {};
  PutObject(*f.store, "versions", "m", R"({"model":"m","version":2})");
  for (int tries = 0; tries < 3 && fences.empty(); ++tries)
    f.RunUntil([&] { return !fences.empty(); });
  ASSERT_FALSE(fences.empty());
  EXPECT_GT(fences.front(), 5u);
}

TEST(OddEntries, StreamsOfTheOtherVmsAreReadBesideAnUnreadableObject) {
  const stream_key key{7, 8};
  odd_fixture f;
  stored_streams stored;
  stored.written = UnixNow();
  stored.builds["llm"] = {"v1"};
  stored.streams[key] = {{"llm", "v1", "good-0", 0}, 1, UnixNow()};
  PutObject(*f.store, "waxwing-streams", "vm-8", R"({"written":[1]})");
  PutObject(*f.store, "waxwing-streams", "vm-9", WriteStoredStreams(stored));
  f.Start(2);
  entry_state& state = *f.running.state;
  const auto observed_since = state.builds["llm"].observed_since;
  EXPECT_TRUE(
      RunToEnd(f.context, ReadStoredStreamsOfAll(f.running.state, false)));
  EXPECT_EQ(state.stream_records.records.count(key), 1u);
  EXPECT_EQ(state.builds["llm"].observed_since, observed_since);
}

TEST(OddEntries, OwnStreamsObjectIsReplaced) {
  odd_fixture f;
  PutObject(*f.store, "waxwing-streams", "vm-0", Nested(1'000, "[", "]"));
  for (const std::string_view build : {"v1", "v2"})
    PutObject(*f.store, "servers", std::string(build),
              EntryTargetRecord({"127.0.0.1", 9}, "llm", 1, "ready", build));
  f.Start(4);
  EXPECT_TRUE(f.RunUntil([&] {
    return ReadStoredStreams(
               f.store->objects_by_kind["waxwing-streams"]["vm-0"].spec)
        .has_value();
  }));
}

TEST(OddEntries, OfMegabytesKeepNoVmFromFollowingItsZone) {
  zone_fixture f(4);
  ASSERT_TRUE(f.WaitUntilSettled());
  f.AddTarget("good", "panel", RespondOk);
  for (std::size_t i = 0; i < 6; ++i)
    PutObject(*f.store, "servers", IdOfOdd(i),
              RecordWith("note", '"' + std::string(1'000'000, 'x') + '"'));
  EXPECT_TRUE(f.RunUntil([&] {
    return std::all_of(f.vms.begin(), f.vms.end(), [](const entry& vm) {
      return vm.state->targets.size() == 1 &&
             vm.state->targets.contains("good");
    });
  }));
  EXPECT_TRUE(f.WaitUntilSettled());
}

}  // namespace
}  // namespace testing_support
