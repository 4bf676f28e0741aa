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

/// The result of one call, as its caller sees it.
struct CallResult {
  int status = 0;  ///< 0: no complete response
  std::string body;
  std::string code;     ///< error code of a refusal
  std::string ran;      ///< whether the call ran, by the error's field ran
  std::string failure;  ///< why there is no complete response
};

/// A request to make.
struct CallSpec {
  std::string method = "GET";
  std::string path;
  std::string body;
  HttpHeaders headers;
};

/// Sends one request to an instance and waits for the response.
/// @param key bearer key of the caller; empty sends none
/// @param read_timeout longest time between two reads
CallResult CallInstance(const Endpoint& instance, const std::string& key,
                        const CallSpec& spec,
                        absl::Duration read_timeout = absl::Seconds(30));

/// The concatenated text of a stream's events.
struct StreamText {
  std::string text;
  bool complete = false;  ///< the end marker was received
  std::string error;      ///< the error event, if any
};
StreamText ReadStream(const std::string& body);

/// The text that an engine stand-in generates for a prompt.
std::string ExpectedText(const std::string& prompt, int tokens);

/// The kind of requests that a load sends.
enum class LoadKind { kBalance, kPayout, kChat };

/// The results of a load's calls; each call counts once, after its retries.
struct LoadCounts {
  int calls = 0;
  int good = 0;
  int refused = 0;  ///< refused as not run in the last attempt
  int unknown = 0;  ///< the error says that the call may have run
  int failed = 0;   ///< no complete response, or a wrong one
};

/// Callers that choose instances from the which-instance response, keep that
/// response for as long as it allows, and retry calls that certainly did not
/// run. They run until they are stopped.
class Load {
 public:
  /// @param seeds instances that are asked for the list of instances first
  /// @param pause between two calls of one caller
  Load(LoadKind kind, std::string key, std::vector<Endpoint> seeds, int callers,
       absl::Duration pause, History& history);
  ~Load();

  /// Stops the callers after the calls in progress. Returns the final counts.
  LoadCounts Stop();
  LoadCounts Counts() const;
  /// The status and error of each call that did not succeed, one a line.
  std::string Problems() const;

 private:
  /// An instance in the which-instance response.
  struct Entry {
    Endpoint endpoint;
    double weight = 0;
  };
  class SimulatedCaller;

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
