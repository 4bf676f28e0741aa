#ifndef DRAGONFLYGLADE_GATEWAY_STORE_NEWS_H_
#define DRAGONFLYGLADE_GATEWAY_STORE_NEWS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>

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
  /// When this instance last heard that it had all changes.
  Instant confirmed_at;

  /// The same by the holder's word.
  std::uint64_t holder_revision = 0;
  Instant holder_confirmed_at;
  Signal changed;

  void HeardOfHolder(std::uint64_t revision, Instant confirmed) {
    this->holder_revision = revision;
    this->holder_confirmed_at = confirmed;
    this->changed.Notify();
  }
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STORE_NEWS_H_
