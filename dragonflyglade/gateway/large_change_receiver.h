#ifndef DRAGONFLYGLADE_GATEWAY_LARGE_CHANGE_RECEIVER_H_
#define DRAGONFLYGLADE_GATEWAY_LARGE_CHANGE_RECEIVER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/change_parts.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/neighbor_rotation.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// Obtains the large changes of the store that digests announce: decides which
/// instance to ask for which parts, and puts the parts together. Sends nothing
/// itself. Used by one event loop.
class LargeChangeReceiver {
 public:
  /// A request and the address to send it to.
  struct AddressedRequest {
    wire::PartRequest request;
    std::string address;
  };

  LargeChangeReceiver(const FleetState& fleet, InstanceRecord self,
                      Clock clock);

  /// Records which large changes a digest announces.
  /// @return whether all of them are in the fleet state already
  bool Announce(const wire::StoreDigest& digest);

  /// The requests to send now; none if nothing is missing, or if parts may
  /// still arrive in response to the last requests.
  std::vector<AddressedRequest> NextRequests();

  /// @return the change that the part completes, to be applied
  std::optional<StoreEvent> Receive(const wire::ChangePart& part);

  /// Whether announced changes are not in the fleet state yet.
  bool HasMissing() const;

  /// The revision through which all changes are known once nothing is missing.
  std::uint64_t CompleteThrough() const { return this->complete_through; }

  /// When the last part arrived that was missing.
  Instant LastProgress() const { return this->last_progress; }

 private:
  struct Transfer {
    wire::LargeChange change;
    PartAssembler assembler;
  };

  bool IsKnown(const wire::LargeChange& change) const;
  bool IsRequestDue() const;
  std::vector<std::string> NextSources();
  void AddNextRelay(std::vector<std::string>& sources);

  const FleetState& fleet;
  const InstanceRecord self;
  const Clock clock;
  std::vector<Transfer> transfers;
  std::uint64_t complete_through = 0;
  /// The addresses of the last requests; at first the announcer's.
  std::vector<std::string> sources;
  bool requested = false;  ///< whether any part was requested
  std::size_t next_relay = 0;
  NeighborRotation neighbors;
  Instant last_request = -absl::InfiniteDuration();
  Instant last_progress = -absl::InfiniteDuration();
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_LARGE_CHANGE_RECEIVER_H_
