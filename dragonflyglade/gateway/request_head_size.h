#ifndef DRAGONFLYGLADE_GATEWAY_REQUEST_HEAD_SIZE_H_
#define DRAGONFLYGLADE_GATEWAY_REQUEST_HEAD_SIZE_H_

#include <cstddef>
#include <string_view>

namespace dragonflyglade::gateway {

/// Estimates the memory that the head of a request takes, from its bytes as
/// they arrive.
class RequestHeadSize {
 public:
  void Add(std::string_view bytes);

  /// Of the text and the parsed fields.
  std::size_t Bytes() const;

 private:
  std::size_t text_bytes = 0;
  std::size_t lines = 0;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_REQUEST_HEAD_SIZE_H_
