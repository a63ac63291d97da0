#include "waxwing/config.h"

#include <boost/json.hpp>
#include <set>
#include <utility>

#include "waxwing/hash.h"
#include "waxwing/json.h"
#include "waxwing/settings.h"

namespace waxwing {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxTokensPerSecond = 1'000'000'000;
constexpr std::size_t kMaxNameBytes = 128;

tl::unexpected<config_error> Malformed(std::string_view object,
                                       std::string_view problem) {
  return tl::unexpected(
      config_error{config_failure::kMalformed,
                   std::string(object) + ": " + std::string(problem)});
}

tl::unexpected<config_error> Inconsistent(std::string message) {
  return tl::unexpected(
      config_error{config_failure::kInconsistent, std::move(message)});
}

json::object WriteModel(const model_config& model) {
  json::array versions;
  for (const version_share& share : model.versions)
    versions.push_back(
        {{"version", share.version}, {"percent", share.percent}});
  return {{"name", model.name}, {"versions", std::move(versions)}};
}

json::object WriteTarget(const target_config& target) {
  return {{"name", target.name},
          {"kind",
           target.kind == target_kind::kModelWorker ? "model" : "application"},
          {"address", ToText(target.address)},
          {"zone", target.zone},
          {"serves", target.serves},
          {"version", target.version},
          {"leaving", target.leaving}};
}

json::object WriteService(const service_config& service) {
  json::array paths;
  for (const std::string& path : service.non_idempotent_paths)
    paths.push_back(json::value(path));
  return {{"name", service.name}, {"non_idempotent_paths", std::move(paths)}};
}

json::object WriteAccount(const account_config& account) {
  json::object pins;
  for (const auto& [model, version] : account.pins)
    pins[model] = version;
  return {{"name", account.name},
          {"key", account.key},
          {"tokens_per_second", account.tokens_per_second},
          {"burst_tokens", account.burst_tokens},
          {"priority", account.priority},
          {"raised_priority", account.raised_priority},
          {"raised_until", account.raised_until},
          {"pins", std::move(pins)}};
}

// Reads the fields of one object one after the other and keeps the first error,
// so that the functions below need not check each field.
struct field_reader {
  const json::object& object;
  std::string error;

