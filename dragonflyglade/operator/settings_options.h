#ifndef DRAGONFLYGLADE_OPERATOR_SETTINGS_OPTIONS_H_
#define DRAGONFLYGLADE_OPERATOR_SETTINGS_OPTIONS_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dragonflyglade/operator/commands.h"

namespace dragonflyglade {

/// The options of a command that is started with a settings file.
struct SettingsOptions {
  std::string settings;  ///< path
  bool check = false;    ///< only check the settings
};

/// Parses "--settings FILE [--check]". Prints the help text and errors.
/// @param use the command's usage line, with a newline at the end
/// @return the options, or the exit code with which the command ends
std::variant<SettingsOptions, int> ParseSettingsOptions(
    const std::vector<std::string>& arguments, std::string_view use,
    const CommandOutput& output);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_SETTINGS_OPTIONS_H_
