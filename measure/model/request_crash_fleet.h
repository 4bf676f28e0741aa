#ifndef DRAGONFLYGLADE_MEASURE_MODEL_REQUEST_CRASH_FLEET_H_
#define DRAGONFLYGLADE_MEASURE_MODEL_REQUEST_CRASH_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/crash_account.h"
#include "dragonflyglade/decision/crash_verdicts.h"

namespace dragonflyglade {

struct RequestCrashOptions {
  int instances = 6;
  /// Whether requests are held back by JudgeRequest, or never.
  bool holds_back = true;
  /// How many callers send the request that ends its targets; 0: none.
  int bad_callers = 1;
  /// How long they wait after an answer before they send it again.
  absl::Duration pause;
  /// Whether its targets end after seconds of output, or at the first.
  bool in_middle = false;
  /// The share of the targets that end for another reason, one after the other
  /// within ten seconds.
  double domain_share = 0;
  bool kills_all = false;  ///< all instances are killed once, and start again
  std::uint64_t seed = 1;
};

struct RequestCrashResult {
  int ended = 0;       ///< targets, under the bad request
  int sent_after = 0;  ///< times that it was sent after the third one ended
  int held = 0;        ///< sound requests that were refused
  int sound = 0;
  int served = 0;    ///< sound requests that were answered
  double bytes = 0;  ///< of messages about crashes, all instances
};

/// A fleet in front of targets that one request ends, whoever repeats it, on a
/// virtual clock. Sound requests are all different; each is sent to a second
/// target if the first one ends, and its caller sends it once more if it fails.
class RequestCrashFleet {
 public:
  explicit RequestCrashFleet(RequestCrashOptions options);

  /// Plays 60 seconds; the bad request comes from second 10 on.
  RequestCrashResult Run();

 private:
  /// One request of a caller, with all its attempts.
  struct Request {
    std::string digest;
    bool bad = false;
    int instance = 0;
    int executions = 0;  ///< of the caller's current attempt
    int repeats = 0;     ///< of the caller
    bool is_trial = false;
    Instant output_at;
    Instant ends_at;
  };
  struct Target {
    std::int64_t born_ms = 0;
    std::vector<Request> running;
    std::optional<Instant> back_at;
  };
  struct Held {
    std::size_t crashes = 0;
    Instant known_since;
  };
  struct Instance {
    std::unique_ptr<CrashAccount> account;
    std::unique_ptr<RecentCrashes> recent;
    std::map<std::string, Held> held;
  };

  void Start(Instance& instance);
  void At(absl::Duration delay, std::function<void()> action);
  void Step();
  void SendSound();
  /// A caller's attempt, at any instance.
  void Arrive(Request request);
  /// Sends the request to a target, unless it is held back.
  void Send(Request request);
  bool MaySend(Request& request);
  void StepTarget(std::size_t index);
  void Crash(std::size_t index);
  /// Asks the owners, and concludes what follows from their answer.
  void Report(const Request& request, const TargetCrash& crash);
  void Conclude(const Request& request);
  /// Tells all instances, some of them late.
  void Refuse(const std::string& digest, std::size_t crashes);
  void Fail(Request request);
  void CountMessages(int messages);
  CrashEvidence EvidenceOn(const std::string& digest,
                           const Instance& instance) const;
  double Uniform();

  const RequestCrashOptions options;
  ManualClock clock;
  std::mt19937 random;
  std::vector<std::string> names;
  std::vector<Instance> instances;
  std::vector<Target> targets;
  std::multimap<Instant, std::function<void()>> events;
  std::map<std::string, std::size_t> recorded;  ///< crashes, in the store
  std::set<std::string> tried;                  ///< in the store
  std::set<std::string> held_sound;
  RequestCrashResult result;
  double due_sound = 0;
  int next_domain_target = 0;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_MODEL_REQUEST_CRASH_FLEET_H_
