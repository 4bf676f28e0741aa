#ifndef DRAGONFLYGLADE_OPERATOR_COMMANDS_H_
#define DRAGONFLYGLADE_OPERATOR_COMMANDS_H_

#include <ostream>
#include <string>
#include <vector>

namespace dragonflyglade {

/// Exit codes of all commands.
inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadUse = 2;

/// Where a command writes.
struct CommandOutput {
  std::ostream& out;
  std::ostream& err;
};

/// The operators' commands. The arguments begin after the command's name.
/// @return an exit code
int RunConfigCommand(const std::vector<std::string>& arguments,
                     const CommandOutput& output);
int RunKeyCommand(const std::vector<std::string>& arguments,
                  const CommandOutput& output);
int RunStatusCommand(const std::vector<std::string>& arguments,
                     const CommandOutput& output);
int RunAuditCommand(const std::vector<std::string>& arguments,
                    const CommandOutput& output);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_COMMANDS_H_
