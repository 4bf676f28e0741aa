#ifndef DRAGONFLYGLADE_GATEWAY_CHANGE_PARTS_H_
#define DRAGONFLYGLADE_GATEWAY_CHANGE_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/gateway/store_types.h"

namespace dragonflyglade::gateway {

/// A change of the store, packed and divided into parts of one datagram each.
class PackedChange {
 public:
  explicit PackedChange(const StoreEvent& event);

  /// Identifies the content; the same at each instance.
  std::uint64_t Checksum() const { return this->checksum; }
  std::size_t Parts() const;
  /// @param number from 0 to Parts() - 1
  std::string_view Part(std::size_t number) const;
  const std::string& Bytes() const { return this->bytes; }

 private:
  std::string bytes;
  std::uint64_t checksum = 0;
};

/// Puts the parts of a packed change together, which arrive in any order,
/// repeatedly, and from several instances.
class PartAssembler {
 public:
  PartAssembler(std::uint64_t checksum, std::size_t parts);

  /// @return whether the part was missing
  bool Add(std::size_t number, std::string_view bytes);
  /// The numbers of the missing parts.
  std::vector<std::size_t> Missing() const;
  /// The change.
  /// @return nothing while parts are missing. If the content does not match the
  ///   checksum, all parts are missing again.
  std::optional<StoreEvent> TakeComplete();

 private:
  std::uint64_t checksum;
  std::vector<std::optional<std::string>> parts;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CHANGE_PARTS_H_
