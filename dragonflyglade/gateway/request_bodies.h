#ifndef DRAGONFLYGLADE_GATEWAY_REQUEST_BODIES_H_
#define DRAGONFLYGLADE_GATEWAY_REQUEST_BODIES_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace dragonflyglade::gateway {

/// Counts the bytes of the request bodies that an instance holds, from their
/// arrival until they are sent, and refuses those that exceed the limit. Used
/// on one event loop.
///
/// An eighth of the limit is reserved for bodies of up to kSmallBodyBytes, so
/// that small requests are served while large ones fill the rest.
class RequestBodies {
 public:
  /// Returns the limit in bytes.
  using LimitProvider = std::function<std::size_t()>;

  static constexpr std::size_t kSmallBodyBytes = 16u << 10;
  static constexpr std::size_t kDefaultLimitBytes = 32u << 20;

  explicit RequestBodies(LimitProvider limit) : limit(std::move(limit)) {}
  RequestBodies(const RequestBodies&) = delete;
  RequestBodies& operator=(const RequestBodies&) = delete;

  /// Counts the bytes of one body during its lifetime.
  class Hold {
   public:
    explicit Hold(RequestBodies& bodies) : bodies(bodies) {}
    ~Hold() { this->bodies.bytes -= this->bytes; }
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;

    /// Counts the body as this long, if it was counted as shorter.
    /// @return false if there is no room; the count then stays as it was
    bool GrowTo(std::size_t size);

   private:
    RequestBodies& bodies;
    std::size_t bytes = 0;
  };

  std::size_t Bytes() const { return this->bytes; }

 private:
  bool HasRoom(std::size_t more, std::size_t size) const;

  const LimitProvider limit;
  std::size_t bytes = 0;
};

/// A request's body. All who send it share it, and it counts as held until the
/// last of them has ended.
struct RequestBody {
  explicit RequestBody(RequestBodies& bodies) : hold(bodies) {}

  std::string text;
  RequestBodies::Hold hold;
};

/// The text of a body, or null for none.
using SharedBody = std::shared_ptr<const std::string>;

/// Shares the text together with its count.
inline SharedBody ShareText(std::shared_ptr<RequestBody> body) {
  const std::string* text = &body->text;
  return SharedBody(std::move(body), text);
}

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_REQUEST_BODIES_H_
