#include "waxwing/model_weights.h"

#include <algorithm>

namespace waxwing {

const model_weights* FindModel(std::span<const model_weights> models,
                               std::string_view name) {
  const auto found = std::find_if(
      models.begin(), models.end(),
      [&](const model_weights& served) { return served.model == name; });
  return found == models.end() ? nullptr : &*found;
}

const model_weights* FindRequestedModel(std::span<const model_weights> models,
                                        std::string_view requested) {
  if (requested.empty() && models.size() == 1)
    return &models.front();
  return FindModel(models, requested);
}

std::string ToText(std::span<const model_weights> models) {
  std::string out;
  for (const model_weights& served : models)
    out += (out.empty() ? "" : ",") + served.model + ":" +
           std::to_string(served.version);
  return out;
}

}  // namespace waxwing
