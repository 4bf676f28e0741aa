#include "tests/standins/discovery_stand_in.h"

#include <httplib.h>

#include "absl/time/clock.h"
#include "tests/standins/drop_response.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr int kThreads = 64;
constexpr std::size_t kMaxSnapshots = 100;

const char* StateOf(bool leaving) { return leaving ? "leaving" : "live"; }

}  // namespace

DiscoveryStandIn::DiscoveryStandIn()
    : server(Endpoint{"127.0.0.1", 0}, kThreads) {
  {
    absl::MutexLock lock(&this->mutex);
    this->RecordSnapshot();
  }
  const auto respond = [this](bool targets, httplib::Response& response) {
    absl::MutexLock lock(&this->mutex);
    if (this->unavailable) return DropResponse(response);
    const Snapshot& visible = this->VisibleSnapshot();
    response.set_content(targets ? visible.targets : visible.instances,
                         "application/json");
  };
  this->server.HttplibServer().Get(
      "/instances", [respond](const httplib::Request&, httplib::Response& r) {
        respond(false, r);
      });
  this->server.HttplibServer().Get(
      "/targets", [respond](const httplib::Request&, httplib::Response& r) {
        respond(true, r);
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

void DiscoveryStandIn::SetUnavailable(bool unavailable) {
  absl::MutexLock lock(&this->mutex);
  this->unavailable = unavailable;
}

void DiscoveryStandIn::PutInstance(const ListedInstance& instance) {
  absl::MutexLock lock(&this->mutex);
  this->instances[instance.info.name] = instance;
  this->RecordSnapshot();
}

void DiscoveryStandIn::RemoveInstance(const std::string& name) {
  absl::MutexLock lock(&this->mutex);
  this->instances.erase(name);
  this->RecordSnapshot();
}

void DiscoveryStandIn::PutTarget(const ListedTarget& target) {
  absl::MutexLock lock(&this->mutex);
  this->targets[target.name] = target;
  this->RecordSnapshot();
}

void DiscoveryStandIn::RemoveTarget(const std::string& name) {
  absl::MutexLock lock(&this->mutex);
  this->targets.erase(name);
  this->RecordSnapshot();
}

void DiscoveryStandIn::RecordSnapshot() {
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
  if (this->snapshots.size() > kMaxSnapshots) this->snapshots.pop_front();
}

const DiscoveryStandIn::Snapshot& DiscoveryStandIn::VisibleSnapshot() {
  const absl::Time visible_until = absl::Now() - this->lag;
  const Snapshot* visible = &this->snapshots.front();
  for (const Snapshot& snapshot : this->snapshots) {
    if (snapshot.since <= visible_until) visible = &snapshot;
  }
  return *visible;
}

}  // namespace dragonflyglade
