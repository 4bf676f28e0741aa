#include "dragonflyglade/gateway/gateway_command.h"

#include <fmt/format.h>
#include <fmt/ostream.h>
#include <unistd.h>

#include <utility>
#include <variant>

#include "dragonflyglade/gateway/gateway.h"
#include "dragonflyglade/operator/settings_options.h"

namespace dragonflyglade::gateway {
namespace {

constexpr const char* kUse =
    "use: dragonflyglade gateway --settings FILE [--check]\n";

// For the lines of the last moments; a reader that lives takes milliseconds.
constexpr absl::Duration kLastLines = absl::Milliseconds(300);

}  // namespace

int RunGatewayCommand(const std::vector<std::string>& arguments,
                      const CommandOutput& output, WireFormat wire) {
  const std::variant<SettingsOptions, int> parsed =
      ParseSettingsOptions(arguments, kUse, output);
  if (const int* exit_code = std::get_if<int>(&parsed)) return *exit_code;
  const auto& options = std::get<SettingsOptions>(parsed);
  const Result<GatewaySettings> settings =
      ReadGatewaySettings(options.settings);
  if (!settings.Ok()) {
    fmt::print(output.err, "{}\n", settings.Error().ToString());
    return kExitBadUse;
  }
  if (options.check) {
    fmt::print(output.out, "settings are valid\n");
    return kExitDone;
  }
  const auto reread = [&options] {
    return ReadGatewaySettings(options.settings);
  };
  Gateway gateway(settings.Value(), reread, std::move(wire));
  const Status ran = gateway.Run();
  if (!ran.Ok()) fmt::print(output.err, "{}\n", ran.Error().ToString());
  const int code = ran.Ok() ? kExitDone : kExitFailed;
  // The log's thread may be stuck in a write that nobody reads, e.g. to the
  // pipe of a collector that hangs. Waiting for its end kept stopped processes
  // alive until they were killed.
  if (!gateway.DrainLog(kLastLines)) _exit(code);
  return code;
}

}  // namespace dragonflyglade::gateway
