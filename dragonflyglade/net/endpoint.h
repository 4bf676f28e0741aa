#ifndef DRAGONFLYGLADE_NET_ENDPOINT_H_
#define DRAGONFLYGLADE_NET_ENDPOINT_H_

#include <string>
#include <string_view>

#include "dragonflyglade/decision/failure.h"

namespace dragonflyglade {

/// An IP number and a TCP port.
struct Endpoint {
  std::string address;
  int port = 0;

  /// "address:port", with brackets round an IPv6 number.
  std::string ToString() const;
};

/// Reads "http://ADDRESS:PORT" or "ADDRESS:PORT".
/// Errors: kInvalidArgument for host names, missing ports and anything else.
Result<Endpoint> ParseEndpoint(std::string_view text);

/// Whether the text is an IPv4 or IPv6 number.
bool IsIpAddress(std::string_view text);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_ENDPOINT_H_
