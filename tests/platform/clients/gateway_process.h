#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_CLIENTS_GATEWAY_PROCESS_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_CLIENTS_GATEWAY_PROCESS_H_

#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "tests/fleet/process.h"
#include "tests/platform/clients/raw_caller.h"
#include "tests/platform/store_stand_in.h"
#include "tests/platform/target_stand_in.h"

namespace dragonflyglade {

/// What the smallest machine of a deployment has.
struct SmallestMachine {
  static constexpr std::size_t kMemoryBytes = 120'000'000;
  /// Without those that are kept for files.
  static constexpr std::size_t kSockets = 3075 - 200;
  /// The memory of each connection, if callers have all of them.
  static constexpr std::size_t kBytesPerConnection = kMemoryBytes / kSockets;
};

/// A listener of a gateway.
enum class Listener { kCallers, kReadiness, kDirectory, kMetrics, kPeers };

/// A gateway process with a store and a target as stand-ins.
class GatewayProcess {
 public:
  struct Options {
    /// Of the process's settings.
    nlohmann::json limits = nlohmann::json::object();
    /// The object `limits` of the configuration.
    nlohmann::json caller_limits = nlohmann::json::object();
    /// Further fields of the service that all routes lead to.
    nlohmann::json service = nlohmann::json::object();
    /// Further fields of the workspace that has the key "k1".
    nlohmann::json quota = nlohmann::json::object();
    /// That the target holds from the start, as its record lists them.
    nlohmann::json models = nlohmann::json::array();
    int descriptors = 0;      ///< the process's limit; 0: that of the test
    bool log_is_read = true;  ///< else its output fills a pipe
    PlatformTargetStandIn::Answer answer = SuccessfulResponse;
  };

  /// Starts the process and waits until it answers a request.
  explicit GatewayProcess(Options options);
  GatewayProcess() : GatewayProcess(Options()) {}
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  Endpoint At(Listener listener) const;

  /// Connects this many callers; one that is refused is listed, too.
  std::vector<std::unique_ptr<RawCaller>> ConnectCrowd(
      int callers, Listener listener = Listener::kCallers) const;

  /// Formats a request's head with a new id. The head ends after `more`, which
  /// are further header lines, each with its line end.
  std::string Head(std::string_view method, std::string_view path,
                   std::string_view key = "k1", std::string_view more = "");

  /// Sends a request with a body as callers do who stay inside the limits: on a
  /// connection of its own, and once more if it is refused or not read.
  /// @return the response to the last try; empty if there is none
  std::string CallAsOrdinary(std::size_t body_bytes = 0);

  /// Asks whether the process is ready.
  std::string AskReadiness();

  bool IsRunning() { return this->process->Running(); }
  void Signal(int signal) { this->process->Signal(signal); }
  /// Writes the target's record with the models that it holds.
  void PutTarget(const nlohmann::json& models);
  std::size_t PeakMemory() const;
  int OpenDescriptors() const;

  PlatformStoreStandIn& Store() { return this->store; }
  PlatformTargetStandIn& Target() { return this->target; }

 private:
  nlohmann::json Config(const Options& options) const;
  void WriteSettings(const nlohmann::json& limits) const;

  PlatformStoreStandIn store;
  PlatformTargetStandIn target;
  std::string directory;
  int first_port = 0;
  int calls = 0;
  std::unique_ptr<Process> process;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_CLIENTS_GATEWAY_PROCESS_H_
