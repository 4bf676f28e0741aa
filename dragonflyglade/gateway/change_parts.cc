#include "dragonflyglade/gateway/change_parts.h"

#include <xxhash.h>

#include <utility>

#include "dragonflyglade/gateway/change_codec.h"

namespace dragonflyglade::gateway {
namespace {

// On a link of 10 Mbit/s a part takes 13 ms, so that requests get through
// between parts.
constexpr std::size_t kPartBytes = std::size_t{16} * 1024;

std::uint64_t ChecksumOf(std::string_view bytes) {
  return XXH64(bytes.data(), bytes.size(), 0);
}

}  // namespace

PackedChange::PackedChange(const StoreEvent& event)
    : bytes(PackChange(event)), checksum(ChecksumOf(this->bytes)) {}

std::size_t PackedChange::Parts() const {
  return (this->bytes.size() + kPartBytes - 1) / kPartBytes;
}

std::string_view PackedChange::Part(std::size_t number) const {
  return std::string_view{this->bytes}.substr(number * kPartBytes, kPartBytes);
}

PartAssembler::PartAssembler(std::uint64_t checksum, std::size_t parts)
    : checksum(checksum), parts(parts) {}

bool PartAssembler::Add(std::size_t number, std::string_view bytes) {
  if (number >= this->parts.size() || this->parts[number].has_value()) {
    return false;
  }
  this->parts[number] = std::string(bytes);
  return true;
}

std::vector<std::size_t> PartAssembler::Missing() const {
  std::vector<std::size_t> missing;
  for (std::size_t i = 0; i < this->parts.size(); ++i) {
    if (!this->parts[i].has_value()) missing.push_back(i);
  }
  return missing;
}

std::optional<StoreEvent> PartAssembler::TakeComplete() {
  std::string bytes;
  for (const std::optional<std::string>& part : this->parts) {
    if (!part.has_value()) return std::nullopt;
    bytes += *part;
  }
  if (ChecksumOf(bytes) == this->checksum) {
    std::optional<std::vector<StoreEvent>> changes = UnpackChanges(bytes);
    if (changes.has_value() && changes->size() == 1) {
      return std::move(changes->front());
    }
  }
  // Any process can send datagrams to the port, so that a part may be foreign.
  for (std::optional<std::string>& part : this->parts) part.reset();
  return std::nullopt;
}

}  // namespace dragonflyglade::gateway
