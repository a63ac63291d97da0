// The configuration that operators put in force: models, targets, services and
// client accounts.
//
// It is stored as JSON in shards: one fleet shard (models, targets, services)
// and kAccountShardCount shards of client accounts, split by a hash of the
// account's name so that 32,000 of them stay far below the platform's limit of
// one megabyte a value. A shard is immutable and named by the hash of its
// content. See plan.h for how a change is accepted.

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

// One weights version of a model and the share of accounts without a pin that
// it serves, in percent.
struct version_share {
  std::string version;
  int percent = 0;

  bool operator==(const version_share&) const = default;
};

struct model_config {
  std::string name;
  // Percents add up to 100.
  std::vector<version_share> versions;

  bool operator==(const model_config&) const = default;
};

enum class target_kind { kModelWorker, kApplicationWorker };

struct target_config {
  std::string name;
  target_kind kind = target_kind::kModelWorker;
  endpoint address;
  std::string zone;
  // Model that a model worker runs, or service of an application worker.
  std::string serves;
  // Weights version a model worker has been told to run.
  std::string version;
  // Receives no new work. Never turns back for the same name and address.
  bool leaving = false;

  bool operator==(const target_config&) const = default;
};

struct service_config {
  std::string name;
  // Paths below the service's root whose calls must not be repeated.
  std::vector<std::string> non_idempotent_paths;

  bool operator==(const service_config&) const = default;
};

struct account_config {
  std::string name;
  std::string key;
  // Work tokens (prompt and answer) a second over all entry VMs, and the burst
  // above that.
  std::int64_t tokens_per_second = 0;
  std::int64_t burst_tokens = 0;
  int priority = kDefaultPriority;
  // A raised priority and the time it ends; 0 if none.
  int raised_priority = 0;
  unix_ms raised_until = 0;
  // Model to the version pinned for this account.
  std::map<std::string, std::string> pins;

  bool operator==(const account_config&) const = default;
};

// A whole configuration, by name.
struct config {
  std::uint64_t generation = 0;
  std::map<std::string, model_config, std::less<>> models;
  std::map<std::string, target_config, std::less<>> targets;
  std::map<std::string, service_config, std::less<>> services;
  std::map<std::string, account_config, std::less<>> accounts;

  bool operator==(const config&) const = default;
};

enum class config_failure { kMalformed, kInconsistent, kUnknownName };

struct config_error {
  config_failure failure = config_failure::kMalformed;
  // Name of the offending object and the problem, for the operator.
  std::string message;
};

// Index of the shard that holds an account, from 1 to kAccountShardCount. Shard
// 0 is the fleet shard.
std::size_t ShardOfAccount(std::string_view account);

// Number of shards of a configuration.
inline constexpr std::size_t kShardCount = 1 + kAccountShardCount;

// The JSON text of one shard. Equal configurations give equal texts.
std::string WriteShard(const config& configuration, std::size_t shard);

// Adds the content of a shard to `into`. Fails on the first field that is
// missing or of the wrong type.
tl::expected<void, config_error> ReadShard(std::string_view text,
                                           config& configuration);

// Checks what no single shard shows: names refer to known objects, shares add
// up, addresses are used once.
tl::expected<void, config_error> CheckConfig(const config& configuration);

// The version of `model` that an account uses: its pin, or the one its hash
// falls into by the shares. Empty if the model is unknown.
std::string VersionForAccount(const config& configuration,
                              std::string_view account,
                              std::string_view model);

// The account's priority at a time.
int EffectivePriority(const account_config& account, unix_ms now);

// True if a call to this path of the service must not be repeated. A service
// that is not configured counts as not to be repeated.
bool IsNonIdempotentPath(const config& configuration,
                         std::string_view service,
                         std::string_view path);

}  // namespace waxwing

#endif  // WAXWING_CONFIG_H_
