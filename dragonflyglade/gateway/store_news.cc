#include "dragonflyglade/gateway/store_news.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

// A word counts if its sender heard the store this lately. The sender's own
// read may be silent for 1.2 s before it notices; with the datagram's way and
// a read of our own a change is still in force within two seconds.
constexpr absl::Duration kDigestMaxAge = absl::Milliseconds(1500);
// Whoever follows the store hears it at least once a second.
constexpr absl::Duration kMaxConfirmationGap = absl::Milliseconds(1500);
// The next word, each half a second at the latest, brings what is lacking or
// some of it. If a second one fails to, it may not fit or be lost each time.
constexpr absl::Duration kMaxLag = absl::Milliseconds(800);

}  // namespace

StoreNews::StoreNews(boost::asio::io_context& context, Clock clock)
    : clock(std::move(clock)), changed(context) {}

void StoreNews::Read(std::uint64_t revision, std::uint64_t urgent) {
  const bool is_new = urgent > this->urgent_revision;
  this->read_through = std::max(this->read_through, revision);
  this->urgent_revision = std::max(this->urgent_revision, urgent);
  this->confirmed_at = this->clock.Now();
  this->known_through = std::max(this->known_through, revision);
  this->UpdateLag(true);
  if (is_new && this->on_urgent) this->on_urgent();
}

void StoreNews::Told(const StoreWord& word) {
  const bool progress = word.changes_through > this->known_through;
  this->known_through = std::max(this->known_through, word.changes_through);
  this->relay_urgent_revision =
      std::max(this->relay_urgent_revision, word.urgent_revision);
  if (word.confirmed_at - this->relay_confirmed_at > kMaxConfirmationGap) {
    this->store_up_since = word.confirmed_at;
  }
  // Several speak, and some heard the store earlier than others.
  this->relay_confirmed_at =
      std::max(this->relay_confirmed_at, word.confirmed_at);
  this->UpdateLag(progress);
  this->changed.Notify();
}

void StoreNews::UpdateLag(bool progress) {
  if (this->relay_urgent_revision <= this->known_through) {
    this->behind_since.reset();
  } else if (progress || !this->behind_since.has_value()) {
    this->behind_since = this->clock.Now();
  }
}

absl::Duration StoreNews::WordAge() const {
  return this->clock.Now() - this->relay_confirmed_at;
}

bool StoreNews::IsLed() const { return this->WordAge() < kDigestMaxAge; }

bool StoreNews::MustRead() const {
  return this->behind_since.has_value() &&
         this->clock.Now() - *this->behind_since > kMaxLag;
}

absl::Duration StoreNews::SteadyFor() const {
  if (!this->IsLed()) return absl::ZeroDuration();
  return this->clock.Now() - this->store_up_since;
}

}  // namespace dragonflyglade::gateway
