#include "dragonflyglade/gateway/gateway_command.h"

#include <fmt/format.h>
#include <fmt/ostream.h>
#include <unistd.h>

#include <string_view>
#include <utility>
#include <variant>

#include "dragonflyglade/gateway/gateway.h"
#include "dragonflyglade/gateway/stop_deadline.h"
#include "dragonflyglade/operator/settings_options.h"

namespace dragonflyglade::gateway {
namespace {

constexpr const char* kUsage =
    "use: dragonflyglade gateway --settings FILE [--check]\n";

// Time to write the last log lines; a reader that works takes milliseconds.
constexpr absl::Duration kLogDrainTimeout = absl::Milliseconds(300);

// How long before the platform would kill the process it ends by itself.
constexpr absl::Duration kForcedExitMargin = absl::Milliseconds(200);

// Writes to the file itself: the log's thread may be what hangs.
void ForceExit() {
  constexpr std::string_view kLine =
      "the process has not ended in time after the signal to stop\n";
  [[maybe_unused]] const ssize_t written =
      write(STDERR_FILENO, kLine.data(), kLine.size());
  _exit(kExitFailed);
}

}  // namespace

int RunGatewayCommand(const std::vector<std::string>& arguments,
                      const CommandOutput& output, WireFormat wire) {
  const std::variant<SettingsOptions, int> parsed =
      ParseSettingsOptions(arguments, kUsage, output);
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
  // Ends after the gateway, whose destructor it watches, too.
  StopDeadline stop_deadline(ForceExit);
  Gateway gateway(settings.Value(), reread, std::move(wire),
                  [&stop_deadline](absl::Duration stop_within) {
                    stop_deadline.Start(stop_within - kForcedExitMargin);
                  });
  const Status ran = gateway.Run();
  if (!ran.Ok()) fmt::print(output.err, "{}\n", ran.Error().ToString());
  const int exit_code = ran.Ok() ? kExitDone : kExitFailed;
  // The log's thread may be blocked in a write, e.g. to the pipe of a log
  // collector that hangs. A regular exit would wait for the thread, and the
  // stopped process would live on until it is killed.
  if (!gateway.DrainLog(kLogDrainTimeout)) _exit(exit_code);
  return exit_code;
}

}  // namespace dragonflyglade::gateway
