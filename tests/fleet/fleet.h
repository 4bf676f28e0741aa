#ifndef DRAGONFLYGLADE_TESTS_FLEET_FLEET_H_
#define DRAGONFLYGLADE_TESTS_FLEET_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/operator/config_editor.h"
#include "dragonflyglade/store/kv_client.h"
#include "measure/history/history.h"
#include "tests/fleet/process.h"
#include "tests/standins/discovery_stand_in.h"
#include "tests/standins/engine_stand_in.h"
#include "tests/standins/faulty_tcp_proxy.h"
#include "tests/standins/kv_stand_in.h"
#include "tests/standins/ledger_stand_in.h"

namespace dragonflyglade {

/// The size and the settings of a fleet.
struct FleetOptions {
  int instances = 3;
  int engines = 2;
  int ledgers = 1;
  EngineBehaviour engine;
  /// Size in bytes of a model that is resident at each engine from the start
  /// and that no configuration record names; 0 for none.
  std::int64_t preloaded_bytes = 0;
  int fresh_bound_ms = 1500;  ///< the instances' setting config_fresh_ms
  /// Whether instances use the default periods instead of short ones.
  bool default_periods = false;
  int keep_seconds = 1;    ///< the instances' setting answer_keep_s
  double rate = 100'000;   ///< of each workspace, in tokens per second
  double burst = 200'000;  ///< of each workspace, in tokens
};

/// Real instances, one process each, with stand-ins of the other services in
/// this process. A proxy stands between each instance and the key-value
/// service, and another one in front of each target.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();

  /// Starts an instance that is not running and adds it to the list of
  /// instances.
  void StartInstance(int number);
  /// Waits until every running instance sees all others alive, all quotas
  /// shared and the model resident at every engine; throws after a minute.
  void WaitReady();

  Process& Instance(int number);
  /// Ends the process with SIGKILL; it stays on the list of instances.
  void Kill(int number);
  /// Removes an instance from the list of instances.
  void Unlist(int number);
  Endpoint CallerEndpoint(int number) const;
  std::vector<int> Running();
  nlohmann::json Status(int number) const;

  /// Grants a new key for a workspace.
  CallerKey Grant(const std::string& workspace);
  void Withdraw(const CallerKey& key);
  /// Writes configuration records, given as JSON; throws if that fails.
  void Apply(const std::string& records);

  KvStandIn& Kv() { return this->kv; }
  /// The service that lists instances and targets.
  DiscoveryStandIn& List() { return this->list; }
  EngineStandIn& Engine(int number) { return *this->engines.at(number - 1); }
  LedgerStandIn& Ledger() { return *this->ledgers.front(); }
  /// The proxy between an instance and the key-value service.
  FaultyTcpProxy& KvLink(int instance) { return *this->kv_links.at(instance); }
  /// The proxy in front of a target.
  FaultyTcpProxy& TargetLink(const std::string& name) {
    return *this->target_links.at(name);
  }
  Endpoint KvEndpoint() const { return this->kv_endpoint; }
  /// All keys and values in the key-value service.
  std::string KvText() const;
  /// Adds an event with the most memory that each engine was ever asked for.
  void AddPeakMemoryEvents(std::vector<HistoryEvent>& events) const;
  /// The concatenated logs of all instances.
  std::string Logs() const;
  /// The concatenated requests that all targets received.
  std::string ReceivedRequests() const;

 private:
  struct Ports {
    int caller = 0;
    int peer = 0;
    int operators = 0;
  };

  std::string NameOf(int number) const;
  std::string WriteSettings(int number, const Endpoint& kv_endpoint);
  void AddTarget(const std::string& name, const std::string& pool,
                 const Endpoint& at);

  const FleetOptions options;
  std::string folder;
  KvStandIn kv;
  DiscoveryStandIn list;
  Endpoint kv_endpoint;
  Endpoint list_endpoint;
  std::vector<std::unique_ptr<EngineStandIn>> engines;
  std::vector<std::unique_ptr<LedgerStandIn>> ledgers;
  std::map<int, std::unique_ptr<FaultyTcpProxy>> kv_links;
  std::map<std::string, std::unique_ptr<FaultyTcpProxy>> target_links;
  std::unique_ptr<KvClient> kv_client;
  std::map<int, std::unique_ptr<Process>> processes;
  std::map<int, Ports> ports;
};

/// The path of the program under test.
std::string ProgramPath();

/// Polls until a condition holds. Returns false if it does not hold within the
/// limit, which only ends a failing run and is no expectation of speed.
bool WaitUntil(const std::function<bool()>& condition,
               absl::Duration limit = absl::Seconds(60));

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_FLEET_FLEET_H_
