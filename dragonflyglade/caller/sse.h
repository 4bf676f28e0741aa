#ifndef DRAGONFLYGLADE_CALLER_SSE_H_
#define DRAGONFLYGLADE_CALLER_SSE_H_

#include <string>
#include <string_view>
#include <vector>

namespace dragonflyglade {

/// The last event's data of a completion stream.
inline constexpr std::string_view kStreamEndMarker = "[DONE]";

/// Cuts a stream of server-sent events into the data of each event.
/// Comments are dropped; an event without its blank line is never given out.
class SseReader {
 public:
  /// Adds bytes and returns the data of the events that they complete.
  std::vector<std::string> Feed(std::string_view bytes);

  /// Whether bytes of an unfinished event are left.
  bool HasRemainder() const { return !this->buffer.empty(); }

 private:
  std::string buffer;
};

/// One event with the data, as it goes over the wire.
std::string SseEvent(std::string_view data);

/// An event of type "error" with the data.
std::string SseErrorEvent(std::string_view data);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_SSE_H_
