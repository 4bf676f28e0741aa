#include "dragonflyglade/gateway/messages.h"

#include <algorithm>

namespace dragonflyglade::gateway {

bool EngineLimits::HasModel(std::string_view model,
                            std::string_view adapter) const {
  const auto found =
      std::find_if(this->models.begin(), this->models.end(),
                   [model](const auto& each) { return each.name == model; });
  if (found == this->models.end()) return false;
  const std::vector<std::string>& adapters = found->adapters;
  return adapter.empty() ||
         std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

}  // namespace dragonflyglade::gateway
