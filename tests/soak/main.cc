// Soak test: runs gateways as separate processes and injects faults from
// outside, in overlapping random series drawn from a seed, while callers send
// requests. Checks the gateway's guarantees by what callers and targets
// observe. Prints the seed; exits with 1 if a guarantee was violated.
#include <execinfo.h>
#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <boost/program_options.hpp>
#include <filesystem>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/clock.h"
#include "tests/soak/connection.h"
#include "tests/soak/guarantee_checker.h"
#include "tests/soak/simulated_caller.h"
#include "tests/soak/world.h"

namespace dragonflyglade::soak {
namespace {

struct Options {
  std::string program;
  unsigned seed = 1;
  int seconds = 10;
  int instances = 3;
  bool keep = false;  ///< keep the logs also of a run without violations
};

constexpr int kBusyCallers = 6;
constexpr int kIdleCallers = 60;  // many, since they mostly wait
constexpr int kFaultSeries = 3;
// Number of configuration changes in quick succession.
constexpr int kConfigChanges = 8;
// The shares of responses that bytes follow which answer no request.
constexpr double kFewExtras = 0.05;
constexpr double kManyExtras = 0.3;
// Number of short pauses of an instance in a row.
constexpr int kShortPauses = 16;
// Enough for processes to start, leases to expire and targets to return.
constexpr absl::Duration kRecoveryTimeout = absl::Seconds(20);

// Returns a deterministic random generator for one thread of a seed's run.
std::mt19937 RandomFor(unsigned seed, int thread) {
  std::seed_seq sequence{seed, static_cast<unsigned>(thread)};
  return std::mt19937(sequence);
}

// Injects faults one after the other. Several series run at the same time; a
// mutex for each instance and target keeps two series from using the same one.
class FaultSeries {
 public:
  FaultSeries(World& world, std::mt19937 random,
              std::vector<std::unique_ptr<absl::Mutex>>& instances,
              std::vector<std::unique_ptr<absl::Mutex>>& targets)
      : world(world),
        random(std::move(random)),
        instances(instances),
        targets(targets) {}

  void Run(const std::atomic<bool>& stop) {
    while (!stop) {
      // 0 to 6: a fault of an instance, 7 to 9: of a target, 10 and 11: changes
      // of the configuration, 12 and 13: responses that lead to repeats.
      const int fault = UniformInt(this->random, 0, 13);
      if (fault < 7) {
        this->InjectInstanceFault(fault);
      } else if (fault < 10) {
        this->InjectTargetFault(fault);
      } else if (fault < 12) {
        this->ChangeConfig(fault == 10 ? 1 : kConfigChanges);
      } else {
        this->InjectRepeats(fault == 12 ? kFewExtras : kManyExtras);
      }
      this->Pause(400);
    }
  }

 private:
  void Pause(int max_ms) {
    absl::SleepFor(absl::Milliseconds(UniformInt(this->random, 20, max_ms)));
  }

  void ChangeConfig(int times) {
    for (int i = 0; i < times; ++i) {
      this->world.PutConfig();
      this->Pause(150);
    }
  }

  // Simulates an overloaded machine, on which bytes arrive and timers expire
  // while the process does not run.
  void PauseRepeatedly(int index) {
    for (int i = 0; i < kShortPauses; ++i) {
      this->world.Pause(index);
      this->Pause(80);
      this->world.Resume(index);
      this->Pause(80);
    }
  }

  // One target serves, and declines some requests. The others decline them all,
  // so that requests are repeated on its connections.
  void InjectRepeats(double extra_rate) {
    const int serving = UniformInt(this->random, 0, this->world.Targets() - 1);
    for (int i = 0; i < this->world.Targets(); ++i) {
      this->world.SetRepeats(i, i == serving ? 0.3 : 1, extra_rate);
    }
    this->Pause(2500);
    for (int i = 0; i < this->world.Targets(); ++i) {
      this->world.SetRepeats(i, 0, 0);
    }
  }

