#ifndef DRAGONFLYGLADE_GATEWAY_DEFLATE_H_
#define DRAGONFLYGLADE_GATEWAY_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflyglade::gateway {

/// Compressed text, in zlib's format.
std::string Deflate(std::string_view text);

/// @return nothing for bytes that are no compressed text, or one longer than
///   `most` bytes
std::optional<std::string> Inflate(std::string_view compressed,
                                   std::size_t most);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_DEFLATE_H_
