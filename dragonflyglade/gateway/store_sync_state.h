#ifndef DRAGONFLYGLADE_GATEWAY_STORE_SYNC_STATE_H_
#define DRAGONFLYGLADE_GATEWAY_STORE_SYNC_STATE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <optional>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/signal.h"

namespace dragonflyglade::gateway {

/// What an instance that follows the store says of it.
struct RelayDigest {
  /// The newest revision with an urgent change: of the configuration, of which
  /// targets and instances there are, or of the duty.
  std::uint64_t urgent_revision = 0;
  /// Through which the changes that came with the word are all; 0: they are
  /// not.
  std::uint64_t changes_through = 0;
  /// When the store last said that there is nothing newer.
  Instant confirmed_at;
};

/// What this instance knows of the store, and how old that is: by its own
/// reads, and by the word of instances that follow the store. One event loop.
class StoreSyncState {
 public:
  StoreSyncState(boost::asio::io_context& context, Clock clock);

  /// An own read brought all changes up to a revision.
  /// @param urgent the newest revision with an urgent change
  void Read(std::uint64_t revision, std::uint64_t urgent);

  /// Another instance's word came, and its changes were applied.
  void Told(const RelayDigest& word);

  /// Called when an own read brought an urgent change.
  void OnUrgentChange(std::function<void()> act) {
    this->on_urgent = std::move(act);
  }

  /// By own reads: the newest urgent change, the revision through which all
  /// changes are known, and when the store said so.
  std::uint64_t UrgentRevision() const { return this->urgent_revision; }
  std::uint64_t ReadThrough() const { return this->read_through; }
  Instant ConfirmedAt() const { return this->confirmed_at; }

  /// The revision through which all urgent changes are known, by own reads or
  /// by others' word.
  std::uint64_t KnownThrough() const { return this->known_through; }

  /// Whether an instance that follows the store spoke lately enough to rely on
  /// its word.
  bool HasLiveRelay() const;

  /// Whether others know of urgent changes that this instance lacks.
  bool IsBehind() const { return this->behind_since.has_value(); }

  /// Whether it has lacked them for so long that they must be read.
  bool MustReadStore() const;

  /// For how long the store has answered those that follow it, without a
  /// pause; zero if nobody speaks for it.
  absl::Duration StoreUptime() const;

  /// How old the newest word is, from when its sender heard the store;
  /// unlimited if none came.
  absl::Duration DigestAge() const;

  /// Notified at each word.
  Signal& Changed() { return this->changed; }

 private:
  void LookBehind(bool progress);

  const Clock clock;
  std::uint64_t urgent_revision = 0;
  std::uint64_t read_through = 0;
  Instant confirmed_at;
  std::uint64_t known_through = 0;

  std::uint64_t told_revision = 0;  ///< urgent, by others' word
  Instant told_confirmed_at = -absl::InfiniteDuration();
  Instant told_steady_since;
  std::optional<Instant> behind_since;

  Signal changed;
  std::function<void()> on_urgent;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STORE_SYNC_STATE_H_
