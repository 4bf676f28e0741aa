#ifndef DRAGONFLYGLADE_PEER_ADMISSION_GATE_H_
#define DRAGONFLYGLADE_PEER_ADMISSION_GATE_H_

#include <atomic>
#include <cstdint>
#include <string_view>
#include <variant>

#include "dragonflyglade/decision/distributed_rate_limiter.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/refusal.h"
#include "dragonflyglade/peer/peer_client.h"

namespace dragonflyglade {

/// Takes a request's tokens from this instance's share or from its peers'.
/// Thread-safe; an admission waits in the calling thread.
class AdmissionGate {
 public:
  AdmissionGate(DistributedRateLimiter& shares, Membership& membership,
                PeerClient& peers);

  /// @param cost tokens
  /// @param max_wait how long to wait for tokens that accrue meanwhile
  /// @return the admission to settle later, or why there is none
  std::variant<Admission, Refusal> Admit(std::string_view workspace,
                                         double cost, absl::Duration max_wait);

  /// Gives back what the request did not use.
  void Settle(const Admission& admission, double used);

  /// Loans asked for since the start.
  std::int64_t BorrowAttempts() const { return this->borrows; }

 private:
  void Borrow(Admission& admission, const BorrowFromPeer& step);
  void GiveBack(std::string_view workspace,
                absl::Span<const LoanReturn> returns);

  DistributedRateLimiter& shares;
  Membership& membership;
  PeerClient& peers;
  std::atomic<std::int64_t> borrows{0};
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_PEER_ADMISSION_GATE_H_
