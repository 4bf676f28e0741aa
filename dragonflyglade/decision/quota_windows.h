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

namespace dragonflyglade {

/// What a workspace may spend over all instances.
struct QuotaLimit {
  double rate = 0;   ///< tokens a second; 0 with burst 0: no limit
  double burst = 0;  ///< tokens
};

/// Over which span a limit is counted, and by how much the fleet may exceed
/// it. The excess covers what instances cannot know of each other.
struct QuotaTolerance {
  absl::Duration window = absl::Seconds(8);
  double overage = 0;  ///< part of the limit
  double slack = 0;    ///< tokens in a window
  /// How much of its equal part of what is left an instance may spend until
  /// the next summary, in parts. Above 1 a large request need not be refused
  /// while nobody can be asked for more; instances that do so in the same
  /// moment spend the slack.
  double at_once = 1;
};

/// Whether a request is admitted, and if not, when to come back.
struct QuotaVerdict {
  bool admitted = true;
  absl::Duration retry_after = absl::ZeroDuration();
  double left = 0;  ///< tokens this instance could spend before the request
};

/// What the whole fleet spent in the window, by the newest summary.
struct FleetSpending {
  double total = 0;   ///< of all instances, this one among them
  double own = 0;     ///< what the total counts of this instance
  int instances = 1;  ///< that the total counts
  /// Instances that were started anew and whose spending before is not in the
  /// total, each weighted by the part of the window that is not known.
  double unknown_shares = 0;
  /// The part of the quota that instances may be spending which the total does
  /// not hear; see QuotaParticipants.
  double missing_part = 0;
};

/// How long instances may be cut off from the store and from others and go on.
/// Two sides of a cut of twelve seconds ran more than the limit where this was
/// shorter. A share that lies idle for so long is a small loss: workspaces are
/// mostly well inside their limits.
inline constexpr absl::Duration kCutOff = absl::Seconds(20);
/// While a fleet starts, instances are listed that later make way for stronger
/// ones. Listed for longer than this, an instance is one of those that the
/// quotas were divided by, and its part waits for it when it is back.
inline constexpr absl::Duration kFleetStartupTime = absl::Seconds(5);

/// The part of a window that a process may spend again after a restart, when
/// what was spent before it is not known.
/// @param age of the process
double SpendableFractionAfterRestart(absl::Duration age, absl::Duration window);

/// The part that still counts of what is known to have been spent before a
/// process started, although not when within the window.
/// @param age of the process
double CountedFractionOfPriorSpending(absl::Duration age,
                                      absl::Duration window);

/// The part of its share that an instance may spend which joined those that
/// callers are sent to. It takes the place of one that left the store's list,
/// and that one may be alive beyond a partition and spend the same share.
/// @param listed_for since it joined
double SpendableFractionAfterJoin(absl::Duration listed_for,
                                  absl::Duration window);

/// Counts what this instance spends of each workspace's quota in a sliding
/// window, and decides how much more it may spend. Not synchronised.
///
/// With a fresh summary of the fleet each instance may spend an equal part of
/// what the fleet has left; what it spent since the summary counts against its
/// part, so all parts together stay inside the limit. Without one, each may
/// spend an equal part of the whole limit, which holds whatever happens to
/// messages.
class QuotaWindows {
 public:
  /// @param nothing_spent_before false after a restart: what the process
  ///   before spent is not known, and counts until its window is over
  QuotaWindows(QuotaTolerance allowance, bool nothing_spent_before,
               Clock clock);

  /// The instances that share the quotas: those that callers are sent to. A
  /// lower count holds only once it has stood for longer than partitions last:
  /// instances that vanish from the store may spend on beyond one, or be back.
  void SetParticipantCount(int count);

  /// The operator changed how far the fleet may exceed limits.
  void SetTolerance(const QuotaTolerance& newer) { this->allowance = newer; }

  /// What the fleet had spent when this process started, by workspace, and
  /// whether the process before it had a part of its own. Counts until a window
  /// is over. What is set first stays.
  void SetPriorSpending(std::map<std::string, double, std::less<>> spent,
                        bool owned_part);

  /// A summary of the fleet came.
  void SetFleetSpending(std::string_view workspace, FleetSpending spend);

  /// Whether callers are sent to this instance. Others have no part of their
  /// own. One that joins gets its part late, since the one that it replaces may
  /// spend that part; one that was cut off and is back has its own.
  void SetListed(bool listed);

  /// For how long; unlimited if from the start of the process.
  absl::Duration ListedFor() const;

  /// Counts the tokens of a request if they fit into what this instance may
  /// spend while all others may ask for more, too: half of its part.
  QuotaVerdict AdmitWithoutGrant(std::string_view workspace,
                                 const QuotaLimit& limit, double tokens);

  /// Whether an instance may spend tokens beyond its part, by the sums of the
  /// fleet. Decided where the sums are; the instance counts them by Granted.
  QuotaVerdict Grant(const QuotaLimit& limit, double tokens,
                     const FleetSpending& spend) const;

  /// Counts tokens that were granted.
  void RecordGrant(std::string_view workspace, double tokens);

  /// Counts the tokens of a request, or says when they will fit.
  QuotaVerdict Take(std::string_view workspace, const QuotaLimit& limit,
                    double tokens);

  /// A request that was counted did not run.
  void GiveBack(std::string_view workspace, double tokens);

  /// What this instance spent in the window, by workspace.
  std::map<std::string, double> Spent();

  /// What all instances together may spend in a window.
  double FleetAllowance(const QuotaLimit& limit) const;

 private:
  struct Slice {
    std::int64_t number = 0;
    double tokens = 0;
  };
  struct Spending {
    std::deque<Slice> slices;
    double sum = 0;
    FleetSpending fleet;
    std::optional<Instant> fleet_at;
  };

  Spending& Current(std::string_view workspace);
  /// What this instance may spend of the window, and has.
  struct Part {
    double tokens = 0;
    double spent = 0;
    double at_once = 1;
  };

  bool IsFresh(const Spending& spending) const;
  /// How many share what the fleet has left.
  int Sharing(const FleetSpending& spend) const;
  double FleetLeft(double whole, const FleetSpending& spend) const;
  void Spend(Spending& spending, double tokens);
  Part UnheardPart(std::string_view workspace, const Spending& spending,
                   double whole) const;
  Part OwnPart(std::string_view workspace, const Spending& spending,
               const QuotaLimit& limit) const;
  std::int64_t SliceNow() const;
  double EarnedAfterStart(std::string_view workspace, double whole) const;
  double Earned(std::string_view workspace, double whole) const;

  QuotaTolerance allowance;
  const Clock clock;
  const bool nothing_spent_before;
  const Instant started;
  int instances = 1;
  Instant instances_at;
  bool listed = true;
  Instant listed_at;       ///< when that began
  bool owns_part = false;  ///< was listed before, and not in another's place
  std::optional<Instant> listed_since;  ///< nothing: from the start
  std::map<std::string, double, std::less<>> spent_before;
  std::map<std::string, Spending, std::less<>> spendings;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_QUOTA_WINDOWS_H_
