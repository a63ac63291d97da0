#include "waxwing/intent.h"

#include <algorithm>
#include <boost/json.hpp>

#include "waxwing/json.h"
#include "waxwing/settings.h"

namespace waxwing {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMostTokens = 1'000'000'000;
constexpr std::int64_t kLargestTime = std::int64_t{1} << 53;

// The first thing wrong with an intent; empty if it was applied.
using problem = std::string;
using intent_applier = problem (*)(const json::object&, config&);

// Reads a required text into `out`; false, with the problem noted, if not
// there.
bool Take(const json::object& from,
          std::string_view field,
          std::string& out,
          problem& wrong) {
  auto read = ReadText(from, field);
  if (!read)
    wrong = ToText(read.error());
  else
    out = std::move(*read);
  return read.has_value();
}

bool Take(const json::object& from,
          std::string_view field,
          std::int64_t minimum,
          std::int64_t maximum,
          std::int64_t& out,
          problem& wrong) {
  const auto read = ReadInteger(from, field, minimum, maximum);
  if (!read)
    wrong = ToText(read.error());
  else
    out = *read;
  return read.has_value();
}

account_config* FindAccount(const json::object& from,
                            config& all,
                            problem& wrong) {
  std::string name;
  if (!Take(from, "account", name, wrong))
    return nullptr;
  const auto found = all.accounts.find(name);
  if (found == all.accounts.end()) {
    wrong = "there is no client account " + name;
    return nullptr;
  }
  return &found->second;
}

problem PinAccount(const json::object& from, config& all) {
  problem wrong;
  std::string model;
  std::string version;
  account_config* account = FindAccount(from, all, wrong);
  if (account && Take(from, "model", model, wrong) &&
      Take(from, "version", version, wrong))
    account->pins[model] = version;
  return wrong;
}

problem UnpinAccount(const json::object& from, config& all) {
  problem wrong;
  std::string model;
  account_config* account = FindAccount(from, all, wrong);
  if (account && Take(from, "model", model, wrong))
    account->pins.erase(model);
  return wrong;
}

bool TakeLimits(const json::object& from,
                account_config& account,
                problem& wrong) {
  return Take(from, "tokens_per_second", 0, kMostTokens,
              account.tokens_per_second, wrong) &&
         Take(from, "burst_tokens", 0, kMostTokens, account.burst_tokens,
              wrong);
}

problem LimitAccount(const json::object& from, config& all) {
  problem wrong;
  account_config* account = FindAccount(from, all, wrong);
  if (account)
    TakeLimits(from, *account, wrong);
  return wrong;
}

problem RaisePriority(const json::object& from, config& all) {
  problem wrong;
  std::int64_t priority = 0;
  account_config* account = FindAccount(from, all, wrong);
  if (account &&
      Take(from, "priority", kLowestPriority, kHighestPriority, priority,
           wrong) &&
      Take(from, "until", 0, kLargestTime, account->raised_until, wrong))
    account->raised_priority = static_cast<int>(priority);
  return wrong;
}

problem AddAccount(const json::object& from, config& all) {
  problem wrong;
  account_config account;
  std::int64_t priority = kDefaultPriority;
  if (!Take(from, "account", account.name, wrong) ||
      !Take(from, "key", account.key, wrong) ||
      !TakeLimits(from, account, wrong) ||
      !Take(from, "priority", kLowestPriority, kHighestPriority, priority,
            wrong))
    return wrong;
  account.priority = static_cast<int>(priority);
  if (all.accounts.contains(account.name))
    return "client account " + account.name + " is there already";
  all.accounts[account.name] = account;
  return wrong;
}

problem AddTarget(const json::object& from, config& all) {
  problem wrong;
  target_config target;
  std::string kind;
  std::string address;
  if (!Take(from, "target", target.name, wrong) ||
      !Take(from, "target_kind", kind, wrong) ||
      !Take(from, "address", address, wrong) ||
      !Take(from, "zone", target.zone, wrong) ||
      !Take(from, "serves", target.serves, wrong))
    return wrong;
  if (kind != "model" && kind != "application")
    return "target_kind: must be model or application";
  const auto parsed = ParseEndpoint(address);
  if (!parsed)
    return "address: " + parsed.error();
  target.kind = kind == "model" ? target_kind::kModelWorker
                                : target_kind::kApplicationWorker;
  target.address = *parsed;
  target.version = ReadTextOr(from, "version", "").value_or("");
  if (all.targets.contains(target.name))
    return "target " + target.name + " is there already";
  all.targets[target.name] = target;
  return wrong;
}

problem RemoveTarget(const json::object& from, config& all) {
  problem wrong;
  std::string name;
  if (!Take(from, "target", name, wrong))
    return wrong;
  const auto found = all.targets.find(name);
  if (found == all.targets.end())
    return "there is no target " + name;
  if (found->second.leaving)
    return "target " + name + " is leaving already";
  found->second.leaving = true;
  return wrong;
}

// Gives `version` the share `percent`; the other versions keep the rest in
// their old proportions, the largest one taking what rounding leaves.
void SetShare(model_config& model, const std::string& version, int percent) {
  std::erase_if(model.versions, [&](const version_share& share) {
    return share.version == version;
  });
  int old_total = 0;
  for (const version_share& share : model.versions)
    old_total += share.percent;
  int left = 100 - percent;
  for (version_share& share : model.versions) {
    share.percent =
        old_total == 0 ? 0 : share.percent * (100 - percent) / old_total;
    left -= share.percent;
  }
  if (!model.versions.empty()) {
    const auto largest =
        std::max_element(model.versions.begin(), model.versions.end(),
                         [](const version_share& a, const version_share& b) {
                           return a.percent < b.percent;
                         });
    largest->percent += left;
  }
  // The new version stands last, so that the accounts of a growing share stay.
  model.versions.push_back({version, percent});
}

// Lets as many targets run the version as its share asks for, at least one if
// the share is not zero.
void AssignTargets(config& all, const model_config& model) {
  std::vector<target_config*> workers;
  for (auto& [name, target] : all.targets) {
    if (target.serves == model.name && !target.leaving &&
        target.kind == target_kind::kModelWorker)
      workers.push_back(&target);
  }
  const version_share& fresh = model.versions.back();
  const std::size_t count = workers.size();
  std::size_t wanted =
      (count * static_cast<std::size_t>(fresh.percent) + 99) / 100;
  if (fresh.percent < 100 && wanted == count && count > 0)
    --wanted;
  std::size_t running = static_cast<std::size_t>(std::count_if(
      workers.begin(), workers.end(),
      [&](const auto* target) { return target->version == fresh.version; }));
  for (target_config* target : workers) {
    if (running < wanted && target->version != fresh.version) {
      target->version = fresh.version;
      ++running;
    } else if (running > wanted && target->version == fresh.version) {
      target->version = model.versions.front().version;
      --running;
    }
  }
}

problem RollOut(const json::object& from, config& all) {
  problem wrong;
  std::string name;
  std::string version;
  std::int64_t percent = 0;
  if (!Take(from, "model", name, wrong) ||
      !Take(from, "version", version, wrong) ||
      !Take(from, "percent", 0, 100, percent, wrong))
    return wrong;
  const auto found = all.models.find(name);
  if (found == all.models.end())
    return "there is no model " + name;
  if (found->second.versions.size() == 1 &&
      found->second.versions[0].version == version && percent != 100)
    return "version " + version + " is the only one of model " + name;
  SetShare(found->second, version, static_cast<int>(percent));
  AssignTargets(all, found->second);
  return wrong;
}

problem Import(const json::object& from, config& all) {
  const json::value* whole = from.if_contains("config");
  if (!whole || !whole->is_object())
    return "config: must be an object";
  config fresh;
  fresh.generation = all.generation;
  const auto read = ReadShard(json::serialize(*whole), fresh);
  if (!read)
    return read.error().message;
  all = std::move(fresh);
  return {};
}

struct intent_kind {
  std::string_view name;
  intent_applier apply;
};

constexpr intent_kind kIntentKinds[] = {
    {"pin_account", PinAccount},
    {"unpin_account", UnpinAccount},
    {"limit_account", LimitAccount},
    {"raise_priority", RaisePriority},
    {"add_account", AddAccount},
    {"add_target", AddTarget},
    {"remove_target", RemoveTarget},
    {"roll_out", RollOut},
    {"import", Import},
};

void DescribeTargets(const config& before,
                     const config& after,
                     std::vector<std::string>& lines) {
  for (const auto& [name, target] : after.targets) {
    const auto old = before.targets.find(name);
    if (old == before.targets.end()) {
      lines.push_back("target " + name + " joins in zone " + target.zone +
                      " for " + target.serves + "; its cache is cold");
      continue;
    }
    if (target.leaving && !old->second.leaving)
      lines.push_back("target " + name + " leaves: no new work; what it has " +
                      "cached will be computed again elsewhere");
    if (target.version != old->second.version)
      lines.push_back("target " + name + " loads version " + target.version +
                      " in place of " + old->second.version +
                      "; its cache turns cold");
  }
  for (const auto& [name, target] : before.targets) {
    if (!after.targets.contains(name))
      lines.push_back("target " + name + " is no longer configured");
  }
}

void DescribeModels(const config& before,
                    const config& after,
                    std::vector<std::string>& lines) {
  for (const auto& [name, model] : after.models) {
    const auto old = before.models.find(name);
    if (old != before.models.end() && old->second == model)
      continue;
    std::string line = "model " + name + " is served as";
    for (const version_share& share : model.versions)
      line += " " + share.version + " (" + std::to_string(share.percent) + "%)";
    lines.push_back(line);
  }
}

std::string DescribeAccount(const account_config& old,
                            const account_config& fresh) {
  std::string line;
  if (fresh.tokens_per_second != old.tokens_per_second ||
      fresh.burst_tokens != old.burst_tokens)
    line += " limit " + std::to_string(fresh.tokens_per_second) +
            " tokens/s, burst " + std::to_string(fresh.burst_tokens) + ";";
  if (fresh.raised_priority != old.raised_priority ||
      fresh.raised_until != old.raised_until)
    line += " priority " + std::to_string(fresh.raised_priority) + " until " +
            std::to_string(fresh.raised_until) + ";";
  if (fresh.priority != old.priority)
    line += " priority " + std::to_string(fresh.priority) + ";";
  if (fresh.pins != old.pins) {
    line += " versions";
    for (const auto& [model, version] : fresh.pins)
      line += " " + model + "=" + version;
    line += fresh.pins.empty() ? " by share;" : ";";
    line += " its cached prefixes of other versions are lost to it;";
  }
  return line;
}

void DescribeAccounts(const config& before,
                      const config& after,
                      std::vector<std::string>& lines) {
  std::size_t added = 0;
  for (const auto& [name, account] : after.accounts) {
    const auto old = before.accounts.find(name);
    if (old == before.accounts.end()) {
      ++added;
      continue;
    }
    const std::string line = DescribeAccount(old->second, account);
    if (!line.empty())
      lines.push_back("client account " + name + ":" + line);
  }
  if (added > 0)
    lines.push_back(std::to_string(added) + " client accounts are added");
  std::size_t removed = 0;
  for (const auto& [name, account] : before.accounts)
    removed += !after.accounts.contains(name);
  if (removed > 0)
    lines.push_back(std::to_string(removed) + " client accounts are removed");
}

}  // namespace

