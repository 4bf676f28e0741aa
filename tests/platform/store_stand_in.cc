#include "tests/platform/store_stand_in.h"

#include <httplib.h>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"

namespace dragonflyglade {
namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr int kThreads = 32;
constexpr const char* kJson = "application/json";

bool Begins(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

PlatformStoreStandIn::PlatformStoreStandIn()
    : server(std::make_unique<httplib::Server>()) {
  this->server->new_task_queue = [] {
    return new httplib::ThreadPool(kThreads);
  };
  this->server->Get("/-/kv-range", [this](const Request& in, Response& out) {
    out.set_content(this->List(in.get_param_value("prefix")), kJson);
  });
  this->server->Get("/-/kv-watch", [this](const Request& in, Response& out) {
    out.set_content(this->Watch(in.get_param_value("prefix"),
                                std::stoull(in.get_param_value("after")),
                                std::stoi(in.get_param_value("wait_ms"))),
                    kJson);
  });
  this->server->Post("/-/kv-txn", [this](const Request& in, Response& out) {
    std::string answer;
    out.status = this->Transact(in.body, answer);
    out.set_content(answer, kJson);
  });
  this->server->Post("/-/kv-lease", [this](const Request& in, Response& out) {
    absl::MutexLock lock(&this->mutex);
    this->leases += 1;
    const int ttl_ms = json::parse(in.body).at("ttl_ms").get<int>();
    this->granted[this->leases] = {absl::Milliseconds(ttl_ms), absl::Now()};
    out.set_content(json{{"lease", this->leases}, {"ttl_ms", ttl_ms}}.dump(),
                    kJson);
  });
  this->server->Post(R"(/-/kv-keep/(\d+))", [this](const Request& in,
                                                   Response& out) {
    absl::MutexLock lock(&this->mutex);
    const auto lease = this->granted.find(std::stoull(in.matches[1]));
    if (lease == this->granted.end() || lease->first <= this->ended_leases) {
      out.status = 404;
      return;
    }
    this->renewals += 1;
    lease->second.renewed = absl::Now();
    const auto ttl_ms = absl::ToInt64Milliseconds(lease->second.ttl);
    out.set_content(json{{"ttl_ms", ttl_ms}}.dump(), kJson);
  });
  this->port = this->server->bind_to_any_port("127.0.0.1");
  this->worker = std::make_unique<PeriodicWorker>([this] {
    this->server->listen_after_bind();
    return absl::InfiniteDuration();
  });
  this->worker->Start();
}

PlatformStoreStandIn::~PlatformStoreStandIn() {
  {
    absl::MutexLock lock(&this->mutex);
    this->closing = true;
  }
  this->server->stop();
  this->worker->Stop();
}

void PlatformStoreStandIn::Record(const std::string& key,
                                  const std::string& value,
                                  std::uint64_t lease) {
  this->revision += 1;
  const Item item{value, this->revision, lease};
  this->items[key] = item;
  this->changes.push_back({key, item, false});
}

void PlatformStoreStandIn::Remove(const std::string& key) {
  if (this->items.erase(key) == 0) return;
  this->revision += 1;
  this->changes.push_back({key, Item{"", this->revision, 0}, true});
}

void PlatformStoreStandIn::Put(const std::string& key,
                               const std::string& value) {
  absl::MutexLock lock(&this->mutex);
  this->Record(key, value, 0);
}

void PlatformStoreStandIn::Delete(const std::string& key) {
  absl::MutexLock lock(&this->mutex);
  this->Remove(key);
}

void PlatformStoreStandIn::ExpireLeases() {
  absl::MutexLock lock(&this->mutex);
  const absl::Time now = absl::Now();
  std::erase_if(this->granted, [&](const auto& lease) {
    return now - lease.second.renewed > lease.second.ttl;
  });
  std::vector<std::string> gone;
  for (const auto& [key, item] : this->items) {
    if (item.lease != 0 && this->granted.count(item.lease) == 0) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) this->Remove(key);
}

void PlatformStoreStandIn::RejectRenewals() {
  absl::MutexLock lock(&this->mutex);
  this->ended_leases = this->leases;
}

int PlatformStoreStandIn::Listings() const {
  absl::MutexLock lock(&this->mutex);
  return this->listings;
}

int PlatformStoreStandIn::Renewals() const {
  absl::MutexLock lock(&this->mutex);
  return this->renewals;
}

std::uint64_t PlatformStoreStandIn::LeaseOf(const std::string& key) const {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->items.find(key);
  return found == this->items.end() ? 0 : found->second.lease;
}

void PlatformStoreStandIn::RejectWrites(bool away) {
  absl::MutexLock lock(&this->mutex);
  this->writes_turned_away = away;
}

std::string PlatformStoreStandIn::Get(const std::string& key) const {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->items.find(key);
  return found == this->items.end() ? "" : found->second.value;
}

std::vector<std::string> PlatformStoreStandIn::Keys(
    const std::string& prefix) const {
  absl::MutexLock lock(&this->mutex);
  std::vector<std::string> keys;
  for (const auto& [key, item] : this->items) {
    if (Begins(key, prefix)) keys.push_back(key);
  }
  return keys;
}

std::string PlatformStoreStandIn::List(const std::string& prefix) {
  absl::MutexLock lock(&this->mutex);
  this->listings += 1;
  json listed = json::array();
  for (const auto& [key, item] : this->items) {
    if (!Begins(key, prefix)) continue;
    listed.push_back({{"key", key},
                      {"value", absl::Base64Escape(item.value)},
                      {"revision", item.revision},
                      {"created", item.revision},
                      {"lease", item.lease}});
  }
  return json{
      {"items", listed}, {"truncated", false}, {"current_rev", this->revision}}
      .dump();
}

std::string PlatformStoreStandIn::Watch(const std::string& prefix,
                                        std::uint64_t after,
                                        int wait_ms) const {
  absl::MutexLock lock(&this->mutex);
  const auto changed = [&] {
    this->mutex.AssertHeld();
    return this->closing || this->revision > after;
  };
  this->mutex.AwaitWithTimeout(absl::Condition(&changed),
                               absl::Milliseconds(wait_ms));
  json events = json::array();
  for (const Change& change : this->changes) {
    if (change.item.revision <= after || !Begins(change.key, prefix)) continue;
    json event = {{"key", change.key}, {"revision", change.item.revision}};
    if (change.deleted) {
      event["deleted"] = true;
    } else {
      event["value"] = absl::Base64Escape(change.item.value);
      event["created"] = change.item.revision;
      event["lease"] = change.item.lease;
    }
    events.push_back(std::move(event));
  }
  return json{{"events", events}, {"current_rev", this->revision}}.dump();
}

int PlatformStoreStandIn::Transact(const std::string& body,
                                   std::string& answer) {
  const json call = json::parse(body);
  absl::MutexLock lock(&this->mutex);
  if (this->writes_turned_away) return 503;
  for (const json& condition : call.at("expected")) {
    const auto found = this->items.find(condition.at("key"));
    const std::uint64_t now =
        found == this->items.end() ? 0 : found->second.revision;
    if (now != condition.at("revision").get<std::uint64_t>()) {
      answer = json{{"items", json::array()}}.dump();
      return 412;
    }
  }
  for (const json& put : call.at("puts")) {
    std::string value;
    absl::Base64Unescape(put.at("value").get<std::string>(), &value);
    this->Record(put.at("key"), value, put.at("lease"));
  }
  for (const json& key : call.at("deletes")) this->Remove(key);
  answer = json{{"revision", this->revision}}.dump();
  return 200;
}

}  // namespace dragonflyglade
