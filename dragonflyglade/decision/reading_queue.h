#ifndef DRAGONFLYGLADE_DECISION_READING_QUEUE_H_
#define DRAGONFLYGLADE_DECISION_READING_QUEUE_H_

#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// Prompt tokens that were sent to an engine and are expected to wait there
/// still: what others send is told when it is sent, and nobody tells when it
/// has been read. Not synchronised.
class ReadingQueue {
 public:
  /// @param read_per_ms tokens that the engine reads in a millisecond
  explicit ReadingQueue(double read_per_ms) : read_per_ms(read_per_ms) {}

  void Add(double tokens, Instant now);

  /// Tokens that are not read yet.
  double Left(Instant now) const;

 private:
  const double read_per_ms;
  double tokens = 0;
  Instant at;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_READING_QUEUE_H_
