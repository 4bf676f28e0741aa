#include "dragonflyglade/gateway/store_sync_state.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

// A word counts if its sender heard the store this lately. The sender's own
// read may be silent for 1.2 s before it notices; with the datagram's way and
// a read of our own a change is still in force within two seconds.
constexpr absl::Duration kWordHolds = absl::Milliseconds(1500);
// Whoever follows the store hears it at least once a second.
constexpr absl::Duration kSteady = absl::Milliseconds(1500);
// The next word, each half a second at the latest, brings what is lacking or
// some of it. If a second one fails to, it may not fit or be lost each time.
constexpr absl::Duration kBehindAtMost = absl::Milliseconds(800);

}  // namespace

StoreSyncState::StoreSyncState(boost::asio::io_context& context, Clock clock)
    : clock(std::move(clock)), changed(context) {}

void StoreSyncState::Read(std::uint64_t revision, std::uint64_t urgent) {
  const bool is_new = urgent > this->urgent_revision;
  this->read_through = std::max(this->read_through, revision);
  this->urgent_revision = std::max(this->urgent_revision, urgent);
  this->confirmed_at = this->clock.Now();
  this->known_through = std::max(this->known_through, revision);
  this->LookBehind(true);
  if (is_new && this->on_urgent) this->on_urgent();
}

void StoreSyncState::Told(const RelayDigest& word) {
  const bool progress = word.changes_through > this->known_through;
  this->known_through = std::max(this->known_through, word.changes_through);
  this->told_revision = std::max(this->told_revision, word.urgent_revision);
  if (word.confirmed_at - this->told_confirmed_at > kSteady) {
    this->told_steady_since = word.confirmed_at;
  }
  // Several speak, and some heard the store earlier than others.
  this->told_confirmed_at =
      std::max(this->told_confirmed_at, word.confirmed_at);
  this->LookBehind(progress);
  this->changed.Notify();
}

void StoreSyncState::LookBehind(bool progress) {
  if (this->told_revision <= this->known_through) {
    this->behind_since.reset();
  } else if (progress || !this->behind_since.has_value()) {
    this->behind_since = this->clock.Now();
  }
}

absl::Duration StoreSyncState::DigestAge() const {
  return this->clock.Now() - this->told_confirmed_at;
}

bool StoreSyncState::HasLiveRelay() const {
  return this->DigestAge() < kWordHolds;
}

bool StoreSyncState::MustReadStore() const {
  return this->behind_since.has_value() &&
         this->clock.Now() - *this->behind_since > kBehindAtMost;
}

absl::Duration StoreSyncState::StoreUptime() const {
  if (!this->HasLiveRelay()) return absl::ZeroDuration();
  return this->clock.Now() - this->told_steady_since;
}

}  // namespace dragonflyglade::gateway
