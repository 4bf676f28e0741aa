#ifndef DRAGONFLYGLADE_GATEWAY_EVENT_SPLITTER_H_
#define DRAGONFLYGLADE_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflyglade::gateway {

/// Cuts the bytes of an event stream at event boundaries, so that a caller
/// never sees a part of an event whose rest is lost, and knows the id of the
/// last whole event, after which another target can go on.
class EventSplitter {
 public:
  /// Adds bytes as they come.
  /// @return the whole events that are now complete; valid until the next call
  std::string_view Add(std::string_view bytes);

  /// Another run of the same request follows: what is incomplete is dropped.
  void Restart();

  /// Whether bytes of an unfinished event are held.
  bool HasPartial() const { return this->held.size() > this->ready; }

  /// The id of the last whole event; empty if none had one.
  const std::string& LastId() const { return this->last_id; }

  /// Whether an event's id was not above the one before it: the stream is not
  /// the one that was asked for.
  bool OutOfOrder() const { return this->out_of_order; }

 private:
  void TakeIds(std::string_view events);

  std::string held;
  std::size_t ready = 0;  ///< bytes of held that were given out
  std::string last_id;
  std::optional<std::int64_t> last_number;
  bool out_of_order = false;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_EVENT_SPLITTER_H_
