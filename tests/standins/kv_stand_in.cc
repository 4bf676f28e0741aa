#include "tests/standins/kv_stand_in.h"

#include <httplib.h>

#include <memory>
#include <utility>

#include "absl/time/clock.h"
#include "dragonflyglade/store/kv_codec.h"
#include "tests/standins/drop_response.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr int kThreads = 128;
constexpr absl::Duration kProgressInterval = absl::Milliseconds(500);

json EntryJson(const KvEntry& entry) {
  return {{"key", EncodeBytes(entry.key)},
          {"value", EncodeBytes(entry.value)},
          {"create_revision", std::to_string(entry.create_revision)},
          {"mod_revision", std::to_string(entry.mod_revision)},
          {"lease", std::to_string(entry.lease)}};
}

bool InRange(const std::string& key, const std::string& from,
             const std::string& to) {
  if (to.empty()) return key == from;
  return key >= from && key < to;
}

}  // namespace

KvStandIn::KvStandIn() : server(Endpoint{"127.0.0.1", 0}, kThreads) {
  httplib::Server& http = this->server.HttplibServer();
  http.Post("/v3/watch", [this](const httplib::Request& request,
                                httplib::Response& response) {
    const json create = json::parse(request.body).at("create_request");
    auto watch = std::make_shared<OpenWatch>();
    watch->from = DecodeBytes(create.at("key"));
    watch->to = DecodeBytes(create.value("range_end", std::string()));
    watch->next_revision = DecodeNumber(create, "start_revision");
    {
      absl::MutexLock lock(&this->mutex);
      if (this->unavailable) return DropResponse(response);
      watch->number = this->next_watch++;
      ++this->open_watches;
    }
    response.set_chunked_content_provider(
        "application/json",
        [this, watch](std::size_t, httplib::DataSink& sink) {
          std::string line;
          if (!this->NextWatchMessage(*watch, line)) return false;
          return line.empty() ? sink.is_writable()
                              : sink.write(line.data(), line.size());
        },
        [this](bool) {
          absl::MutexLock lock(&this->mutex);
          --this->open_watches;
        });
  });
  http.Post("/v3/.*", [this](const httplib::Request& request,
                             httplib::Response& response) {
    absl::Duration wait;
    {
      absl::MutexLock lock(&this->mutex);
      wait = this->delay;
    }
    absl::SleepFor(wait);
    {
      absl::MutexLock lock(&this->mutex);
      if (this->unavailable) return DropResponse(response);
    }
    const std::string response_body =
        this->Handle(request.path, json::parse(request.body));
    if (response_body.empty()) return DropResponse(response);
    response.set_content(response_body, "application/json");
  });
}

KvStandIn::~KvStandIn() {
  {
    absl::MutexLock lock(&this->mutex);
    this->stopping = true;
  }
  this->server.Stop();
}

Endpoint KvStandIn::Start() {
  const Result<int> port = this->server.Start("listen");
  return Endpoint{"127.0.0.1", port.Value()};
}

void KvStandIn::SetUnavailable(bool unavailable) {
  absl::MutexLock lock(&this->mutex);
  this->unavailable = unavailable;
}

void KvStandIn::SetDelay(absl::Duration delay) {
  absl::MutexLock lock(&this->mutex);
  this->delay = delay;
}

void KvStandIn::DropResponses(int count) {
  absl::MutexLock lock(&this->mutex);
  this->responses_to_drop = count;
}

void KvStandIn::StallWatches() {
  absl::MutexLock lock(&this->mutex);
  this->first_unstalled_watch = this->next_watch;
}

void KvStandIn::ExpireAllLeases() {
  absl::MutexLock lock(&this->mutex);
  for (auto& [id, until] : this->leases) until = absl::InfinitePast();
  this->ExpireLeases();
}

json KvStandIn::Header() const {
  return {{"revision", std::to_string(this->revision)}};
}

void KvStandIn::PutLocked(const std::string& key, const std::string& value,
                          std::int64_t lease) {
  std::vector<Version>& versions = this->keys[key];
  Version version;
  version.entry.key = key;
  version.entry.value = value;
  version.entry.lease = lease;
  version.entry.mod_revision = this->revision;
  const bool exists = !versions.empty() && !versions.back().deleted;
  version.entry.create_revision =
      exists ? versions.back().entry.create_revision : this->revision;
  versions.push_back(version);
  this->change_log.push_back(version);
}

void KvStandIn::RemoveLocked(const std::string& key) {
  std::vector<Version>& versions = this->keys[key];
  if (versions.empty() || versions.back().deleted) return;
  Version version;
  version.entry.key = key;
  version.entry.mod_revision = this->revision;
  version.deleted = true;
  versions.push_back(version);
  this->change_log.push_back(version);
}

void KvStandIn::ExpireLeases() {
  const absl::Time now = absl::Now();
  for (auto it = this->leases.begin(); it != this->leases.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    ++this->revision;
    for (auto& [key, versions] : this->keys) {
      const Version& newest = versions.back();
      if (!newest.deleted && newest.entry.lease == it->first) {
        this->RemoveLocked(key);
      }
    }
    it = this->leases.erase(it);
  }
}

json KvStandIn::Range(const json& request) {
  const std::string from = DecodeBytes(request.at("key"));
  const std::string to = DecodeBytes(request.value("range_end", std::string()));
  const std::int64_t requested_revision = DecodeNumber(request, "revision");
  const std::int64_t at =
      requested_revision == 0 ? this->revision : requested_revision;
  const std::int64_t min_revision = DecodeNumber(request, "min_mod_revision");
  json found = json::array();
  for (const auto& [key, versions] : this->keys) {
    if (!InRange(key, from, to)) continue;
    const Version* newest = nullptr;
    for (const Version& version : versions) {
      if (version.entry.mod_revision <= at) newest = &version;
    }
    if (newest == nullptr || newest->deleted) continue;
    if (newest->entry.mod_revision < min_revision) continue;
    found.push_back(EntryJson(newest->entry));
  }
  return {{"header", this->Header()}, {"kvs", found}};
}

