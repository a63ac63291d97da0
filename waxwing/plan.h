// Two-step configuration changes: an operator creates a plan, then confirms it.
//
// CreatePlan() turns an intent into an immutable plan object that names the
// generation it is based on. ConfirmPlan() succeeds only if that generation is
// still in force; it then replaces the root object with one conditional put. If
// two operators race, one confirm succeeds and the other fails with the changes
// made since its plan was created, so that its operator can plan again. The
// root's audit entries name the plans confirmed last, so a confirm whose
// response was lost can be repeated safely: the plan is applied only once.

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
  // The generation that the plan is based on.
  std::uint64_t parent_generation = 0;
  std::string operator_name;
  unix_ms created = 0;
  std::string intent;
  // The effects of the change, one line each; see DescribeChange().
  std::vector<std::string> description;
  // Content hash of each shard after the change, by index.
  std::vector<std::string> shards;

  bool operator==(const plan&) const = default;
};

enum class plan_failure {
  kBadIntent,    // the intent is not valid; nothing was stored
  kUnknownPlan,  // there is no plan with this id
  kSuperseded,   // another change was confirmed first; create a new plan
  kUnavailable,  // the platform is unavailable; this call has certainly not put
                 // the plan in force
  kUncertain,    // this call may have put the plan in force; confirm again to
                 // find out
};

struct plan_error {
  plan_failure failure = plan_failure::kUnavailable;
  std::string message;
  // For kSuperseded: the changes confirmed since the plan was created.
  std::vector<audit_entry> changes;
};

// A configuration as read from the platform. Its generation is 0 until a first
// plan is confirmed.
struct stored_config {
  config_root root;
  config content;
  std::uint64_t root_version = 0;
};

std::string WritePlan(const plan& pending_plan);
tl::expected<plan, config_error> ReadPlan(std::string_view text);

// Shard texts by content hash.
using shard_texts = std::map<std::string, std::string>;

// Reads the root, and those of its shards that `known_shards` lacks.
boost::asio::awaitable<tl::expected<stored_config, plan_error>> LoadConfig(
    platform_client& client,
    shard_texts known_shards);

// Creates a plan for an intent and stores it. Shards in `known_shards` are not
// read from the platform.
boost::asio::awaitable<tl::expected<plan, plan_error>> CreatePlan(
    platform_client& client,
    shard_texts known_shards,
    std::string_view intent,
    std::string_view operator_name,
    unix_ms now);

// Puts a plan in force and returns its generation. Returns the same generation
// if the plan was confirmed before.
boost::asio::awaitable<tl::expected<std::uint64_t, plan_error>> ConfirmPlan(
    platform_client& client,
    std::string_view id,
    std::string_view operator_name,
    unix_ms now);

// The failure's name in responses to operators.
std::string_view NameOf(plan_failure failure);

}  // namespace waxwing

#endif  // WAXWING_PLAN_H_
