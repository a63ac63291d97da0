// The root object: which configuration is in force.
//
// The root lives in the platform's object API under kRootKey. It names the
// generation, the plan that made it, the content hashes of its shards, and the
// last audit entries. A configuration is accepted by one conditional put of the
// root, so accepted generations form one chain.

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
// Audit entries kept in the root; older ones are found by the chain of plans.
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
  // Content hash of each shard, by index; kShards of them.
  std::vector<std::string> shards;
  // Oldest first.
  std::vector<audit_entry> audit;

  bool operator==(const config_root&) const = default;
};

std::string WriteRoot(const config_root& root);
tl::expected<config_root, config_error> ReadRoot(std::string_view text);

// Builds the configuration of a root from shard texts by content hash. Fails if
// one is missing, does not have the hash it is named by, or does not parse.
tl::expected<config, config_error> AssembleConfig(
    const config_root& root,
    const std::map<std::string, std::string>& shards);

// The shard texts of a configuration, by content hash; fills the hashes in the
// order of the shards.
std::map<std::string, std::string> SplitIntoShards(
    const config& source,
    std::vector<std::string>& hashes);

}  // namespace waxwing

#endif  // WAXWING_ROOT_H_