  void InjectInstanceFault(int fault) {
    const int index = UniformInt(this->random, 0, this->world.Instances() - 1);
    absl::Mutex& mutex = *this->instances[index];
    if (!mutex.TryLock()) return;
    switch (fault) {
      case 0:
        this->world.Kill(index);
        this->Pause(1200);
        this->world.Start(index, false);
        break;
      case 1:
        this->world.Restart(index);
        break;
      case 2:
        this->world.Pause(index);
        this->Pause(2500);
        this->world.Resume(index);
        break;
      case 3:
        this->world.Reload(index);
        break;
      case 4:
        this->world.StoreProxy(index).SetPartitioned(true);
        this->Pause(2500);
        this->world.StoreProxy(index).SetPartitioned(false);
        break;
      case 5:
        this->PauseRepeatedly(index);
        break;
      default:
        this->world.StoreProxy(index).StallOpenConnections();
        break;
    }
    mutex.Unlock();
  }

  void InjectTargetFault(int fault) {
    const int index = UniformInt(this->random, 0, this->world.Targets() - 1);
    absl::Mutex& mutex = *this->targets[index];
    if (!mutex.TryLock()) return;
    if (fault == 7) {
      this->world.SetFailureRate(index, 0.4);
      this->Pause(1500);
      this->world.SetFailureRate(index, 0);
    } else if (fault == 8) {
      this->world.TargetProxy(index).SetPartitioned(true);
      this->Pause(600);
      this->world.TargetProxy(index).SetPartitioned(false);
      this->world.TargetProxy(index).StallOpenConnections();
    } else {
      this->world.PutTarget(index, "draining");
      this->Pause(800);
      this->world.RemoveTarget(index);
      this->Pause(800);
      this->world.PutTarget(index, "ready");
    }
    mutex.Unlock();
  }

