#include "dragonflyglade/gateway/messages.h"

#include <algorithm>

namespace dragonflyglade::gateway {
namespace {

// Longer names belong to no adapter.
constexpr std::size_t kMaxAdapterNameBytes = 128;

}  // namespace

bool EngineLimits::MayLoad(std::string_view model,
                           std::string_view adapter) const {
  return adapter.size() <= kMaxAdapterNameBytes &&
         std::any_of(this->models.begin(), this->models.end(),
                     [model](const auto& each) { return each.name == model; });
}

}  // namespace dragonflyglade::gateway
