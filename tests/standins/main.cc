// Runs the stand-ins for the demo: a key-value service, a service discovery, a
// ledger service and two engines. Its control server lists instances on POST
// /instances and returns all received requests on GET /received.

#include <fmt/format.h>
#include <httplib.h>
#include <pthread.h>
#include <signal.h>

#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "tests/standins/discovery_stand_in.h"
#include "tests/standins/engine_stand_in.h"
#include "tests/standins/kv_stand_in.h"
#include "tests/standins/ledger_stand_in.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr int kEngines = 2;
constexpr const char* kEnginePool = "drafting";
constexpr const char* kServicePool = "ledger";
constexpr absl::Duration kTokenDelay = absl::Milliseconds(10);

ListedTarget MakeListedTarget(const std::string& name, const Endpoint& endpoint,
                              const std::string& pool) {
  return ListedTarget{name, endpoint.address, endpoint.port, "zone-a", pool,
                      false};
}

ListedInstance DecodeInstance(const json& item) {
  ListedInstance instance;
  instance.info =
      MemberInfo{item.at("name"), item.at("address"), item.at("peer_port"),
                 item.at("caller_port"), item.at("zone")};
  return instance;
}

class StandIns {
 public:
  StandIns() : control(Endpoint{"127.0.0.1", 0}, 8) {
    EngineBehaviour behaviour;
    behaviour.token_delay = kTokenDelay;
    for (int i = 0; i < kEngines; ++i) {
      this->engines.push_back(std::make_unique<EngineStandIn>(behaviour));
    }
  }

  void Run() {
    const Endpoint kv_at = this->kv.Start();
    const Endpoint list_at = this->list.Start();
    const Endpoint ledger_at = this->ledger.Start();
    this->list.PutTarget(MakeListedTarget("ledger-1", ledger_at, kServicePool));
    for (int i = 0; i < kEngines; ++i) {
      this->list.PutTarget(MakeListedTarget(fmt::format("engine-{}", i + 1),
                                            this->engines[i]->Start(),
                                            kEnginePool));
    }
    this->control.HttplibServer().Post(
        "/instances",
        [this](const httplib::Request& request, httplib::Response& response) {
          this->list.PutInstance(DecodeInstance(json::parse(request.body)));
          response.set_content("{}", "application/json");
        });
    this->control.HttplibServer().Get(
        "/received",
        [this](const httplib::Request&, httplib::Response& response) {
          response.set_content(this->ReceivedRequests(), "text/plain");
        });
    const int port = this->control.Start("listen").Value();
    fmt::print("kv={} lists={} control=127.0.0.1:{}\n", kv_at.ToString(),
               list_at.ToString(), port);
    std::fflush(stdout);
  }

 private:
  std::string ReceivedRequests() const {
    std::string received = this->ledger.ReceivedRequests();
    for (const auto& engine : this->engines)
      received += engine->ReceivedRequests();
    for (const KvEntry& entry : this->kv.Entries("")) {
      received += entry.key + "\n" + entry.value + "\n";
    }
    return received;
  }

  KvStandIn kv;
  DiscoveryStandIn list;
  LedgerStandIn ledger;
  std::vector<std::unique_ptr<EngineStandIn>> engines;
  HttpServer control;
};

}  // namespace
}  // namespace dragonflyglade

int main() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  dragonflyglade::StandIns stand_ins;
  stand_ins.Run();
  int received = 0;
  sigwait(&signals, &received);
  return 0;
}
