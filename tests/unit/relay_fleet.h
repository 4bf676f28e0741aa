#ifndef DRAGONFLYGLADE_TESTS_UNIT_RELAY_FLEET_H_
#define DRAGONFLYGLADE_TESTS_UNIT_RELAY_FLEET_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "dragonflyglade/gateway/store_relay.h"

namespace dragonflyglade::gateway {

inline constexpr const char* kTestConfigKey = "configuration";
inline constexpr double kTestLinkMbps = 200;
inline constexpr absl::Duration kTestHeartbeat = absl::Milliseconds(1200);

/// Bytes that cannot be compressed.
inline std::string RandomBytes(std::size_t bytes, unsigned seed) {
  std::mt19937 random(seed);
  std::string text(bytes, '\0');
  for (char& c : text) c = static_cast<char>(random());
  return text;
}

inline StoreItem Item(const std::string& key, std::uint64_t revision,
                      std::string value) {
  return {key, std::move(value), revision, 0};
}

/// A wire format whose configurations have their size as their version.
inline WireFormat RelayTestWire() {
  WireFormat wire;
  wire.config_key = kTestConfigKey;
  wire.targets_prefix = "targets/";
  wire.evacuations_prefix = "evacuations/";
  wire.decode_config = [](std::string_view text) -> Result<GatewayConfig> {
    GatewayConfig config;
    config.version = text.size();
    return config;
  };
  wire.decode_target = [](std::string_view key,
                          std::string_view) -> Result<TargetRecord> {
    TargetRecord record;
    record.id = std::string(key.substr(key.find('/') + 1));
    record.service = "service";
    return record;
  };
  return wire;
}

/// Instances whose relays exchange messages without a network. The instance at
/// index k has the name and the address "i<k>".
class RelayFleet {
 public:
  struct Instance {
    Instance(RelayFleet& fleet, const std::string& name)
        : state(fleet.context, fleet.wire, availability, fleet.clock,
                fleet.log),
          sync_state(fleet.context, availability, fleet.clock),
          relay(fleet.context, state, sync_state, Record(name), kTestLinkMbps,
                fleet.metrics, fleet.log, fleet.clock) {
      this->relay.OnSend(
          [&fleet](const wire::FleetMessage& message, const std::string& to) {
            fleet.sent.push_back({message, to});
          });
    }
    StoreAvailability availability{kTestHeartbeat};
    FleetState state;
    StoreSyncState sync_state;
    StoreRelay relay;
  };

  struct Sent {
    wire::FleetMessage message;
    std::string address;
  };

  explicit RelayFleet(int count) {
    for (int i = 0; i < count; ++i) {
      this->instances.push_back(std::make_unique<Instance>(*this, Name(i)));
    }
  }

  static std::string Name(int instance) { return absl::StrCat("i", instance); }

  static InstanceRecord Record(const std::string& name) {
    InstanceRecord record;
    record.name = name;
    record.zone = "a";
    record.peer_address = name;
    record.incarnation = name;
    record.capacity = 1;
    return record;
  }

  /// Applies items as if the instance had read them from the store.
  void ApplyRead(int instance, const std::vector<StoreItem>& items,
                 std::uint64_t revision) {
    Instance& reader = *this->instances[instance];
    reader.state.ApplyListing({}, 0);
    reader.sync_state.RecordResponse();
    for (const StoreItem& item : items) reader.state.Apply(item);
    reader.sync_state.RecordRead(revision, reader.state.UrgentRevision());
  }

  /// A question or report that is sent and received now.
  RequestTime RequestNow() const {
    const Instant now = this->clock.Now();
    return {absl::ToInt64Milliseconds(now), now};
  }

  /// Passes digests from one instance to another until the receiver is up to
  /// date or makes no progress.
  /// @return number of digests
  int CatchUp(int instance, int from) {
    Instance& receiver = *this->instances[instance];
    int digests = 0;
    std::uint64_t known = 0;
    do {
      known = receiver.sync_state.KnownThrough();
      receiver.relay.ReceiveDigest(
          this->instances[from]->relay.RespondWithDigest(known,
                                                         this->RequestNow()));
      digests += 1;
    } while (receiver.sync_state.KnownThrough() > known &&
             receiver.sync_state.IsBehind());
    return digests;
  }

  boost::asio::io_context context;
  ManualClock time;
  const Clock clock{&this->time};
  Metrics metrics;
  EventLog log{"relay", this->clock};
  const WireFormat wire = RelayTestWire();
  std::vector<std::unique_ptr<Instance>> instances;
  std::deque<Sent> sent;  ///< not delivered yet
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_TESTS_UNIT_RELAY_FLEET_H_
