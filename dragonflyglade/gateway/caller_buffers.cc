#include "dragonflyglade/gateway/caller_buffers.h"

namespace dragonflyglade::gateway {

CallerBuffers::Write::Write(CallerBuffers& buffers, std::size_t bytes,
                            std::function<void()> end)
    : buffers(buffers), bytes(bytes), end(std::move(end)) {
  this->buffers.writes.push_back(this);
  this->position = std::prev(this->buffers.writes.end());
  this->buffers.bytes += bytes;
  this->buffers.EndSlowest();
}

CallerBuffers::Write::~Write() {
  if (!this->ended) this->buffers.Remove(*this);
}

void CallerBuffers::Remove(Write& write) {
  this->writes.erase(write.position);
  this->bytes -= write.bytes;
}

// The write that began first has waited longest for its caller. Writes to
// callers that read take milliseconds.
void CallerBuffers::EndSlowest() {
  while (this->bytes > this->limits().total_bytes && !this->writes.empty()) {
    Write& slowest = *this->writes.front();
    slowest.ended = true;
    this->Remove(slowest);
    slowest.end();
  }
}

}  // namespace dragonflyglade::gateway
