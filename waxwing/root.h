// The root object, which names the configuration in force.
//
// The root is stored in the platform's object API under kRootKey. It contains
// the generation, the plan that created it, the content hashes of its shards,
// and the latest audit entries. A configuration is accepted by a single
// conditional put of the root, so accepted generations form a linear history.

#ifndef WAXWING_ROOT_H_
#define WAXWING_ROOT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "waxwing/config.h"

namespace waxwing {

inline constexpr std::string_view kRootKey = "config/root";
inline constexpr std::string_view kShardPrefix = "config/shards/";
inline constexpr std::string_view kPlanPrefix = "plans/";
// Audit entries kept in the root. Older ones can be found by following the
// chain of plans.
inline constexpr std::size_t kMaxAuditEntries = 100;

struct audit_entry {
  std::uint64_t generation = 0;
  std::string plan;
  std::string operator_name;
  unix_ms at = 0;
  std::string summary;

  bool operator==(const audit_entry&) const = default;
};

struct config_root {
  std::uint64_t generation = 0;
  std::string plan;
  // Content hash of each shard, by index; kShardCount of them.
  std::vector<std::string> shards;
  // Oldest first.
  std::vector<audit_entry> audit;

  bool operator==(const config_root&) const = default;
};

std::string WriteRoot(const config_root& root);
tl::expected<config_root, config_error> ReadRoot(std::string_view text);

// Builds the configuration of a root from shard texts, which are keyed by
// content hash. Fails if a shard is missing, does not match its hash or does
// not parse, or if the configuration as a whole is invalid.
tl::expected<config, config_error> AssembleConfig(
    const config_root& root,
    const std::map<std::string, std::string>& shards);

// Returns the shard texts of a configuration, keyed by content hash, and sets
// `hashes` to the hashes in the order of the shards.
std::map<std::string, std::string> SplitIntoShards(
    const config& source,
    std::vector<std::string>& hashes);

}  // namespace waxwing

#endif  // WAXWING_ROOT_H_
