// Intents: what an operator wants changed, and its effect on a configuration.
//
// An intent is a JSON object with a "kind":
//
//   pin_account     account, model, version
//   unpin_account   account, model
//   limit_account   account, tokens_per_second, burst_tokens
//   raise_priority  account, priority, until (Unix milliseconds)
//   add_account     account, key, tokens_per_second, burst_tokens, priority
//   add_target      target, target_kind, address, zone, serves, version
//   remove_target   target   (it leaves: no new work, never turned back)
//   roll_out        model, version, percent  (the rest stays as it is)
//   import          config   (models, targets, services, accounts: all of it)

#ifndef WAXWING_INTENT_H_
#define WAXWING_INTENT_H_

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "waxwing/config.h"

namespace waxwing {

// The configuration after the intent; its generation is one higher. Fails with
// what the operator got wrong.
tl::expected<config, config_error> ApplyIntent(const config& before,
                                               std::string_view intent);

// What the change does, in plain words, one line each: what changes, for whom,
// at which targets, and which caches turn cold.
std::vector<std::string> DescribeChange(const config& before,
                                        const config& after);

}  // namespace waxwing

#endif  // WAXWING_INTENT_H_
