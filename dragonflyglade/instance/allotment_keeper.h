#ifndef DRAGONFLYGLADE_INSTANCE_ALLOTMENT_KEEPER_H_
#define DRAGONFLYGLADE_INSTANCE_ALLOTMENT_KEEPER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "dragonflyglade/decision/allotment.h"
#include "dragonflyglade/decision/distributed_rate_limiter.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/net/periodic_worker.h"
#include "dragonflyglade/operator/audit_trail.h"
#include "dragonflyglade/operator/catalog.h"
#include "dragonflyglade/peer/peer_client.h"
#include "dragonflyglade/store/kv_client.h"

namespace dragonflyglade {

/// Updates the stored allotments of the workspaces as instances join, leave and
/// terminate.
///
/// Rendezvous hashing selects the one instance that does this. If two instances
/// both consider themselves selected for a moment, compare-and-swap lets only
/// one write succeed. Each step is safe whichever instance performs it, because
/// it relies only on facts that cannot become false again.
class AllotmentKeeper {
 public:
  /// Exchanges heartbeats with an instance whose incarnation is not known yet.
  /// Returns whether the instance responded.
  using ContactInstance = std::function<bool(const MemberStatus&)>;

  AllotmentKeeper(const KvClient& kv, PeerClient& peers, Membership& membership,
                  DistributedRateLimiter& rate_limiter,
                  const CatalogHolder& catalog, AuditTrail& audit,
                  absl::Duration period, absl::Duration reclaim_delay,
                  ContactInstance contact_instance, Clock clock);
  ~AllotmentKeeper();

  void Start();
  void Stop();

 private:
  /// A stored allotment and the store revision for compare-and-swap.
  struct StoredAllotment {
    Allotment allotment;
    std::int64_t mod_revision = 0;
  };

  absl::Duration RunRound();
  bool IsKeeper() const;
  AllotmentInputs CommonInputs() const;
  void AuditMembershipChanges();
  void ContactNewOwners(
      std::map<std::string, AllotmentInputs>& inputs_by_workspace);
  void QueryConfirmedEpochs(
      const std::map<std::string, StoredAllotment>& stored,
      std::map<std::string, AllotmentInputs>& inputs_by_workspace);
  void StoreNextAllotment(const std::string& workspace,
                          const StoredAllotment& stored,
                          const AllotmentInputs& inputs);

  const KvClient& kv;
  PeerClient& peers;
  Membership& membership;
  DistributedRateLimiter& rate_limiter;
  const CatalogHolder& catalog;
  AuditTrail& audit;
  const absl::Duration period;
  const ContactInstance contact_instance;
  TerminatedOwners terminated_owners;
  std::map<std::string, std::string> audited_members;
  PeriodicWorker worker;
};

/// Selects the instances that should own shares of a workspace's rate: all of a
/// small fleet, but only a few of a large one, because a burst divided into
/// hundreds of shares leaves each share too small to admit a request.
std::vector<OwnerCandidate> SelectShareOwners(
    std::string_view workspace, const std::vector<OwnerCandidate>& eligible);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_ALLOTMENT_KEEPER_H_
