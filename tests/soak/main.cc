// Runs real gateways as processes of their own and injects faults from outside
// them, in overlapping series drawn from a seed, while callers go on. Checks
// what callers and targets see. Prints the seed; exits 1 on a broken promise.
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
#include "tests/soak/caller.h"
#include "tests/soak/calls.h"
#include "tests/soak/promises.h"
#include "tests/soak/world.h"

namespace dragonflyglade::soak {
namespace {

struct Options {
  std::string program;
  unsigned seed = 1;
  int seconds = 10;
  int instances = 3;
  bool keep = false;  ///< the logs, also of a sound run
};

constexpr int kCallers = 6;
constexpr int kKeepers = 60;  // they mostly wait
constexpr int kFaultSeries = 3;
constexpr int kChanges = 8;      // of the configuration, in a series
constexpr int kHindrances = 16;  // of an instance, in a series
// Processes start, leases end and targets are back within this.
constexpr absl::Duration kRecovery = absl::Seconds(20);

// Deterministic streams of one seed for each thread.
std::mt19937 StreamOf(unsigned seed, int thread) {
  std::seed_seq sequence{seed, static_cast<unsigned>(thread)};
  return std::mt19937(sequence);
}

// Faults, one after the other; several series overlap. An instance or target
// is in the hands of one series at a time.
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
      const int what = Between(this->random, 0, 11);
      if (what < 7) {
        this->HarmInstance(what);
      } else if (what < 10) {
        this->HarmTarget(what);
      } else {
        this->ChangeConfig(what == 10 ? 1 : kChanges);
      }
      this->Pause(400);
    }
  }

 private:
  void Pause(int most_ms) {
    absl::SleepFor(absl::Milliseconds(Between(this->random, 20, most_ms)));
  }

  void ChangeConfig(int times) {
    for (int i = 0; i < times; ++i) {
      this->world.PutConfig();
      this->Pause(150);
    }
  }

  // As on a machine that others use up: bytes and timers wait for each other.
  void Hinder(int index) {
    for (int i = 0; i < kHindrances; ++i) {
      this->world.Pause(index);
      this->Pause(80);
      this->world.Resume(index);
      this->Pause(80);
    }
  }

  void HarmInstance(int what) {
    const int index = Between(this->random, 0, this->world.Instances() - 1);
    absl::Mutex& mutex = *this->instances[index];
    if (!mutex.TryLock()) return;
    switch (what) {
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
        this->world.StoreRelay(index).SetPartitioned(true);
        this->Pause(2500);
        this->world.StoreRelay(index).SetPartitioned(false);
        break;
      case 5:
        this->Hinder(index);
        break;
      default:
        this->world.StoreRelay(index).StallOpenConnections();
        break;
    }
    mutex.Unlock();
  }

  void HarmTarget(int what) {
    const int index = Between(this->random, 0, this->world.Targets() - 1);
    absl::Mutex& mutex = *this->targets[index];
    if (!mutex.TryLock()) return;
    if (what == 7) {
      this->world.SetFaults(index, 0.4);
      this->Pause(1500);
      this->world.SetFaults(index, 0);
    } else if (what == 8) {
      this->world.TargetRelay(index).SetPartitioned(true);
      this->Pause(600);
      this->world.TargetRelay(index).SetPartitioned(false);
      this->world.TargetRelay(index).StallOpenConnections();
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

// Every instance serves again once the faults are over.
void CheckRecovery(const World& world, Promises& promises) {
  for (int i = 0; i < world.Instances(); ++i) {
    const absl::Time end = absl::Now() + kRecovery;
    bool served = false;
    for (int n = 0; !served && absl::Now() < end; ++n) {
      Session session(world, promises, i);
      const std::string id = fmt::format("recovered{}n{}", i, n);
      served = session.Open() && session.Ask(id, Kind::kRepeatable) == 200;
      if (!served) absl::SleepFor(absl::Milliseconds(100));
    }
    if (!served) promises.Broken(world.At(i).name + " does not recover");
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
          Promises& promises) {
  World world(options.program, directory, options.seed, options.instances,
              promises);
  CheckRecovery(world, promises);
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
  callers.reserve(kCallers + kKeepers);
  for (int i = 0; i < kCallers + kKeepers; ++i) {
    callers.emplace_back([&, i] {
      Calls calls(world, promises, StreamOf(options.seed, kFaultSeries + i), i);
      i < kCallers ? calls.Hurry(stop_callers) : calls.Keep(stop_callers);
    });
  }
  std::vector<std::thread> faults;
  faults.reserve(kFaultSeries);
  for (int i = 0; i < kFaultSeries; ++i) {
    faults.emplace_back([&, i] {
      FaultSeries series(world, StreamOf(options.seed, i), instances, targets);
      series.Run(stop_faults);
    });
  }
  absl::SleepFor(absl::Seconds(options.seconds));
  stop_faults = true;
  for (std::thread& series : faults) series.join();
  CheckRecovery(world, promises);
  stop_callers = true;
  for (std::thread& caller : callers) caller.join();
  stop_leases = true;
  leases.join();
  promises.CheckEnd();
}

// Names the signal that ends the soak and where it was then. addr2line reads
// the offsets.
void SayWhereEnded(int signal) {
  constexpr int kMostFrames = 64;
  void* frames[kMostFrames];
  const int count = backtrace(frames, kMostFrames);
  dprintf(STDERR_FILENO, "the soak ended by signal %d\n", signal);
  backtrace_symbols_fd(frames, count, STDERR_FILENO);
  raise(signal);
}

// Signals that are handled already, by a sanitizer, stay so.
void KeepStacks() {
  for (const int number : {SIGABRT, SIGSEGV, SIGBUS, SIGFPE, SIGILL}) {
    struct sigaction action {};
    sigaction(number, nullptr, &action);
    if (action.sa_handler != SIG_DFL) continue;
    action.sa_handler = SayWhereEnded;
    action.sa_flags = static_cast<int>(SA_RESETHAND);
    sigaction(number, &action, nullptr);
  }
}

int Main(const Options& options) {
  const auto directory =
      std::filesystem::temp_directory_path() /
      fmt::format("dragonflyglade-soak-{}-{}", options.seed, getpid());
  std::filesystem::create_directories(directory);
  // Said first: a soak that is aborted says nothing at its end.
  std::cout << fmt::format("seed {}, logs while it runs: {}", options.seed,
                           directory.string())
            << std::endl;
  Promises promises;
  Soak(options, directory.string(), promises);
  // A soak that sees nothing served has tested nothing.
  constexpr int kFewestServed = 100;
  if (promises.Answers(200) < kFewestServed) {
    promises.Broken("hardly anything was served");
  }
  constexpr int kFewestKept = 20;
  if (promises.KeptUses() < kFewestKept) {
    promises.Broken("hardly any connection was kept");
  }
  std::cout << fmt::format(
      "seed {}: {} served, {} refused, {} unknown, {} without an answer, {} on "
      "kept connections\n",
      options.seed, promises.Answers(200),
      promises.Answers(503) + promises.Answers(429),
      promises.Answers(502) + promises.Answers(504), promises.Answers(0),
      promises.KeptUses());
  const std::vector<std::string> violations = promises.Violations();
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
  po::options_description known("options");
  known.add_options()("program", po::value(&options.program)->required(),
                      "the gateway's binary")("seed", po::value(&options.seed),
                                              "draws faults and requests")(
      "seconds", po::value(&options.seconds), "how long faults go on")(
      "instances", po::value(&options.instances), "gateways")(
      "keep", po::bool_switch(&options.keep), "keep the logs");
  po::variables_map given;
  try {
    po::store(po::parse_command_line(argc, argv, known), given);
    po::notify(given);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << known;
    return 2;
  }
  dragonflyglade::soak::KeepStacks();
  signal(SIGPIPE, SIG_IGN);
  return dragonflyglade::soak::Main(options);
}
