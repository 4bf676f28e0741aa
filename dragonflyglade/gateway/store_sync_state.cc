#include "dragonflyglade/gateway/store_sync_state.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

// Age up to which a digest counts, since the store responded to its sender. The
// sender may take 1.2 s to notice that its own read gets no response. With the
// time of the datagram and of a read by this instance, a change still takes
// effect within two seconds.
constexpr absl::Duration kDigestMaxAge = absl::Milliseconds(1500);
// Digests arrive at least every half second, and the next one contains at least
// some of the missing changes. If the second one does not, each datagram is
// lost.
constexpr absl::Duration kMaxTimeWithoutProgress = absl::Milliseconds(800);
// Changes that go on would otherwise count as progress forever while one of
// them does not arrive. With the time of a read it still takes effect within
// two seconds.
constexpr absl::Duration kMaxLag = absl::Milliseconds(1600);
// Further announcements count as the last one.
constexpr std::size_t kMaxAnnouncements = 64;

}  // namespace

StoreSyncState::StoreSyncState(boost::asio::io_context& context,
                               StoreAvailability& availability, Clock clock)
    : availability(availability), clock(std::move(clock)), changed(context) {}

void StoreSyncState::RecordResponse() {
  const Instant now = this->clock.Now();
  this->availability.RecordUptime({now, now});
}

void StoreSyncState::RecordRead(std::uint64_t revision, std::uint64_t urgent) {
  const bool is_new = urgent > this->urgent_revision;
  this->read_through = std::max(this->read_through, revision);
  this->urgent_revision = std::max(this->urgent_revision, urgent);
  this->confirmed_at = this->clock.Now();
  this->reads_fail = false;
  this->known_through = std::max(this->known_through, revision);
  this->current_at = this->confirmed_at;
  this->UpdateLag();
  if (is_new && this->on_urgent_change) this->on_urgent_change();
}

void StoreSyncState::ApplyDigest(const RelayDigest& digest) {
  if (digest.changes_through > this->known_through) this->RecordProgress();
  this->known_through = std::max(this->known_through, digest.changes_through);
  if (digest.urgent_revision > this->relay_urgent_revision) {
    this->relay_urgent_revision = digest.urgent_revision;
    if (this->announced.size() >= kMaxAnnouncements) {
      this->announced.back().revision = digest.urgent_revision;
    } else {
      this->announced.push_back({digest.urgent_revision, this->clock.Now()});
    }
  }
  // Digests of several relays arrive, and their confirmations differ in age.
  this->relay_confirmed_at =
      std::max(this->relay_confirmed_at, digest.confirmed_at);
  this->relay_lacks_history |= digest.lacks_history;
  this->UpdateLag();
  this->changed.Notify();
}

void StoreSyncState::RecordProgress() {
  this->last_progress = this->clock.Now();
}

void StoreSyncState::RecordComplete(std::uint64_t through) {
  this->known_through = std::max(this->known_through, through);
  this->RecordProgress();
  this->UpdateLag();
  this->changed.Notify();
}

void StoreSyncState::UpdateLag() {
  while (!this->announced.empty() &&
         this->announced.front().revision <= this->known_through) {
    this->announced.pop_front();
  }
  if (!this->announced.empty()) return;
  this->relay_lacks_history = false;
  this->current_at = std::max(this->current_at, this->relay_confirmed_at);
}

absl::Duration StoreSyncState::KnowledgeAge() const {
  return this->clock.Now() - this->current_at;
}

absl::Duration StoreSyncState::DigestAge() const {
  return this->clock.Now() - this->relay_confirmed_at;
}

bool StoreSyncState::HasLiveRelay() const {
  return this->DigestAge() < kDigestMaxAge;
}

absl::Duration StoreSyncState::RelayTimeLeft() const {
  return std::max(kDigestMaxAge - this->DigestAge(), absl::ZeroDuration());
}

bool StoreSyncState::MustReadStore() const {
  if (this->announced.empty()) return false;
  // A relay that was restarted: to wait for it would only make this instance
  // late.
  if (this->relay_lacks_history) return true;
  const Instant now = this->clock.Now();
  const Instant behind_since = this->announced.front().at;
  return now - behind_since > kMaxLag ||
         now - std::max(behind_since, this->last_progress) >
             kMaxTimeWithoutProgress;
}

}  // namespace dragonflyglade::gateway
