#include "dragonflyglade/gateway/request_memory.h"

namespace dragonflyglade::gateway {
namespace {

// The part of the limit that is reserved for what is small.
constexpr std::size_t kReserveDivisor = 8;

}  // namespace

bool RequestMemory::Hold::GrowTo(std::size_t size) {
  if (size <= this->bytes) return true;
  const std::size_t more = size - this->bytes;
  if (!this->memory.HasRoom(more, size)) return false;
  this->bytes = size;
  this->memory.bytes += more;
  return true;
}

void RequestMemory::Hold::Release() {
  this->memory.bytes -= this->bytes;
  this->bytes = 0;
}

bool RequestMemory::HasRoom(std::size_t more, std::size_t size) const {
  const std::size_t limit = this->limit();
  const std::size_t reserve =
      size <= this->small_bytes ? 0 : limit / kReserveDivisor;
  const std::size_t usable = limit - reserve;
  // A reload may have lowered the limit below what is held.
  return this->bytes <= usable && more <= usable - this->bytes;
}

}  // namespace dragonflyglade::gateway
