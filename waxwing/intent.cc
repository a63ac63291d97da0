#include "waxwing/intent.h"

#include <algorithm>
#include <boost/json.hpp>

#include "waxwing/json.h"
#include "waxwing/settings.h"

namespace waxwing {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxTokens = 1'000'000'000;
constexpr std::int64_t kMaxUnixMs = std::int64_t{1} << 53;

// The first error found in an intent; empty if it was applied.
using error_text = std::string;
using intent_applier = error_text (*)(const json::object&, config&);

// Reads a required string field into `out`. Returns false and sets `error` if
// it is missing or not a string.
bool ReadField(const json::object& intent,
               std::string_view field,
               std::string& out,
               error_text& error) {
  auto read = ReadString(intent, field);
  if (!read)
    error = ToText(read.error());
  else
    out = std::move(*read);
  return read.has_value();
}

bool ReadField(const json::object& intent,
               std::string_view field,
               std::int64_t minimum,
               std::int64_t maximum,
               std::int64_t& out,
               error_text& error) {
  const auto read = ReadInteger(intent, field, minimum, maximum);
  if (!read)
    error = ToText(read.error());
  else
    out = *read;
  return read.has_value();
}

account_config* FindAccount(const json::object& intent,
                            config& configuration,
                            error_text& error) {
  std::string name;
  if (!ReadField(intent, "account", name, error))
    return nullptr;
  const auto found = configuration.accounts.find(name);
  if (found == configuration.accounts.end()) {
    error = "there is no client account " + name;
    return nullptr;
  }
  return &found->second;
}

error_text PinAccount(const json::object& intent, config& configuration) {
  error_text error;
  std::string model;
  std::string version;
  account_config* account = FindAccount(intent, configuration, error);
  if (account && ReadField(intent, "model", model, error) &&
      ReadField(intent, "version", version, error))
    account->pins[model] = version;
  return error;
}

error_text UnpinAccount(const json::object& intent, config& configuration) {
  error_text error;
  std::string model;
  account_config* account = FindAccount(intent, configuration, error);
  if (account && ReadField(intent, "model", model, error))
    account->pins.erase(model);
  return error;
}

bool ReadLimits(const json::object& intent,
                account_config& account,
                error_text& error) {
  return ReadField(intent, "tokens_per_second", 0, kMaxTokens,
                   account.tokens_per_second, error) &&
         ReadField(intent, "burst_tokens", 0, kMaxTokens, account.burst_tokens,
                   error);
}

error_text LimitAccount(const json::object& intent, config& configuration) {
  error_text error;
  account_config* account = FindAccount(intent, configuration, error);
  if (account)
    ReadLimits(intent, *account, error);
  return error;
}

error_text RaisePriority(const json::object& intent, config& configuration) {
  error_text error;
  std::int64_t priority = 0;
  account_config* account = FindAccount(intent, configuration, error);
  if (account &&
      ReadField(intent, "priority", kLowestPriority, kHighestPriority, priority,
                error) &&
      ReadField(intent, "until", 0, kMaxUnixMs, account->raised_until, error))
    account->raised_priority = static_cast<int>(priority);
  return error;
}

error_text AddAccount(const json::object& intent, config& configuration) {
  error_text error;
  account_config account;
  std::int64_t priority = kDefaultPriority;
  if (!ReadField(intent, "account", account.name, error) ||
      !ReadField(intent, "key", account.key, error) ||
      !ReadLimits(intent, account, error) ||
      !ReadField(intent, "priority", kLowestPriority, kHighestPriority,
                 priority, error))
    return error;
  account.priority = static_cast<int>(priority);
  if (configuration.accounts.contains(account.name))
    return "client account " + account.name + " is there already";
  configuration.accounts[account.name] = account;
  return error;
}

error_text AddTarget(const json::object& intent, config& configuration) {
  error_text error;
  target_config target;
  std::string kind;
  std::string address;
  if (!ReadField(intent, "target", target.name, error) ||
      !ReadField(intent, "target_kind", kind, error) ||
      !ReadField(intent, "address", address, error) ||
      !ReadField(intent, "zone", target.zone, error) ||
      !ReadField(intent, "serves", target.serves, error))
    return error;
  if (kind != "model" && kind != "application")
    return "target_kind: must be model or application";
  const auto parsed = ParseEndpoint(address);
  if (!parsed)
    return "address: " + parsed.error();
  target.kind = kind == "model" ? target_kind::kModelWorker
                                : target_kind::kApplicationWorker;
  target.address = *parsed;
  target.version = ReadStringOr(intent, "version", "").value_or("");
  if (configuration.targets.contains(target.name))
    return "target " + target.name + " is there already";
  configuration.targets[target.name] = target;
  return error;
}

error_text RemoveTarget(const json::object& intent, config& configuration) {
  error_text error;
  std::string name;
  if (!ReadField(intent, "target", name, error))
    return error;
  const auto found = configuration.targets.find(name);
  if (found == configuration.targets.end())
    return "there is no target " + name;
  if (found->second.leaving)
    return "target " + name + " is leaving already";
  found->second.leaving = true;
  return error;
}

// Sets the share of `version` to `percent`. The other versions divide the rest
// in their old proportions; the largest also gets the rounding remainder.
void SetShare(model_config& model, const std::string& version, int percent) {
  std::erase_if(model.versions, [&](const version_share& share) {
    return share.version == version;
  });
  int old_total = 0;
  for (const version_share& share : model.versions)
    old_total += share.percent;
  int remaining = 100 - percent;
  for (version_share& share : model.versions) {
    share.percent =
        old_total == 0 ? 0 : share.percent * (100 - percent) / old_total;
    remaining -= share.percent;
  }
  if (!model.versions.empty()) {
    const auto largest =
        std::max_element(model.versions.begin(), model.versions.end(),
                         [](const version_share& a, const version_share& b) {
                           return a.percent < b.percent;
                         });
    largest->percent += remaining;
  }
  // VersionForAccount() assigns hash ranges in this order. With the new version
  // last, accounts that use it keep it while its share grows.
  model.versions.push_back({version, percent});
}

// Assigns the last version of the model to its share of the model's targets,
// rounded up. Below 100 percent one target is always left to other versions, so
// the only target of a model changes its version at 100 percent.
void AssignTargets(config& configuration, const model_config& model) {
  std::vector<target_config*> workers;
  for (auto& [name, target] : configuration.targets) {
    if (target.serves == model.name && !target.leaving &&
        target.kind == target_kind::kModelWorker)
      workers.push_back(&target);
  }
  const version_share& new_share = model.versions.back();
  const std::size_t count = workers.size();
  std::size_t desired_count =
      (count * static_cast<std::size_t>(new_share.percent) + 99) / 100;
  if (new_share.percent < 100 && desired_count == count && count > 0)
    --desired_count;
  std::size_t assigned_count = static_cast<std::size_t>(
      std::count_if(workers.begin(), workers.end(), [&](const auto* target) {
        return target->version == new_share.version;
      }));
  for (target_config* target : workers) {
    if (assigned_count < desired_count &&
        target->version != new_share.version) {
      target->version = new_share.version;
      ++assigned_count;
    } else if (assigned_count > desired_count &&
               target->version == new_share.version) {
      target->version = model.versions.front().version;
      --assigned_count;
    }
  }
}

error_text RollOut(const json::object& intent, config& configuration) {
  error_text error;
  std::string name;
  std::string version;
  std::int64_t percent = 0;
  if (!ReadField(intent, "model", name, error) ||
      !ReadField(intent, "version", version, error) ||
      !ReadField(intent, "percent", 0, 100, percent, error))
    return error;
  const auto found = configuration.models.find(name);
  if (found == configuration.models.end())
    return "there is no model " + name;
  if (found->second.versions.size() == 1 &&
      found->second.versions[0].version == version && percent != 100)
    return "version " + version + " is the only one of model " + name;
  SetShare(found->second, version, static_cast<int>(percent));
  AssignTargets(configuration, found->second);
  return error;
}

error_text Import(const json::object& intent, config& configuration) {
  const json::value* config_value = intent.if_contains("config");
  if (!config_value || !config_value->is_object())
    return "config: must be an object";
  config imported;
  imported.generation = configuration.generation;
  const auto read = ReadShard(json::serialize(*config_value), imported);
  if (!read)
    return read.error().message;
  configuration = std::move(imported);
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
                            const account_config& updated) {
  std::string line;
  if (updated.tokens_per_second != old.tokens_per_second ||
      updated.burst_tokens != old.burst_tokens)
    line += " limit " + std::to_string(updated.tokens_per_second) +
            " tokens/s, burst " + std::to_string(updated.burst_tokens) + ";";
  if (updated.raised_priority != old.raised_priority ||
      updated.raised_until != old.raised_until)
    line += " priority " + std::to_string(updated.raised_priority) + " until " +
            std::to_string(updated.raised_until) + ";";
  if (updated.priority != old.priority)
    line += " priority " + std::to_string(updated.priority) + ";";
  if (updated.pins != old.pins) {
    line += " versions";
    for (const auto& [model, version] : updated.pins)
      line += " " + model + "=" + version;
    line += updated.pins.empty() ? " by share;" : ";";
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
  const std::string kind = ReadStringOr(*parsed, "kind", "").value_or("");
  const auto found =
      std::find_if(std::begin(kIntentKinds), std::end(kIntentKinds),
                   [&](const intent_kind& k) { return k.name == kind; });
  if (found == std::end(kIntentKinds))
    return tl::unexpected(
        config_error{config_failure::kMalformed, "kind: is not known"});
  config after = before;
  after.generation = before.generation + 1;
  const error_text error = found->apply(*parsed, after);
  after.generation = before.generation + 1;
  if (!error.empty())
    return tl::unexpected(config_error{config_failure::kMalformed, error});
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
