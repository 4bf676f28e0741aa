#include <fmt/format.h>
#include <fmt/ostream.h>

#include <functional>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/gateway/gateway_command.h"
#include "dragonflyglade/gateway/suspects_command.h"
#include "dragonflyglade/operator/commands.h"
#include "platform/wire.h"
#ifdef DRAGONFLYGLADE_ALL_COMMANDS
#include "dragonflyglade/instance/serve_command.h"
#endif

namespace dragonflyglade {
namespace {

using Arguments = std::vector<std::string>;

struct Command {
  std::string_view name;
  std::string_view purpose;
  std::function<int(const Arguments&, const CommandOutput&)> run;
};

int RunGateway(const Arguments& arguments, const CommandOutput& output) {
  return gateway::RunGatewayCommand(arguments, output,
                                    platform::MakeWireFormat());
}

int RunParts(const Arguments& arguments, const CommandOutput& output) {
  return gateway::RunSuspectsCommand(SuspectKind::kPart, arguments, output,
                                     platform::MakeWireFormat());
}

int RunRequests(const Arguments& arguments, const CommandOutput& output) {
  return gateway::RunSuspectsCommand(SuspectKind::kRequest, arguments, output,
                                     platform::MakeWireFormat());
}

std::vector<Command> Commands() {
  return {
      {"gateway", "run one instance on the users' platform", RunGateway},
      {"parts",
       "list, add or take back the parts of prompts that crash targets",
       RunParts},
      {"requests", "list, add or take back the requests that crash targets",
       RunRequests},
#ifdef DRAGONFLYGLADE_ALL_COMMANDS
      {"serve", "run one instance", RunServeCommand},
      {"config", "validate, apply, get, show the history of, or retire records",
       RunConfigCommand},
      {"key", "grant or withdraw a caller's key", RunKeyCommand},
      {"status", "show what an instance sees", RunStatusCommand},
      {"audit", "show the trail of changes", RunAuditCommand},
#endif
  };
}

std::string Usage() {
  std::string usage = "use: dragonflyglade COMMAND [--help]\n";
  for (const Command& command : Commands()) {
    usage += fmt::format("  {:<8} {}\n", command.name, command.purpose);
  }
  return usage;
}

int Run(const Arguments& all) {
  const CommandOutput output{std::cout, std::cerr};
  if (all.empty()) {
    fmt::print(std::cerr, "{}", Usage());
    return kExitBadUse;
  }
  const Arguments arguments(all.begin() + 1, all.end());
  for (const Command& command : Commands()) {
    if (command.name == all.front()) return command.run(arguments, output);
  }
  if (all.front() == "--help" || all.front() == "help") {
    fmt::print(std::cout, "{}", Usage());
    return kExitDone;
  }
  fmt::print(std::cerr, "no such command: {}\n{}", all.front(), Usage());
  return kExitBadUse;
}

}  // namespace
}  // namespace dragonflyglade

int main(int argc, char** argv) {
  return dragonflyglade::Run(std::vector<std::string>(argv + 1, argv + argc));
}
