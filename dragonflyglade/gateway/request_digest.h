#ifndef DRAGONFLYGLADE_GATEWAY_REQUEST_DIGEST_H_
#define DRAGONFLYGLADE_GATEWAY_REQUEST_DIGEST_H_

#include <string>
#include <string_view>

#include "dragonflyglade/gateway/messages.h"

namespace dragonflyglade::gateway {

/// Identifies a request beyond one attempt of its caller: the same for all
/// repeats and at all instances. Covers method, host, path, query, workspace,
/// model, adapter, parts of the prompt and body.
/// Complexity: linear in the body.
/// @param workspace name; empty on routes without keys
/// @return 16 hexadecimal digits
std::string DigestOf(const CallerRequest& request, std::string_view workspace);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_REQUEST_DIGEST_H_
