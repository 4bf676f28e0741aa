#ifndef DRAGONFLYGLADE_DECISION_TOKEN_BUCKET_H_
#define DRAGONFLYGLADE_DECISION_TOKEN_BUCKET_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// When reserved tokens may be spent, counted from the reservation.
struct Reservation {
  absl::Duration wait;    ///< not before this
  absl::Duration use_by;  ///< and not after this
};

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

  /// Takes tokens that are there now or will have accrued soon, to be spent
  /// elsewhere. The level may go below zero, which makes the next one wait
  /// longer. Until the use-by time the tokens count towards the cap.
  /// @param longest the longest wait that is of use
  /// @param hold how long after the wait they can still be spent, at least
  /// @return nothing if the wait is too long or the tokens are above the cap
  std::optional<Reservation> Reserve(double tokens, absl::Duration longest,
                                     absl::Duration hold, Instant now);

  /// Tokens reserved whose use-by time is to come.
  double Reserved(Instant now) const;

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

  // Reserved tokens that count towards the cap until they expire.
  struct Outstanding {
    Instant expires;
    double tokens;
  };

  struct State {
    double level = 0;
    double reserved = 0;  ///< sum of what is outstanding
    Instant updated;
  };

  void Accrue(Instant now);
  void Grow(State& state, Instant until) const;
  double Room() const;
  void Remember();

  double rate = 0;
  double cap = 0;
  State state;
  std::deque<Outstanding> outstanding;  ///< by expiry
  std::deque<Headroom> headrooms;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_TOKEN_BUCKET_H_
