#ifndef DRAGONFLYGLADE_DECISION_BRITTLE_TARGET_H_
#define DRAGONFLYGLADE_DECISION_BRITTLE_TARGET_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// A target, as the instances share its slots.
struct SlotOwner {
  std::string_view id;
  int slots = 1;  ///< requests that the target runs at once
};

/// One instance's share of the slots of one target.
struct SlotShare {
  /// The numbers, from 0, of the target's slots that the instance may use.
  std::vector<int> slots;
  /// Whether the service has too few slots for each instance to have one, or
  /// this instance is not listed and has none.
  bool scarce = false;
};

/// Shares the slots of all targets of a service among the instances without
/// messages: they are dealt out in turn, so that the shares of all targets
/// together differ by one slot at most.
/// @param targets all targets of the service, in any order
/// @param listed names of the instances that callers are sent to, in any order
/// @return no slots if this instance is not listed
/// Complexity: linear in targets and instances.
SlotShare ShareOfSlots(std::string_view target,
                       absl::Span<const SlotOwner> targets,
                       std::string_view self,
                       absl::Span<const std::string> listed);

/// The newest statement of one target on the requests that it can decline, and
/// how many requests it gets while it makes one. A target that states this
/// fails if it has no room for more requests than that in a second, from all
/// instances together. Not synchronised.
///
/// While the target is brittle, the instances share its slots; see
/// ShareOfSlots. After it declined a request of any instance, they share half
/// as many for each further decline, and step by step more again.
class BrittleTarget {
 public:
  /// Records a statement. One that is older than the known one has no effect.
  /// @param declines_per_second nothing if the target states nothing
  /// @param at when the target responded
  /// @return whether the statement changed
  bool RecordStatement(std::optional<double> declines_per_second, Instant at);

  /// Records that the target declined a request of this or of another instance.
  /// One that is older than the known one has no effect.
  void RecordDeclined(Instant at);

  bool IsBrittle() const { return this->declines_per_second.has_value(); }
  std::optional<double> DeclinesPerSecond() const {
    return this->declines_per_second;
  }
  /// When the target made the statement; nothing if it made none.
  std::optional<Instant> StatedAt() const { return this->stated_at; }
  /// When the target declined a request for the last time.
  std::optional<Instant> LastDeclined() const { return this->last_declined; }
  /// Whether the target has been brittle since its process started.
  bool EverBrittle() const { return this->ever_brittle; }

  /// The most requests that this instance may have in flight at the target.
  /// Meaningful while the target is brittle.
  int MaxInFlight(const SlotShare& share, Instant now) const;

 private:
  int LevelAt(Instant now) const;

  std::optional<double> declines_per_second;
  std::optional<Instant> stated_at;
  std::optional<Instant> last_declined;
  bool ever_brittle = false;
  int level = 0;  ///< at the last decline; see MaxInFlight
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_BRITTLE_TARGET_H_
