#ifndef DRAGONFLYGLADE_GATEWAY_STORE_SYNC_STATE_H_
#define DRAGONFLYGLADE_GATEWAY_STORE_SYNC_STATE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/store_availability.h"
#include "dragonflyglade/gateway/async_condition.h"

namespace dragonflyglade::gateway {

/// The state of the store as a relay instance reports it in a digest.
struct RelayDigest {
  /// The newest revision with an urgent change: of the configuration, of the
  /// set of targets and instances, or of the leader.
  std::uint64_t urgent_revision = 0;
  /// The revision through which the digest's changes are complete; 0 if some
  /// may be missing.
  std::uint64_t changes_through = 0;
  /// When the store last confirmed to the relay that nothing is newer, or an
  /// earlier time; infinitely long ago if that is not known.
  Instant confirmed_at;
  /// Whether the relay cannot send the changes that this instance lacks.
  bool lacks_history = false;
};

/// How far this instance's copy of the store is up to date, by its own reads
/// and by the digests of relay instances. Used by one event loop.
class StoreSyncState {
 public:
  /// @param availability gets the evidence of own reads and of digests
  StoreSyncState(boost::asio::io_context& context,
                 StoreAvailability& availability, Clock clock);

  /// Records that the store responded to a call of this instance. To be called
  /// before the changes in the response are applied.
  void RecordResponse();

  /// Records when the store responded to others. To be called before the
  /// changes that they send are applied.
  void RecordUptime(const StoreUptime& uptime) {
    this->availability.RecordUptime(uptime);
  }

  const StoreAvailability& Availability() const { return this->availability; }

  /// Records that this instance has read all changes through a revision.
  /// @param urgent the newest revision with an urgent change
  void RecordRead(std::uint64_t revision, std::uint64_t urgent);

  /// Records that the store did not respond to a read of this instance.
  void RecordReadFailure() { this->reads_fail = true; }

  /// Records a digest of a relay, after its changes were applied.
  void ApplyDigest(const RelayDigest& digest);

  /// Records that parts of missing changes have arrived.
  void RecordProgress();

  /// Records that all changes through a revision have arrived in parts.
  void RecordComplete(std::uint64_t through);

  /// Called when this instance's own read contained an urgent change.
  void OnUrgentChange(std::function<void()> callback) {
    this->on_urgent_change = std::move(callback);
  }

  /// By this instance's own reads: the revision of the newest urgent change,
  /// the revision through which all changes are known, and when the store
  /// confirmed it.
  std::uint64_t UrgentRevision() const { return this->urgent_revision; }
  std::uint64_t ReadThrough() const { return this->read_through; }
  Instant ConfirmedAt() const { return this->confirmed_at; }

  /// Whether this instance's last read failed. It reads nothing while a relay
  /// is live.
  bool ReadsFail() const { return this->reads_fail; }

  /// The revision through which all urgent changes are known, by own reads or
  /// by digests.
  std::uint64_t KnownThrough() const { return this->known_through; }

  /// The newest urgent revision that relays have announced.
  std::uint64_t AnnouncedRevision() const {
    return this->relay_urgent_revision;
  }

  /// Whether the newest digest is recent enough to get updates from relays
  /// instead of the store.
  bool HasLiveRelay() const;

  /// Bound on the age of the newest version that is unknown here: for how long
  /// neither the store nor a relay has confirmed that nothing is; infinite if
  /// none ever did.
  absl::Duration KnowledgeAge() const;

  /// Whether relays have announced urgent changes that this instance lacks.
  bool IsBehind() const { return !this->announced.empty(); }

  /// Whether it has lacked them for so long, or relays cannot send them, that
  /// it must read the store.
  bool MustReadStore() const;

  /// For how much longer the newest digest makes its sender a live relay,
  /// unless another one arrives; zero if no relay is live.
  absl::Duration RelayTimeLeft() const;

  /// The age of the newest digest, counted from the store's response to its
  /// sender; infinite if there is none.
  absl::Duration DigestAge() const;

  /// Notified at each digest.
  AsyncCondition& Changed() { return this->changed; }

 private:
  /// An urgent revision that a digest announced.
  struct Announcement {
    std::uint64_t revision = 0;
    Instant at;
  };

  void UpdateLag();

  StoreAvailability& availability;
  const Clock clock;
  std::uint64_t urgent_revision = 0;
  std::uint64_t read_through = 0;
  Instant confirmed_at;
  bool reads_fail = false;
  std::uint64_t known_through = 0;

  std::uint64_t relay_urgent_revision = 0;  ///< by digests
  Instant relay_confirmed_at = -absl::InfiniteDuration();
  Instant current_at = -absl::InfiniteDuration();  ///< see KnowledgeAge
  /// The announced revisions that this instance lacks, oldest first.
  std::deque<Announcement> announced;
  Instant last_progress;
  bool relay_lacks_history = false;  ///< while changes are lacking

  AsyncCondition changed;
  std::function<void()> on_urgent_change;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STORE_SYNC_STATE_H_