  // Returns the value, or a default one after recording the error.
  template <typename T>
  T ValueOrDefault(tl::expected<T, json_error> read) {
    if (read)
      return std::move(*read);
    if (error.empty())
      error = ToText(read.error());
    return T{};
  }
  std::string Name() {
    std::string name = ValueOrDefault(ReadString(object, "name"));
    if (error.empty() && (name.empty() || name.size() > kMaxNameBytes))
      error = "name: must have 1 to 128 bytes";
    return name;
  }
  std::string Text(std::string_view field) {
    return ValueOrDefault(ReadStringOr(object, field, ""));
  }
  std::int64_t Integer(std::string_view field,
                       std::int64_t minimum,
                       std::int64_t maximum,
                       std::int64_t fallback) {
    return ValueOrDefault(
        ReadIntegerOr(object, field, minimum, maximum, fallback));
  }
};

std::string ReadModel(const json::object& object, config& configuration) {
  field_reader reader{object, ""};
  model_config model;
  model.name = reader.Name();
  const json::array* versions = FindArray(object, "versions");
  if (!versions)
    return "versions: must be an array";
  for (const json::value& entry : *versions) {
    if (!entry.is_object())
      return "versions: must hold objects";
    field_reader share{entry.as_object(), ""};
    model.versions.push_back(
        {share.Text("version"),
         static_cast<int>(share.Integer("percent", 0, 100, 0))});
    if (!share.error.empty())
      return "versions." + share.error;
  }
  configuration.models[model.name] = model;
  return reader.error;
}

std::string ReadTarget(const json::object& object, config& configuration) {
  field_reader reader{object, ""};
  target_config target;
  target.name = reader.Name();
  const std::string kind = reader.Text("kind");
  if (kind != "model" && kind != "application")
    return "kind: must be model or application";
  target.kind = kind == "model" ? target_kind::kModelWorker
                                : target_kind::kApplicationWorker;
  const auto address = ParseEndpoint(reader.Text("address"));
  if (!address)
    return "address: " + address.error();
  target.address = *address;
  target.zone = reader.Text("zone");
  target.serves = reader.Text("serves");
  target.version = reader.Text("version");
  target.leaving = reader.ValueOrDefault(ReadBoolOr(object, "leaving", false));
  configuration.targets[target.name] = target;
  return reader.error;
}

std::string ReadService(const json::object& object, config& configuration) {
  field_reader reader{object, ""};
  service_config service;
  service.name = reader.Name();
  if (const json::array* paths = FindArray(object, "non_idempotent_paths")) {
    for (const json::value& path : *paths) {
      if (!path.is_string())
        return "non_idempotent_paths: must hold texts";
      service.non_idempotent_paths.emplace_back(path.as_string());
    }
  } else if (object.contains("non_idempotent_paths")) {
    return "non_idempotent_paths: must be an array";
  }
  configuration.services[service.name] = service;
  return reader.error;
}

std::string ReadAccount(const json::object& object, config& configuration) {
  field_reader reader{object, ""};
  account_config account;
  account.name = reader.Name();
  account.key = reader.Text("key");
  account.tokens_per_second =
      reader.Integer("tokens_per_second", 0, kMaxTokensPerSecond, 0);
  account.burst_tokens =
      reader.Integer("burst_tokens", 0, kMaxTokensPerSecond, 0);
  account.priority = static_cast<int>(reader.Integer(
      "priority", kLowestPriority, kHighestPriority, kDefaultPriority));
  account.raised_priority = static_cast<int>(
      reader.Integer("raised_priority", kLowestPriority, kHighestPriority, 0));
  account.raised_until =
      reader.Integer("raised_until", 0, std::int64_t{1} << 53, 0);
  if (const json::value* pins = object.if_contains("pins")) {
    if (!pins->is_object())
      return "pins: must be an object";
    for (const auto& [model, version] : pins->as_object()) {
      if (!version.is_string())
        return "pins: must hold texts";
      account.pins[std::string(model)] = std::string(version.as_string());
    }
  }
  configuration.accounts[account.name] = account;
  return reader.error;
}

using object_reader = std::string (*)(const json::object&, config&);

tl::expected<void, config_error> ReadArray(const json::object& object,
                                           std::string_view field,
                                           object_reader reader,
                                           config& configuration) {
  if (!object.contains(field))
    return {};
  const json::array* array = FindArray(object, field);
  if (!array)
    return Malformed(field, "must be an array");
  for (const json::value& entry : *array) {
    if (!entry.is_object())
      return Malformed(field, "must hold objects");
    const std::string problem = reader(entry.as_object(), configuration);
    if (!problem.empty())
      return Malformed(field, problem);
  }
  return {};
}

bool HasVersion(const model_config& model, std::string_view version) {
  for (const version_share& share : model.versions) {
    if (share.version == version)
      return true;
  }
  return false;
}

tl::expected<void, config_error> CheckModels(const config& configuration) {
  for (const auto& [name, model] : configuration.models) {
    int total = 0;
    std::set<std::string_view> seen;
    for (const version_share& share : model.versions) {
      total += share.percent;
      if (share.version.empty() || !seen.insert(share.version).second)
        return Inconsistent("model " + name +
                            ": versions must be named and differ");
    }
    if (total != 100)
      return Inconsistent("model " + name + ": shares add up to " +
                          std::to_string(total) + ", not 100");
  }
  return {};
}

tl::expected<void, config_error> CheckTargets(const config& configuration) {
  std::map<endpoint, std::string> addresses;
  for (const auto& [name, target] : configuration.targets) {
    const auto [entry, is_new] = addresses.emplace(target.address, name);
    if (!is_new)
      return Inconsistent("targets " + entry->second + " and " + name +
                          " have the same address");
    if (target.kind == target_kind::kModelWorker) {
      const auto model = configuration.models.find(target.serves);
      if (model == configuration.models.end())
        return Inconsistent("target " + name + ": model " + target.serves +
                            " is not configured");
    } else if (!configuration.services.contains(target.serves)) {
      return Inconsistent("target " + name + ": service " + target.serves +
                          " is not configured");
    }
  }
  return {};
}

tl::expected<void, config_error> CheckAccounts(const config& configuration) {
  for (const auto& [name, account] : configuration.accounts) {
    for (const auto& [model, version] : account.pins) {
      const auto found = configuration.models.find(model);
      if (found == configuration.models.end() ||
          !HasVersion(found->second, version))
        return Inconsistent("account " + name + ": model " + model +
                            " has no version " + version);
    }
  }
  return {};
}

}  // namespace

