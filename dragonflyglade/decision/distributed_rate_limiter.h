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

/// A workspace's rate over the whole fleet.
struct RateLimit {
  double tokens_per_second = 0;
  double burst_tokens = 0;
};

/// Limits on how tokens move between instances.
struct RateLimiterOptions {
  /// How long tokens that could be spent may be held at least before they
  /// count as lost.
  absl::Duration min_hold = absl::Milliseconds(100);
  /// Longest time ahead for which tokens are promised.
  absl::Duration max_reservation_wait = absl::Milliseconds(500);
  /// What asking one more peer is worth in waiting time.
  absl::Duration peer_request_cost = absl::Milliseconds(10);
  /// Part of its cap down to which the own bucket is drawn on alone. Below
  /// it, those furthest from empty give first, own and others alike: a bucket
  /// that sits at its cap accrues nothing.
  double local_only_level = 0.85;
  /// Workspaces without demand for this long leave the balances.
  absl::Duration demand_retention = absl::Seconds(10);
};

/// Tokens taken for an admission, from a peer or from the own bucket.
struct CollectedTokens {
  std::string peer;  ///< empty for the own bucket
  double tokens = 0;
  std::int64_t stamp = 0;  ///< the giver's; goes back with returned tokens
  Instant spend_from;      ///< not before this
  Instant use_by;          ///< and not after this
};

/// One request's way to its tokens. Made by DistributedRateLimiter::Begin.
struct Admission {
  std::string workspace;
  double cost = 0;
  Instant started;
  absl::Duration max_wait;
  std::vector<CollectedTokens> collected;
  std::set<std::string> silent;    ///< peers that did not answer
  int asks = 0;                    ///< loans asked for so far
  bool answered = false;           ///< whether any peer answered
  Instant asked_at;                ///< of the loan under way
  std::optional<Instant> charged;  ///< when it was admitted
};

/// The tokens are taken; the request may go on.
struct Admitted {};
/// Ask this peer for tokens, then report by
/// DistributedRateLimiter::CompleteLoan.
struct BorrowFromPeer {
  std::string peer;
  std::int64_t tokens = 0;
  absl::Duration longest;  ///< the longest promise that is of use
};
/// Come back after this time.
struct WaitFor {
  absl::Duration delay;
};
/// Tokens to give back to a lender.
struct LoanReturn {
  std::string peer;
  std::int64_t tokens = 0;
  std::int64_t stamp = 0;
};
/// The workspace is over its rate.
struct OverRate {
  absl::Duration retry_after;
  std::vector<LoanReturn> returns;  ///< loans that were of no use
};
/// The request alone costs more than the burst; it can never be admitted.
struct CostAboveBurst {
  double limit = 0;
};
/// The workspace has no rate record.
struct NoRate {};
/// Nobody that holds a share of this workspace could be asked.
struct NoShareOwnerReachable {};

using AdmissionStep =
    std::variant<Admitted, BorrowFromPeer, WaitFor, OverRate, CostAboveBurst,
                 NoRate, NoShareOwnerReachable>;

/// A lender's answer, with what is left in its bucket.
struct Loan {
  std::int64_t granted = 0;  ///< all that was asked for, or nothing
  absl::Duration wait;       ///< they may be spent after this
  absl::Duration use_by;     ///< and not after this, from the asking on
  std::int64_t stamp = 0;    ///< to be shown when they are returned
  std::int64_t level = 0;
  std::int64_t cap = 0;
};

/// A bucket's state as heartbeats carry it.
struct WorkspaceBalance {
  std::string workspace;
  std::int64_t level = 0;
  std::int64_t cap = 0;
};

/// This instance's shares of all workspaces' rates.
///
/// Over any window of length t, all instances together admit at most
/// burst + rate * t: shares sum to at most one, a lender debits before it
/// answers, what it promises ahead is what its own share will accrue, and
/// tokens on their way count towards the lender's cap until they are void.
/// Thread-safe; workspaces are spread over shards with a lock each.
class DistributedRateLimiter {
 public:
  DistributedRateLimiter(std::string_view instance, std::int64_t incarnation,
                         RateLimiterOptions options, Clock clock);

  /// Sets or removes a workspace's rate.
  void SetRate(std::string_view workspace, std::optional<RateLimit> rate);

