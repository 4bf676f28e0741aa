#ifndef DRAGONFLYGLADE_GATEWAY_DEFLATE_H_
#define DRAGONFLYGLADE_GATEWAY_DEFLATE_H_

#include <optional>
#include <string>
#include <string_view>

namespace dragonflyglade::gateway {

/// Compresses a text in the zlib format.
std::string Deflate(std::string_view text);

/// Decompresses a text in the zlib format.
/// @return nothing if the bytes are invalid, or if the text is longer than any
///   that a correct sender produces
std::optional<std::string> Inflate(std::string_view compressed);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_DEFLATE_H_
