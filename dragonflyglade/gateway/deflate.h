#ifndef DRAGONFLYGLADE_GATEWAY_DEFLATE_H_
#define DRAGONFLYGLADE_GATEWAY_DEFLATE_H_

#include <optional>
#include <string>
#include <string_view>

namespace dragonflyglade::gateway {

/// Compressed text, in zlib's format.
std::string Deflate(std::string_view text);

/// @return nothing for bytes that are no compressed text, or a text that no
///   sound sender makes as long
std::optional<std::string> Inflate(std::string_view compressed);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_DEFLATE_H_
