#ifndef DRAGONFLYGLADE_DECISION_DISTRIBUTED_RATE_LIMITER_H_
#define DRAGONFLYGLADE_DECISION_DISTRIBUTED_RATE_LIMITER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/decision/allotment.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/token_bucket.h"

namespace dragonflyglade {

/// A workspace's rate limit over the whole fleet.
struct RateLimit {
  double tokens_per_second = 0;
  double burst_tokens = 0;
};

/// How tokens move between the buckets of instances.
struct RateLimiterOptions {
  /// How long reserved tokens can be spent at least, once they have accrued.
  absl::Duration min_hold = absl::Milliseconds(100);
  /// Longest time ahead for which tokens are reserved.
  absl::Duration max_reservation_wait = absl::Milliseconds(500);
  /// How much shorter the wait has to be for each additional peer that is
  /// asked for tokens.
  absl::Duration peer_request_cost = absl::Milliseconds(10);
  /// Fraction of its cap down to which only the instance's own bucket is used.
  /// Below it, the buckets that take longest to become empty are used first,
  /// whether own or a peer's, since a bucket at its cap accrues nothing.
  double local_only_level = 0.85;
  /// Workspaces without a request for this long are left out of the balances.
  absl::Duration demand_retention = absl::Seconds(10);
};

/// Tokens taken for an admission, from a peer's bucket or from this instance's.
struct CollectedTokens {
  std::string peer;  ///< lender; empty for this instance's bucket
  double tokens = 0;
  std::int64_t stamp = 0;  ///< set by the lender; sent back with a return
  Instant spend_from;      ///< earliest time to spend them
  Instant use_by;          ///< latest time to spend them
};

/// The state of one request's admission, created by
/// DistributedRateLimiter::BeginAdmission.
struct Admission {
  std::string workspace;
  double cost = 0;  ///< tokens
  Instant started;
  absl::Duration max_wait;
  std::vector<CollectedTokens> collected;
  std::set<std::string> unresponsive;  ///< peers that did not respond
  /// Peers whose share in force is too small for what they were asked for.
  std::set<std::string> without_share;
  int loan_requests = 0;           ///< number of loans requested
  bool any_responded = false;      ///< whether a peer with enough share did
  std::int64_t loan_tokens = 0;    ///< what the current loan asks for
  Instant loan_requested_at;       ///< when the current loan was requested
  std::optional<Instant> charged;  ///< when it was admitted
};

/// Next step: proceed with the request; its tokens are taken.
struct Admitted {};
/// Next step: ask this peer for a loan, then call
/// DistributedRateLimiter::CompleteLoan.
struct BorrowFromPeer {
  std::string peer;
  std::int64_t tokens = 0;
  absl::Duration max_wait;  ///< longest acceptable wait for the tokens
};
/// Next step: call DistributedRateLimiter::Next again after this time.
struct WaitFor {
  absl::Duration delay;
};
/// Tokens to return to a lender.
struct LoanReturn {
  std::string peer;
  std::int64_t tokens = 0;
  std::int64_t stamp = 0;
};
/// Next step: refuse; the workspace is over its rate.
struct OverRate {
  absl::Duration retry_after;
  std::vector<LoanReturn> returns;  ///< borrowed tokens that were not spent
};
/// Next step: refuse; the request alone costs more than the workspace's burst,
/// so it can never be admitted.
struct CostAboveBurst {
  double limit = 0;
};
/// Next step: refuse; the workspace has no rate limit configured.
struct NoRate {};
/// Next step: refuse; this instance has no share of the workspace's rate, and
/// no owner of a share responded.
struct NoShareOwnerReachable {};

using AdmissionStep =
    std::variant<Admitted, BorrowFromPeer, WaitFor, OverRate, CostAboveBurst,
                 NoRate, NoShareOwnerReachable>;

/// A lender's response, with the state of its bucket afterwards.
struct Loan {
  std::int64_t granted = 0;  ///< tokens: all that were asked for, or 0
  absl::Duration wait;       ///< earliest time to spend them, from the response
  absl::Duration use_by;     ///< latest time, from the request for the loan
  std::int64_t stamp = 0;    ///< identifies the loan when tokens are returned
  std::int64_t level = 0;    ///< tokens left in the lender's bucket
  std::int64_t cap = 0;      ///< tokens
};

/// The state of one workspace's bucket, as heartbeats carry it.
struct WorkspaceBalance {
  std::string workspace;
  std::int64_t level = 0;  ///< tokens
  std::int64_t cap = 0;    ///< tokens
};

/// Limits the rates of workspaces over all instances. Each instance has a token
/// bucket for its share of each workspace's rate and borrows from the buckets
/// of its peers.
///
/// In any window of length t, all instances together admit at most
/// burst + rate * t: the shares sum to at most 1; a lender debits its bucket
/// before it responds; it reserves ahead only what its own share will accrue;
/// and lent tokens count towards the lender's cap until they expire.
/// Thread-safe; workspaces are distributed over shards with a lock each.
class DistributedRateLimiter {
 public:
  DistributedRateLimiter(std::string_view instance, std::int64_t incarnation,
                         RateLimiterOptions options, Clock clock);

