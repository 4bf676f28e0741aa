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

/// Changes of the store, encoded in Thrift and compressed.
struct PackedChanges {
  std::string bytes;      ///< empty: no changes
  std::size_t count = 0;  ///< number of the given changes that are packed
};

/// Packs one change of any size.
std::string PackChange(const StoreEvent& change);

/// Packs the given changes, or else their first half, quarter and so on, until
/// they fit; packs none if the first one alone does not fit.
PackedChanges PackChanges(absl::Span<const StoreEvent> changes,
                          std::size_t max_bytes);

/// @return nothing if the bytes are not packed changes
std::optional<std::vector<StoreEvent>> UnpackChanges(std::string_view packed);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CHANGE_CODEC_H_
