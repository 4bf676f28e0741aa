#ifndef DRAGONFLYGLADE_DECISION_TOKEN_BUCKET_H_
#define DRAGONFLYGLADE_DECISION_TOKEN_BUCKET_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// When reserved tokens may be spent, relative to the time of the reservation.
struct Reservation {
  absl::Duration wait;    ///< earliest time
  absl::Duration use_by;  ///< latest time
};

/// A token bucket: accrues tokens at a rate, up to a cap. Tokens can be
/// reserved ahead and refunded. Not synchronised.
///
/// A refund never raises the level above what it would be now if only the used
/// tokens had been taken in the first place; see Refund.
class TokenBucket {
 public:
  /// An empty bucket that accrues nothing.
  explicit TokenBucket(Instant now);

  /// Changes rate and cap; tokens above the new cap are lost.
  /// @param rate tokens per second
  /// @param cap tokens
  void Configure(double rate, double cap, Instant now);

  /// Tokens in the bucket at a time; negative after a reservation ahead.
  double Level(Instant now) const;
  double Cap() const { return this->cap; }
  double Rate() const { return this->rate; }

  /// Takes tokens if the bucket has all of them.
  /// @return whether they were taken
  bool Withdraw(double tokens, Instant now);

  /// Takes tokens that the bucket has now or will have accrued soon, to be
  /// spent by a borrower or later. The level may become negative, so that the
  /// next reservation waits longer. Until the use-by time the tokens count
  /// towards the cap.
  /// @param max_wait longest wait that is acceptable
  /// @param hold_time least time after the wait for which they can be spent
  /// @return nothing if the wait would be too long or the tokens exceed the cap
  std::optional<Reservation> Reserve(double tokens, absl::Duration max_wait,
                                     absl::Duration hold_time, Instant now);

  /// Reserved tokens whose use-by time has not passed.
  double Reserved(Instant now) const;

  /// Adds tokens as far as the cap allows.
  /// @return how many were added
  double Deposit(double tokens, Instant now);

  /// Returns tokens that were taken at a time and not used.
  /// @param taken_at when they were taken
  /// @return how many were added
  /// Complexity: linear in the recorded withdrawals, at most kMaxHeadrooms.
  double Refund(double tokens, Instant taken_at, Instant now);

 private:
  // How many tokens fitted under the cap at a time.
  struct Headroom {
    Instant at;
    double tokens;
  };
  static constexpr std::size_t kMaxHeadrooms = 64;

  // Reserved tokens that count towards the cap until they expire.
  struct ReservedTokens {
    Instant expires;
    double tokens;
  };

  struct State {
    double level = 0;
    double reserved = 0;  ///< sum of the reservations that have not expired
    Instant updated;
  };

  /// Brings the state up to date, with reservations that expired until then.
  void Update(Instant now);
  /// Adds the tokens that accrue until a time to a state.
  void Accrue(State& state, Instant until) const;
  /// How many tokens fit under the cap now.
  double CurrentHeadroom() const;
  /// Records the headroom before tokens are taken.
  void RecordHeadroom();

  double rate = 0;  ///< tokens per second
  double cap = 0;
  State state;
  std::deque<ReservedTokens> reservations;  ///< ordered by expiry
  std::deque<Headroom> headrooms;  ///< ordered by time and increasing headroom
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_TOKEN_BUCKET_H_
