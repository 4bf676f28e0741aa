#ifndef DRAGONFLYGLADE_STORE_DISCOVERY_CODEC_H_
#define DRAGONFLYGLADE_STORE_DISCOVERY_CODEC_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/target_registry.h"

namespace dragonflyglade {

/// A version of the platform's list of targets.
struct DiscoveredTargets {
  std::int64_t version = 0;
  std::vector<ListedTarget> targets;
};

/// A list of which the entries that cannot be used are left out.
template <typename List>
struct DecodedList {
  List list;
  std::set<std::string> left_out;  ///< for each entry left out, which and why
};

/// Decode the platform's lists. An entry that cannot be used does not keep the
/// others from being followed.
/// Error: kMalformedResponse, if the text is no list.
Result<DecodedList<InstanceList>> DecodeInstanceList(std::string_view text);
Result<DecodedList<DiscoveredTargets>> DecodeTargetList(std::string_view text);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_STORE_DISCOVERY_CODEC_H_
