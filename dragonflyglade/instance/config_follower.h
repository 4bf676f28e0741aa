#ifndef DRAGONFLYGLADE_INSTANCE_CONFIG_FOLLOWER_H_
#define DRAGONFLYGLADE_INSTANCE_CONFIG_FOLLOWER_H_

#include <memory>
#include <optional>
#include <string>

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/decision/backoff.h"
#include "dragonflyglade/decision/config_freshness.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/record_store.h"
#include "dragonflyglade/instance/catalog_publisher.h"
#include "dragonflyglade/net/periodic_worker.h"
#include "dragonflyglade/operator/catalog.h"
#include "dragonflyglade/peer/peer_client.h"
#include "dragonflyglade/store/kv_client.h"

namespace dragonflyglade {

/// Intervals and relay count for following the configuration.
struct FollowerOptions {
  absl::Duration reread_period = absl::Seconds(1);
  /// Age of the configuration above which an instance that is not a relay
  /// reads the key-value service itself.
  absl::Duration direct_read_age = absl::Seconds(2);
  int relay_count = 2;
};

/// Keeps this instance's configuration up to date.
///
/// A few relay instances watch the key-value service and also re-read it
/// periodically. The other instances pull from any instance that announces a
/// newer revision, so the number of watches and reads at the service does not
/// grow with the fleet.
class ConfigFollower {
 public:
  /// @param on_change called with each new catalog
  ConfigFollower(const KvClient& kv, PeerClient& peers, Membership& membership,
                 RecordStore& records, ConfigFreshness& freshness,
                 CatalogHolder& catalog, FollowerOptions options,
                 CatalogPublisher::OnChange on_change, Clock clock);
  ~ConfigFollower();

  void Start();
  void Stop();

  /// Schedules a pull from an instance that has a newer configuration.
  void SchedulePull(const MemberStatus& member);

  /// Whether this instance watches the key-value service for the others.
  bool IsRelay() const;

 private:
  absl::Duration ReadRound();
  absl::Duration WatchRound();
  absl::Duration PullRound();
  bool ReadStore(bool full_read);
  void ApplyEntries(absl::Span<const KvEntry> entries, std::int64_t revision);
  void ApplyEvents(absl::Span<const KvEvent> events);
  void ApplyVersions(absl::Span<const RecordVersion> versions);
  void MarkMissingAsDeleted(const KvRange& range);
  void RecoverValidVersion(const RecordVersion& rejected);
  void ReopenStalledWatch(std::int64_t delivered_revision,
                          std::int64_t read_revision);

  const KvClient& kv;
  PeerClient& peers;
  Membership& membership;
  RecordStore& records;
  ConfigFreshness& freshness;
  CatalogPublisher publisher;
  const FollowerOptions options;
  const Clock clock;

  absl::Mutex mutex;
  std::shared_ptr<KvWatchHandle> watch ABSL_GUARDED_BY(mutex);
  std::int64_t watched_revision ABSL_GUARDED_BY(mutex) = 0;
  std::optional<MemberStatus> pull_source ABSL_GUARDED_BY(mutex);
  Backoff backoff;
  int read_rounds = 0;
  PeriodicWorker reader;
  PeriodicWorker watcher;
  PeriodicWorker puller;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_CONFIG_FOLLOWER_H_
