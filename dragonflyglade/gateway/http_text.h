#ifndef DRAGONFLYGLADE_GATEWAY_HTTP_TEXT_H_
#define DRAGONFLYGLADE_GATEWAY_HTTP_TEXT_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/wire_format.h"

namespace dragonflyglade::gateway {

/// Formats the head of a request, with Content-Length if it may have a body.
/// @param host value of the Host field, unless the request's fields have one
/// @param body_bytes length of the body that is sent; the call's own is ignored
std::string RequestHeadText(const OutgoingHttpRequest& call,
                            std::string_view host, std::size_t body_bytes);

/// How the end of a response's body is marked.
enum class BodyFraming { kLength, kChunked };

/// Formats the head of a response.
/// @param length size of the body in bytes; used with kLength only
/// @param keep_alive idle timeout to announce; without one the response
///     announces that the connection closes
std::string ResponseHeadText(int status, const HeaderFields& fields,
                             BodyFraming framing, std::size_t length,
                             std::optional<absl::Duration> keep_alive);

/// Formats a chunk of a chunked body; the bytes must not be empty.
std::string ChunkText(std::string_view bytes);

/// The chunk that ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Converts the header of a request or response that Beast has parsed.
template <bool is_request>
HttpMessageHead ConvertHead(
    const boost::beast::http::header<is_request>& header, bool keep_alive) {
  HttpMessageHead head;
  if constexpr (is_request) {
    head.method = {header.method_string().data(),
                   header.method_string().size()};
    head.path_and_query = {header.target().data(), header.target().size()};
  } else {
    head.status = static_cast<int>(header.result_int());
  }
  head.keep_alive = keep_alive;
  head.fields.reserve(
      static_cast<std::size_t>(std::distance(header.begin(), header.end())));
  for (const auto& field : header) {
    head.fields.emplace_back(std::string(field.name_string()),
                             std::string(field.value()));
  }
  return head;
}

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_HTTP_TEXT_H_
