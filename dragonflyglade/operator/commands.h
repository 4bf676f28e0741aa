#ifndef DRAGONFLYGLADE_OPERATOR_COMMANDS_H_
#define DRAGONFLYGLADE_OPERATOR_COMMANDS_H_

#include <ostream>
#include <string>
#include <vector>

namespace dragonflyglade {

/// The exit codes of all commands.
inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadUse = 2;

/// The streams to which a command writes.
struct CommandOutput {
  std::ostream& out;
  std::ostream& err;
};

// The commands for operators. The arguments start after the command's name;
// each returns one of the exit codes above.

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
