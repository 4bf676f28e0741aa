#ifndef DRAGONFLYGLADE_NET_ENDPOINT_H_
#define DRAGONFLYGLADE_NET_ENDPOINT_H_

#include <string>
#include <string_view>

#include "dragonflyglade/decision/failure.h"

namespace dragonflyglade {

/// An IP address and a TCP port.
struct Endpoint {
  std::string address;
  int port = 0;

  /// "address:port", with brackets around an IPv6 address.
  std::string ToString() const;
};

/// Parses "http://ADDRESS:PORT" or "ADDRESS:PORT".
/// Errors: kInvalidArgument for anything else, such as a host name or a missing
/// port.
Result<Endpoint> ParseEndpoint(std::string_view text);

/// Whether the text is an IPv4 or IPv6 address.
bool IsIpAddress(std::string_view text);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_ENDPOINT_H_
