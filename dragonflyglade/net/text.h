#ifndef DRAGONFLYGLADE_NET_TEXT_H_
#define DRAGONFLYGLADE_NET_TEXT_H_

#include <string>
#include <string_view>

#include "absl/strings/string_view.h"

namespace dragonflyglade {

// Conversions between std::string_view and absl::string_view, which is a type
// of its own in the Abseil package of Debian 12.

inline absl::string_view ToAbslView(std::string_view text) {
  return {text.data(), text.size()};
}

/// Copies the viewed characters.
inline std::string ToStdString(absl::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_TEXT_H_
