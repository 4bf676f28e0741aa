#ifndef DRAGONFLYGLADE_MEASURE_MODEL_QUOTA_FLEET_H_
#define DRAGONFLYGLADE_MEASURE_MODEL_QUOTA_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/quota_bucket.h"
#include "dragonflyglade/decision/quota_participants.h"
#include "dragonflyglade/decision/quota_windows.h"
#include "dragonflyglade/decision/unreported_grants.h"
#include "dragonflyglade/gateway/report_aggregator.h"
#include "measure/history/quota_replay.h"
#include "measure/model/scheduled_events.h"

namespace dragonflyglade {

/// A time span of a simulation run, from the first request.
struct TimeSpan {
  Instant from;
  Instant to;
};

/// Parameters of a simulation run.
struct QuotaRun {
  int instances = 12;
  QuotaLimit limit{694'000, 694'000};
  QuotaTolerance tolerance{absl::Seconds(8), 0.1, 70'000, 2};
  int min_tokens = 2'000;  ///< of a request
  int max_tokens = 15'000;
  double load_factor = 6;  ///< offered tokens, as a multiple of the rate
  absl::Duration length = absl::Seconds(10);
  /// Offers only requests that an exact bucket of the limit admits.
  bool conforming = false;
  /// False for the rule that checks the window only.
  bool use_buckets = true;
  double message_loss = 0;
  double repeated_reports = 0;  ///< fraction of reports that arrive twice
  /// When a third of the instances does not reach the leader. Callers still
  /// reach these instances.
  std::optional<TimeSpan> cut_off;
  /// When there is no leader. A new one takes over afterwards.
  std::optional<TimeSpan> without_leader;
  /// When a third of the instances restarts.
  std::optional<Instant> restart;
  std::uint64_t seed = 1;
};

/// Results of a simulation run.
struct QuotaRunResult {
  std::vector<DecidedRequest> requests;  ///< ordered by time
  double granted = 0;                    ///< tokens
  double refused = 0;                    ///< tokens
  double most_in_window = 0;             ///< tokens granted in any window
};

/// Simulates the quota of one workspace in a fleet on a virtual clock. The
/// decisions are those of the production classes; the network delays, loses and
/// repeats messages.
class QuotaFleet {
 public:
  static constexpr std::string_view kWorkspace = "w";

  explicit QuotaFleet(const QuotaRun& run);

  QuotaRunResult Run();

 private:
  struct Instance {
    std::string name;
    std::int64_t process = 0;
    std::unique_ptr<QuotaWindows> quotas;
    Instant started;
    std::int64_t sequence = 0;
    std::int64_t last_number = 0;  ///< of a query
    /// Spending by report, in the window and since the start.
    std::map<std::int64_t, std::pair<double, double>> reported;
    Instant denied_until;
    double denied_tokens = 0;
    Instant leader_silent_until;

    std::string Incarnation() const;
  };
  /// The state of the leader, which its successor does not have.
  struct Leader {
    Leader(const QuotaParticipants& participants, absl::Duration window,
           const Clock& clock);

    gateway::ReportAggregator aggregator;
    UnreportedGrants unreported;
    QuotaBuckets buckets;
    Instant since;
  };

  void Schedule(Instant when, std::function<void()> action);
  void Start(Instance& instance, bool first);
  void OfferRequest();
  bool Decide(Instance& instance, double tokens);
  bool DecideWithoutLeader(Instance& instance, double tokens);
  /// @return nothing if no response arrives
  std::optional<QuotaVerdict> QueryLeader(Instance& instance, double tokens);
  std::optional<QuotaVerdict> DecideGrant(const Instance& instance,
                                          double tokens);
  bool HasEnoughReports();
  FleetSpending Spending();
  void Report(std::size_t index);
  void ReceiveReport(std::size_t index, const wire::InstanceReport& report);
  void ReceiveSummary(std::size_t index, std::int64_t process,
                      const wire::FleetSummary& summary);
  wire::InstanceReport MakeReport(Instance& instance);
  bool Reaches(std::size_t index) const;
  bool IsLost();
  absl::Duration DrawDelay();
  bool IsWithin(const std::optional<TimeSpan>& span) const;
  double MostInWindow() const;

  const QuotaRun run;
  ManualClock manual;
  Clock clock;
  /// Separate from the network's, so that runs with the same seed offer the
  /// same requests whatever is decided.
  std::mt19937_64 arrivals;
  std::mt19937_64 random;
  ScheduledEvents events;
  QuotaParticipants participants;
  std::vector<Instance> instances;
  std::unique_ptr<Leader> leader;
  double conforming_level;  ///< of the bucket that offers have to fit into
  Instant conforming_updated;
  QuotaRunResult result;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_MODEL_QUOTA_FLEET_H_
