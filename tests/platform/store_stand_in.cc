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

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

PlatformStoreStandIn::PlatformStoreStandIn()
    : server(std::make_unique<httplib::Server>()) {
  this->server->new_task_queue = [] {
    return new httplib::ThreadPool(kThreads);
  };
  this->server->Get("/-/kv-range", [this](const Request& request,
                                          Response& response) {
    if (this->RejectsReads()) {
      response.status = 503;
      return;
    }
    response.set_content(this->List(request.get_param_value("prefix")), kJson);
  });
  this->server->Get(
      "/-/kv-watch", [this](const Request& request, Response& response) {
        if (this->RejectsReads()) {
          response.status = 503;
          return;
        }
        if (!this->HasHistory(std::stoull(request.get_param_value("after")))) {
          response.status = 410;
          return;
        }
        response.set_content(
            this->Watch(request.get_param_value("prefix"),
                        std::stoull(request.get_param_value("after")),
                        std::stoi(request.get_param_value("wait_ms"))),
            kJson);
      });
  this->server->Post(
      "/-/kv-txn", [this](const Request& request, Response& response) {
        std::string response_body;
        response.status = this->Transact(request.body, response_body);
        response.set_content(response_body, kJson);
      });
  this->server->Post("/-/kv-lease", [this](const Request& request,
                                           Response& response) {
    absl::MutexLock lock(&this->mutex);
    this->last_lease += 1;
    const int ttl_ms = json::parse(request.body).at("ttl_ms").get<int>();
    this->leases[this->last_lease] = {absl::Milliseconds(ttl_ms), absl::Now()};
    response.set_content(
        json{{"lease", this->last_lease}, {"ttl_ms", ttl_ms}}.dump(), kJson);
  });
  this->server->Post(R"(/-/kv-keep/(\d+))", [this](const Request& request,
                                                   Response& response) {
    absl::MutexLock lock(&this->mutex);
    const auto lease = this->leases.find(std::stoull(request.matches[1]));
    if (lease == this->leases.end() || lease->first <= this->last_ended_lease) {
      response.status = 404;
      return;
    }
    this->renewals += 1;
    lease->second.renewed_at = absl::Now();
    const auto ttl_ms = absl::ToInt64Milliseconds(lease->second.ttl);
    response.set_content(json{{"ttl_ms", ttl_ms}}.dump(), kJson);
  });
  this->server->Delete(R"(/-/kv-lease-end/(\d+))",
                       [this](const Request& request, Response& response) {
                         response.status =
                             this->EndLease(std::stoull(request.matches[1]));
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
    this->stopping = true;
  }
  this->server->stop();
  this->worker->Stop();
}

void PlatformStoreStandIn::RejectReads(bool reject) {
  absl::MutexLock lock(&this->mutex);
  this->rejects_reads = reject;
}

bool PlatformStoreStandIn::RejectsReads() const {
  absl::MutexLock lock(&this->mutex);
  return this->rejects_reads;
}

void PlatformStoreStandIn::PutLocked(const std::string& key,
                                     const std::string& value,
                                     std::uint64_t lease) {
  this->revision += 1;
  const Item item{value, this->revision, lease};
  this->items[key] = item;
  this->changes.push_back({key, item, false});
}

void PlatformStoreStandIn::DeleteLocked(const std::string& key) {
  if (this->items.erase(key) == 0) return;
  this->revision += 1;
  this->changes.push_back({key, Item{"", this->revision, 0}, true});
}

void PlatformStoreStandIn::Put(const std::string& key,
                               const std::string& value) {
  absl::MutexLock lock(&this->mutex);
  this->PutLocked(key, value, 0);
}

void PlatformStoreStandIn::Delete(const std::string& key) {
  absl::MutexLock lock(&this->mutex);
  this->DeleteLocked(key);
}

void PlatformStoreStandIn::ExpireLeases() {
  absl::MutexLock lock(&this->mutex);
  const absl::Time now = absl::Now();
  std::erase_if(this->leases, [&](const auto& lease) {
    return now - lease.second.renewed_at > lease.second.ttl;
  });
  std::vector<std::string> expired_keys;
  for (const auto& [key, item] : this->items) {
    if (item.lease != 0 && this->leases.count(item.lease) == 0) {
      expired_keys.push_back(key);
    }
  }
  for (const std::string& key : expired_keys) this->DeleteLocked(key);
}

void PlatformStoreStandIn::RejectRenewals() {
  absl::MutexLock lock(&this->mutex);
  this->last_ended_lease = this->last_lease;
}

std::uint64_t PlatformStoreStandIn::Revision() const {
  absl::MutexLock lock(&this->mutex);
  return this->revision;
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

void PlatformStoreStandIn::SetWriteFault(WriteFault fault) {
  absl::MutexLock lock(&this->mutex);
  this->write_fault = fault;
}

void PlatformStoreStandIn::RunLateWrites() {
  absl::MutexLock lock(&this->mutex);
  std::string response_body;
  for (const std::string& body : this->late_writes) {
    this->TransactLocked(body, response_body);
  }
  this->late_writes.clear();
}

int PlatformStoreStandIn::EndLease(std::uint64_t lease) {
  absl::MutexLock lock(&this->mutex);
  if (this->write_fault == WriteFault::kRefused) return 503;
  if (this->leases.erase(lease) == 0) return 404;
  std::vector<std::string> ended_keys;
  for (const auto& [key, item] : this->items) {
    if (item.lease == lease) ended_keys.push_back(key);
  }
  for (const std::string& key : ended_keys) this->DeleteLocked(key);
  return 200;
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
    if (HasPrefix(key, prefix)) keys.push_back(key);
  }
  return keys;
}

std::string PlatformStoreStandIn::List(const std::string& prefix) {
  absl::MutexLock lock(&this->mutex);
  this->listings += 1;
  json listed = json::array();
  for (const auto& [key, item] : this->items) {
    if (!HasPrefix(key, prefix)) continue;
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

void PlatformStoreStandIn::DiscardHistory() {
  absl::MutexLock lock(&this->mutex);
  this->discarded_through = this->revision;
}

bool PlatformStoreStandIn::HasHistory(std::uint64_t after) const {
  absl::MutexLock lock(&this->mutex);
  return after >= this->discarded_through;
}

std::string PlatformStoreStandIn::Watch(const std::string& prefix,
                                        std::uint64_t after,
                                        int wait_ms) const {
  absl::MutexLock lock(&this->mutex);
  const auto changed = [&] {
    this->mutex.AssertHeld();
    return this->stopping || this->revision > after;
  };
  this->mutex.AwaitWithTimeout(absl::Condition(&changed),
                               absl::Milliseconds(wait_ms));
  json events = json::array();
  for (const Change& change : this->changes) {
    if (change.item.revision <= after || !HasPrefix(change.key, prefix))
      continue;
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
                                   std::string& response_body) {
  constexpr int kUnreadable = 200;
  absl::MutexLock lock(&this->mutex);
  switch (this->write_fault) {
    case WriteFault::kNone:
      return this->TransactLocked(body, response_body);
    case WriteFault::kRefused:
      return 503;
    case WriteFault::kAnswerLost:
      this->TransactLocked(body, response_body);
      response_body = "{";
      return kUnreadable;
    case WriteFault::kDoneLate:
      this->late_writes.push_back(body);
      response_body = "{";
      return kUnreadable;
  }
  return 503;
}

int PlatformStoreStandIn::TransactLocked(const std::string& body,
                                         std::string& response_body) {
  const json transaction = json::parse(body);
  for (const json& condition : transaction.at("expected")) {
    const auto found = this->items.find(condition.at("key"));
    const std::uint64_t current_revision =
        found == this->items.end() ? 0 : found->second.revision;
    if (current_revision != condition.at("revision").get<std::uint64_t>()) {
      response_body = json{{"items", json::array()}}.dump();
      return 412;
    }
  }
  for (const json& put : transaction.at("puts")) {
    std::string value;
    absl::Base64Unescape(put.at("value").get<std::string>(), &value);
    this->PutLocked(put.at("key"), value, put.at("lease"));
  }
  for (const json& key : transaction.at("deletes")) this->DeleteLocked(key);
  response_body = json{{"revision", this->revision}}.dump();
  return 200;
}

}  // namespace dragonflyglade
