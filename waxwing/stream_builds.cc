#include "waxwing/stream_builds.h"

#include <algorithm>

namespace waxwing {

bool MayContinueAt(const stream_origin& origin, const target_view& view) {
  if (view.serves != origin.service)
    return false;
  if (!origin.build.empty())
    return view.build == origin.build;
  return view.name == origin.target && view.boot_id == origin.incarnation &&
         view.build.empty();
}

bool FitsStream(const stream_needs& needs,
                const target_view& view,
                bool is_last_resort) {
  if (needs.origin)
    return MayContinueAt(*needs.origin, view);
  if (needs.told_build && view.build != *needs.told_build)
    return false;
  return !needs.begins_resumable || !view.is_build_new || is_last_resort;
}

namespace {

// Returns the build with the most targets.
std::string_view CommonestBuild(const build_counts& listed) {
  const auto found = std::max_element(
      listed.begin(), listed.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return found == listed.end() ? std::string_view() : found->first;
}

bool IsListed(const known_build& build, instant now) {
  return build.last_listed == now;
}

}  // namespace

build_history MakeFirstHistory() {
  build_history out;
  out.observed_since = instant::min();
  return out;
}

void ObserveBuilds(build_history& history,
                   const build_counts& listed,
                   std::optional<instant> complete_until,
                   duration stream_lifetime,
                   instant now) {
  if (!history.observed_since && listed.empty())
    return;
  const bool is_first = !history.observed_since.has_value();
  // In a longer gap, a build can have settled, begun streams and gone.
  const bool has_gap =
      history.complete_until &&
      (!complete_until ||
       *complete_until >= *history.complete_until + kBuildSettleTime);
  if (is_first || has_gap)
    history.observed_since = now;
  history.complete_until = complete_until;
  for (auto& [name, build] : history.builds) {
    if (listed.contains(name))
      build.last_listed = now;
  }
  std::erase_if(history.builds, [&](const auto& entry) {
    return now > entry.second.last_listed + stream_lifetime;
  });
  const bool has_other = std::any_of(
      history.builds.begin(), history.builds.end(),
      [&](const auto& entry) { return IsListed(entry.second, now); });
  const std::string_view commonest = CommonestBuild(listed);
  for (const auto& [name, count] : listed) {
    if (history.builds.contains(name))
      continue;
    // Without any other target, a stream can begin only here.
    const bool is_usable = !has_other && (is_first ? name == commonest : true);
    known_build added;
    added.usable_since = is_usable ? now : now + kBuildSettleTime;
    added.possible_since = instant::min();
    if (!is_first && complete_until)
      added.possible_since =
          *complete_until + (is_usable ? milliseconds(0) : kBuildSettleTime);
    added.last_listed = now;
    history.builds.emplace(name, added);
  }
}

void AddUsedBuild(build_history& history,
                  const std::string& build,
                  instant last_listed) {
  known_build used;
  used.usable_since = instant::min();
  used.possible_since = instant::min();
  used.last_listed = last_listed;
  const auto [known, is_new] = history.builds.emplace(build, used);
  if (is_new)
    return;
  known->second.possible_since = instant::min();
  known->second.last_listed = std::max(known->second.last_listed, last_listed);
}

std::optional<std::string> SoleBuild(const build_history& history,
                                     std::optional<instant> complete_until,
                                     duration stream_lifetime,
                                     instant now) {
  if (!history.observed_since ||
      now < *history.observed_since + stream_lifetime || !complete_until ||
      now >= *complete_until + kBuildSettleTime)
    return std::nullopt;
  const std::vector<std::string> possible = PossibleBuilds(history, now);
  if (possible.size() != 1 || possible.front().empty())
    return std::nullopt;
  return possible.front();
}

std::vector<std::string> PossibleBuilds(const build_history& history,
                                        instant now) {
  std::vector<std::string> out;
  for (const auto& [name, build] : history.builds) {
    if (build.possible_since <= now)
      out.push_back(name);
  }
  return out;
}

bool NeedsRecords(const build_history& history,
                  std::optional<instant> complete_until,
                  duration stream_lifetime,
                  instant now) {
  return history.builds.size() != 1 || !complete_until ||
         now >= *complete_until + kMaxListAge ||
         !SoleBuild(history, complete_until, stream_lifetime, now);
}

stream_key StreamKey(std::string_view account, std::string_view request_id) {
  return Hash128({account, request_id});
}

bool RecordStream(stream_table& table,
                  const stream_key& key,
                  const stream_record& record,
                  instant now) {
  const auto [found, is_new] = table.records.emplace(key, record);
  if (!is_new && found->second.attempt >= record.attempt)
    return false;
  found->second = record;
  if (!is_new)
    return true;
  table.added.emplace_back(now, key);
  if (table.added.size() > kMaxStreamRecords) {
    table.records.erase(table.added.front().second);
    table.added.pop_front();
  }
  return true;
}

const stream_record* FindStream(const stream_table& table,
                                const stream_key& key) {
  const auto found = table.records.find(key);
  return found == table.records.end() ? nullptr : &found->second;
}

void AgeStreams(stream_table& table, duration stream_lifetime, instant now) {
  while (!table.added.empty() &&
         now > table.added.front().first + stream_lifetime) {
    table.records.erase(table.added.front().second);
    table.added.pop_front();
  }
}

namespace {

// A VM that may keep records, with its rendezvous weight.
struct keeper {
  std::uint64_t weight = 0;
  const member* vm = nullptr;
};

void SortByWeight(std::vector<keeper>& keepers) {
  std::sort(
      keepers.begin(), keepers.end(), [](const keeper& a, const keeper& b) {
        return std::pair(a.weight, a.vm->vm) > std::pair(b.weight, b.vm->vm);
      });
}

// Returns the first `count` keepers, taking one of each zone before a second
// one of any.
std::vector<keeper> SpreadOverZones(std::vector<keeper> keepers,
                                    std::size_t count) {
  SortByWeight(keepers);
  std::vector<keeper> out;
  while (out.size() < count && !keepers.empty()) {
    std::vector<keeper> left;
    std::vector<std::string_view> zones;
    for (const keeper& candidate : keepers) {
      const bool is_zone_taken = std::find(zones.begin(), zones.end(),
                                           candidate.vm->zone) != zones.end();
      if (is_zone_taken || out.size() >= count) {
        left.push_back(candidate);
        continue;
      }
      zones.emplace_back(candidate.vm->zone);
      out.push_back(candidate);
    }
    keepers = std::move(left);
  }
  return out;
}

}  // namespace

std::vector<std::string> ChooseRecordKeepers(const membership& table,
                                             const stream_key& key,
                                             std::size_t count) {
  const std::uint64_t pool_key = Hash64("stream record keepers");
  std::vector<keeper> keepers;
  for (const auto& [vm, record] : table.members) {
    if (record.data.status == member_status::kAlive ||
        record.data.status == member_status::kSuspected)
      keepers.push_back({RendezvousWeight(pool_key, Hash64(vm)), &record.data});
  }
  keepers = SpreadOverZones(std::move(keepers), kMaxRecordKeepers);
  std::erase_if(keepers, [&](const keeper& candidate) {
    return candidate.vm->vm == table.self;
  });
  for (keeper& candidate : keepers)
    candidate.weight = RendezvousWeight(key.low, Hash64(candidate.vm->vm));
  std::vector<std::string> out;
  for (const keeper& chosen : SpreadOverZones(std::move(keepers), count))
    out.push_back(chosen.vm->vm);
  return out;
}

std::size_t CountOtherVms(const membership& table, instant since) {
  return static_cast<std::size_t>(std::count_if(
      table.members.begin(), table.members.end(), [&](const auto& entry) {
        const member_record& record = entry.second;
        return entry.first != table.self &&
               (IsPresent(record.data) || record.status_since >= since);
      }));
}

bool HasEnoughReplies(const stream_replies& replies, std::size_t other_vms) {
  if (other_vms == 0)
    return true;
  const std::size_t asked = std::min(other_vms, kRecordQueries);
  return replies.has_keeper && 2 * replies.count >= asked;
}

bool Agree(const stream_replies& replies) {
  std::set<std::string> builds = replies.possible_builds;
  builds.insert(replies.sole_builds.begin(), replies.sole_builds.end());
  return builds.size() <= 1;
}

std::optional<std::string> ConcludeBuild(
    const stream_replies& replies,
    const std::optional<std::string>& own_sole_build,
    std::span<const std::string> own_possible_builds,
    std::size_t other_vms) {
  stream_replies all = replies;
  all.possible_builds.insert(own_possible_builds.begin(),
                             own_possible_builds.end());
  if (own_sole_build)
    all.sole_builds.insert(*own_sole_build);
  if (!HasEnoughReplies(replies, other_vms) || all.sole_builds.size() != 1 ||
      !Agree(all))
    return std::nullopt;
  return *all.sole_builds.begin();
}

}  // namespace waxwing
