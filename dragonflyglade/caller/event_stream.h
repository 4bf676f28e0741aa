#ifndef DRAGONFLYGLADE_CALLER_EVENT_STREAM_H_
#define DRAGONFLYGLADE_CALLER_EVENT_STREAM_H_

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "dragonflyglade/decision/refusal.h"

namespace dragonflyglade {

/// One event for the caller.
struct StreamData {
  std::string text;
};
/// The stream ended whole.
struct StreamDone {};
/// Nothing came in time.
struct StreamTimeout {};
using StreamPart = std::variant<StreamData, StreamDone, StreamTimeout, Refusal>;

/// Carries a stream's events from the thread that reads a target to the one
/// that writes to the caller. Bounded: a slow caller slows its own reader.
/// Thread-safe.
class EventStream {
 public:
  explicit EventStream(std::size_t limit);

  /// Adds an event; waits while the stream is full. False once cancelled.
  bool Push(std::string text);

  /// Ends the stream whole.
  void Finish();

  /// Ends the stream with a failure that the caller is told of.
  void Fail(Refusal refusal);

  /// The reader has no more use for the stream, or a writer ends it early.
  void Cancel();

  /// What to do when the stream is cancelled; done at once if it is already.
  void OnCancel(std::function<void()> action);

  bool Cancelled() const;

  /// Waits for the next part, and takes it.
  StreamPart Next(absl::Duration limit);

  /// Waits until there is an event or an end, without taking it.
  /// @return the failure, if the stream failed before its first event
  std::optional<Refusal> WaitForStart();

 private:
  bool Ended() const ABSL_SHARED_LOCKS_REQUIRED(mutex);

  const std::size_t limit;
  mutable absl::Mutex mutex;
  std::deque<std::string> events ABSL_GUARDED_BY(mutex);
  bool finished ABSL_GUARDED_BY(mutex) = false;
  bool cancelled ABSL_GUARDED_BY(mutex) = false;
  std::optional<Refusal> failure ABSL_GUARDED_BY(mutex);
  std::function<void()> on_cancel ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_EVENT_STREAM_H_
