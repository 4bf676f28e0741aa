#ifndef DRAGONFLYGLADE_GATEWAY_REQUEST_MEMORY_H_
#define DRAGONFLYGLADE_GATEWAY_REQUEST_MEMORY_H_

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade::gateway {

/// Counts the memory of one kind of what an instance holds for requests, their
/// heads or their bodies, from the arrival until it is no longer needed. Tells
/// those that exceed the limit. Used on one event loop.
///
/// An eighth of the limit is reserved for small ones, so that small requests
/// are served while large ones fill the rest.
class RequestMemory {
 public:
  /// Returns the limit in bytes.
  using LimitProvider = std::function<std::size_t()>;

  static constexpr std::size_t kSmallBodyBytes = 16u << 10;
  /// What the head of an ordinary request takes.
  static constexpr std::size_t kSmallHeadBytes = 4u << 10;
  static constexpr std::size_t kDefaultBodiesBytes = 32u << 20;

  /// @param small_bytes what counts as small
  RequestMemory(LimitProvider limit, std::size_t small_bytes, Clock clock)
      : limit(std::move(limit)),
        small_bytes(small_bytes),
        clock(std::move(clock)) {}
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  /// Counts the bytes of one head or body during its lifetime.
  class Hold {
   public:
    explicit Hold(RequestMemory& memory) : memory(memory) {}
    ~Hold() { this->Release(); }
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;

    /// Counts this many bytes, if fewer were counted. May end arrivals that are
    /// late.
    /// @return false if there is no room; the count then stays as it was
    bool GrowTo(std::size_t size);
    /// Counts nothing any more.
    void Release();

   private:
    friend class RequestMemory;

    RequestMemory& memory;
    std::size_t bytes = 0;
  };

  /// The receipt of what a hold counts. It is late if nothing came for some
  /// time, or if it has come too slowly so far to be whole in time.
  class Arrival {
   public:
    /// @param time within which it must be whole
    /// @param end ends a late receipt, for which nothing is counted any more;
    ///     called at most once
    Arrival(Hold& hold, absl::Duration time, std::function<void()> end);
    ~Arrival();
    Arrival(const Arrival&) = delete;
    Arrival& operator=(const Arrival&) = delete;

    /// Records how many bytes have come so far.
    void Record(std::size_t bytes);
    bool WasEnded() const { return this->was_ended; }

   private:
    friend class RequestMemory;

    bool IsLate(Instant now) const;

    Hold& hold;
    const absl::Duration time;
    const std::function<void()> end;
    const Instant begun;
    Instant last_progress;
    std::size_t received = 0;
    bool was_ended = false;
    std::list<Arrival*>::iterator position;
  };

  std::size_t Bytes() const { return this->bytes; }

 private:
  /// @param freed bytes that are counted, but are about to be freed
  bool HasRoom(std::size_t more, std::size_t size, std::size_t freed) const;
  bool MakeRoom(std::size_t more, std::size_t size);

  const LimitProvider limit;
  const std::size_t small_bytes;
  const Clock clock;
  std::size_t bytes = 0;
  std::list<Arrival*> arrivals;  ///< the first to come first
};

/// A request's body. All who send it share it, and it counts as held until the
/// last of them has ended.
struct RequestBody {
  explicit RequestBody(RequestMemory& bodies) : hold(bodies) {}

  std::string text;
  RequestMemory::Hold hold;
};

/// The text of a body, or null for none.
using SharedBody = std::shared_ptr<const std::string>;

/// Shares the text together with its count.
inline SharedBody ShareText(std::shared_ptr<RequestBody> body) {
  const std::string* text = &body->text;
  return SharedBody(std::move(body), text);
}

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_REQUEST_MEMORY_H_
