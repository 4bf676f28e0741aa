#include "dragonflyglade/instance/serve_command.h"

#include <fmt/format.h>
#include <fmt/ostream.h>
#include <pthread.h>
#include <signal.h>

#include <boost/program_options.hpp>
#include <optional>

#include "dragonflyglade/instance/instance.h"

namespace dragonflyglade {
namespace {

namespace po = boost::program_options;

constexpr const char* kServeUse =
    "use: dragonflyglade serve --settings FILE [--check]\n";

// The signals that drain the instance, kept back from all threads so that
// only the waiting one takes them.
sigset_t BlockDrainSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A caller or target that closes its end must not end the process.
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
  // The signals stay blocked, so a second one changes nothing.
  instance.Drain();
  return kExitDone;
}

}  // namespace

int RunServeCommand(const std::vector<std::string>& arguments,
                    const CommandOutput& output) {
  po::options_description described;
  described.add_options()("help", "show this text")(
      "settings", po::value<std::string>(), "the settings file")(
      "check", "only check the settings");
  po::variables_map options;
  try {
    po::store(po::command_line_parser(arguments)
                  .options(described)
                  .positional({})
                  .run(),
              options);
    po::notify(options);
  } catch (const po::error& error) {
    fmt::print(output.err, "{}\n{}", error.what(), kServeUse);
    return kExitBadUse;
  }
  if (options.count("help") > 0) {
    fmt::print(output.out, "{}", kServeUse);
    return kExitDone;
  }
  if (options.count("settings") == 0) {
    fmt::print(output.err, "expected --settings FILE\n{}", kServeUse);
    return kExitBadUse;
  }
  const Result<Settings> settings =
      ReadSettings(options["settings"].as<std::string>());
  if (!settings.Ok()) {
    fmt::print(output.err, "{}\n", settings.Error().ToString());
    return kExitBadUse;
  }
  if (options.count("check") > 0) {
    fmt::print(output.out, "settings are valid\n");
    return kExitDone;
  }
  return Serve(settings.Value(), output);
}

}  // namespace dragonflyglade
