#include "tests/standins/discovery_stand_in.h"

#include <httplib.h>

#include "absl/time/clock.h"
#include "tests/standins/drop_response.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr int kThreads = 64;
constexpr std::size_t kSnapshots = 100;

const char* StateOf(bool leaving) { return leaving ? "leaving" : "live"; }

}  // namespace

DiscoveryStandIn::DiscoveryStandIn()
    : server(Endpoint{"127.0.0.1", 0}, kThreads) {
  {
    absl::MutexLock lock(&this->mutex);
    this->Record();
  }
  const auto answer = [this](bool targets, httplib::Response& response) {
    absl::MutexLock lock(&this->mutex);
    if (this->out) return DropResponse(response);
    const Snapshot& visible = this->Visible();
    response.set_content(targets ? visible.targets : visible.instances,
                         "application/json");
  };
  this->server.HttplibServer().Get(
      "/instances", [answer](const httplib::Request&, httplib::Response& r) {
        answer(false, r);
      });
  this->server.HttplibServer().Get(
      "/targets", [answer](const httplib::Request&, httplib::Response& r) {
        answer(true, r);
      });
}

DiscoveryStandIn::~DiscoveryStandIn() { this->server.Stop(); }

Endpoint DiscoveryStandIn::Start() {
  return Endpoint{"127.0.0.1", this->server.Start("listen").Value()};
}

void DiscoveryStandIn::SetLag(absl::Duration lag) {
  absl::MutexLock lock(&this->mutex);
  this->lag = lag;
}

void DiscoveryStandIn::SetUnavailable(bool out) {
  absl::MutexLock lock(&this->mutex);
  this->out = out;
}

void DiscoveryStandIn::PutInstance(const ListedInstance& instance) {
  absl::MutexLock lock(&this->mutex);
  this->instances[instance.info.name] = instance;
  this->Record();
}

void DiscoveryStandIn::RemoveInstance(const std::string& name) {
  absl::MutexLock lock(&this->mutex);
  this->instances.erase(name);
  this->Record();
}

void DiscoveryStandIn::PutTarget(const ListedTarget& target) {
  absl::MutexLock lock(&this->mutex);
  this->targets[target.name] = target;
  this->Record();
}

void DiscoveryStandIn::RemoveTarget(const std::string& name) {
  absl::MutexLock lock(&this->mutex);
  this->targets.erase(name);
  this->Record();
}

void DiscoveryStandIn::Record() {
  ++this->version;
  json instances = json::array();
  for (const auto& [name, listed] : this->instances) {
    instances.push_back({{"name", name},
                         {"address", listed.info.address},
                         {"peer_port", listed.info.peer_port},
                         {"caller_port", listed.info.caller_port},
                         {"zone", listed.info.zone},
                         {"state", StateOf(listed.leaving)}});
  }
  json targets = json::array();
  for (const auto& [name, listed] : this->targets) {
    targets.push_back({{"name", name},
                       {"address", listed.address},
                       {"port", listed.port},
                       {"zone", listed.zone},
                       {"pool", listed.pool},
                       {"state", StateOf(listed.leaving)}});
  }
  Snapshot snapshot;
  snapshot.since = absl::Now();
  snapshot.instances =
      json({{"version", this->version}, {"instances", instances}}).dump();
  snapshot.targets =
      json({{"version", this->version}, {"targets", targets}}).dump();
  this->snapshots.push_back(std::move(snapshot));
  if (this->snapshots.size() > kSnapshots) this->snapshots.pop_front();
}

const DiscoveryStandIn::Snapshot& DiscoveryStandIn::Visible() {
  const absl::Time until = absl::Now() - this->lag;
  const Snapshot* visible = &this->snapshots.front();
  for (const Snapshot& snapshot : this->snapshots) {
    if (snapshot.since <= until) visible = &snapshot;
  }
  return *visible;
}

}  // namespace dragonflyglade