  World& world;
  std::mt19937 random;
  std::vector<std::unique_ptr<absl::Mutex>>& instances;
  std::vector<std::unique_ptr<absl::Mutex>>& targets;
};

// Checks that every instance serves requests soon while no faults are injected,
// at the start and at the end of a run.
void CheckRecovery(const World& world, GuaranteeChecker& checker) {
  for (int i = 0; i < world.Instances(); ++i) {
    const absl::Time end = absl::Now() + kRecoveryTimeout;
    bool served = false;
    for (int n = 0; !served && absl::Now() < end; ++n) {
      Session session(world, checker, i);
      const std::string id = fmt::format("recovered{}n{}", i, n);
      served =
          session.Open() && session.Call(id, RequestKind::kIdempotent) == 200;
      if (!served) absl::SleepFor(absl::Milliseconds(100));
    }
    if (!served)
      checker.AddViolation(world.At(i).name + " does not serve requests");
  }
}

std::vector<std::unique_ptr<absl::Mutex>> Mutexes(int count) {
  std::vector<std::unique_ptr<absl::Mutex>> mutexes;
  mutexes.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    mutexes.push_back(std::make_unique<absl::Mutex>());
  }
  return mutexes;
}

void Soak(const Options& options, const std::string& directory,
          GuaranteeChecker& checker) {
  World world(options.program, directory, options.seed, options.instances,
              checker);
  CheckRecovery(world, checker);
  auto instances = Mutexes(world.Instances());
  auto targets = Mutexes(world.Targets());
  std::atomic<bool> stop_faults = false;
  std::atomic<bool> stop_callers = false;
  std::atomic<bool> stop_leases = false;
  std::thread leases([&] {
    while (!stop_leases) {
      world.ExpireLeases();
      absl::SleepFor(absl::Milliseconds(50));
    }
  });
  std::vector<std::thread> callers;
  callers.reserve(kBusyCallers + kIdleCallers);
  for (int i = 0; i < kBusyCallers + kIdleCallers; ++i) {
    callers.emplace_back([&, i] {
      SimulatedCaller caller(world, checker,
                             RandomFor(options.seed, kFaultSeries + i), i);
      i < kBusyCallers ? caller.RunBusy(stop_callers)
                       : caller.RunWithIdleTimes(stop_callers);
    });
  }
  std::vector<std::thread> faults;
  faults.reserve(kFaultSeries);
  for (int i = 0; i < kFaultSeries; ++i) {
    faults.emplace_back([&, i] {
      FaultSeries series(world, RandomFor(options.seed, i), instances, targets);
      series.Run(stop_faults);
    });
  }
  absl::SleepFor(absl::Seconds(options.seconds));
  stop_faults = true;
  for (std::thread& series : faults) series.join();
  CheckRecovery(world, checker);
  stop_callers = true;
  for (std::thread& caller : callers) caller.join();
  stop_leases = true;
  leases.join();
  checker.CheckAtEnd();
}

// Signal handler: prints the signal and a stack trace, whose offsets addr2line
// resolves, and lets the signal end the process.
void PrintStackAndReraise(int signal) {
  constexpr int kMaxFrames = 64;
  void* frames[kMaxFrames];
  const int count = backtrace(frames, kMaxFrames);
  dprintf(STDERR_FILENO, "the soak ended by signal %d\n", signal);
  backtrace_symbols_fd(frames, count, STDERR_FILENO);
  raise(signal);
}

// Installs the handler that prints a stack trace. Keeps handlers that are
// installed already, such as those of a sanitizer.
void InstallStackHandler() {
  for (const int number : {SIGABRT, SIGSEGV, SIGBUS, SIGFPE, SIGILL}) {
    struct sigaction action {};
    sigaction(number, nullptr, &action);
    if (action.sa_handler != SIG_DFL) continue;
    action.sa_handler = PrintStackAndReraise;
    action.sa_flags = static_cast<int>(SA_RESETHAND);
    sigaction(number, &action, nullptr);
  }
}

int Main(const Options& options) {
  const auto directory =
      std::filesystem::temp_directory_path() /
      fmt::format("dragonflyglade-soak-{}-{}", options.seed, getpid());
  std::filesystem::create_directories(directory);
  // Printed first, since an aborted run prints nothing at its end.
  std::cout << fmt::format("seed {}, logs while it runs: {}", options.seed,
                           directory.string())
            << std::endl;
  GuaranteeChecker checker;
  Soak(options, directory.string(), checker);
  // A run in which hardly any request succeeded has tested nothing.
  constexpr int kMinServed = 100;
  if (checker.Responses(200) < kMinServed) {
    checker.AddViolation("too few requests were served");
  }
  constexpr int kMinIdleConnectionUses = 20;
  if (checker.IdleConnectionUses() < kMinIdleConnectionUses) {
    checker.AddViolation("too few connections were reused after an idle time");
  }
  std::cout << fmt::format(
      "seed {}: {} served, {} refused, {} unknown, {} without an answer, {} on "
      "kept connections\n",
      options.seed, checker.Responses(200),
      checker.Responses(503) + checker.Responses(429),
      checker.Responses(502) + checker.Responses(504), checker.Responses(0),
      checker.IdleConnectionUses());
  const std::vector<std::string> violations = checker.Violations();
  for (const std::string& violation : violations) {
    std::cout << "broken: " << violation << "\n";
  }
  if (violations.empty() && !options.keep) {
    std::filesystem::remove_all(directory);
  } else {
    std::cout << "logs: " << directory.string() << "\n";
  }
  return violations.empty() ? 0 : 1;
}

}  // namespace
}  // namespace dragonflyglade::soak

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  dragonflyglade::soak::Options options;
  po::options_description option_descriptions("options");
  option_descriptions.add_options()(
      "program", po::value(&options.program)->required(),
      "the gateway's binary")("seed", po::value(&options.seed),
                              "seed of the random faults and requests")(
      "seconds", po::value(&options.seconds), "how long to inject faults")(
      "instances", po::value(&options.instances), "number of gateways")(
      "keep", po::bool_switch(&options.keep), "keep the logs");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, option_descriptions), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << option_descriptions;
    return 2;
  }
  dragonflyglade::soak::InstallStackHandler();
  signal(SIGPIPE, SIG_IGN);
  return dragonflyglade::soak::Main(options);
}
