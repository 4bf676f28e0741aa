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

/// The data of one event.
struct StreamData {
  std::string text;
};
/// The stream ended, without a failure.
struct StreamDone {};
/// No event arrived within the time limit.
struct StreamTimeout {};
using StreamPart = std::variant<StreamData, StreamDone, StreamTimeout, Refusal>;

/// A bounded queue of events from the thread that reads a target's response to
/// the thread that writes to the caller. The reading thread blocks while the
/// queue is full, so a slow caller slows down only its own target connection.
/// Thread-safe.
class EventStream {
 public:
  /// @param limit the number of buffered events
  explicit EventStream(std::size_t limit);

  /// Adds an event; blocks while the stream is full.
  /// @return false if the stream has ended
  bool Push(std::string text);

  /// Ends the stream successfully.
  void Finish();

  /// Ends the stream with a failure, which the caller receives as its last
  /// event. Has no effect if the stream has ended already.
  void Fail(Refusal refusal);

  /// Ends the stream early, from either side.
  void Cancel();

  /// Sets the action to run when the stream is cancelled. It runs immediately
  /// if the stream is cancelled already.
  void OnCancel(std::function<void()> action);

  bool Cancelled() const;

  /// Waits for the next part and removes it.
  StreamPart Next(absl::Duration time_limit);

  /// Waits for the first event or the end, without removing it.
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
