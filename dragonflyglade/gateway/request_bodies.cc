#include "dragonflyglade/gateway/request_bodies.h"

namespace dragonflyglade::gateway {
namespace {

// The part of the limit that is reserved for small bodies.
constexpr std::size_t kReserveDivisor = 8;

}  // namespace

bool RequestBodies::Hold::GrowTo(std::size_t size) {
  if (size <= this->bytes) return true;
  const std::size_t more = size - this->bytes;
  if (!this->bodies.HasRoom(more, size)) return false;
  this->bytes = size;
  this->bodies.bytes += more;
  return true;
}

bool RequestBodies::HasRoom(std::size_t more, std::size_t size) const {
  const std::size_t limit = this->limit();
  const std::size_t reserve =
      size <= kSmallBodyBytes ? 0 : limit / kReserveDivisor;
  const std::size_t usable = limit - reserve;
  // A reload may have lowered the limit below what is held.
  return this->bytes <= usable && more <= usable - this->bytes;
}

}  // namespace dragonflyglade::gateway
