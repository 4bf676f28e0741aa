#include "dragonflyglade/instance/serve_command.h"

#include <fmt/format.h>
#include <fmt/ostream.h>
#include <pthread.h>
#include <signal.h>

#include <variant>

#include "dragonflyglade/instance/instance.h"
#include "dragonflyglade/operator/settings_options.h"

namespace dragonflyglade {
namespace {

constexpr const char* kServeUsage =
    "use: dragonflyglade serve --settings FILE [--check]\n";

// Blocks the signals that start a drain in all threads, so that only the
// thread in sigwait receives them.
sigset_t BlockDrainSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writing to a connection that a caller or target closed must not terminate
  // the process.
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

int Serve(const Settings& settings, const CommandOutput& output) {
  const sigset_t signals = BlockDrainSignals();
  SetUpLog(settings.log);
  Instance instance(settings);
  const Result<BoundPorts> ports = instance.Start();
  if (!ports.Ok()) {
    fmt::print(output.err, "{}\n", ports.Error().ToString());
    return kExitFailed;
  }
  fmt::print(output.out, "serving callers={} peers={} operators={}\n",
             ports.Value().caller, ports.Value().peer, ports.Value().operators);
  output.out.flush();
  int received = 0;
  sigwait(&signals, &received);
  // The signals stay blocked, so a second one does not interrupt the drain.
  instance.Drain();
  return kExitDone;
}

}  // namespace

int RunServeCommand(const std::vector<std::string>& arguments,
                    const CommandOutput& output) {
  const std::variant<SettingsOptions, int> parsed =
      ParseSettingsOptions(arguments, kServeUsage, output);
  if (const int* exit_code = std::get_if<int>(&parsed)) return *exit_code;
  const auto& options = std::get<SettingsOptions>(parsed);
  const Result<Settings> settings = ReadSettings(options.settings);
  if (!settings.Ok()) {
    fmt::print(output.err, "{}\n", settings.Error().ToString());
    return kExitBadUse;
  }
  if (options.check) {
    fmt::print(output.out, "settings are valid\n");
    return kExitDone;
  }
  return Serve(settings.Value(), output);
}

}  // namespace dragonflyglade