  /// Follows an allotment unless a newer epoch is followed already.
  void ApplyAllotment(const Allotment& allotment);

  /// The epoch of which this instance surely uses no more than its share; 0
  /// for none.
  std::int64_t ConfirmedEpoch(std::string_view workspace);

  /// The allotment followed for a workspace, if any.
  std::optional<Allotment> CurrentAllotment(std::string_view workspace) const;

  /// Starts an admission.
  /// @param cost tokens, prompt plus the most that may be generated
  /// @param max_wait how long it may wait for tokens
  Admission Begin(std::string_view workspace, double cost,
                  absl::Duration max_wait) const;

  /// Decides the next step of an admission.
  AdmissionStep Next(Admission& admission);

  /// Takes a lender's answer; nothing if it did not answer.
  void CompleteLoan(Admission& admission, std::string_view peer,
                    const std::optional<Loan>& loan);

  /// Gives back what an admitted request did not use.
  /// @param used tokens, at most the cost
  void Settle(const Admission& admission, double used);

  /// Lends tokens to another instance, all or none.
  /// @param longest the longest wait that is of use to the borrower
  Loan LendTokens(std::string_view workspace, std::int64_t tokens,
                  absl::Duration longest);

  /// Takes back lent tokens that were not spent.
  /// @param stamp of the loan
  void ReceiveReturn(std::string_view workspace, std::int64_t tokens,
                     std::int64_t stamp);

  /// Buckets of workspaces with recent demand, at most limit of them.
  std::vector<WorkspaceBalance> Balances(std::size_t limit) const;

  /// The own bucket of a workspace, if it is known here.
  std::optional<WorkspaceBalance> BalanceOf(std::string_view workspace) const;

  /// Takes note of a peer's bucket.
  void Learn(std::string_view peer, const WorkspaceBalance& balance);

 private:
  struct Hint {
    double level = 0;
    Instant at;
    Instant silent_until = -absl::InfiniteDuration();
  };
  struct Book {
    explicit Book(Instant now) : bucket(now), last_demand(now) {}
    std::optional<RateLimit> rate;
    std::optional<Allotment> allotment;
    /// The epoch that others may count on, and from when on the newest one is.
    std::int64_t confirmed_epoch = 0;
    Instant confirm_from;
    TokenBucket bucket;
    std::int64_t share = 0;
    Instant last_demand;
    std::map<std::string, Hint, std::less<>> hints;
  };
  struct Shard {
    mutable absl::Mutex mutex;
    std::map<std::string, Book, std::less<>> books ABSL_GUARDED_BY(mutex);
  };
  /// A bucket that tokens may come from.
  struct Source {
    std::string peer;  ///< empty for the own bucket
    double level = 0;
    double rate = 0;
    double cap = 0;
  };
  /// Which sources to draw on, and how long that takes.
  struct Draw {
    std::vector<std::pair<Source, double>> parts;
    absl::Duration wait;
  };
  static constexpr std::size_t kShards = 16;

  Shard& ShardOf(std::string_view workspace);
  const Shard& ShardOf(std::string_view workspace) const;
  Book& BookOf(Shard& shard, std::string_view workspace) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex);
  void Reconfigure(Book& book, Instant now) const;
  std::vector<Source> Sources(const Book& book, const Admission& admission,
                              bool with_silent, Instant now) const;
  AdmissionStep WithoutDraw(Book& book, Admission& admission, double missing,
                            Instant now) const;
  std::optional<Draw> ChooseDraw(std::vector<Source> sources, double tokens,
                                 absl::Duration longest) const;
  static void DropStale(Admission& admission, Instant now);
  static AdmissionStep Spend(Admission& admission, Instant now);
  AdmissionStep GatherMore(Book& book, Admission& admission, double missing,
                           Instant now) const;
  AdmissionStep GiveUp(Book& book, Admission& admission, absl::Duration missing,
                       Instant now) const;
  AdmissionStep NextInBook(Book& book, Admission& admission, Instant now) const;

  const std::string instance;
  const std::int64_t incarnation;
  const RateLimiterOptions options;
  const Clock clock;
  std::array<Shard, kShards> shards;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_DISTRIBUTED_RATE_LIMITER_H_
