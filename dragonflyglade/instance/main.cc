#include <fmt/format.h>
#include <fmt/ostream.h>

#include <iostream>
#include <string>
#include <vector>

#include "dragonflyglade/instance/serve_command.h"
#include "dragonflyglade/operator/commands.h"

namespace {

constexpr const char* kUse =
    "use: dragonflyglade COMMAND [--help]\n"
    "  serve    run one instance\n"
    "  config   validate, apply, get, show the history of, or retire records\n"
    "  key      grant or withdraw a caller's key\n"
    "  status   show what an instance sees\n"
    "  audit    show the trail of changes\n";

}  // namespace

int main(int argc, char** argv) {
  using namespace dragonflyglade;  // NOLINT: the program's own names.
  const std::vector<std::string> all(argv + 1, argv + argc);
  const CommandOutput output{std::cout, std::cerr};
  if (all.empty()) {
    fmt::print(std::cerr, "{}", kUse);
    return kExitBadUse;
  }
  const std::string& command = all.front();
  const std::vector<std::string> arguments(all.begin() + 1, all.end());
  if (command == "serve") return RunServeCommand(arguments, output);
  if (command == "config") return RunConfigCommand(arguments, output);
  if (command == "key") return RunKeyCommand(arguments, output);
  if (command == "status") return RunStatusCommand(arguments, output);
  if (command == "audit") return RunAuditCommand(arguments, output);
  if (command == "--help" || command == "help") {
    fmt::print(std::cout, "{}", kUse);
    return kExitDone;
  }
  fmt::print(std::cerr, "no such command: {}\n{}", command, kUse);
  return kExitBadUse;
}
