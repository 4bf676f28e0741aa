#ifndef DRAGONFLYGLADE_DECISION_QUOTA_WINDOWS_H_
#define DRAGONFLYGLADE_DECISION_QUOTA_WINDOWS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/quota_bucket.h"

namespace dragonflyglade {

/// The quota of a workspace over all instances.
struct QuotaLimit {
  double rate = 0;   ///< tokens per second; no limit if burst is 0, too
  double burst = 0;  ///< tokens
};

/// The window in which limits are counted, and by how much the fleet may exceed
/// them. The excess covers spending that instances do not know of each other.
struct QuotaTolerance {
  absl::Duration window = absl::Seconds(8);
  double overage = 0;  ///< fraction of the limit
  double slack = 0;    ///< tokens in a window
  /// How much an instance may spend until the next summary, as a multiple of
  /// its equal share of what is left. Above 1, a large request need not be
  /// refused while there is no leader to ask for a grant; what instances spend
  /// above their shares at the same time comes out of the slack.
  double share_multiple = 1;
};

/// Whether a request is admitted, and if not, when to retry.
struct QuotaVerdict {
  bool admitted = true;
  absl::Duration retry_after = absl::ZeroDuration();
  double left = 0;  ///< tokens that could be spent before this request
};

/// What the whole fleet spent in the window, by the newest summary.
struct FleetSpending {
  double total = 0;   ///< tokens spent by all instances, including this one
  double own = 0;     ///< tokens of the total that this instance spent
  int instances = 1;  ///< number of instances that the total covers
  /// Number of instances that restarted and whose earlier spending is not in
  /// the total, each weighted by the fraction of the window that is not known.
  double unknown_shares = 0;
  /// Fraction of the quota that instances which do not report may be spending;
  /// see QuotaParticipants.
  double unreported_fraction = 0;
  /// Tokens in the workspace's bucket at the leader; see QuotaBuckets. Not set
  /// if the leader does not state it.
  std::optional<double> bucket_level = std::nullopt;
  /// The longest time for which one of these instances has not reported, and
  /// the highest bucket level that any of them followed then. Not set if any of
  /// them follows none.
  absl::Duration unreported_for = absl::InfiniteDuration();
  std::optional<double> unreported_level = std::nullopt;
  /// What this instance had spent since its start when it sent the report that
  /// the bucket's level contains.
  double own_total = 0;
};

/// The longest network partition, from the store and from other instances,
/// during which the limits hold for both sides together. With a shorter value,
/// the two sides of a 12 s partition together exceed the limit. A share that
/// stays unused for this long costs little, since workspaces mostly stay well
/// below their limits.
inline constexpr absl::Duration kMaxPartitionDuration = absl::Seconds(20);
/// While a fleet starts, weaker instances are listed until stronger ones
/// replace them. An instance that was listed for longer than this is one that
/// the quotas were divided by, so it gets its own share again when it is back.
inline constexpr absl::Duration kFleetStartupTime = absl::Seconds(5);

/// The fraction of a window's quota that a restarted process may spend when the
/// spending before the restart is unknown. Grows from 0 to 1.
/// @param age time since the process started
double SpendableFractionAfterRestart(absl::Duration age, absl::Duration window);

/// The fraction of the known spending before a restart that still counts. The
/// amount is known, but not when it was spent within the window.
/// @param age time since the process started
double CountedFractionOfPriorSpending(absl::Duration age,
                                      absl::Duration window);

/// The fraction of its share that an instance may spend after it was newly
/// listed. It takes the place of an instance that is no longer listed, but that
/// may be running on the other side of a partition and spending the same share.
/// @param listed_for time since it was listed
double SpendableFractionAfterJoin(absl::Duration listed_for,
                                  absl::Duration window);

/// Counts this instance's spending of each workspace's quota in a sliding
/// window, and decides how much more it may spend. Not synchronised.
///
/// With a recent summary of the fleet, each instance may spend an equal share
/// of what the fleet has left. Its spending since the summary counts against
/// that share, so all shares together stay within the limit. Without a summary,
/// each instance may spend an equal share of the whole limit, which is safe
/// whichever messages are lost.
class QuotaWindows {
 public:
  /// @param nothing_spent_before false after a restart, when the spending of
  ///   the previous process is unknown and counts for a whole window
  QuotaWindows(QuotaTolerance tolerance, bool nothing_spent_before,
               Clock clock);

  /// Sets how many instances share the quotas: those that callers are sent to.
  /// A lower count takes effect only after it has lasted longer than network
  /// partitions do, since an instance that is no longer listed in the store may
  /// go on spending during a partition or may come back.
  void SetParticipantCount(int count);
  int ParticipantCount() const { return this->instances; }

  /// Sets by how much the fleet may exceed limits, when the settings change.
  void SetTolerance(const QuotaTolerance& newer) { this->tolerance = newer; }

  /// Sets what the fleet had spent by workspace when this process started, and
  /// whether the previous process of this instance owned a share. The spending
  /// counts for one window. Has no effect once spending was set.
  void SetPriorSpending(std::map<std::string, double, std::less<>> spent,
                        bool owned_share);

  /// Sets the fleet's spending of a workspace by a summary just received.
  void SetFleetSpending(std::string_view workspace, FleetSpending spend);

  /// Sets whether callers are sent to this instance; if not, it has no share of
  /// its own. A newly listed instance gets its share with a delay, since the
  /// instance that it replaces may still spend that share. An instance that was
  /// partitioned and is back has its own share at once.
  void SetListed(bool listed);

  /// How long ago this instance was newly listed; infinite if it has had its
  /// share since the process started.
  absl::Duration ListedFor() const;

