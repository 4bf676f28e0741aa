#ifndef DRAGONFLYGLADE_GATEWAY_HTTP_TEXT_H_
#define DRAGONFLYGLADE_GATEWAY_HTTP_TEXT_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/wire_format.h"

namespace dragonflyglade::gateway {

/// The head of a request as text, with Content-Length for a body.
/// @param host the Host field, if the fields have none
std::string RequestHeadText(const OutgoingHttpRequest& call,
                            std::string_view host);

/// How an answer's body ends.
enum class BodyFraming { kLength, kChunked };

/// The head of an answer as text.
/// @param length of the body, with kLength
/// @param keep_alive how long the connection stays for a next request; none:
///     it ends with this answer
std::string ResponseHeadText(int status, const HeaderFields& fields,
                             BodyFraming framing, std::size_t length,
                             std::optional<absl::Duration> keep_alive);

/// A chunk of a body with its framing; the bytes must not be empty.
std::string ChunkText(std::string_view bytes);

/// The end of a body in chunks.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// The head of a parsed request or answer.
template <bool is_request>
HttpMessageHead HeadText(const boost::beast::http::header<is_request>& header,
                         bool keep_alive) {
  HttpMessageHead head;
  if constexpr (is_request) {
    head.method = {header.method_string().data(),
                   header.method_string().size()};
    head.path_and_query = {header.target().data(), header.target().size()};
  } else {
    head.status = static_cast<int>(header.result_int());
  }
  head.keep_alive = keep_alive;
  for (const auto& field : header) {
    head.fields.emplace_back(std::string(field.name_string()),
                             std::string(field.value()));
  }
  return head;
}

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_HTTP_TEXT_H_
