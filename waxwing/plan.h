// Plans: the two steps by which an operator changes the configuration.
//
// Planning turns an intent into an immutable plan object that names the
// generation it was made for. Confirming it succeeds only if that generation is
// still the one in force; the root object is then moved by one conditional put.
// Of two racing operators one wins, the other is told what changed and plans
// anew. A confirm whose answer was lost is read back by the plan's id, so
// repeating it is safe, and it is applied once.

#ifndef WAXWING_PLAN_H_
#define WAXWING_PLAN_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "waxwing/config.h"
#include "waxwing/platform_client.h"
#include "waxwing/root.h"

namespace waxwing {

struct plan {
  std::string id;
  std::uint64_t parent_generation = 0;
  std::string operator_name;
  unix_ms created = 0;
  std::string intent;
  std::vector<std::string> description;
  std::vector<std::string> shards;

  bool operator==(const plan&) const = default;
};

enum class plan_failure {
  kBadIntent,    // the intent can't be applied; nothing was stored
  kUnknownPlan,  // no plan of this id
  kSuperseded,   // another change came first; plan anew
  kUnavailable,  // the platform is down; the plan is certainly not in force yet
                 // by this call
  kUncertain,    // it may have been put in force; confirm again to find out
};

struct plan_error {
  plan_failure failure = plan_failure::kUnavailable;
  std::string message;
  // For kSuperseded: what came in between.
  std::vector<audit_entry> changes;
};

// A configuration as read from the platform. Before the first import the
// generation is 0.
struct stored_config {
  config_root root;
  config content;
  std::uint64_t root_version = 0;
};

std::string WritePlan(const plan& pending_plan);
tl::expected<plan, config_error> ReadPlan(std::string_view text);

// Shard texts by content hash.
using shard_texts = std::map<std::string, std::string>;

// Reads the root and those of its shards that are not among `known`.
boost::asio::awaitable<tl::expected<stored_config, plan_error>> LoadConfig(
    platform_client& client,
    shard_texts known_shards);

// Makes and stores a plan for an intent. `known` spares reading shards that the
// caller has.
boost::asio::awaitable<tl::expected<plan, plan_error>> CreatePlan(
    platform_client& client,
    shard_texts known_shards,
    std::string_view intent,
    std::string_view operator_name,
    unix_ms now);

// Puts a plan in force. Gives its generation.
boost::asio::awaitable<tl::expected<std::uint64_t, plan_error>> ConfirmPlan(
    platform_client& client,
    std::string_view id,
    std::string_view operator_name,
    unix_ms now);

// Short word for a failure, for operators.
std::string_view NameOf(plan_failure failure);

}  // namespace waxwing

#endif  // WAXWING_PLAN_H_
