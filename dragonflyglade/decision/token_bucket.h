#ifndef DRAGONFLYGLADE_DECISION_TOKEN_BUCKET_H_
#define DRAGONFLYGLADE_DECISION_TOKEN_BUCKET_H_

#include <cstdint>
#include <deque>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// A bucket that accrues tokens up to a cap. Not synchronised.
///
/// A late refund is bounded by what the bucket would hold today had the
/// smaller amount been taken in the first place; see Refund.
class TokenBucket {
 public:
  /// An empty bucket that accrues nothing.
  explicit TokenBucket(Instant now);

  /// Changes pace and cap; what lies above the new cap is lost.
  /// @param rate tokens a second
  /// @param cap tokens
  void Configure(double rate, double cap, Instant now);

  /// Tokens held at now.
  double Level(Instant now) const;
  double Cap() const { return this->cap; }
  double Rate() const { return this->rate; }

  /// Takes tokens if all of them are there.
  bool Withdraw(double tokens, Instant now);

  /// Takes as many of the tokens as are there, and returns how many.
  double WithdrawUpTo(double tokens, Instant now);

  /// Puts tokens in, as far as the cap allows.
  /// @return how many were kept
  double Deposit(double tokens, Instant now);

  /// Gives back tokens that were taken at the instant since and not used.
  /// @return how many were kept
  /// Complexity: linear in the remembered withdrawals, at most
  /// kMaxRemembered.
  double Refund(double tokens, Instant since, Instant now);

 private:
  // The least room under the cap at one instant.
  struct Headroom {
    Instant at;
    double room;
  };
  static constexpr std::size_t kMaxRemembered = 64;

  void Accrue(Instant now);
  void Remember();

  double rate = 0;
  double cap = 0;
  double level = 0;
  Instant updated;
  std::deque<Headroom> headrooms;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_TOKEN_BUCKET_H_
