#include "dragonflyglade/gateway/http_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <iterator>

#include "absl/strings/match.h"

namespace dragonflyglade::gateway {
namespace {

std::string_view ReasonPhrase(int status) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {reason.data(), reason.size()};
}

void AppendFields(const HeaderFields& fields, std::string& text) {
  for (const auto& [name, value] : fields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
}

bool HasHost(const HeaderFields& fields) {
  return std::any_of(fields.begin(), fields.end(), [](const auto& field) {
    return absl::EqualsIgnoreCase(field.first, "Host");
  });
}

}  // namespace

std::string RequestHeadText(const OutgoingHttpRequest& call,
                            std::string_view host, std::size_t body_bytes) {
  std::string text =
      fmt::format("{} {} HTTP/1.1\r\n", call.method, call.path_and_query);
  if (!HasHost(call.fields)) text += fmt::format("Host: {}\r\n", host);
  AppendFields(call.fields, text);
  if (body_bytes > 0 || call.method == "POST" || call.method == "PUT") {
    text += fmt::format("Content-Length: {}\r\n", body_bytes);
  }
  text += "\r\n";
  return text;
}

std::string ResponseHeadText(int status, const HeaderFields& fields,
                             BodyFraming framing, std::size_t length,
                             std::optional<absl::Duration> keep_alive) {
  std::string text =
      fmt::format("HTTP/1.1 {} {}\r\n", status, ReasonPhrase(status));
  AppendFields(fields, text);
  if (framing == BodyFraming::kChunked) {
    text += "Transfer-Encoding: chunked\r\n";
  } else {
    text += fmt::format("Content-Length: {}\r\n", length);
  }
  if (!keep_alive.has_value()) {
    text += "Connection: close\r\n";
  } else if (const std::int64_t seconds = absl::ToInt64Seconds(*keep_alive);
             seconds > 0) {
    text += fmt::format("Keep-Alive: timeout={}\r\n", seconds);
  }
  text += "\r\n";
  return text;
}

std::string ChunkText(std::string_view bytes) {
  std::string text = fmt::format("{:x}\r\n", bytes.size());
  text.append(bytes).append("\r\n");
  return text;
}

}  // namespace dragonflyglade::gateway
