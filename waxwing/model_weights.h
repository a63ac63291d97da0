// The models that a target serves. A target may serve several, in any order,
// and loads the weights of each by itself.

#ifndef WAXWING_MODEL_WEIGHTS_H_
#define WAXWING_MODEL_WEIGHTS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace waxwing {

// A version of a model's weights.
struct model_weights {
  std::string model;
  std::int64_t version = 0;

  bool operator==(const model_weights&) const = default;
};

// Returns the model of this name, or null if the target does not serve it.
const model_weights* FindModel(std::span<const model_weights> models,
                               std::string_view name);

// Returns the model on which a target runs a request that names `requested`:
// the only one if the request names none. Null if there is none.
const model_weights* FindRequestedModel(std::span<const model_weights> models,
                                        std::string_view requested);

// Names and versions in one line, for logs.
std::string ToText(std::span<const model_weights> models);

}  // namespace waxwing

#endif  // WAXWING_MODEL_WEIGHTS_H_
