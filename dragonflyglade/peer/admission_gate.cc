#include "dragonflyglade/peer/admission_gate.h"

#include <fmt/format.h>

#include <utility>

#include "absl/time/clock.h"
#include "dragonflyglade/peer/heartbeat.h"
#include "dragonflyglade/peer/peer_codec.h"

namespace dragonflyglade {

AdmissionGate::AdmissionGate(DistributedRateLimiter& shares,
                             Membership& membership, PeerClient& peers)
    : shares(shares), membership(membership), peers(peers) {}

void AdmissionGate::RequestLoan(Admission& admission,
                                const BorrowFromPeer& step) {
  ++this->borrows;
  std::optional<Loan> loan;
  const std::optional<MemberStatus> lender = this->membership.Find(step.peer);
  if (lender.has_value() && lender->state != MemberState::kDead) {
    const Result<wire::LoanReply> reply = this->peers.Borrow(
        PeerEndpoint(*lender), admission.workspace, step.tokens, step.max_wait);
    if (reply.Ok()) loan = FromWire(reply.Value());
  }
  this->shares.CompleteLoan(admission, step.peer, loan);
}

void AdmissionGate::ReturnLoans(std::string_view workspace,
                                absl::Span<const LoanReturn> returns) {
  for (const LoanReturn& loan : returns) {
    const std::optional<MemberStatus> lender = this->membership.Find(loan.peer);
    if (!lender.has_value()) continue;
    this->peers.ReturnLoan(PeerEndpoint(*lender), workspace, loan.tokens,
                           loan.stamp);
  }
}

std::variant<Admission, Refusal> AdmissionGate::Admit(
    std::string_view workspace, double cost, absl::Duration max_wait) {
  Admission admission = this->shares.BeginAdmission(workspace, cost, max_wait);
  while (true) {
    const AdmissionStep step = this->shares.Next(admission);
    if (std::holds_alternative<Admitted>(step)) return admission;
    if (const auto* borrow = std::get_if<BorrowFromPeer>(&step)) {
      this->RequestLoan(admission, *borrow);
    } else if (const auto* wait = std::get_if<WaitFor>(&step)) {
      absl::SleepFor(wait->delay);
    } else if (const auto* over = std::get_if<OverRate>(&step)) {
      this->ReturnLoans(workspace, over->returns);
      return Refusal{RefusalCode::kOverRate,
                     fmt::format("workspace {} is over its rate", workspace),
                     over->retry_after};
    } else if (const auto* above = std::get_if<CostAboveBurst>(&step)) {
      return Refusal{
          RefusalCode::kCostAboveBurst,
          fmt::format("the request may use {:.0f} tokens; the workspace's "
                      "burst allows {:.0f}",
                      cost, above->limit)};
    } else if (std::holds_alternative<NoRate>(step)) {
      return Refusal{RefusalCode::kNoRate,
                     fmt::format("workspace {} has no rate", workspace)};
    } else {
      return Refusal{RefusalCode::kNoShare,
                     fmt::format("no holder of a share of workspace {} answers",
                                 workspace)};
    }
  }
}

void AdmissionGate::Settle(const Admission& admission, double used) {
  this->shares.RefundUnused(admission, used);
}

}  // namespace dragonflyglade
