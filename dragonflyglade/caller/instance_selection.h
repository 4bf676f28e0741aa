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

/// One instance that a caller should use.
struct InstanceChoice {
  std::string name;
  std::string address;
  int port = 0;
  std::string zone;
  double weight = 0;  ///< share of new connections
};

/// What a caller asks by: its availability zone, model and workspace.
struct InstanceQuery {
  std::string zone;
  std::string model;
  std::string workspace;
};

/// Chooses which instances a caller should use.
///
/// Live ones that are not leaving; weighted by free capacity, by being in the
/// caller's zone, and by holding a share of its workspace's rate, which saves
/// a loan for each request.
std::vector<InstanceChoice> ChooseInstances(
    absl::Span<const MemberStatus> members, const InstanceQuery& question,
    absl::Span<const std::string> share_holders);

/// The JSON of the answer.
std::string EncodeInstances(absl::Span<const InstanceChoice> choices,
                            absl::Duration keep);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_INSTANCE_SELECTION_H_
