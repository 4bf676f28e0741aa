#include "dragonflyglade/operator/settings_options.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <boost/program_options.hpp>

namespace dragonflyglade {

std::variant<SettingsOptions, int> ParseSettingsOptions(
    const std::vector<std::string>& arguments, std::string_view use,
    const CommandOutput& output) {
  namespace po = boost::program_options;
  po::options_description description;
  description.add_options()("help", "show this text")(
      "settings", po::value<std::string>(), "the settings file")(
      "check", "only check the settings");
  po::variables_map options;
  try {
    po::store(po::command_line_parser(arguments)
                  .options(description)
                  .positional({})
                  .run(),
              options);
    po::notify(options);
  } catch (const po::error& error) {
    fmt::print(output.err, "{}\n{}", error.what(), use);
    return kExitBadUse;
  }
  if (options.count("help") > 0) {
    fmt::print(output.out, "{}", use);
    return kExitDone;
  }
  if (options.count("settings") == 0) {
    fmt::print(output.err, "expected --settings FILE\n{}", use);
    return kExitBadUse;
  }
  return SettingsOptions{options["settings"].as<std::string>(),
                         options.count("check") > 0};
}

}  // namespace dragonflyglade
