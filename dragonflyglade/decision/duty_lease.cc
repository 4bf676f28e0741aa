#include "dragonflyglade/decision/duty_lease.h"

#include <utility>

namespace dragonflyglade {

DutyLease::DutyLease(DutyLeaseOptions options, ReadTime read)
    : options(options), read(std::move(read)) {}

void DutyLease::Acquired(std::uint64_t fence, LocalTime sent,
                         absl::Duration ttl) {
  this->held = true;
  this->fence = fence;
  this->acquired = this->read();
  this->Renewed(sent, ttl);
}

void DutyLease::Renewed(LocalTime sent, absl::Duration ttl) {
  const absl::Duration usable = ttl - this->options.margin;
  this->valid_until = {sent.steady + usable, sent.boot + usable};
}

void DutyLease::Lost() { this->held = false; }

Instant DutyLease::QuietUntil() const {
  // The holder before stopped a margin before its lease ended, and this one
  // acquired the duty after that, so the margin is in the sum already.
  return this->acquired.steady + this->options.quiet_between_holders;
}

bool DutyLease::MayAct() const {
  if (!this->held) return false;
  const LocalTime now = this->read();
  if (now.steady < this->QuietUntil()) return false;
  return now.steady < this->valid_until.steady &&
         now.boot < this->valid_until.boot;
}

}  // namespace dragonflyglade
