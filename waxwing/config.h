// The configuration set by operators: models, targets, services and client
// accounts.
//
// It is stored as JSON in shards: one fleet shard (models, targets, services)
// and kAccountShardCount shards of client accounts, split by a hash of the
// account's name. With 32,000 accounts each shard stays far below the
// platform's limit of one megabyte a value. A shard is immutable and named by
// the hash of its content. See plan.h for how a change is made.

#ifndef WAXWING_CONFIG_H_
#define WAXWING_CONFIG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "waxwing/types.h"

namespace waxwing {

inline constexpr std::size_t kAccountShardCount = 64;
inline constexpr int kLowestPriority = 0;
inline constexpr int kHighestPriority = 9;
inline constexpr int kDefaultPriority = 4;

// A weights version of a model, and the percentage of the accounts without a
// pin that use it.
struct version_share {
  std::string version;
  int percent = 0;

  bool operator==(const version_share&) const = default;
};

struct model_config {
  std::string name;
  // The percentages add up to 100.
  std::vector<version_share> versions;

  bool operator==(const model_config&) const = default;
};

enum class target_kind { kModelWorker, kApplicationWorker };

struct target_config {
  std::string name;
  target_kind kind = target_kind::kModelWorker;
  endpoint address;
  std::string zone;
  // The model of a model worker, or the service of an application worker.
  std::string serves;
  // The weights version that a model worker should run.
  std::string version;
  // Gets no new work. Once set, never reset for the same name and address.
  bool leaving = false;

  bool operator==(const target_config&) const = default;
};

struct service_config {
  std::string name;
  // Path prefixes, below the service's root, of calls that must not be
  // repeated.
  std::vector<std::string> non_idempotent_paths;

  bool operator==(const service_config&) const = default;
};

struct account_config {
  std::string name;
  std::string key;
  // Rate limit in tokens of prompt and response a second, over all entry VMs,
  // and the burst allowed above it.
  std::int64_t tokens_per_second = 0;
  std::int64_t burst_tokens = 0;
  int priority = kDefaultPriority;
  // A temporarily raised priority and the time at which it ends; 0 if none.
  int raised_priority = 0;
  unix_ms raised_until = 0;
  // The versions pinned for this account, by model.
  std::map<std::string, std::string> pins;

  bool operator==(const account_config&) const = default;
};

// A complete configuration; objects are keyed by name.
struct config {
  std::uint64_t generation = 0;
  std::map<std::string, model_config, std::less<>> models;
  std::map<std::string, target_config, std::less<>> targets;
  std::map<std::string, service_config, std::less<>> services;
  std::map<std::string, account_config, std::less<>> accounts;

  bool operator==(const config&) const = default;
};

enum class config_failure { kMalformed, kInconsistent };

struct config_error {
  config_failure failure = config_failure::kMalformed;
  // The object or field in error and the problem, for the operator.
  std::string message;
};

// Index of the shard that contains an account, from 1 to kAccountShardCount.
// Shard 0 is the fleet shard.
std::size_t ShardOfAccount(std::string_view account);

// Number of shards of a configuration, the fleet shard included.
inline constexpr std::size_t kShardCount = 1 + kAccountShardCount;

// Serializes one shard as JSON. Equal configurations give equal texts.
std::string WriteShard(const config& configuration, std::size_t shard);

// Adds the content of a shard to `configuration`. Fails at the first field that
// is missing or has the wrong type.
tl::expected<void, config_error> ReadShard(std::string_view text,
                                           config& configuration);

// Checks what can't be checked while reading one shard: names refer to
// configured objects, version shares add up to 100, and no address is used
// twice.
tl::expected<void, config_error> CheckConfig(const config& configuration);

// The version of `model` that an account uses: its pin if it has one, otherwise
// chosen by the account's hash according to the versions' shares. Empty if the
// model is unknown.
std::string VersionForAccount(const config& configuration,
                              std::string_view account,
                              std::string_view model);

// The account's priority at the time `now`, with its raised priority if that is
// higher and has not ended.
int EffectivePriority(const account_config& account, unix_ms now);

// True if a call to this path of the service must not be repeated. Calls to a
// service that is not configured must not be repeated either.
bool IsNonIdempotentPath(const config& configuration,
                         std::string_view service,
                         std::string_view path);

}  // namespace waxwing

#endif  // WAXWING_CONFIG_H_
