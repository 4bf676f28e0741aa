#ifndef DRAGONFLYGLADE_GATEWAY_STORE_NEWS_H_
#define DRAGONFLYGLADE_GATEWAY_STORE_NEWS_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/signal.h"

namespace dragonflyglade::gateway {

/// What is known of the store's newest changes, by this instance's own watch
/// and by word of the instance that holds the placing duty. One event loop.
struct StoreNews {
  explicit StoreNews(boost::asio::io_context& context) : changed(context) {}

  /// The newest revision with a change that must be followed at once: of the
  /// configuration, of which targets and instances there are, or of the duty.
  std::uint64_t urgent_revision = 0;
  /// The revision through which this instance's own watch brought all changes.
  std::uint64_t watched_through = 0;
  /// The same for urgent changes, by its own watch or by the holder's word.
  std::uint64_t urgent_through = 0;
  /// When this instance last heard that it had all changes.
  Instant confirmed_at;

  /// The same by the holder's word.
  std::uint64_t holder_revision = 0;
  Instant holder_confirmed_at;
  Signal changed;
  /// Called when the own watch brought a change that must be followed at once.
  std::function<void()> on_urgent;

  /// The own watch brought all changes up to a revision.
  void Watched(std::uint64_t revision, std::uint64_t urgent, Instant now) {
    this->watched_through = revision;
    this->urgent_through = std::max(this->urgent_through, revision);
    this->urgent_revision = urgent;
    this->confirmed_at = now;
  }

  /// Since when the holder has been in contact with the store throughout.
  Instant holder_steady_since;

  void HeardOfHolder(std::uint64_t revision, Instant confirmed) {
    // The holder's own watch answers at least once a second.
    constexpr absl::Duration kSteady = absl::Milliseconds(1500);
    if (confirmed - this->holder_confirmed_at > kSteady) {
      this->holder_steady_since = confirmed;
    }
    this->holder_revision = revision;
    this->holder_confirmed_at = confirmed;
    this->changed.Notify();
  }
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STORE_NEWS_H_
