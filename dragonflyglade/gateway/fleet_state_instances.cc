// The methods of FleetState that choose the instances which callers are sent to
// and those which pass changes of the store on.
#include <algorithm>

#include "dragonflyglade/gateway/fleet_state.h"

namespace dragonflyglade::gateway {
namespace {

// A relay beside the leader always costs the store some calls a second. It
// saves some calls of each other instance whenever the leader fails, which
// pays off from some tens of instances on. A second relay covers the first.
constexpr std::size_t kInstancesPerRelay = 40;
constexpr std::size_t kMaxExtraRelays = 2;  // beside the leader

bool HasName(const std::vector<const InstanceRecord*>& records,
             std::string_view name) {
  return std::any_of(
      records.begin(), records.end(),
      [&](const InstanceRecord* record) { return record->name == name; });
}

}  // namespace

std::vector<InstanceCandidate> FleetState::InstanceOffers() const {
  std::vector<InstanceCandidate> offers;
  for (const auto& [name, record] : this->instances) {
    offers.push_back({name, record.zone, record.capacity});
  }
  return offers;
}

std::vector<const InstanceRecord*> FleetState::Records(
    absl::Span<const std::size_t> order) const {
  std::vector<const InstanceRecord*> all;
  for (const auto& [name, record] : this->instances) all.push_back(&record);
  std::vector<const InstanceRecord*> result;
  for (const std::size_t index : order) result.push_back(all[index]);
  return result;
}

const FleetState::Choice& FleetState::ChosenInstances() const {
  if (!this->choice.has_value()) {
    this->choice =
        Choice{this->Records(ChooseInstances(this->InstanceOffers())),
               this->ChooseRelays()};
  }
  return *this->choice;
}

std::vector<const InstanceRecord*> FleetState::ChooseRelays() const {
  std::vector<const InstanceRecord*> relays;
  const std::string leader_name =
      this->leader.has_value() ? this->leader->instance.name : std::string();
  const auto known = this->instances.find(leader_name);
  if (known != this->instances.end()) relays.push_back(&known->second);
  const std::size_t others =
      std::min(kMaxExtraRelays, this->instances.size() / kInstancesPerRelay);
  const std::size_t most = relays.size() + others;
  for (const InstanceRecord* record : this->InstancesByStrength(kLeaderKey)) {
    if (relays.size() >= most) break;
    if (record->name != leader_name) relays.push_back(record);
  }
  return relays;
}

bool FleetState::IsRelayInstance(std::string_view instance) const {
  return HasName(this->RelayInstances(), instance);
}

bool FleetState::IsListed(std::string_view instance) const {
  return HasName(this->ListedInstances(), instance);
}

std::vector<const InstanceRecord*> FleetState::InstancesByStrength(
    std::string_view key) const {
  return this->Records(OrderByCapacity(this->InstanceOffers(), key));
}

}  // namespace dragonflyglade::gateway