std::size_t ShardOfAccount(std::string_view account) {
  return 1 + Hash64(account) % kAccountShardCount;
}

std::string WriteShard(const config& configuration, std::size_t shard) {
  json::object out;
  if (shard == 0) {
    json::array models;
    json::array targets;
    json::array services;
    for (const auto& [name, model] : configuration.models)
      models.push_back(WriteModel(model));
    for (const auto& [name, target] : configuration.targets)
      targets.push_back(WriteTarget(target));
    for (const auto& [name, service] : configuration.services)
      services.push_back(WriteService(service));
    out["models"] = std::move(models);
    out["targets"] = std::move(targets);
    out["services"] = std::move(services);
  } else {
    json::array accounts;
    for (const auto& [name, account] : configuration.accounts) {
      if (ShardOfAccount(name) == shard)
        accounts.push_back(WriteAccount(account));
    }
    out["accounts"] = std::move(accounts);
  }
  return json::serialize(out);
}

tl::expected<void, config_error> ReadShard(std::string_view text,
                                           config& configuration) {
  const auto parsed = ParseObject(text);
  if (!parsed)
    return Malformed("shard", ToText(parsed.error()));
  constexpr std::pair<std::string_view, object_reader> kReaders[] = {
      {"models", ReadModel},
      {"targets", ReadTarget},
      {"services", ReadService},
      {"accounts", ReadAccount}};
  for (const auto& [field, reader] : kReaders) {
    if (auto read = ReadArray(*parsed, field, reader, configuration); !read)
      return read;
  }
  return {};
}

tl::expected<void, config_error> CheckConfig(const config& configuration) {
  if (auto models = CheckModels(configuration); !models)
    return models;
  if (auto targets = CheckTargets(configuration); !targets)
    return targets;
  return CheckAccounts(configuration);
}

std::string VersionForAccount(const config& configuration,
                              std::string_view account,
                              std::string_view model) {
  const auto found = configuration.models.find(model);
  if (found == configuration.models.end())
    return {};
  const auto owner = configuration.accounts.find(account);
  if (owner != configuration.accounts.end()) {
    const auto pin = owner->second.pins.find(std::string(model));
    if (pin != owner->second.pins.end())
      return pin->second;
  }
  // The hash ranges follow the order of the versions, so an account keeps the
  // last version while that version's share grows.
  int bucket = static_cast<int>(Hash64(account, Hash64(model)) % 100);
  for (const version_share& share : found->second.versions) {
    if (bucket < share.percent)
      return share.version;
    bucket -= share.percent;
  }
  return {};
}

int EffectivePriority(const account_config& account, unix_ms now) {
  return account.raised_until > now
             ? std::max(account.priority, account.raised_priority)
             : account.priority;
}

bool IsNonIdempotentPath(const config& configuration,
                         std::string_view service,
                         std::string_view path) {
  const auto found = configuration.services.find(service);
  if (found == configuration.services.end())
    return true;
  for (const std::string& listed_path : found->second.non_idempotent_paths) {
    if (path == listed_path || path.starts_with(listed_path + "/"))
      return true;
  }
  return false;
}

}  // namespace waxwing
