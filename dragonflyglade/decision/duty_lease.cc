#include "dragonflyglade/decision/duty_lease.h"

#include <utility>

namespace dragonflyglade {

DutyLease::DutyLease(DutyLeaseOptions options, ReadTime read_clocks)
    : options(options), read_clocks(std::move(read_clocks)) {}

void DutyLease::Acquired(std::uint64_t fencing_token, LocalTime sent_at,
                         absl::Duration ttl) {
  this->held = true;
  this->fencing_token = fencing_token;
  this->acquired_at = this->read_clocks();
  this->Renewed(sent_at, ttl);
}

void DutyLease::Renewed(LocalTime sent_at, absl::Duration ttl) {
  const absl::Duration valid_for = ttl - this->options.margin;
  this->valid_until = {sent_at.steady + valid_for, sent_at.boot + valid_for};
}

void DutyLease::Lost() { this->held = false; }

Instant DutyLease::QuietUntil() const {
  // The margin need not be added: the previous leader issued its last order a
  // margin before its lease expired, and this instance became the leader after
  // that lease had expired.
  return this->acquired_at.steady + this->options.quiet_between_holders;
}

bool DutyLease::MayAct() const {
  if (!this->held) return false;
  const LocalTime now = this->read_clocks();
  if (now.steady < this->QuietUntil()) return false;
  return now.steady < this->valid_until.steady &&
         now.boot < this->valid_until.boot;
}

}  // namespace dragonflyglade
