#include "dragonflyglade/gateway/request_head_size.h"

#include <algorithm>

namespace dragonflyglade::gateway {
namespace {

// Of a field beside its text: a node of the parser, or two strings and their
// place in a list.
constexpr std::size_t kFieldBytes = 80;
// The text is in the fields, and as it was received or is to be sent.
constexpr std::size_t kTextCopies = 2;

}  // namespace

void RequestHeadSize::Add(std::string_view bytes) {
  this->text_bytes += bytes.size();
  this->lines +=
      static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\n'));
}

std::size_t RequestHeadSize::Bytes() const {
  return kTextCopies * this->text_bytes + kFieldBytes * this->lines;
}

}  // namespace dragonflyglade::gateway
