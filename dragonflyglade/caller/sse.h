#ifndef DRAGONFLYGLADE_CALLER_SSE_H_
#define DRAGONFLYGLADE_CALLER_SSE_H_

#include <string>
#include <string_view>
#include <vector>

namespace dragonflyglade {

/// The data of the last event of a completion stream.
inline constexpr std::string_view kStreamEndMarker = "[DONE]";

/// Splits a stream of server-sent events into the data of its events. Comments
/// are dropped, and an event is returned only when its blank line has arrived.
class SseReader {
 public:
  /// Adds received bytes and returns the data of the events that they complete.
  std::vector<std::string> Feed(std::string_view bytes);

  /// Whether bytes of an incomplete event are buffered.
  bool HasRemainder() const { return !this->buffer.empty(); }

 private:
  std::string buffer;
};

/// Encodes an event with the data.
std::string SseEvent(std::string_view data);

/// Encodes an event of type "error" with the data.
std::string SseErrorEvent(std::string_view data);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_SSE_H_
