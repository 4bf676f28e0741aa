#include "dragonflyglade/gateway/request_memory.h"

#include <vector>

namespace dragonflyglade::gateway {
namespace {

// The part of the limit that is reserved for what is small.
constexpr std::size_t kReserveDivisor = 8;
// A lost packet is sent again within some hundred milliseconds.
constexpr absl::Duration kMaxPause = absl::Milliseconds(500);

}  // namespace

bool RequestMemory::Hold::GrowTo(std::size_t size) {
  if (size <= this->bytes) return true;
  const std::size_t more = size - this->bytes;
  if (!this->memory.MakeRoom(more, size)) return false;
  this->bytes = size;
  this->memory.bytes += more;
  return true;
}

void RequestMemory::Hold::Release() {
  this->memory.bytes -= this->bytes;
  this->bytes = 0;
}

RequestMemory::Arrival::Arrival(Hold& hold, absl::Duration time,
                                std::function<void()> end)
    : hold(hold),
      time(time),
      end(std::move(end)),
      begun(hold.memory.clock.Now()),
      last_progress(this->begun) {
  std::list<Arrival*>& arrivals = this->hold.memory.arrivals;
  this->position = arrivals.insert(arrivals.end(), this);
}

RequestMemory::Arrival::~Arrival() {
  this->hold.memory.arrivals.erase(this->position);
}

void RequestMemory::Arrival::Record(std::size_t bytes) {
  if (bytes <= this->received) return;
  this->received = bytes;
  this->last_progress = this->hold.memory.clock.Now();
}

bool RequestMemory::Arrival::IsLate(Instant now) const {
  if (now - this->last_progress >= kMaxPause) return true;
  const absl::Duration elapsed = now - this->begun;
  if (elapsed < kMaxPause) return false;
  const double due = static_cast<double>(this->hold.bytes) *
                     absl::FDivDuration(elapsed, this->time);
  return static_cast<double>(this->received) < due;
}

// Failure: a few callers that state large bodies and send nothing have all of
// the room, and others are refused for as long as such a body may take. A body
// has its room before it comes, so that one that was let in is not cut off for
// another; one that is late will not be whole in time in any case.
bool RequestMemory::MakeRoom(std::size_t more, std::size_t size) {
  if (this->HasRoom(more, size, 0)) return true;
  const Instant now = this->clock.Now();
  std::vector<Arrival*> late;
  std::size_t freed = 0;
  for (Arrival* arrival : this->arrivals) {
    if (arrival->hold.bytes == 0 || !arrival->IsLate(now)) continue;
    late.push_back(arrival);
    freed += arrival->hold.bytes;
    if (this->HasRoom(more, size, freed)) break;
  }
  if (!this->HasRoom(more, size, freed)) return false;
  for (Arrival* arrival : late) {
    arrival->hold.Release();
    arrival->was_ended = true;
    arrival->end();
  }
  return true;
}

bool RequestMemory::HasRoom(std::size_t more, std::size_t size,
                            std::size_t freed) const {
  const std::size_t limit = this->limit();
  const std::size_t reserve =
      size <= this->small_bytes ? 0 : limit / kReserveDivisor;
  const std::size_t usable = limit - reserve;
  const std::size_t held = this->bytes - freed;
  // A reload may have lowered the limit below what is held.
  return held <= usable && more <= usable - held;
}

}  // namespace dragonflyglade::gateway
