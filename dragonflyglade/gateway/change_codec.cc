#include "dragonflyglade/gateway/change_codec.h"

#include <utility>

#include "dragonflyglade/gateway/deflate.h"
#include "dragonflyglade/gateway/thrift_codec.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {
namespace {

std::string Pack(absl::Span<const StoreEvent> changes) {
  wire::StoreChanges list;
  for (const StoreEvent& event : changes) {
    wire::StoreChange change;
    change.key = event.item.key;
    change.value = event.item.value;
    change.revision = static_cast<std::int64_t>(event.item.revision);
    change.lease = static_cast<std::int64_t>(event.item.lease);
    change.deleted = event.deleted;
    list.changes.push_back(std::move(change));
  }
  return Deflate(EncodeThrift(list));
}

}  // namespace

std::string PackChange(const StoreEvent& change) { return Pack({&change, 1}); }

PackedChanges PackChanges(absl::Span<const StoreEvent> changes,
                          std::size_t max_bytes) {
  std::size_t count = changes.size();
  while (count > 0) {
    std::string bytes = Pack(changes.first(count));
    if (bytes.size() <= max_bytes) return {std::move(bytes), count};
    count /= 2;
  }
  return {};
}

std::optional<std::vector<StoreEvent>> UnpackChanges(std::string_view packed) {
  const std::optional<std::string> text = Inflate(packed);
  if (!text.has_value()) return std::nullopt;
  const auto list = DecodeThrift<wire::StoreChanges>(*text);
  if (!list.has_value()) return std::nullopt;
  std::vector<StoreEvent> changes;
  for (const wire::StoreChange& change : list->changes) {
    StoreEvent event;
    event.item.key = change.key;
    event.item.value = change.value;
    event.item.revision = static_cast<std::uint64_t>(change.revision);
    event.item.lease = static_cast<std::uint64_t>(change.lease);
    event.deleted = change.deleted;
    changes.push_back(std::move(event));
  }
  return changes;
}

}  // namespace dragonflyglade::gateway
