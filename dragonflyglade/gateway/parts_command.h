#ifndef DRAGONFLYGLADE_GATEWAY_PARTS_COMMAND_H_
#define DRAGONFLYGLADE_GATEWAY_PARTS_COMMAND_H_

#include <string>
#include <vector>

#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/commands.h"

namespace dragonflyglade::gateway {

/// Lists the parts of prompts that are refused, since they crash targets, adds
/// one, or takes one back.
/// @param arguments the command line after the command's name
/// @return the exit code
int RunPartsCommand(const std::vector<std::string>& arguments,
                    const CommandOutput& output, WireFormat wire);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_PARTS_COMMAND_H_
