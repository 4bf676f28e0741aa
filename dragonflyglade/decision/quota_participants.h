#ifndef DRAGONFLYGLADE_DECISION_QUOTA_PARTICIPANTS_H_
#define DRAGONFLYGLADE_DECISION_QUOTA_PARTICIPANTS_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// Which instances may spend a part of the quotas by themselves, and how much
/// of each quota has to be kept for those that nobody hears.
///
/// An instance that left the store's list may live on beyond a partition and
/// spend its part there. It is told apart from one that the store alone turns
/// away, which goes on reporting what it spends: nothing is kept for that, nor
/// for those that are listed in its place. Not synchronised.
class QuotaParticipants {
 public:
  /// @param window over which quotas are counted
  QuotaParticipants(absl::Duration window, Clock clock);

  /// Follows which instances callers are sent to; to be told often.
  void Follow(absl::Span<const std::string_view> listed);

  /// The part of each quota that instances may be spending unheard, 0 to 1.
  /// @param heard the instances that report what they spend
  double MissingPart(const std::set<std::string_view>& heard) const;

 private:
  struct Owner {
    bool from_start = false;  ///< and not in another's place
    Instant since;            ///< it was listed, without a long pause
    Instant last;             ///< seen listed
  };

  /// Whoever was listed last before this cannot be spending any more.
  Instant Oldest() const;
  double PartOf(const Owner& owner) const;
  void DropOld();

  const absl::Duration window;
  const Clock clock;
  const Instant started;
  std::map<std::string, Owner, std::less<>> owners;
  /// How many were listed at once, and when that was last so.
  std::map<std::size_t, Instant> counts;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_QUOTA_PARTICIPANTS_H_
