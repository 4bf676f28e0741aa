#ifndef DRAGONFLYGLADE_GATEWAY_CHANGE_CODEC_H_
#define DRAGONFLYGLADE_GATEWAY_CHANGE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "dragonflyglade/gateway/store_types.h"

namespace dragonflyglade::gateway {

/// Changes of the store, packed.
struct PackedChanges {
  std::string bytes;      ///< empty: no changes
  std::size_t count = 0;  ///< how many of the given changes are in it
};

/// Packs as many changes as fit, from the first one on.
PackedChanges PackChanges(absl::Span<const StoreEvent> changes,
                          std::size_t max_bytes);

/// @return nothing for bytes that are no packed changes
std::optional<std::vector<StoreEvent>> UnpackChanges(std::string_view packed);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CHANGE_CODEC_H_
