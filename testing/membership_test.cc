// Tests of membership: records merged in any order lead to the same table.

#include "waxwing/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace waxwing {
namespace {

constexpr int kVms = 5;

std::string VmName(int index) {
  return "vm-" + std::to_string(index);
}

member MakeMember(int index, std::uint64_t incarnation = 1) {
  member out;
  out.vm = VmName(index);
  out.zone = "zone-" + std::to_string(index % 2);
  out.incarnation = incarnation;
  out.agent = {"127.0.0.1", static_cast<std::uint16_t>(1000 + index)};
  return out;
}

std::vector<membership> MakeTables(int count) {
  std::vector<membership> tables;
  tables.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    tables.push_back(MakeMembership({}, MakeMember(i), instant{}));
  return tables;
}

// Merges all records of one table into another.
void SendTable(membership& sender, membership& receiver, instant now) {
  for (const auto& [vm, record] : sender.members)
    MergeRecord(receiver, record.data, now);
}

void ExchangeAllTables(std::vector<membership>& tables, instant now) {
  for (int round = 0; round < 4; ++round) {
    for (membership& a : tables) {
      for (membership& b : tables)
        SendTable(a, b, now);
    }
  }
}

struct op {
  int kind;
  int a;
  int b;
};

RC_GTEST_PROP(MembershipFuzz, FalseSuspicionsAreRefutedAndTablesConverge, ()) {
  const auto ops = *rc::gen::container<std::vector<op>>(
      rc::gen::construct<op>(rc::gen::inRange(0, 4), rc::gen::inRange(0, kVms),
                             rc::gen::inRange(0, kVms)));
  auto tables = MakeTables(kVms);
  instant now{};
  ExchangeAllTables(tables, now);
  for (const op& o : ops) {
    now += milliseconds(300);
    membership& a = tables[static_cast<std::size_t>(o.a)];
    membership& b = tables[static_cast<std::size_t>(o.b)];
    if (o.kind == 0)
      MarkSuspected(a, VmName(o.b), now);
    else if (o.kind == 1)
      AdvanceMembership(a, now);
    else
      SendTable(a, b, now);
    // A VM never considers itself suspected or dead.
    RC_ASSERT(a.members.at(a.self).data.status == member_status::kAlive);
  }
  ExchangeAllTables(tables, now);
  for (const membership& table : tables) {
    RC_ASSERT(TableHash(table) == TableHash(tables[0]));
    for (const auto& [vm, record] : table.members)
      RC_ASSERT(record.data.status == member_status::kAlive);
  }
}

RC_GTEST_PROP(MembershipFuzz, IncarnationAndVersionNeverDecrease, ()) {
  const auto records = *rc::gen::container<std::vector<op>>(
      rc::gen::construct<op>(rc::gen::inRange(0, 4), rc::gen::inRange(1, 4),
                             rc::gen::inRange(0, 4)));
  auto tables = MakeTables(1);
  std::pair<std::uint64_t, std::uint64_t> last{0, 0};
  for (const op& o : records) {
    member record = MakeMember(1, static_cast<std::uint64_t>(o.a));
    record.version = static_cast<std::uint64_t>(o.b);
    record.status = static_cast<member_status>(o.kind);
    MergeRecord(tables[0], record, instant{});
    const member& known = tables[0].members.at(VmName(1)).data;
    const std::pair current{known.incarnation, known.version};
    RC_ASSERT(current >= last);
    last = current;
  }
}

TEST(Membership, HigherIncarnationReplacesDeadMember) {
  auto tables = MakeTables(2);
  ExchangeAllTables(tables, instant{});
  MarkSuspected(tables[0], VmName(1), instant{});
  AdvanceMembership(tables[0], instant{} + seconds(2));
  EXPECT_EQ(tables[0].members.at(VmName(1)).data.status, member_status::kDead);
  EXPECT_FALSE(MergeRecord(tables[0], MakeMember(1), instant{} + seconds(2)));
  EXPECT_TRUE(MergeRecord(tables[0], MakeMember(1, 2), instant{} + seconds(2)));
  EXPECT_EQ(tables[0].members.at(VmName(1)).data.status, member_status::kAlive);
}

TEST(Membership, LinksPerVmAreBoundedAndTheGraphIsConnected) {
  for (const int count : {2, 7, 60, 350}) {
    auto tables = MakeTables(count);
    membership full_table = tables[0];
    for (int i = 1; i < count; ++i)
      MergeRecord(full_table, MakeMember(i), instant{});
    std::map<std::string, std::set<std::string>> edges;
    for (int i = 0; i < count; ++i) {
      full_table.self = VmName(i);
      const auto links = ChooseLinks(full_table);
      EXPECT_LE(links.size(), 3u);
      for (const std::string& to : links) {
        edges[VmName(i)].insert(to);
        edges[to].insert(VmName(i));
      }
    }
    std::set<std::string> reached{VmName(0)};
    std::vector<std::string> unvisited{VmName(0)};
    while (!unvisited.empty()) {
      const std::string vm = unvisited.back();
      unvisited.pop_back();
      for (const std::string& to : edges[vm]) {
        if (reached.insert(to).second)
          unvisited.push_back(to);
      }
    }
    EXPECT_EQ(reached.size(), static_cast<std::size_t>(count));
  }
}

TEST(Membership, EntryVmsAreAliveAndOwnZoneFirst) {
  auto tables = MakeTables(kVms);
  ExchangeAllTables(tables, instant{});
  membership& table = tables[0];
  MarkSuspected(table, VmName(2), instant{});
  const auto vms = ChooseEntryVms(table, "shop-1", "zone-0", 4);
  ASSERT_EQ(vms.size(), 4u);
  EXPECT_EQ(vms[0].zone, "zone-0");
  EXPECT_EQ(vms[1].zone, "zone-0");
  for (const member& vm : vms)
    EXPECT_NE(vm.vm, VmName(2));
  EXPECT_EQ(ChooseEntryVms(tables[1], "shop-1", "zone-0", 2)[0].zone, "zone-0");
}

TEST(Membership, LosingAVmMovesOnlyItsOwnAccounts) {
  auto tables = MakeTables(kVms);
  ExchangeAllTables(tables, instant{});
  int moved = 0;
  int owned = 0;
  for (int account = 0; account < 200; ++account) {
    membership after = tables[0];
    MarkSuspected(after, VmName(3), instant{});
    const std::string name = "account-" + std::to_string(account);
    const auto before = ChooseEntryVms(tables[0], name, "", 1)[0].vm;
    const auto now = ChooseEntryVms(after, name, "", 1)[0].vm;
    owned += before == VmName(3);
    moved += before != now;
  }
  EXPECT_EQ(moved, owned);
  EXPECT_GT(owned, 0);
}

}  // namespace
}  // namespace waxwing
