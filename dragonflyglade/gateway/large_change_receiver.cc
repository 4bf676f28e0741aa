#include "dragonflyglade/gateway/large_change_receiver.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

// Longer than a part waits at a sender that serves a few tens of instances. The
// parts may also be lost, or the sender unreachable.
constexpr absl::Duration kRequestTimeout = absl::Milliseconds(200);
// The parts for one request follow one another closely, also on a slow link.
constexpr absl::Duration kMaxPartGap = absl::Milliseconds(60);
// Bound on what foreign datagrams can make this instance allocate: the store's
// largest value has fewer parts.
constexpr std::int32_t kMaxParts = 256;

bool IsPlausible(const wire::LargeChange& change) {
  return change.parts > 0 && change.parts <= kMaxParts;
}

}  // namespace

LargeChangeReceiver::LargeChangeReceiver(const FleetState& fleet,
                                         InstanceRecord self, Clock clock)
    : fleet(fleet),
      self(std::move(self)),
      clock(std::move(clock)),
      neighbors(fleet, this->self.name) {}

bool LargeChangeReceiver::IsKnown(const wire::LargeChange& change) const {
  return this->fleet.AppliedRevision(change.key) >=
         static_cast<std::uint64_t>(change.revision);
}

bool LargeChangeReceiver::Announce(const wire::StoreDigest& digest) {
  std::vector<wire::LargeChange> missing;
  for (const wire::LargeChange& change : digest.large_changes) {
    if (this->IsKnown(change)) continue;
    if (!IsPlausible(change)) return false;
    missing.push_back(change);
  }
  if (missing.empty()) return true;
  const auto through =
      static_cast<std::uint64_t>(digest.through_with_large_changes);
  // An instance that is behind itself may announce a version that is replaced.
  if (this->HasMissing() && through < this->complete_through) return false;
  std::vector<Transfer> kept;
  for (wire::LargeChange& change : missing) {
    const auto same =
        std::find_if(this->transfers.begin(), this->transfers.end(),
                     [&](const Transfer& transfer) {
                       return transfer.change.checksum == change.checksum;
                     });
    if (same != this->transfers.end()) {
      kept.push_back(std::move(*same));
      this->transfers.erase(same);
      continue;
    }
    const auto checksum = static_cast<std::uint64_t>(change.checksum);
    const auto parts = static_cast<std::size_t>(change.parts);
    kept.push_back({std::move(change), PartAssembler(checksum, parts)});
    this->requested = false;
  }
  this->transfers = std::move(kept);
  this->complete_through = through;
  if (!this->requested) this->sources = {digest.address};
  return false;
}

bool LargeChangeReceiver::HasMissing() const {
  return std::any_of(this->transfers.begin(), this->transfers.end(),
                     [this](const Transfer& transfer) {
                       return !this->IsKnown(transfer.change);
                     });
}

bool LargeChangeReceiver::IsRequestDue() const {
  if (!this->requested) return true;
  const Instant now = this->clock.Now();
  if (this->last_progress > this->last_request) {
    return now - this->last_progress >= kMaxPartGap;
  }
  return now - this->last_request >= kRequestTimeout;
}

std::vector<LargeChangeReceiver::AddressedRequest>
LargeChangeReceiver::NextRequests() {
  std::erase_if(this->transfers, [this](const Transfer& transfer) {
    return this->IsKnown(transfer.change);
  });
  if (this->transfers.empty() || !this->IsRequestDue()) return {};
  const Transfer& transfer = this->transfers.front();
  wire::PartRequest request;
  request.address = this->self.peer_address;
  request.key = transfer.change.key;
  request.revision = transfer.change.revision;
  request.checksum = transfer.change.checksum;
  for (const std::size_t number : transfer.assembler.Missing()) {
    request.parts.push_back(static_cast<std::int32_t>(number));
  }
  this->sources = this->NextSources();
  this->requested = true;
  this->last_request = this->clock.Now();
  std::vector<AddressedRequest> requests;
  for (const std::string& source : this->sources) {
    requests.push_back({request, source});
  }
  return requests;
}

// The announcer has the change for certain. If no part arrives, it may have
// failed or be busy with other instances; a relay has the change soon, and so
// has any other instance. A source that responds is asked again: only some of
// its parts were lost.
std::vector<std::string> LargeChangeReceiver::NextSources() {
  const bool responds = this->last_progress > this->last_request;
  if (!this->requested || responds) return this->sources;
  std::vector<std::string> sources;
  this->AddNextRelay(sources);
  std::optional<std::string> neighbor = this->neighbors.NextAddress();
  if (neighbor.has_value()) sources.push_back(*std::move(neighbor));
  return sources;
}

void LargeChangeReceiver::AddNextRelay(std::vector<std::string>& sources) {
  const auto& relays = this->fleet.RelayInstances();
  for (std::size_t i = 0; i < relays.size(); ++i) {
    this->next_relay += 1;
    const InstanceRecord* relay = relays[this->next_relay % relays.size()];
    if (relay->name == this->self.name) continue;
    sources.push_back(relay->peer_address);
    return;
  }
}

std::optional<StoreEvent> LargeChangeReceiver::Receive(
    const wire::ChangePart& part) {
  for (Transfer& transfer : this->transfers) {
    if (transfer.change.checksum != part.checksum || part.number < 0) continue;
    if (!transfer.assembler.Add(static_cast<std::size_t>(part.number),
                                part.bytes)) {
      continue;
    }
    this->last_progress = this->clock.Now();
    return transfer.assembler.TakeComplete();
  }
  return std::nullopt;
}

}  // namespace dragonflyglade::gateway
