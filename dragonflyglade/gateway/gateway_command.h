#ifndef DRAGONFLYGLADE_GATEWAY_GATEWAY_COMMAND_H_
#define DRAGONFLYGLADE_GATEWAY_GATEWAY_COMMAND_H_

#include <string>
#include <vector>

#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/commands.h"

namespace dragonflyglade::gateway {

/// Runs one gateway process. The arguments begin after the command's name.
/// @param wire how the world outside is spoken to
/// @return an exit code
int RunGatewayCommand(const std::vector<std::string>& arguments,
                      const CommandOutput& output, WireFormat wire);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_GATEWAY_COMMAND_H_
