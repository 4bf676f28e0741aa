#ifndef DRAGONFLYGLADE_CALLER_INSTANCE_SELECTION_H_
#define DRAGONFLYGLADE_CALLER_INSTANCE_SELECTION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/membership.h"

namespace dragonflyglade {

/// An instance that a caller should connect to.
struct InstanceChoice {
  std::string name;
  std::string address;
  int port = 0;
  std::string zone;
  double weight = 0;  ///< the fraction of new connections to send there
};

/// The parameters of a caller's query for instances; each may be empty.
struct InstanceQuery {
  std::string zone;
  std::string model;
  std::string workspace;
};

/// Chooses the instances that a caller should connect to.
///
/// These are live instances that are not leaving. The weight of an instance
/// grows with its free capacity, if it is in the caller's zone, and if it owns
/// a share of the workspace's rate, since it then need not borrow tokens for
/// each request.
std::vector<InstanceChoice> ChooseInstances(
    absl::Span<const MemberStatus> members, const InstanceQuery& query,
    absl::Span<const std::string> share_owners);

/// Encodes the choices as the JSON body of the response.
/// @param cache_duration how long the caller may cache them
std::string EncodeInstances(absl::Span<const InstanceChoice> choices,
                            absl::Duration cache_duration);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_INSTANCE_SELECTION_H_
