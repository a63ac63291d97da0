// Intents: configuration changes that operators request.
//
// An intent is a JSON object with a "kind" and the fields listed for it:
//
//   pin_account     account, model, version
//   unpin_account   account, model
//   limit_account   account, tokens_per_second, burst_tokens
//   raise_priority  account, priority, until (Unix milliseconds)
//   add_account     account, key, tokens_per_second, burst_tokens, priority
//   add_target      target, target_kind, address, zone, serves, version
//   remove_target   target   (it gets no new work; this can't be undone)
//   roll_out        model, version, percent  (the model's other versions share
//                   the remaining percentage in their current proportions)
//   import          config   (replaces all models, targets, services, accounts)

#ifndef WAXWING_INTENT_H_
#define WAXWING_INTENT_H_

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "waxwing/config.h"

namespace waxwing {

// Returns the configuration after the intent, with the next generation, or an
// error that tells the operator what is wrong with the intent.
tl::expected<config, config_error> ApplyIntent(const config& before,
                                               std::string_view intent);

// Describes the change for the operator, one line for each effect: the changed
// models, targets, accounts and services, and which caches become cold.
std::vector<std::string> DescribeChange(const config& before,
                                        const config& after);

}  // namespace waxwing

#endif  // WAXWING_INTENT_H_
