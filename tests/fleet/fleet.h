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

/// What a fleet is made of.
struct FleetOptions {
  int instances = 3;
  int engines = 2;
  int ledgers = 1;
  EngineBehaviour engine;
  /// Bytes of a model that each engine has in memory to begin with, and that
  /// no record names.
  std::int64_t preloaded = 0;
  int fresh_bound_ms = 1500;
  /// Whether instances keep the default periods; tests use shorter ones.
  bool default_periods = false;
  int keep_seconds = 1;
  double rate = 100'000;
  double burst = 200'000;
};

/// Real instances, each a process, against stand-ins in this process. Each
/// instance reaches the key-value service, and each target is reached,
/// through a relay of its own.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();

  /// Starts an instance that does not run, and lists it.
  void StartInstance(int number);
  /// Waits until every running instance serves; throws after a minute.
  void WaitReady();

  Process& Instance(int number);
  /// Ends the process without notice; the list still names it.
  void Kill(int number);
  void Unlist(int number);
  Endpoint CallerEndpoint(int number) const;
  std::vector<int> Running();
  nlohmann::json Status(int number) const;

  /// A new key for a workspace.
  CallerKey Grant(const std::string& workspace);
  void Withdraw(const CallerKey& key);
  /// Writes records; throws if that fails.
  void Apply(const std::string& records);

  KvStandIn& Kv() { return this->kv; }
  DiscoveryStandIn& List() { return this->list; }
  EngineStandIn& Engine(int number) { return *this->engines.at(number - 1); }
  LedgerStandIn& Ledger() { return *this->ledgers.front(); }
  FaultyTcpProxy& KvLink(int instance) { return *this->kv_links.at(instance); }
  FaultyTcpProxy& TargetLink(const std::string& name) {
    return *this->target_links.at(name);
  }
  Endpoint KvEndpoint() const { return this->kv_at; }
  /// All keys and values in the key-value service.
  std::string KvText() const;
  /// Notes the most memory that each engine was ever asked for.
  void AddMemory(std::vector<HistoryEvent>& events) const;
  /// What all instances logged.
  std::string Logs() const;
  /// What all targets received.
  std::string ReceivedRequests() const;

 private:
  struct Ports {
    int caller = 0;
    int peer = 0;
    int operators = 0;
  };

  std::string NameOf(int number) const;
  std::string WriteSettings(int number, const Endpoint& kv_at);
  void AddTarget(const std::string& name, const std::string& pool,
                 const Endpoint& at);

  const FleetOptions options;
  std::string folder;
  KvStandIn kv;
  DiscoveryStandIn list;
  Endpoint kv_at;
  Endpoint list_at;
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

/// Waits until a condition holds; false if it does not within the limit,
/// which is only there to end a run that went wrong.
bool WaitUntil(const std::function<bool()>& condition,
               absl::Duration limit = absl::Seconds(60));

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_FLEET_FLEET_H_
