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

/// Admits requests to their workspace's quota. The tokens come from this
/// instance's share of the quota, or are borrowed from the shares of peers.
/// Thread-safe; an admission blocks the calling thread.
class AdmissionGate {
 public:
  AdmissionGate(DistributedRateLimiter& shares, Membership& membership,
                PeerClient& peers);

  /// @param cost in tokens
  /// @param max_wait the longest time to wait until enough tokens accrue
  /// @return the admission, which the caller settles later, or a refusal
  std::variant<Admission, Refusal> Admit(std::string_view workspace,
                                         double cost, absl::Duration max_wait);

  /// Refunds the tokens that an admitted request did not use.
  void Settle(const Admission& admission, double used);

  /// The number of loans requested from peers since the start.
  std::int64_t BorrowAttempts() const { return this->borrows; }

 private:
  void RequestLoan(Admission& admission, const BorrowFromPeer& step);
  void ReturnLoans(std::string_view workspace,
                   absl::Span<const LoanReturn> returns);

  DistributedRateLimiter& shares;
  Membership& membership;
  PeerClient& peers;
  std::atomic<std::int64_t> borrows{0};
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_PEER_ADMISSION_GATE_H_
