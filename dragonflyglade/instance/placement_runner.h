#ifndef DRAGONFLYGLADE_INSTANCE_PLACEMENT_RUNNER_H_
#define DRAGONFLYGLADE_INSTANCE_PLACEMENT_RUNNER_H_

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/decision/demand_tracker.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/placement_planner.h"
#include "dragonflyglade/decision/target_registry.h"
#include "dragonflyglade/instance/placement_options.h"
#include "dragonflyglade/net/periodic_worker.h"
#include "dragonflyglade/net/task_group.h"
#include "dragonflyglade/operator/audit_trail.h"
#include "dragonflyglade/operator/catalog.h"
#include "dragonflyglade/peer/peer_client.h"
#include "dragonflyglade/store/kv_client.h"
#include "dragonflyglade/store/role_lease.h"
#include "dragonflyglade/target/engine_client.h"

namespace dragonflyglade {

/// Plans and executes model placement for the engine pools whose placement role
/// this instance holds.
///
/// A target's ledger is updated by compare-and-swap before an order is sent to
/// the target, and again when the outcome of the order is known.
class PlacementRunner {
 public:
  PlacementRunner(const KvClient& kv, PeerClient& peers, Membership& membership,
                  TargetRegistry& targets, const CatalogHolder& catalog,
                  DemandTracker& demand, AuditTrail& audit,
                  TargetCallOptions call_options, PlacementOptions options,
                  Clock clock);
  ~PlacementRunner();

  void Start();
  void Stop();

 private:
  /// A target's ledger and the store revision for compare-and-swap.
  struct StoredLedger {
    TargetLedger ledger;
    std::int64_t mod_revision = 0;
  };
  /// A pool for which this instance is a candidate for the placement role.
  struct Pool {
    std::unique_ptr<RoleLease> role;
    std::unique_ptr<PlacementPlanner> planner;
    std::int64_t audited_fence_token = 0;  ///< newest one in the audit trail
    /// By target, the number of orders in its ledger and the time at which
    /// this instance first observed that number.
    std::map<std::string, std::pair<std::int64_t, Instant>> observed_orders;
  };
  /// An order to be sent once the target's ledger has been written.
  struct Order {
    std::string pool;
    ListedTarget target;
    EngineOrder order;
    bool fenced = false;
    bool is_load = false;
    bool is_adapter = false;
  };

  /// The data of one planning round for one pool.
  struct PoolRound {
    const std::string& name;
    const PoolRecord& record;
    Pool& pool;
    std::int64_t fence_token = 0;
    std::map<std::string, StoredLedger> ledgers;
    std::map<std::string, TargetStatus> statuses;
  };

  absl::Duration RunRound();
  void PlanPool(PoolRound& round);
  bool ReadLedgers(PoolRound& round);
  void ApplyReports(PoolRound& round);
  void RecordUnorderedCopies(TargetLedger& ledger,
                             const std::set<std::string>& resident) const;
  bool IsReportAfterOrders(const PoolRound& round, const TargetStatus& status,
                           absl::Duration settle_time) const;
  PlannerInput InputFor(const PoolRound& round) const;
  void RefreshDemand();
  void Execute(PoolRound& round, const PlanLoad& step);
  void Execute(PoolRound& round, const PlanReload& step);
  void Execute(PoolRound& round, const PlanUnload& step);
  void CorrectRoles(PoolRound& round);
  void CorrectRole(PoolRound& round, StoredLedger& stored,
                   const TargetStatus& status);
  bool WriteLedger(const PoolRound& round, StoredLedger& stored,
                   const std::vector<KvCondition>& extra_conditions);
  static Order MakeOrder(const PoolRound& round, const ListedTarget& target,
                         OrderKind kind, std::string_view id,
                         std::string_view name);
  void SendLoad(PoolRound& round, const StoredLedger& stored,
                const CopySpec& spec);
  void Send(Order order);
  void RecordOutcome(const Order& order, const OrderResult& response);

  const KvClient& kv;
  PeerClient& peers;
  Membership& membership;
  TargetRegistry& targets;
  const CatalogHolder& catalog;
  DemandTracker& demand;
  AuditTrail& audit;
  const TargetCallOptions call_options;
  const PlacementOptions options;
  const Clock clock;
  std::map<std::string, double> fleet_demand;
  Instant demand_read_at = -absl::InfiniteDuration();
  std::map<std::string, Pool> pools;
  std::atomic<int> open_model_loads{0};
  std::atomic<int> open_adapter_loads{0};
  TaskGroup orders;
  PeriodicWorker worker;
};

/// The key of a target's ledger in the key-value service.
std::string LedgerKey(std::string_view pool, std::string_view target);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_PLACEMENT_RUNNER_H_
