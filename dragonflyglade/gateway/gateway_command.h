#ifndef DRAGONFLYGLADE_GATEWAY_GATEWAY_COMMAND_H_
#define DRAGONFLYGLADE_GATEWAY_GATEWAY_COMMAND_H_

#include <string>
#include <vector>

#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/commands.h"

namespace dragonflyglade::gateway {

/// Runs a gateway process until it stops.
/// @param arguments the command line after the command's name
/// @param wire codecs for the formats of callers, targets and the store
/// @return the exit code
int RunGatewayCommand(const std::vector<std::string>& arguments,
                      const CommandOutput& output, WireFormat wire);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_GATEWAY_COMMAND_H_
