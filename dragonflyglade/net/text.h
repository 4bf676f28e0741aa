#ifndef DRAGONFLYGLADE_NET_TEXT_H_
#define DRAGONFLYGLADE_NET_TEXT_H_

#include <string>
#include <string_view>

#include "absl/strings/string_view.h"

namespace dragonflyglade {

/// Abseil's views, which are a type of their own in Debian 12, as ours.
inline std::string_view ToStdView(absl::string_view text) {
  return {text.data(), text.size()};
}
inline absl::string_view ToAbslView(std::string_view text) {
  return {text.data(), text.size()};
}

/// A copy of a view of Abseil's.
inline std::string ToStdString(absl::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_TEXT_H_
