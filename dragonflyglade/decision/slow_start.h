#ifndef DRAGONFLYGLADE_DECISION_SLOW_START_H_
#define DRAGONFLYGLADE_DECISION_SLOW_START_H_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// The load that a target takes while it warms up after its start.
struct SlowStartLimit {
  absl::Duration duration = absl::ZeroDuration();  ///< of the warm-up
  /// From all instances together; 0 if targets need no slow start.
  double requests_per_second = 0;
  double overage = 1;  ///< factor on the rate that a single second may reach
  double slack = 0;    ///< further requests that a single second may have

  bool Applies() const { return this->requests_per_second > 0; }
};

/// How many requests this instance may send to the target in any second while
/// the target warms up.
///
/// The senders of a target are chosen by rendezvous hashing among the instances
/// that callers are sent to, so they need no messages. Together they use a good
/// half of what the target takes; at least one request a second is sent.
/// @param listed names of the instances that callers are sent to
/// @return zero if other instances are the senders
/// Complexity: linear in the listed instances, with their hashes if they are
///   more than a target's senders.
int SlowStartRequestsPerSecond(const SlowStartLimit& limit,
                               std::string_view target, std::string_view self,
                               absl::Span<const std::string> listed);

/// One instance's requests to one target, counted so that a target that warms
/// up gets no more than it takes in any second. Not synchronised.
class SlowStart {
 public:
  /// The target warms up, for this long from now on. A time that ends before
  /// the known one has no effect.
  void Begin(absl::Duration remaining, Instant now);

  bool IsWarmingUp(Instant now) const { return now < this->warm_at; }

  /// Counts a request to the target, whether or not it is known to warm up.
  void RecordSent(Instant now);

  /// Whether another request may be sent now, if the limit is this many in any
  /// second.
  bool MaySend(int requests_per_second, Instant now) const;

 private:
  Instant warm_at = -absl::InfiniteDuration();
  std::deque<Instant> sent;  ///< requests of the last second, oldest first
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_SLOW_START_H_
