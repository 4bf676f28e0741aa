#include "dragonflyglade/decision/reading_queue.h"

#include <algorithm>

namespace dragonflyglade {

void ReadingQueue::Add(double tokens, Instant now) {
  this->tokens = this->Left(now) + tokens;
  this->at = now;
}

double ReadingQueue::Left(Instant now) const {
  const double read =
      this->read_per_ms * absl::ToDoubleMilliseconds(now - this->at);
  return std::max(0.0, this->tokens - read);
}

}  // namespace dragonflyglade
