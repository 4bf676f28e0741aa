#ifndef DRAGONFLYGLADE_GATEWAY_REQUEST_MEMORY_H_
#define DRAGONFLYGLADE_GATEWAY_REQUEST_MEMORY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

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
  RequestMemory(LimitProvider limit, std::size_t small_bytes)
      : limit(std::move(limit)), small_bytes(small_bytes) {}
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  /// Counts the bytes of one head or body during its lifetime.
  class Hold {
   public:
    explicit Hold(RequestMemory& memory) : memory(memory) {}
    ~Hold() { this->Release(); }
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;

    /// Counts this many bytes, if fewer were counted.
    /// @return false if there is no room; the count then stays as it was
    bool GrowTo(std::size_t size);
    /// Counts nothing any more.
    void Release();

   private:
    RequestMemory& memory;
    std::size_t bytes = 0;
  };

  std::size_t Bytes() const { return this->bytes; }

 private:
  bool HasRoom(std::size_t more, std::size_t size) const;

  const LimitProvider limit;
  const std::size_t small_bytes;
  std::size_t bytes = 0;
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
