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

/// Carries out placement for the engine pools whose role this instance holds.
///
/// A ledger is changed by compare-and-swap before an order is sent, and again
/// when the order's fate is known.
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
  /// A ledger as it is stored.
  struct Stored {
    TargetLedger ledger;
    std::int64_t mod_revision = 0;
  };
  /// One pool that this instance may plan.
  struct Pool {
    std::unique_ptr<RoleLease> role;
    std::unique_ptr<PlacementPlanner> planner;
    std::int64_t noted_fence = 0;  ///< the last one in the audit trail
    /// For each target: how many orders its ledger counts, and when this
    /// instance first saw that many.
    std::map<std::string, std::pair<std::int64_t, Instant>> orders_seen;
  };
  /// What an order needs to be sent after its ledger was written.
  struct Order {
    std::string pool;
    ListedTarget target;
    EngineOrder order;
    bool fenced = false;
    bool is_load = false;
    bool is_adapter = false;
  };

  /// What one round for one pool works on.
  struct PoolRound {
    const std::string& name;
    const PoolRecord& record;
    Pool& pool;
    std::int64_t fence = 0;
    std::map<std::string, Stored> ledgers;
    std::map<std::string, TargetStatus> statuses;
  };

  absl::Duration Round();
  void PlanPool(PoolRound& round);
  bool ReadLedgers(PoolRound& round);
  void TakeReports(PoolRound& round);
  void BookUnordered(TargetLedger& ledger,
                     const std::set<std::string>& resident) const;
  bool ReportIsAfter(const PoolRound& round, const TargetStatus& status,
                     absl::Duration settle) const;
  PlannerInput InputFor(const PoolRound& round) const;
  void RefreshDemand();
  void CarryOut(PoolRound& round, const PlanLoad& step);
  void CarryOut(PoolRound& round, const PlanReload& step);
  void CarryOut(PoolRound& round, const PlanUnload& step);
  void CorrectRoles(PoolRound& round);
  void CorrectRole(PoolRound& round, Stored& stored,
                   const TargetStatus& status);
  bool Store(const PoolRound& round, Stored& stored,
             const std::vector<KvCondition>& also);
  static Order NewOrder(const PoolRound& round, const ListedTarget& target,
                        OrderKind kind, std::string_view id,
                        std::string_view name);
  void SendLoad(PoolRound& round, const Stored& stored, const CopySpec& spec);
  void Send(Order order);
  void Settle(const Order& order, const OrderResult& reply);

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

/// Where a target's ledger is kept.
std::string LedgerKey(std::string_view pool, std::string_view target);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_PLACEMENT_RUNNER_H_
