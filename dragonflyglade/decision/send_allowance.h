#ifndef DRAGONFLYGLADE_DECISION_SEND_ALLOWANCE_H_
#define DRAGONFLYGLADE_DECISION_SEND_ALLOWANCE_H_

#include <deque>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// How many requests may be sent to a target in any span of a length.
struct SendAllowance {
  int requests = 0;
  absl::Duration window = absl::Seconds(1);
};

/// One instance's part of what all instances together may send to a target.
///
/// Requests of the window are divided equally, and the remainder goes to the
/// instances that rendezvous hashing chooses for the target, so that no
/// messages are needed and fewer requests than instances can be divided, too.
/// @param fleet the allowance of all instances together
/// @param listed names of the instances that callers are sent to
/// @return no requests if this instance is not listed or others are the senders
/// Complexity: linear in the listed instances, with their hashes if there is a
///   remainder.
SendAllowance DivideAllowance(const SendAllowance& fleet,
                              std::string_view target, std::string_view self,
                              absl::Span<const std::string> listed);

/// The times of one instance's requests to one target. Not synchronised.
class SendHistory {
 public:
  void RecordSent(Instant now);

  /// How long the allowance permits no further request; zero if it permits one
  /// now, infinite if it permits none at all.
  absl::Duration UntilAllowed(const SendAllowance& allowance,
                              Instant now) const;

 private:
  std::deque<Instant> sent;  ///< oldest first
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_SEND_ALLOWANCE_H_