  /// Admits a request if it fits into the part of this instance's share that
  /// may be spent without asking the leader for a grant, and counts its tokens.
  QuotaVerdict AdmitWithoutGrant(std::string_view workspace,
                                 const QuotaLimit& limit, double tokens);

  /// Decides, at the leader, whether an instance may spend tokens beyond its
  /// share. The instance then counts them with RecordGrant. Both the window and
  /// the bucket, if its level is given, must have the tokens.
  QuotaVerdict DecideGrant(const QuotaLimit& limit, double tokens,
                           const FleetSpending& spend) const;

  /// Counts tokens that the leader granted to this instance.
  void RecordGrant(std::string_view workspace, double tokens);

  /// Admits a request if it fits into this instance's share and counts its
  /// tokens; else returns when they will fit.
  QuotaVerdict AdmitFromShare(std::string_view workspace,
                              const QuotaLimit& limit, double tokens);

  /// Refunds the tokens of a request that was counted but did not run.
  void Refund(std::string_view workspace, double tokens);

  /// The tokens that this instance spent in the window, by workspace.
  std::map<std::string, double> Spent();

  /// The tokens of each workspace that this instance spent since its start,
  /// less refunds.
  std::map<std::string, double, std::less<>> SpentTotals() const;
  double SpentTotal(std::string_view workspace) const;

  /// The tokens that all instances together may spend in a window.
  double FleetAllowance(const QuotaLimit& limit) const;

  /// The bucket of all instances together. Its capacity and its refill in a
  /// window are the fleet's allowance.
  BucketSize FleetBucket(const QuotaLimit& limit) const;

  /// This instance's equal share of the refill, in tokens per second.
  double OwnRefill(std::string_view workspace, const QuotaLimit& limit) const;

  /// A bucket level that a new leader may start with: what the window leaves,
  /// and no more than the previous leader's last summary states.
  double InitialBucketLevel(std::string_view workspace, const QuotaLimit& limit,
                            const FleetSpending& spend) const;

  /// Tokens that the fleet has left in the window; may be negative.
  double FleetWindowLeft(const QuotaLimit& limit,
                         const FleetSpending& spend) const {
    return this->FleetLeft(limit, spend);
  }

  /// The bucket level that this instance follows, by the last summary; nothing
  /// if it follows none.
  std::optional<double> FollowedBucketLevel(std::string_view workspace) const;

 private:
  struct Slice {
    std::int64_t number = 0;  ///< slices since the start of the clock
    double tokens = 0;
  };
  /// A bucket's level in a summary.
  struct LevelAt {
    Instant at;
    double level = 0;
  };
  /// Spending of one workspace in the window.
  struct Spending {
    std::deque<Slice> slices;  ///< of this instance, the oldest first
    double sum = 0;            ///< of the slices
    double total = 0;          ///< since the start, less refunds
    FleetSpending fleet;
    std::optional<Instant> fleet_at;  ///< when the summary came
    /// The newest bucket level of any summary, and when it came.
    std::optional<double> bucket_level;
    Instant bucket_level_at;
    /// The bucket's level in the summaries of the last second, without those
    /// that are followed by a lower one.
    std::deque<LevelAt> low_levels;
  };

  /// The spending of a workspace without the slices that left the window.
  Spending& Current(std::string_view workspace);
  /// How much this instance may spend in the window, and has spent.
  struct Share {
    double tokens = 0;
    double spent = 0;
    double share_multiple = 1;  ///< see QuotaTolerance
  };

  bool HasRecentSummary(const Spending& spending) const;
  /// Whether the last summary contains spending that is still in the window.
  bool HasSummaryInWindow(const Spending& spending) const;
  /// This instance's part of the bucket, by the last summary.
  BucketSize OwnBucket(const Spending& spending, const QuotaLimit& limit) const;
  /// Tokens in this instance's part of the bucket; nothing if it does not limit
  /// the instance.
  std::optional<double> OwnBucketLevel(const Spending& spending,
                                       const QuotaLimit& limit) const;
  /// How many instances share what the fleet has left.
  int SharingInstances(const FleetSpending& spend) const;
  /// Tokens that the fleet has left in the window; may be negative.
  double FleetLeft(const QuotaLimit& limit, const FleetSpending& spend) const;
  /// Tokens to reserve for instances that do not report.
  double ReservedForUnreported(const QuotaLimit& limit,
                               const FleetSpending& spend) const;
  /// Whether a bucket is drained by a workspace that asks for more than its
  /// rate.
  bool IsDrained(double level, const QuotaLimit& limit) const;
  void RecordLevel(Spending& spending, double level);
  void Count(Spending& spending, double tokens);
  Share ShareWithoutSummary(std::string_view workspace,
                            const Spending& spending,
                            const QuotaLimit& limit) const;
  Share OwnShare(std::string_view workspace, const Spending& spending,
                 const QuotaLimit& limit) const;
  std::int64_t CurrentSlice() const;
  double SpendableAfterRestart(std::string_view workspace,
                               double allowed) const;
  double Spendable(std::string_view workspace, double allowed) const;

  QuotaTolerance tolerance;
  const Clock clock;
  const bool nothing_spent_before;
  const Instant started;
  int instances = 1;     ///< that share the quotas
  Instant instances_at;  ///< when the count was last set or confirmed
  bool listed = true;
  Instant listed_at;        ///< when listed last became true
  bool owns_share = false;  ///< was listed before, not in another's place
  /// When this instance was newly listed in another's place, if it was.
  std::optional<Instant> listed_since;
  std::map<std::string, double, std::less<>> spent_before;
  std::map<std::string, Spending, std::less<>> spendings;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_QUOTA_WINDOWS_H_
