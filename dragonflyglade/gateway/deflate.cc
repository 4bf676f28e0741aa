#include "dragonflyglade/gateway/deflate.h"

#include <zlib.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <stdexcept>

namespace dragonflyglade::gateway {
namespace {

constexpr std::size_t kChunkBytes = 16384;
// Limit on the decompressed size: damaged or foreign bytes could otherwise make
// the process use any amount of memory.
constexpr std::size_t kMaxBytes = std::size_t{4} * 1024 * 1024;

// zlib's interface takes its input as mutable bytes although it does not change
// them.
Bytef* BytesOf(std::string_view text) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

/// Owns a zlib stream and ends it on each path.
struct InflateStream {
  z_stream state{};
  bool usable = inflateInit(&this->state) == Z_OK;

  InflateStream() = default;
  InflateStream(const InflateStream&) = delete;
  InflateStream& operator=(const InflateStream&) = delete;
  ~InflateStream() {
    if (this->usable) inflateEnd(&this->state);
  }
};

}  // namespace

std::string Deflate(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string compressed(size, '\0');
  const int result = compress2(BytesOf(compressed), &size, BytesOf(text),
                               text.size(), Z_BEST_SPEED);
  // compressBound is large enough for any text, so that only a lack of memory
  // makes compress2 fail.
  if (result != Z_OK) throw std::runtime_error("text could not be compressed");
  compressed.resize(size);
  return compressed;
}

std::optional<std::string> Inflate(std::string_view compressed) {
  InflateStream stream;
  if (!stream.usable) return std::nullopt;
  stream.state.next_in = BytesOf(compressed);
  stream.state.avail_in = static_cast<uInt>(compressed.size());
  std::string text;
  std::array<char, kChunkBytes> chunk;
  int result = Z_OK;
  while (result == Z_OK && text.size() <= kMaxBytes) {
    stream.state.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.state.avail_out = static_cast<uInt>(chunk.size());
    result = inflate(&stream.state, Z_NO_FLUSH);
    text.append(chunk.data(), chunk.size() - stream.state.avail_out);
  }
  const bool whole = result == Z_STREAM_END && stream.state.avail_in == 0;
  if (!whole || text.size() > kMaxBytes) return std::nullopt;
  return text;
}

}  // namespace dragonflyglade::gateway
