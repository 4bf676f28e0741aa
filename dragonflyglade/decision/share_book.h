#ifndef DRAGONFLYGLADE_DECISION_SHARE_BOOK_H_
#define DRAGONFLYGLADE_DECISION_SHARE_BOOK_H_

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
struct ShareOptions {
  /// Longest time from the first borrow of an admission until its tokens are
  /// spent or put away. The burst is lowered by what accrues meanwhile.
  absl::Duration hold_limit = absl::Milliseconds(100);
  /// How much nearer to its cap, as a part of the cap, a peer must be before
  /// it is asked ahead of the own bucket.
  double own_preference = 0.1;
  /// Workspaces without demand for this long leave the balances.
  absl::Duration demand_memory = absl::Seconds(10);
};

/// One request's way to its tokens. Made by ShareBook::Begin.
struct Admission {
  std::string workspace;
  double cost = 0;
  Instant started;
  absl::Duration max_wait;
  double gathered = 0;     ///< borrowed and not yet spent
  Instant gathered_since;  ///< when the first loan was asked for
  std::set<std::string> asked;
  std::optional<Instant> charged;  ///< when it was admitted
};

/// The tokens are taken; the request may go on.
struct Admitted {};
/// Ask this peer for tokens, then report by ShareBook::FinishLoan.
struct BorrowFrom {
  std::string peer;
  std::int64_t tokens = 0;
};
/// Come back after this time.
struct WaitFor {
  absl::Duration delay;
};
/// The workspace is over its rate.
struct OverRate {
  absl::Duration retry_after;
};
/// The request alone costs more than the burst; it can never be admitted.
struct CostAboveBurst {
  double limit = 0;
};
/// The workspace has no rate record.
struct NoRate {};
/// Nobody holds a share of this workspace yet.
struct NoShare {};

using AdmissionStep = std::variant<Admitted, BorrowFrom, WaitFor, OverRate,
                                   CostAboveBurst, NoRate, NoShare>;

/// A lender's answer, with what is left in its bucket.
struct Loan {
  std::int64_t granted = 0;
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
/// answers, and tokens on their way are covered by a lowered burst.
/// Thread-safe; workspaces are spread over shards with a lock each.
class ShareBook {
 public:
  ShareBook(std::string_view instance, std::int64_t incarnation,
            ShareOptions options, Clock clock);

  /// Sets or removes a workspace's rate.
  void SetRate(std::string_view workspace, std::optional<RateLimit> rate);

  /// Follows an allotment unless a newer epoch is followed already.
  void Adopt(const Allotment& allotment);

  /// The epoch followed for a workspace; 0 for none.
  std::int64_t FollowedEpoch(std::string_view workspace) const;

  /// The allotment followed for a workspace, if any.
  std::optional<Allotment> Followed(std::string_view workspace) const;

  /// Starts an admission.
  /// @param cost tokens, prompt plus the most that may be generated
  /// @param max_wait how long it may wait for tokens
  Admission Begin(std::string_view workspace, double cost,
                  absl::Duration max_wait) const;

  /// Decides the next step of an admission.
  AdmissionStep Next(Admission& admission);

  /// Takes a lender's answer; nothing if it did not answer.
  void FinishLoan(Admission& admission, std::string_view peer,
                  const std::optional<Loan>& loan);

  /// Puts borrowed tokens of an admission that is given up away.
  void Abandon(Admission& admission);

  /// Gives back what an admitted request did not use.
  /// @param used tokens, at most the cost
  void Settle(const Admission& admission, double used);

  /// Lends up to that many tokens to another instance.
  Loan Lend(std::string_view workspace, std::int64_t tokens);

  /// Buckets of workspaces with recent demand, at most limit of them.
  std::vector<WorkspaceBalance> Balances(std::size_t limit) const;

  /// Takes note of a peer's bucket.
  void Learn(std::string_view peer, const WorkspaceBalance& balance);

 private:
  struct Hint {
    double level = 0;
    double cap = 0;
    Instant at;
  };
  struct Book {
    explicit Book(Instant now) : bucket(now), last_demand(now) {}
    std::optional<RateLimit> rate;
    std::optional<Allotment> allotment;
    TokenBucket bucket;
    Instant last_demand;
    std::map<std::string, Hint, std::less<>> hints;
  };
  struct Shard {
    mutable absl::Mutex mutex;
    std::map<std::string, Book, std::less<>> books ABSL_GUARDED_BY(mutex);
  };
  struct Lender {
    std::string peer;
    double level = 0;
    double fullness = 0;
  };
  static constexpr std::size_t kShards = 16;

  Shard& ShardOf(std::string_view workspace);
  const Shard& ShardOf(std::string_view workspace) const;
  Book& BookOf(Shard& shard, std::string_view workspace) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex);
  absl::Duration HoldLimit(const RateLimit& rate) const;
  double EffectiveBurst(const RateLimit& rate) const;
  void Reconfigure(Book& book) const;
  std::vector<Lender> Lenders(const Book& book, const Admission& admission,
                              Instant now) const;
  void DropExpired(const Book& book, Admission& admission, Instant now) const;
  void PutAway(Book& book, Admission& admission, Instant now) const;
  AdmissionStep WaitOrRefuse(Book& book, Admission& admission,
                             double available, Instant now) const;
  AdmissionStep NextInBook(Book& book, Admission& admission,
                           Instant now) const;

  const std::string instance;
  const std::int64_t incarnation;
  const ShareOptions options;
  const Clock clock;
  std::array<Shard, kShards> shards;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_SHARE_BOOK_H_
