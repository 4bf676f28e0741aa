#ifndef DRAGONFLYGLADE_DECISION_STORE_AVAILABILITY_H_
#define DRAGONFLYGLADE_DECISION_STORE_AVAILABILITY_H_

#include <optional>

#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// A time in which the store responded again and again, to this instance or to
/// others. Both ends are times of responses.
struct StoreUptime {
  Instant since;
  Instant through;
};

/// A time in which the store is not known to have responded to anyone.
struct StoreOutage {
  Instant begin;
  Instant end;
};

/// Tells an outage of the store from the loss of this instance's own link to
/// it. Only the former lets the entries of running targets expire. Not
/// synchronised.
///
/// Each response is evidence, whoever got it: evidence of another instance that
/// arrives late takes back an outage that its responses disprove. That own
/// calls fail is no evidence, since the store may reject one instance alone.
class StoreAvailability {
 public:
  /// @param heartbeat interval at which a target renews its entry
  explicit StoreAvailability(absl::Duration heartbeat);

  /// Records that the store responded to an instance throughout a time. Has no
  /// effect if the time ends before it begins.
  void RecordUptime(StoreUptime uptime);

  /// The latest time without an outage; nothing before the first response.
  const std::optional<StoreUptime>& Uptime() const { return this->uptime; }

  /// The outage before that time; nothing if none is known.
  std::optional<StoreOutage> LastOutage() const;

  /// Whether the store returned from an outage so lately that entries of
  /// running targets may be missing.
  bool MayLackEntries(Instant now) const;

 private:
  /// No shorter outage lets the entry of a running target expire.
  const absl::Duration shortest_outage;
  std::optional<StoreUptime> uptime;
  /// The last response before the latest time.
  std::optional<Instant> previous_response;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_STORE_AVAILABILITY_H_
