#ifndef DRAGONFLYGLADE_GATEWAY_EVENT_SPLITTER_H_
#define DRAGONFLYGLADE_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflyglade::gateway {

/// Splits the bytes of a server-sent event stream at event boundaries. Callers
/// thus never receive part of an event whose rest is lost. Keeps the id of the
/// last complete event, after which another target can resume the stream.
class EventSplitter {
 public:
  /// Adds received bytes.
  /// @return the events that these bytes complete; valid until the next call
  std::string_view Add(std::string_view bytes);

  /// Discards an incomplete event, before another attempt of the same request
  /// continues the stream.
  void Restart();

  /// Whether the buffer holds bytes of an incomplete event.
  bool HasPartial() const { return this->buffer.size() > this->returned; }

  std::size_t PartialBytes() const {
    return this->buffer.size() - this->returned;
  }

  /// Bytes since the last field of a complete event: comments, which keep a
  /// connection open and are no events, and an incomplete event.
  std::size_t BytesWithoutEvent() const {
    return this->comment_bytes + this->PartialBytes();
  }

  /// The id of the last complete event that has one; empty if none has.
  const std::string& LastId() const { return this->last_id; }

  /// Whether an event's numeric id was not greater than the one before it. Then
  /// the stream is not the requested continuation.
  bool OutOfOrder() const { return this->out_of_order; }

 private:
  void ParseLines(std::string_view events);

  std::string buffer;
  std::size_t returned = 0;       ///< bytes of the buffer that Add has returned
  std::size_t comment_bytes = 0;  ///< and of blank lines, since the last field
  std::string last_id;
  std::optional<std::int64_t> last_number;
  bool out_of_order = false;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_EVENT_SPLITTER_H_
