#ifndef DRAGONFLYGLADE_DECISION_STREAM_VERSIONS_H_
#define DRAGONFLYGLADE_DECISION_STREAM_VERSIONS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// The version of a target's software, as the target states it. Two targets
/// that state none have the same version; an empty text is another one.
using SoftwareVersion = std::optional<std::string>;

/// The longest time for which a stream is remembered.
inline constexpr absl::Duration kMaxStreamLifetime = absl::Minutes(2);

/// Where a stream began. Another version of the software cannot go on with it.
struct StreamOrigin {
  /// Of the target that sends the stream's first event.
  SoftwareVersion version;
  /// Number of that target within the caller's attempt. Each one that broke off
  /// before its first event is followed by a higher number.
  int attempt = 0;
};

/// Remembers where streams began, by the id of the caller's attempt. Not
/// synchronised.
class StreamVersions {
 public:
  explicit StreamVersions(Clock clock);

  /// Remembers a stream, unless a later attempt of it is known.
  /// @param lifetime for how long a caller may take the stream up
  /// Complexity: logarithmic, amortised.
  void Record(std::string_view stream, const StreamOrigin& origin,
              absl::Duration lifetime);

  /// @return nothing if the stream is not known or was forgotten
  std::optional<StreamOrigin> Find(std::string_view stream) const;

  using Visitor = std::function<void(
      std::string_view stream, const StreamOrigin& origin, absl::Duration)>;
  /// Visits all streams with the time for which they are still remembered.
  void ForEach(const Visitor& visit) const;

 private:
  struct Entry {
    StreamOrigin origin;
    Instant expires;
  };

  void Forget();

  const Clock clock;
  std::map<std::string, Entry, std::less<>> entries;
  std::deque<std::string> by_age;  ///< streams, the oldest first
};

/// The software versions of a service's targets over time. Not synchronised.
class ServedVersions {
 public:
  /// @param known_since the time from which on the targets are known
  explicit ServedVersions(Instant known_since);

  /// Records that a target of this version serves now.
  /// @return whether it is another version than the ones before
  bool Record(const SoftwareVersion& version, Instant now);

  /// Records that this version served alone for a time before the targets were
  /// known.
  void RecordEarlier(const SoftwareVersion& version, Instant since,
                     Instant until);

  /// For how long all targets have had the same version; zero while several
  /// versions serve.
  absl::Duration SingleFor(Instant now) const;

  /// The version that served last; nothing if none has.
  std::optional<SoftwareVersion> Latest() const;

  /// The version that has served alone for this time; nothing if there is none,
  /// or no version is known.
  std::optional<SoftwareVersion> SoleFor(absl::Duration time,
                                         Instant now) const;

 private:
  Instant known_since;
  std::map<SoftwareVersion, Instant> last_seen;
};

/// An instance that may remember where streams began.
struct StreamOwnerCandidate {
  std::string name;
  std::string zone;  ///< availability zone
};

/// The instances that are told where the stream began: two, in different
/// availability zones if there are several.
/// @return indices of the candidates
/// Complexity: O(n log n) in the candidates.
std::vector<std::size_t> StreamOwners(
    std::string_view stream, absl::Span<const StreamOwnerCandidate> candidates);

/// The instances that are asked where the stream began. More than the owners:
/// the instance that told them may have known other instances.
std::vector<std::size_t> AskedStreamOwners(
    std::string_view stream, absl::Span<const StreamOwnerCandidate> candidates);

/// What is known about a stream that a caller takes up.
struct ContinuationFacts {
  /// Known by this or by another instance.
  std::optional<StreamOrigin> origin;
  int answers = 0;  ///< of other instances
  /// Whether another instance has seen targets of several versions within the
  /// time in which the stream may have begun.
  bool several_versions = false;
  /// The only version that served in this time, as far as this instance knows.
  std::optional<SoftwareVersion> sole_version;
  /// Whether this instance knows the present targets.
  bool up_to_date = true;
};

/// The stream may go on only at targets of the version, at which it began.
struct OnlyVersion {
  StreamOrigin origin;
};
/// Nobody knows which version began the stream.
struct UnknownVersion {};
using ContinuationDecision = std::variant<OnlyVersion, UnknownVersion>;

/// Decides at which targets a stream may go on. Answers the load of callers who
/// take streams up while targets are replaced by ones of another version.
ContinuationDecision DecideContinuation(const ContinuationFacts& facts);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_STREAM_VERSIONS_H_
