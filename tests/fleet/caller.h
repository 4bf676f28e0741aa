#ifndef DRAGONFLYGLADE_TESTS_FLEET_CALLER_H_
#define DRAGONFLYGLADE_TESTS_FLEET_CALLER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/net/http_call.h"
#include "measure/history/history.h"

namespace dragonflyglade {

/// How one call ended, as its caller sees it.
struct CallResult {
  int status = 0;  ///< 0: no whole answer
  std::string body;
  std::string code;  ///< of a refusal
  std::string ran;   ///< of a refusal
  std::string failure;
};

/// One call.
struct CallSpec {
  std::string method = "GET";
  std::string path;
  std::string body;
  HttpHeaders headers;
};

/// Makes one call to an instance.
CallResult CallInstance(const Endpoint& instance, const std::string& key,
                        const CallSpec& spec,
                        absl::Duration silence = absl::Seconds(30));

/// The data of all events of a stream, and whether it ended whole.
struct StreamText {
  std::string text;
  bool whole = false;
  std::string error;  ///< data of an error event
};
StreamText ReadStream(const std::string& body);

/// The text that an engine stand-in makes of a prompt.
std::string ExpectedText(const std::string& prompt, int tokens);

/// What a load asks for.
enum class LoadKind { kBalance, kPayout, kChat };

/// How a load's calls ended.
struct LoadCounts {
  int calls = 0;
  int good = 0;
  int refused = 0;  ///< told "not run" to the end
  int unknown = 0;  ///< told that it may have run
  int failed = 0;   ///< no whole answer, or a wrong one
};

/// Callers that follow the which-instance answer, keep it as long as it says,
/// and try again what was certainly not run. They run until they are stopped.
class Load {
 public:
  /// @param seeds instances to ask first
  Load(LoadKind kind, std::string key, std::vector<Endpoint> seeds, int callers,
       absl::Duration pause, History& history);
  ~Load();

  /// Lets the calls under way end. Returns how all of them went.
  LoadCounts Stop();
  LoadCounts Counts() const;
  /// What the calls that did not go well ended with.
  std::string Problems() const;

 private:
  struct Place {
    Endpoint endpoint;
    double weight = 0;
  };
  class OneCaller;

  void Run(int number);

  const LoadKind kind;
  const std::string key;
  const std::vector<Endpoint> seeds;
  const absl::Duration pause;
  History& history;
  std::atomic<bool> stopping{false};
  mutable absl::Mutex mutex;
  LoadCounts counts ABSL_GUARDED_BY(mutex);
  std::string problems ABSL_GUARDED_BY(mutex);
  std::vector<std::thread> threads;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_FLEET_CALLER_H_
