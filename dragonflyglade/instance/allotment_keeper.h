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

/// Keeps the workspaces' allotments fitting to the instances there are.
///
/// One instance, by rendezvous, does this at a time; should two do it for a
/// moment, compare-and-swap lets one of them through, and each step is safe
/// whoever takes it, since it rests on facts that stay true.
class AllotmentKeeper {
 public:
  /// Exchanges heartbeats with an instance that was not heard of yet.
  using Hear = std::function<bool(const MemberStatus&)>;

  AllotmentKeeper(const KvClient& kv, PeerClient& peers, Membership& membership,
                  DistributedRateLimiter& shares, const CatalogHolder& catalog,
                  AuditTrail& audit, absl::Duration period,
                  absl::Duration settle, Hear hear, Clock clock);
  ~AllotmentKeeper();

  void Start();
  void Stop();

 private:
  /// A stored allotment and the revision to compare with.
  struct Stored {
    Allotment allotment;
    std::int64_t mod_revision = 0;
  };

  absl::Duration Round();
  bool IsKeeper() const;
  AllotmentInputs CommonView() const;
  void NoteMembers();
  void HearHolders(std::map<std::string, AllotmentInputs>& views);
  void Confirm(const std::map<std::string, Stored>& stored,
               std::map<std::string, AllotmentInputs>& views);
  void Improve(const std::string& workspace, const Stored& stored,
               const AllotmentInputs& view);

  const KvClient& kv;
  PeerClient& peers;
  Membership& membership;
  DistributedRateLimiter& shares;
  const CatalogHolder& catalog;
  AuditTrail& audit;
  const absl::Duration period;
  const Hear hear;
  TerminatedOwners gone;
  std::map<std::string, std::string> noted_members;
  PeriodicWorker worker;
};

/// Which instances should hold shares of a workspace's rate: all of a small
/// fleet, a few of a large one, since a burst cut into hundreds of parts
/// serves no request.
std::vector<OwnerCandidate> WantedHolders(
    std::string_view workspace, const std::vector<OwnerCandidate>& able);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_ALLOTMENT_KEEPER_H_
