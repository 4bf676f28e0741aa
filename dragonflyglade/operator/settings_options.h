#ifndef DRAGONFLYGLADE_OPERATOR_SETTINGS_OPTIONS_H_
#define DRAGONFLYGLADE_OPERATOR_SETTINGS_OPTIONS_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dragonflyglade/operator/commands.h"

namespace dragonflyglade {

/// The options of a command that runs from a settings file.
struct SettingsOptions {
  std::string settings;  ///< path
  bool check = false;    ///< only check the settings
};

/// Reads "--settings FILE [--check]". Prints help and complaints.
/// @param use the command's line of use, with its end of line
/// @return the options, or the exit code to end with
std::variant<SettingsOptions, int> ParseSettingsOptions(
    const std::vector<std::string>& arguments, std::string_view use,
    const CommandOutput& output);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_SETTINGS_OPTIONS_H_