json KvStandIn::Txn(const json& request) {
  bool conditions_hold = true;
  for (const json& compare : request.value("compare", json::array())) {
    const auto found = this->keys.find(DecodeBytes(compare.at("key")));
    const bool present =
        found != this->keys.end() && !found->second.back().deleted;
    const std::int64_t actual =
        present ? found->second.back().entry.mod_revision : 0;
    conditions_hold =
        conditions_hold && actual == DecodeNumber(compare, "mod_revision");
  }
  if (!conditions_hold) {
    json responses = json::array();
    for (const json& operation : request.value("failure", json::array())) {
      responses.push_back(
          {{"response_range", this->Range(operation.at("request_range"))}});
    }
    return {{"header", this->Header()}, {"responses", responses}};
  }
  ++this->revision;
  ++this->writes;
  for (const json& operation : request.value("success", json::array())) {
    if (operation.contains("request_put")) {
      const json& put = operation.at("request_put");
      this->PutLocked(DecodeBytes(put.at("key")),
                      DecodeBytes(put.value("value", std::string())),
                      DecodeNumber(put, "lease"));
    } else {
      this->RemoveLocked(
          DecodeBytes(operation.at("request_delete_range").at("key")));
    }
  }
  return {{"header", this->Header()}, {"succeeded", true}};
}

// Returns the response's body; an empty one means that the response is dropped.
std::string KvStandIn::Handle(const std::string& path, const json& request) {
  absl::MutexLock lock(&this->mutex);
  this->ExpireLeases();
  if (path == "/v3/kv/range") {
    ++this->reads;
    return this->Range(request).dump();
  }
  if (path == "/v3/kv/txn") {
    const std::string response_body = this->Txn(request).dump();
    if (this->responses_to_drop == 0) return response_body;
    --this->responses_to_drop;
    return {};
  }
  ++this->writes;
  if (path == "/v3/lease/grant") {
    const std::int64_t id = this->next_lease++;
    const absl::Duration ttl = absl::Seconds(DecodeNumber(request, "TTL"));
    this->leases[id] = absl::Now() + ttl;
    this->lease_ttls[id] = ttl;
    return json({{"header", this->Header()}, {"ID", std::to_string(id)}})
        .dump();
  }
  const std::int64_t id = DecodeNumber(request, "ID");
  const auto found = this->leases.find(id);
  if (path == "/v3/lease/keepalive") {
    std::int64_t ttl = 0;
    if (found != this->leases.end()) {
      found->second = absl::Now() + this->lease_ttls[id];
      ttl = absl::ToInt64Seconds(this->lease_ttls[id]);
    }
    return json({{"result",
                  {{"header", this->Header()}, {"TTL", std::to_string(ttl)}}}})
        .dump();
  }
  if (found != this->leases.end()) found->second = absl::InfinitePast();
  this->ExpireLeases();
  return json({{"header", this->Header()}}).dump();
}

bool KvStandIn::NextWatchMessage(OpenWatch& watch, std::string& line) {
  absl::MutexLock lock(&this->mutex);
  const auto has_changes = [this, &watch]() ABSL_SHARED_LOCKS_REQUIRED(mutex) {
    if (this->stopping || this->unavailable) return true;
    if (watch.number < this->first_unstalled_watch) return false;
    return this->revision >= watch.next_revision;
  };
  this->mutex.AwaitWithTimeout(absl::Condition(&has_changes),
                               kProgressInterval);
  if (this->stopping || this->unavailable) return false;
  if (watch.number < this->first_unstalled_watch) return true;
  json events = json::array();
  for (const Version& version : this->change_log) {
    if (version.entry.mod_revision < watch.next_revision) continue;
    if (!InRange(version.entry.key, watch.from, watch.to)) continue;
    json event = {{"kv", EntryJson(version.entry)}};
    if (version.deleted) event["type"] = "DELETE";
    events.push_back(event);
  }
  watch.next_revision = this->revision + 1;
  line = json({{"result", {{"header", this->Header()}, {"events", events}}}})
             .dump() +
         "\n";
  return true;
}

std::int64_t KvStandIn::Put(const std::string& key, const std::string& value) {
  absl::MutexLock lock(&this->mutex);
  ++this->revision;
  this->PutLocked(key, value, 0);
  return this->revision;
}

void KvStandIn::Remove(const std::string& key) {
  absl::MutexLock lock(&this->mutex);
  ++this->revision;
  this->RemoveLocked(key);
}

std::string KvStandIn::Value(const std::string& key) const {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->keys.find(key);
  if (found == this->keys.end() || found->second.back().deleted) return {};
  return found->second.back().entry.value;
}

std::vector<KvEntry> KvStandIn::Entries(const std::string& prefix) const {
  absl::MutexLock lock(&this->mutex);
  std::vector<KvEntry> entries;
  for (const auto& [key, versions] : this->keys) {
    if (key.rfind(prefix, 0) != 0 || versions.back().deleted) continue;
    entries.push_back(versions.back().entry);
  }
  return entries;
}

std::int64_t KvStandIn::Writes() const {
  absl::MutexLock lock(&this->mutex);
  return this->writes;
}

std::int64_t KvStandIn::Reads() const {
  absl::MutexLock lock(&this->mutex);
  return this->reads;
}

int KvStandIn::OpenWatches() const {
  absl::MutexLock lock(&this->mutex);
  return this->open_watches;
}

}  // namespace dragonflyglade