tl::expected<config, config_error> ApplyIntent(const config& before,
                                               std::string_view intent) {
  const auto parsed = ParseObject(intent);
  if (!parsed)
    return tl::unexpected(
        config_error{config_failure::kMalformed, ToText(parsed.error())});
  const std::string kind = ReadTextOr(*parsed, "kind", "").value_or("");
  const auto found =
      std::find_if(std::begin(kIntentKinds), std::end(kIntentKinds),
                   [&](const intent_kind& k) { return k.name == kind; });
  if (found == std::end(kIntentKinds))
    return tl::unexpected(
        config_error{config_failure::kMalformed, "kind: is not known"});
  config after = before;
  after.generation = before.generation + 1;
  const problem wrong = found->apply(*parsed, after);
  after.generation = before.generation + 1;
  if (!wrong.empty())
    return tl::unexpected(config_error{config_failure::kMalformed, wrong});
  if (const auto checked = CheckConfig(after); !checked)
    return tl::unexpected(checked.error());
  return after;
}

std::vector<std::string> DescribeChange(const config& before,
                                        const config& after) {
  std::vector<std::string> lines;
  DescribeModels(before, after, lines);
  DescribeTargets(before, after, lines);
  DescribeAccounts(before, after, lines);
  for (const auto& [name, service] : after.services) {
    if (!before.services.contains(name))
      lines.push_back("service " + name + " is added");
  }
  if (lines.empty())
    lines.push_back("nothing changes");
  return lines;
}

}  // namespace waxwing
