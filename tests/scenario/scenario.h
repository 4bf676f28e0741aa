#ifndef DRAGONFLYGLADE_TESTS_SCENARIO_SCENARIO_H_
#define DRAGONFLYGLADE_TESTS_SCENARIO_SCENARIO_H_

#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/decision/failure.h"

namespace dragonflyglade {

/// An argument: "name=value", "name>=value" or "name<=value".
struct ScenarioArgument {
  std::string name;
  std::string comparison;  ///< "=", ">=" or "<="
  std::string value;
};

/// One line of a scenario: a verb, followed by words and arguments.
struct ScenarioCommand {
  int line = 0;  ///< line number in the file, from 1
  std::string verb;
  std::vector<std::string> words;
  std::vector<ScenarioArgument> arguments;

  /// The value of an argument, or a default.
  std::string Value(std::string_view name,
                    std::string_view default_value) const;
  /// The value of an argument as a number, or a default.
  double Number(std::string_view name, double default_value) const;
};

/// Parses a scenario. Skips blank lines and lines that begin with '#'.
/// @param file name of the file, for error messages
/// Errors: kInvalidArgument, with the file, the line, and the expected and the
/// actual text.
Result<std::vector<ScenarioCommand>> ParseScenario(std::string_view file,
                                                   std::string_view text);

/// Runs a scenario against the fleet that its commands start. Throws
/// std::runtime_error with file and line if an expectation fails.
void RunScenario(const std::string& file,
                 const std::vector<ScenarioCommand>& commands);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_SCENARIO_SCENARIO_H_