  /// Sets or removes a workspace's rate limit.
  void SetRate(std::string_view workspace, std::optional<RateLimit> rate);

  /// Applies an allotment unless its epoch is older than the current one or the
  /// same.
  void ApplyAllotment(const Allotment& allotment);

  /// The newest epoch under which this instance certainly uses no more than its
  /// share; 0 if there is none.
  std::int64_t ConfirmedEpoch(std::string_view workspace);

  /// The allotment that was last applied for a workspace, if any.
  std::optional<Allotment> CurrentAllotment(std::string_view workspace) const;

  /// Starts the admission of a request.
  /// @param cost tokens: the prompt's, plus the most that may be generated
  /// @param max_wait how long the request may wait for tokens
  Admission BeginAdmission(std::string_view workspace, double cost,
                           absl::Duration max_wait) const;

  /// Decides the next step of an admission.
  AdmissionStep Next(Admission& admission);

  /// Records a lender's response to the loan that Next asked for.
  /// @param loan nothing if the lender did not respond
  void CompleteLoan(Admission& admission, std::string_view peer,
                    const std::optional<Loan>& loan);

  /// Refunds the tokens that an admitted request did not use.
  /// @param used tokens, at most the cost
  void RefundUnused(const Admission& admission, double used);

  /// Lends tokens to another instance, all or none.
  /// @param max_wait longest wait that is acceptable to the borrower
  Loan LendTokens(std::string_view workspace, std::int64_t tokens,
                  absl::Duration max_wait);

  /// Puts lent tokens back that the borrower did not spend.
  /// @param stamp the loan's stamp
  void ReceiveReturn(std::string_view workspace, std::int64_t tokens,
                     std::int64_t stamp);

  /// Balances of workspaces with recent demand, at most limit of them.
  std::vector<WorkspaceBalance> Balances(std::size_t limit) const;

  /// The balance of this instance's bucket for a workspace, if it has one.
  std::optional<WorkspaceBalance> BalanceOf(std::string_view workspace) const;

  /// Records the balance of a peer's bucket, which a heartbeat brought.
  void ReceiveBalance(std::string_view peer, const WorkspaceBalance& balance);

 private:
  /// What was last learned of a peer's bucket.
  struct PeerBucket {
    double level = 0;
    Instant updated;
    /// Until when the peer is not asked, because it did not respond.
    Instant skipped_until = -absl::InfiniteDuration();
  };
  struct WorkspaceState {
    explicit WorkspaceState(Instant now) : bucket(now), last_demand(now) {}
    std::optional<RateLimit> rate;
    std::optional<Allotment> allotment;
    std::int64_t confirmed_epoch = 0;  ///< last result of ConfirmedEpoch
    Instant confirm_from;  ///< when the allotment's epoch may be confirmed
    TokenBucket bucket;
    std::int64_t share = 0;  ///< millionths; see kFullShareMillionths
    Instant last_demand;
    std::map<std::string, PeerBucket, std::less<>> peers;
  };
  struct Shard {
    mutable absl::Mutex mutex;
    std::map<std::string, WorkspaceState, std::less<>> workspaces
        ABSL_GUARDED_BY(mutex);
  };
  /// A bucket that tokens may be taken from, by what is known of it.
  struct Source {
    std::string peer;  ///< empty for this instance's bucket
    double level = 0;
    double rate = 0;
    double cap = 0;
  };
  /// How many tokens to take from which buckets, and how long they take to
  /// accrue.
  struct Plan {
    std::vector<std::pair<Source, double>> amounts;
    absl::Duration wait;
  };
  static constexpr std::size_t kShards = 16;

  Shard& ShardOf(std::string_view workspace);
  const Shard& ShardOf(std::string_view workspace) const;
  WorkspaceState& StateOf(Shard& shard, std::string_view workspace) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex);
  void ConfigureBucket(WorkspaceState& state, Instant now) const;
  std::vector<Source> Sources(const WorkspaceState& state,
                              const Admission& admission, bool with_skipped,
                              Instant now) const;
  AdmissionStep RetryOrRefuse(WorkspaceState& state, Admission& admission,
                              double missing, Instant now) const;
  std::optional<Plan> ChoosePlan(std::vector<Source> sources, double tokens,
                                 absl::Duration max_wait) const;
  static void DropExpired(Admission& admission, Instant now);
  static AdmissionStep WaitOrAdmit(Admission& admission, Instant now);
  AdmissionStep CollectTokens(WorkspaceState& state, Admission& admission,
                              double missing, Instant now) const;
  AdmissionStep Refuse(WorkspaceState& state, Admission& admission,
                       absl::Duration retry_after, Instant now) const;
  AdmissionStep NextStep(WorkspaceState& state, Admission& admission,
                         Instant now) const;

  const std::string instance;
  const std::int64_t incarnation;
  const RateLimiterOptions options;
  const Clock clock;
  std::array<Shard, kShards> shards;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_DISTRIBUTED_RATE_LIMITER_H_
