#ifndef DRAGONFLYGLADE_INSTANCE_CONFIG_FOLLOWER_H_
#define DRAGONFLYGLADE_INSTANCE_CONFIG_FOLLOWER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/decision/backoff.h"
#include "dragonflyglade/decision/config_freshness.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/record_store.h"
#include "dragonflyglade/net/periodic_worker.h"
#include "dragonflyglade/operator/catalog.h"
#include "dragonflyglade/peer/peer_client.h"
#include "dragonflyglade/store/kv_client.h"

namespace dragonflyglade {

/// Paces of following the configuration.
struct FollowerOptions {
  absl::Duration reread = absl::Seconds(1);
  /// Age at which an instance that is no relay reads the service itself.
  absl::Duration help_yourself_after = absl::Seconds(2);
  int relays = 2;
};

/// Keeps this instance's configuration the newest.
///
/// A few relays watch the key-value service and read it again each second;
/// the others pull from whoever announces a newer revision. So the service's
/// watches and reads do not grow with the fleet.
class ConfigFollower {
 public:
  /// Called after records came into force, with the newest catalog.
  using OnChange = std::function<void(const std::shared_ptr<const Catalog>&)>;

  ConfigFollower(const KvClient& kv, PeerClient& peers, Membership& membership,
                 RecordStore& records, ConfigFreshness& freshness,
                 CatalogHolder& catalog, FollowerOptions options,
                 OnChange on_change, Clock clock);
  ~ConfigFollower();

  void Start();
  void Stop();

  /// An instance has a newer configuration; pull from it soon.
  void PullFrom(const MemberStatus& member);

  /// Whether this instance watches the service for others.
  bool IsRelay() const;

 private:
  absl::Duration ReadRound();
  absl::Duration WatchRound();
  absl::Duration PullRound();
  bool ReadService(bool whole);
  void TakeEntries(absl::Span<const KvEntry> entries, std::int64_t revision);
  void MarkMissing(const KvRange& range);
  void RecoverGood(const RecordVersion& bad);
  void Rebuild();
  void NoteSilentWatch(std::int64_t delivered, std::int64_t read);

  const KvClient& kv;
  PeerClient& peers;
  Membership& membership;
  RecordStore& records;
  ConfigFreshness& freshness;
  CatalogHolder& catalog;
  const FollowerOptions options;
  const OnChange on_change;
  const Clock clock;

  absl::Mutex rebuild_mutex;
  CatalogBuilder builder ABSL_GUARDED_BY(rebuild_mutex);
  absl::Mutex mutex;
  std::shared_ptr<KvWatchHandle> watch ABSL_GUARDED_BY(mutex);
  std::int64_t watched_revision ABSL_GUARDED_BY(mutex) = 0;
  std::optional<MemberStatus> pull_from ABSL_GUARDED_BY(mutex);
  Backoff backoff;
  int rounds = 0;
  PeriodicWorker reader;
  PeriodicWorker watcher;
  PeriodicWorker puller;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_CONFIG_FOLLOWER_H_
