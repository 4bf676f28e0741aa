#include "dragonflyglade/gateway/versioned_holdings.h"

#include <utility>

namespace dragonflyglade::gateway {

void VersionedHoldings::Set(std::vector<wire::TargetHoldings> all) {
  std::map<std::string, Item> newer;
  for (wire::TargetHoldings& holdings : all) {
    const auto known = this->items.find(holdings.target);
    const bool same =
        known != this->items.end() && known->second.holdings == holdings;
    Item item;
    item.changed = same ? known->second.changed : ++this->version;
    std::string target = holdings.target;
    item.holdings = std::move(holdings);
    newer.emplace(std::move(target), std::move(item));
  }
  this->items = std::move(newer);
}

bool VersionedHoldings::Update(wire::TargetHoldings holdings) {
  Item& item = this->items[holdings.target];
  if (item.changed > 0 && item.holdings == holdings) return false;
  item.changed = ++this->version;
  item.holdings = std::move(holdings);
  return true;
}

void VersionedHoldings::Clear() { this->items.clear(); }

std::vector<wire::TargetHoldings> VersionedHoldings::Since(
    std::int64_t known) const {
  std::vector<wire::TargetHoldings> changed;
  for (const auto& [target, item] : this->items) {
    if (item.changed > known) changed.push_back(item.holdings);
  }
  return changed;
}

}  // namespace dragonflyglade::gateway
