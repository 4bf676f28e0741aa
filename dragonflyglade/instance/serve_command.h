#ifndef DRAGONFLYGLADE_INSTANCE_SERVE_COMMAND_H_
#define DRAGONFLYGLADE_INSTANCE_SERVE_COMMAND_H_

#include <string>
#include <vector>

#include "dragonflyglade/operator/commands.h"

namespace dragonflyglade {

/// Runs one instance until SIGTERM or SIGINT, then drains it.
/// @return the exit code of the process
int RunServeCommand(const std::vector<std::string>& arguments,
                    const CommandOutput& output);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_SERVE_COMMAND_H_
