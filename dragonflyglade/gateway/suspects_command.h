#ifndef DRAGONFLYGLADE_GATEWAY_SUSPECTS_COMMAND_H_
#define DRAGONFLYGLADE_GATEWAY_SUSPECTS_COMMAND_H_

#include <string>
#include <vector>

#include "dragonflyglade/decision/crash_account.h"
#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/commands.h"

namespace dragonflyglade::gateway {

/// Lists the parts of prompts, or the requests, that are refused since they
/// crash targets, adds one, or takes one back.
/// @param kind what the command is for: `parts` or `requests`
/// @param arguments the command line after the command's name
/// @return the exit code
int RunSuspectsCommand(SuspectKind kind,
                       const std::vector<std::string>& arguments,
                       const CommandOutput& output, WireFormat wire);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_SUSPECTS_COMMAND_H_
