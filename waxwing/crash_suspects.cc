#include "waxwing/crash_suspects.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <iterator>

namespace waxwing {
namespace {

namespace json = boost::json;

// A key is held after this many ends, of which at least so many were ends of
// trials.
constexpr std::size_t kEndsToHold = 3;
constexpr std::size_t kMinTrialsToHold = 2;
// Probability that all trials of a key ended their targets by chance, at the
// pace at which targets end without it.
constexpr double kMaxChance = 1e-5;
// Trials that are needed for a key that has survived before on these weights.
constexpr std::size_t kTrialsAgainstProven = 8;
constexpr duration kTrialTime = milliseconds(250);
constexpr duration kMinObservation = seconds(1);
constexpr double kMinEndChance = 0.001;
constexpr double kMaxEndChance = 0.5;
// Several requests with a key may be running when it is first suspected, so
// that a single trial has to confirm many ends.
constexpr std::size_t kManyEnds = 4;
constexpr std::size_t kTrialsAfterManyEnds = 1;
constexpr std::int64_t kLargestNumber = std::int64_t{1} << 53;
constexpr std::size_t kMaxListedTargets = 16;
constexpr std::string_view kIssuerTask = "trials/";

bool Contains(std::span<const suspect_key> keys, const suspect_key& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

std::int64_t NewestWeights(const suspect_table& table,
                           const std::vector<end_id>& ends) {
  std::int64_t out = 0;
  for (const end_id& id : ends)
    out = std::max(out, table.ends.at(id).facts.weights_version);
  return out;
}

bool HasSurvived(const survival_map& survivals,
                 const suspect_key& key,
                 std::int64_t weights_version) {
  const auto found = survivals.find(key);
  return found != survivals.end() && found->second >= weights_version;
}

bool IsSuspected(const suspect_table& table, const suspect_key& key) {
  const auto found = table.suspects.find(key);
  if (found == table.suspects.end())
    return false;
  if (found->second.size() >= kEndsAgainstSurvival)
    return true;
  const std::int64_t weights = NewestWeights(table, found->second);
  return !HasSurvived(table.recent, key, weights) &&
         !HasSurvived(table.earlier, key, weights);
}

// True if the key has survived within kProvenMemory.
bool IsProven(const suspect_table& table,
              const suspect_key& key,
              std::int64_t weights_version) {
  return HasSurvived(table.recent, key, weights_version) ||
         HasSurvived(table.earlier, key, weights_version) ||
         HasSurvived(table.proven, key, weights_version) ||
         HasSurvived(table.proven_earlier, key, weights_version);
}

const hold* FindHold(const suspect_table& table, const suspect_key& key) {
  const auto found = table.holds.find(key);
  return found == table.holds.end() || found->second.is_lifted ? nullptr
                                                               : &found->second;
}

// True if a request with these keys shows which of the companions is the cause.
bool TellsApart(const hold& held, std::span<const suspect_key> keys) {
  return std::any_of(
      held.companions.begin(), held.companions.end(),
      [&](const suspect_key& other) { return !Contains(keys, other); });
}

suspicion CheckKey(const suspect_table& table,
                   const suspect_key& key,
                   std::span<const suspect_key> keys) {
  if (const hold* held = FindHold(table, key))
    return TellsApart(*held, keys) ? suspicion::kSuspected : suspicion::kHeld;
  return IsSuspected(table, key) ? suspicion::kSuspected : suspicion::kNone;
}

// Lifts the hold of a key that has survived. Returns true if there was one.
bool LiftAfterSurvival(suspect_table& table, const suspect_key& key) {
  const auto found = table.holds.find(key);
  if (found == table.holds.end() || found->second.is_lifted)
    return false;
  found->second.is_lifted = true;
  ++found->second.sequence;
  return true;
}

// Confirms the hold of a key whose trial without its companions has ended a
// target.
void ConfirmAfterEnd(suspect_table& table,
                     const suspect_key& key,
                     const target_end& end) {
  const auto found = table.holds.find(key);
  if (found == table.holds.end() || found->second.is_lifted)
    return;
  const auto& companions = found->second.companions;
  if (std::all_of(
          companions.begin(), companions.end(),
          [&](const suspect_key& other) { return end.keys.contains(other); }))
    return;
  found->second.companions.clear();
  ++found->second.sequence;
}

void ForgetEnd(suspect_table& table, const end_id& id) {
  for (auto entry = table.suspects.begin(); entry != table.suspects.end();) {
    std::erase(entry->second, id);
    entry =
        entry->second.empty() ? table.suspects.erase(entry) : std::next(entry);
  }
  table.ends.erase(id);
}

void ForgetOldestEnd(suspect_table& table) {
  const auto oldest = std::min_element(
      table.ends.begin(), table.ends.end(),
      [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
  ForgetEnd(table, end_id(oldest->first));
}

// Removes the ends that a survival on this weights version explains otherwise.
// Returns true if there were any.
bool ClearEnds(suspect_table& table,
               const suspect_key& key,
               std::int64_t weights_version) {
  const auto found = table.suspects.find(key);
  if (found == table.suspects.end())
    return false;
  const std::size_t removed =
      std::erase_if(found->second, [&](const end_id& id) {
        return table.ends.at(id).facts.weights_version <= weights_version;
      });
  if (found->second.empty())
    table.suspects.erase(found);
  return removed > 0;
}

// Returns true if the survival changes what is known.
bool AddSurvival(suspect_table& table,
                 const suspect_key& key,
                 std::int64_t weights_version) {
  bool has_changed = LiftAfterSurvival(table, key);
  has_changed = ClearEnds(table, key, weights_version) || has_changed;
  const auto found = table.recent.find(key);
  if (found == table.recent.end()) {
    if (table.recent.size() >= kMaxSurvivals)
      return has_changed;
    table.recent.emplace(key, weights_version);
    return true;
  }
  if (found->second >= weights_version)
    return has_changed;
  found->second = weights_version;
  return true;
}

std::size_t CountTrials(const suspect_table& table,
                        const suspect_key& key,
                        const std::vector<end_id>& ends) {
  return static_cast<std::size_t>(
      std::count_if(ends.begin(), ends.end(), [&](const end_id& id) {
        return table.ends.at(id).facts.trial_keys.contains(key);
      }));
}

// Returns the keys other than `key` that have been at several ends, one of them
// that of a trial.
std::vector<suspect_key> OtherStrongSuspects(const suspect_table& table,
                                             const suspect_key& key) {
  std::vector<suspect_key> out;
  for (const auto& [other, ends] : table.suspects) {
    if (other != key && ends.size() >= kEndsToHold &&
        CountTrials(table, other, ends) > 0)
      out.push_back(other);
  }
  return out;
}

// Returns the number of ends of the service since `since` that involve neither
// the key nor another strong suspect.
std::size_t CountOtherEnds(const suspect_table& table,
                           std::string_view service,
                           const suspect_key& key,
                           instant since) {
  const auto strong = OtherStrongSuspects(table, key);
  const auto involves = [](const recorded_end& end, const suspect_key& other) {
    return end.facts.keys.contains(other);
  };
  return static_cast<std::size_t>(std::count_if(
      table.ends.begin(), table.ends.end(), [&](const auto& entry) {
        const recorded_end& end = entry.second;
        return end.facts.service == service && end.at >= since &&
               !involves(end, key) &&
               std::none_of(strong.begin(), strong.end(),
                            [&](const suspect_key& other) {
                              return involves(end, other);
                            });
      }));
}

// Returns the number of trials that must have ended targets for a key to be the
// cause, if `others` of `targets` ended without it within `observed`.
std::size_t TrialsNeeded(std::size_t others,
                         std::size_t targets,
                         duration observed) {
  const double ends_per_second =
      static_cast<double>(others) /
      static_cast<double>(std::max<std::size_t>(1, targets)) /
      ToSeconds(std::max(observed, kMinObservation));
  const double chance = std::clamp(ends_per_second * ToSeconds(kTrialTime),
                                   kMinEndChance, kMaxEndChance);
  return std::max(kMinTrialsToHold,
                  static_cast<std::size_t>(
                      std::ceil(std::log(kMaxChance) / std::log(chance))));
}

// True if these ends suffice to hold the key.
bool IsCause(const suspect_table& table,
             const service_view& service,
             const suspect_key& key,
             const std::vector<end_id>& ends,
             instant now) {
  const instant first = table.ends.at(ends.front()).at;
  const std::size_t trials = CountTrials(table, key, ends);
  if (IsProven(table, key, NewestWeights(table, ends)) &&
      trials < kTrialsAgainstProven)
    return false;
  const std::size_t others = CountOtherEnds(table, service.name, key, first);
  if (ends.size() >= kManyEnds && trials >= kTrialsAfterManyEnds &&
      2 * others <= ends.size())
    return true;
  return ends.size() >= kEndsToHold &&
         trials >= TrialsNeeded(others, service.targets, now - first);
}

bool IsSubset(const std::vector<end_id>& a, const std::vector<end_id>& b) {
  return std::all_of(a.begin(), a.end(), [&](const end_id& id) {
    return std::find(b.begin(), b.end(), id) != b.end();
  });
}

using key_set = std::set<suspect_key>;

key_set HeldKeys(const suspect_table& table, std::string_view service) {
  key_set out;
  for (const auto& [key, record] : table.holds) {
    if (!record.is_lifted && record.service == service)
      out.insert(key);
  }
  return out;
}

// Returns the ends of a key that involve none of the other `causes`. A cause
// that was only at ends of the key explains nothing.
std::vector<end_id> UnexplainedEnds(const suspect_table& table,
                                    const key_set& causes,
                                    const suspect_key& key) {
  std::vector<end_id> out = table.suspects.at(key);
  for (const suspect_key& other : causes) {
    const auto found = table.suspects.find(other);
    if (other == key || found == table.suspects.end() ||
        IsSubset(found->second, table.suspects.at(key)))
      continue;
    std::erase_if(out, [&](const end_id& id) {
      return table.ends.at(id).facts.keys.contains(other);
    });
  }
  return out;
}

// Lifts the holds of keys all of whose ends involve other held keys, and adds
// them to `changed`.
void LiftExplainedHolds(suspect_table& table,
                        std::string_view service,
                        std::vector<hold>& changed) {
  const key_set held = HeldKeys(table, service);
  for (const suspect_key& key : held) {
    if (!table.suspects.contains(key) ||
        !UnexplainedEnds(table, held, key).empty())
      continue;
    hold& record = table.holds.at(key);
    record.is_lifted = true;
    ++record.sequence;
    changed.push_back(record);
  }
}

hold MakeHold(const suspect_table& table,
              std::string_view service,
              const suspect_key& key,
              const std::vector<end_id>& ends,
              unix_ms wall_clock) {
  hold out;
  out.key = key;
  out.service = std::string(service);
  const auto earlier = table.holds.find(key);
  out.sequence =
      earlier == table.holds.end() ? 1 : earlier->second.sequence + 1;
  for (const end_id& id : ends) {
    if (out.targets.size() < kMaxListedTargets)
      out.targets.push_back(id.first);
  }
  out.since = wall_clock;
  return out;
}

}  // namespace

suspect_key SegmentKey(std::string_view service, std::uint64_t segment) {
  return {Hash64(service), segment};
}

suspicion CheckKeys(const suspect_table& table,
                    std::span<const suspect_key> keys) {
  suspicion out = suspicion::kNone;
  if (table.suspects.empty() && table.holds.empty())
    return out;
  for (const suspect_key& key : keys)
    out = std::max(out, CheckKey(table, key, keys));
  return out;
}

std::vector<suspect_key> KeysOnTrial(const suspect_table& table,
                                     std::span<const suspect_key> keys) {
  std::vector<suspect_key> out;
  for (const suspect_key& key : keys) {
    if (CheckKey(table, key, keys) == suspicion::kSuspected)
      out.push_back(key);
  }
  return out;
}

std::vector<suspect_key> RecordSurvival(suspect_table& table,
                                        std::span<const suspect_key> keys,
                                        std::int64_t weights_version,
                                        instant now) {
  AgeSuspects(table, now);
  const auto is_restricted = [&](const suspect_key& key) {
    return IsSuspected(table, key) || FindHold(table, key) != nullptr;
  };
  std::vector<suspect_key> cleared;
  for (const suspect_key& key : keys) {
    const bool was_restricted = is_restricted(key);
    AddSurvival(table, key, weights_version);
    if (was_restricted && !is_restricted(key))
      cleared.push_back(key);
  }
  return cleared;
}

bool MergeSurvival(suspect_table& table,
                   const suspect_key& key,
                   std::int64_t weights_version,
                   instant now) {
  AgeSuspects(table, now);
  return AddSurvival(table, key, weights_version);
}

bool RecordEnd(suspect_table& table, const target_end& end, instant now) {
  const end_id id{end.target, end.incarnation};
  if (!table.ends.contains(id) && table.ends.size() >= kMaxEnds)
    ForgetOldestEnd(table);
  const auto [entry, is_new] = table.ends.try_emplace(id);
  recorded_end& known = entry->second;
  bool is_news = is_new;
  if (is_new) {
    known.facts = end;
    known.facts.keys.clear();
    known.facts.trial_keys.clear();
    known.at = now;
  }
  known.facts.weights_version =
      std::max(known.facts.weights_version, end.weights_version);
  for (const suspect_key& key : end.keys) {
    if (known.facts.keys.size() >= kMaxKeysPerEnd ||
        !known.facts.keys.insert(key).second)
      continue;
    table.suspects[key].push_back(id);
    is_news = true;
  }
  for (const suspect_key& key : end.trial_keys) {
    if (!known.facts.keys.contains(key) ||
        !known.facts.trial_keys.insert(key).second)
      continue;
    ConfirmAfterEnd(table, key, known.facts);
    is_news = true;
  }
  return is_news;
}

void AgeSuspects(suspect_table& table, instant now) {
  if (now - table.proven_start >= kProvenMemory ||
      table.proven.size() >= kMaxSurvivals) {
    table.proven_earlier = std::exchange(table.proven, {});
    table.proven_start = now;
  }
  if (now - table.period_start >= kSurvivalMemory) {
    for (const auto& [key, weights_version] : table.earlier)
      table.proven.insert_or_assign(key, weights_version);
    table.earlier = std::exchange(table.recent, {});
    table.period_start = now;
    while (!table.ends.empty()) {
      const auto old = std::find_if(table.ends.begin(), table.ends.end(),
                                    [&](const auto& entry) {
                                      return now - entry.second.at > kEndMemory;
                                    });
      if (old == table.ends.end())
        break;
      ForgetEnd(table, end_id(old->first));
    }
  }
}

bool StartTrial(suspect_table& table,
                std::vector<suspect_key>& keys,
                std::string_view holder,
                std::uint64_t number,
                instant now) {
  std::erase_if(table.trials,
                [&](const auto& entry) { return now >= entry.second.until; });
  const std::vector<suspect_key> all = keys;
  std::erase_if(keys, [&](const suspect_key& key) {
    return CheckKey(table, key, all) == suspicion::kNone &&
           (table.recent.contains(key) || table.earlier.contains(key));
  });
  const bool is_busy = std::any_of(
      keys.begin(), keys.end(),
      [&](const suspect_key& key) { return table.trials.contains(key); });
  if (is_busy)
    return false;
  for (const suspect_key& key : keys)
    table.trials[key] = {std::string(holder), number, now + kTrialTimeout};
  return true;
}

void EndTrial(suspect_table& table,
              std::string_view holder,
              std::uint64_t number) {
  std::erase_if(table.trials, [&](const auto& entry) {
    return entry.second.holder == holder && entry.second.number == number;
  });
}

std::vector<hold> DecideHolds(suspect_table& table,
                              const service_view& service,
                              instant now,
                              unix_ms wall_clock) {
  std::vector<hold> out;
  key_set causes = HeldKeys(table, service.name);
  for (const auto& [key, ends] : table.suspects) {
    if (table.ends.at(ends.front()).facts.service != service.name ||
        causes.contains(key))
      continue;
    const auto unexplained = UnexplainedEnds(table, causes, key);
    if (!unexplained.empty() &&
        IsCause(table, service, key, unexplained, now) &&
        table.holds.size() < kMaxHolds)
      out.push_back(MakeHold(table, service.name, key, ends, wall_clock));
  }
  for (const hold& added : out)
    causes.insert(added.key);
  std::erase_if(out, [&](const hold& added) {
    return UnexplainedEnds(table, causes, added.key).empty();
  });
  for (hold& added : out) {
    for (const hold& other : out) {
      if (other.key != added.key &&
          table.suspects.at(other.key) == table.suspects.at(added.key))
        added.companions.push_back(other.key);
    }
  }
  for (const hold& added : out)
    table.holds[added.key] = added;
  LiftExplainedHolds(table, service.name, out);
  return out;
}

bool MergeHold(suspect_table& table, const hold& other) {
  const auto found = table.holds.find(other.key);
  if (found == table.holds.end()) {
    if (table.holds.size() >= kMaxHolds)
      return false;
    table.holds[other.key] = other;
    return true;
  }
  const hold& known = found->second;
  const bool is_newer =
      other.sequence > known.sequence ||
      (other.sequence == known.sequence && other.is_lifted && !known.is_lifted);
  if (is_newer)
    found->second = other;
  // The evidence of a hold that operators lift does not count again.
  if (is_newer && other.is_lifted)
    table.suspects.erase(other.key);
  return is_newer;
}

std::string ChooseTrialIssuer(const membership& table,
                              std::string_view service) {
  return ChooseVmForTask(table, std::string(kIssuerTask) + std::string(service),
                         "");
}

std::string WriteHold(const hold& record) {
  json::array companions;
  for (const suspect_key& key : record.companions)
    companions.emplace_back(ToHex(key));
  json::array targets;
  for (const std::string& target : record.targets)
    targets.emplace_back(target);
  return json::serialize(json::object{{"key", ToHex(record.key)},
                                      {"service", record.service},
                                      {"sequence", record.sequence},
                                      {"lifted", record.is_lifted},
                                      {"companions", std::move(companions)},
                                      {"targets", std::move(targets)},
                                      {"since", record.since}});
}

tl::expected<hold, json_error> ReadHold(std::string_view text) {
  const auto parsed = ParseObject(text);
  if (!parsed)
    return tl::unexpected(parsed.error());
  const auto key = ReadString(*parsed, "key");
  if (!key)
    return tl::unexpected(key.error());
  const auto service = ReadString(*parsed, "service");
  if (!service)
    return tl::unexpected(service.error());
  const auto sequence = ReadInteger(*parsed, "sequence", 1, kLargestNumber);
  if (!sequence)
    return tl::unexpected(sequence.error());
  const auto is_lifted = ReadBoolOr(*parsed, "lifted", false);
  if (!is_lifted)
    return tl::unexpected(is_lifted.error());
  const auto since = ReadIntegerOr(*parsed, "since", 0, kLargestNumber, 0);
  if (!since)
    return tl::unexpected(since.error());
  hold out;
  const auto parsed_key = ParseHash128(*key);
  if (!parsed_key)
    return tl::unexpected(json_error{"key", "is no key"});
  out.key = *parsed_key;
  out.service = *service;
  out.sequence = static_cast<std::uint64_t>(*sequence);
  out.is_lifted = *is_lifted;
  out.since = *since;
  if (const json::array* companions = FindArray(*parsed, "companions")) {
    for (const json::value& entry : *companions) {
      const auto companion =
          entry.is_string() ? ParseHash128(entry.get_string()) : std::nullopt;
      if (!companion)
        return tl::unexpected(json_error{"companions", "has no key"});
      out.companions.push_back(*companion);
    }
  }
  if (const json::array* targets = FindArray(*parsed, "targets")) {
    for (const json::value& entry : *targets) {
      if (entry.is_string())
        out.targets.emplace_back(entry.get_string());
    }
  }
  return out;
}

}  // namespace waxwing
