#ifndef DRAGONFLYGLADE_DECISION_QUOTA_BUCKET_H_
#define DRAGONFLYGLADE_DECISION_QUOTA_BUCKET_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// The bucket of a workspace over all instances.
struct BucketSize {
  double capacity = 0;  ///< tokens
  double refill = 0;    ///< tokens per second
};

/// Whether a bucket with that many tokens admits a request. One that is larger
/// than the bucket is admitted when the bucket is full.
bool BucketAdmits(double level, double capacity, double tokens);

/// The time until a bucket admits a request.
absl::Duration TimeUntilAdmitted(double level, const BucketSize& size,
                                 double tokens);

/// What a process has spent of a workspace's quota since its start, less
/// refunds.
struct SpentTotal {
  std::string_view workspace;
  double tokens = 0;
};

/// A process's report of its spending.
struct SpendingReport {
  std::string_view process;
  std::int64_t sequence = 0;  ///< increases within a process
  absl::Duration age;         ///< of the process
  absl::Span<const SpentTotal> totals;
};

/// The token buckets of all workspaces, kept by the leader. Grants are taken
/// out at once, and what instances spend on their own when they report it. Not
/// synchronised.
///
/// The window of QuotaWindows is the limit; the buckets only spread what it
/// allows over time. A bucket's capacity and a window's refill together are
/// what the window allows.
class QuotaBuckets {
 public:
  explicit QuotaBuckets(Clock clock);

  /// Refills a workspace's bucket and returns its level, which may be negative.
  /// @param unreported_fraction of the refill is withheld, since instances that
  ///   do not report may be spending it
  /// @param initial_level of a bucket that is not known yet; limited by its
  ///   capacity
  double Level(std::string_view workspace, const BucketSize& size,
               double unreported_fraction, double initial_level);

  /// Takes a grant's tokens out of a bucket that Level was called for.
  void TakeGrant(std::string_view workspace, double tokens);

  /// Takes out what a process has spent since its previous report. A report
  /// that is not newer than the process's last is ignored.
  /// @param settled by workspace, the tokens of grants taken out before that
  ///   the totals contain now or that will not be spent
  void AddReport(const SpendingReport& report,
                 const std::map<std::string, double, std::less<>>& settled);

  /// Forgets all buckets and reports, after the leader lease ended.
  void Clear();

 private:
  struct Bucket {
    BucketSize size;
    double level = 0;
    /// Tokens of the refill that were withheld for instances that do not
    /// report, and that these have not reported as spent yet.
    double withheld = 0;
    double unreported_fraction = 0;
    Instant updated;
  };
  struct Process {
    std::int64_t sequence = 0;
    Instant reported_at;
    std::map<std::string, double, std::less<>> totals;
  };

  void Refill(Bucket& bucket) const;
  /// @param overdue whether the tokens were spent before the last seconds
  void Take(std::string_view workspace, double tokens, bool overdue);
  /// The process of a report, with its totals before the report.
  Process& ProcessOf(const SpendingReport& report);
  void RemoveExpiredProcesses();

  const Clock clock;
  Instant started;  ///< when this object began to receive reports
  std::map<std::string, Bucket, std::less<>> buckets;
  std::map<std::string, Process, std::less<>> processes;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_QUOTA_BUCKET_H_
