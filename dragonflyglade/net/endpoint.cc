#include "dragonflyglade/net/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace dragonflyglade {
namespace {

constexpr std::string_view kScheme = "http://";
constexpr int kMaxPort = 65535;

Failure InvalidEndpoint(std::string_view text, std::string_view expected) {
  return MakeFailure(Errc::kInvalidArgument, "parse endpoint", "settings",
                     fmt::format("expected {}, found '{}'", expected, text));
}

}  // namespace

std::string Endpoint::ToString() const {
  const bool is_ipv6 = this->address.find(':') != std::string::npos;
  return is_ipv6 ? fmt::format("[{}]:{}", this->address, this->port)
                 : fmt::format("{}:{}", this->address, this->port);
}

bool IsIpAddress(std::string_view text) {
  const std::string address(text);
  in6_addr buffer;
  return inet_pton(AF_INET, address.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, address.c_str(), &buffer) == 1;
}

Result<Endpoint> ParseEndpoint(std::string_view text) {
  std::string_view unparsed = text;
  if (unparsed.substr(0, kScheme.size()) == kScheme) {
    unparsed.remove_prefix(kScheme.size());
  }
  const std::size_t colon = unparsed.rfind(':');
  if (colon == std::string_view::npos)
    return InvalidEndpoint(text, "ADDRESS:PORT");
  std::string_view address = unparsed.substr(0, colon);
  const std::string_view port = unparsed.substr(colon + 1);
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  if (!IsIpAddress(address)) return InvalidEndpoint(text, "an IP number");
  int number = 0;
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), number);
  const bool is_complete = end == port.data() + port.size();
  if (error != std::errc() || !is_complete || number < 1 || number > kMaxPort) {
    return InvalidEndpoint(text, "a port from 1 to 65535");
  }
  return Endpoint{std::string(address), number};
}

}  // namespace dragonflyglade
