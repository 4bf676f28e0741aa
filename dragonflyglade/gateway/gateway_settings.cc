#include "dragonflyglade/gateway/gateway_settings.h"

#include <fmt/format.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "dragonflyglade/decision/json_text.h"
#include "dragonflyglade/operator/schema_check.h"

namespace dragonflyglade::gateway {
namespace {

using nlohmann::json;

constexpr const char* kPeer = "settings";

Failure InvalidSettings(std::string_view why) {
  return MakeFailure(Errc::kInvalidSettings, "read settings", kPeer, why);
}

json ObjectSchema(json properties, json required) {
  return {{"type", "object"},
          {"additionalProperties", false},
          {"properties", std::move(properties)},
          {"required", std::move(required)}};
}

json NumberSchema() { return {{"type", "number"}, {"minimum", 0}}; }

// Less would slow callers down that read; the sizes must fit into an integer.
json BufferSchema() {
  return {{"type", "number"}, {"minimum", 16}, {"maximum", 1 << 20}};
}

// Fewer leave no connection for some of the listeners.
json DescriptorsSchema() {
  return {{"type", "integer"}, {"minimum", 256}, {"maximum", 1 << 30}};
}

json NameSchema() { return {{"type", "string"}, {"minLength", 1}}; }

// "ADDRESS:PORT"
json AddressSchema() {
  return {{"type", "string"}, {"pattern", "^[0-9a-fA-F.:\\[\\]]+:[0-9]+$"}};
}

json SettingsSchema() {
  const json listen =
      ObjectSchema({{"callers", AddressSchema()},
                    {"readiness", AddressSchema()},
                    {"directory", AddressSchema()},
                    {"metrics", AddressSchema()},
                    {"peers", AddressSchema()}},
                   {"callers", "readiness", "directory", "metrics", "peers"});
  const json machine = ObjectSchema({{"cores", NumberSchema()},
                                     {"link_mbps", NumberSchema()},
                                     {"descriptors", DescriptorsSchema()}},
                                    json::array());
  const json limits =
      ObjectSchema({{"lease_ttl_ms", NumberSchema()},
                    {"unlisted_lease_ttl_ms", NumberSchema()},
                    {"quiet_between_holders_ms", NumberSchema()},
                    {"stop_within_s", NumberSchema()},
                    {"directory_keep_s", NumberSchema()},
                    {"config_bound_ms", NumberSchema()},
                    {"quota_window_s", NumberSchema()},
                    {"quota_overage", NumberSchema()},
                    {"quota_slack", NumberSchema()},
                    {"retry_share", NumberSchema()},
                    {"retry_slack", NumberSchema()},
                    {"target_heartbeat_ms", NumberSchema()},
                    {"load_window_s", NumberSchema()},
                    {"load_overage", NumberSchema()},
                    {"slow_start_overage", NumberSchema()},
                    {"slow_start_slack", NumberSchema()},
                    {"caller_socket_kb", BufferSchema()},
                    {"caller_buffers_kb", BufferSchema()},
                    {"request_bodies_kb", BufferSchema()},
                    {"run_backups", {{"type", "boolean"}}},
                    {"engine_model", {{"type", "boolean"}}},
                    {"prompt_cache", {{"type", "boolean"}}},
                    {"prompt_cache_events", {{"type", "boolean"}}}},
                   json::array());
  return ObjectSchema(
      {{"instance", NameSchema()},
       {"zone", NameSchema()},
       {"first_start", {{"type", "boolean"}}},
       {"listen", listen},
       {"store", ObjectSchema({{"address", AddressSchema()}}, {"address"})},
       {"machine", machine},
       {"limits", limits}},
      {"instance", "zone", "listen", "store"});
}

void ReadNumber(const json& object, const char* field, double& value) {
  if (object.contains(field)) value = object.at(field).get<double>();
}

void ReadKilobytes(const json& object, const char* field, std::size_t& value) {
  constexpr double kKilobyte = 1024;
  if (!object.contains(field)) return;
  value = static_cast<std::size_t>(object.at(field).get<double>() * kKilobyte);
}

void ReadTime(const json& object, const char* field, absl::Duration unit,
              absl::Duration& value) {
  if (object.contains(field)) value = object.at(field).get<double>() * unit;
}

// Reads addresses and keeps an error message for the first that is not an IP
// address and port.
class AddressReader {
 public:
  Endpoint Read(const json& object, const char* field) {
    const auto text = object.at(field).get<std::string>();
    const Result<Endpoint> endpoint = ParseEndpoint(text);
    if (endpoint.Ok()) return endpoint.Value();
    if (this->problem.empty()) {
      this->problem =
          fmt::format("{}: expected IP:PORT; found \"{}\"", field, text);
    }
    return {};
  }

  const std::string& Problem() const { return this->problem; }

 private:
  std::string problem;
};

void ReadLimits(const json& limits, GatewaySettings& settings) {
  const absl::Duration ms = absl::Milliseconds(1);
  const absl::Duration s = absl::Seconds(1);
  ReadTime(limits, "lease_ttl_ms", ms, settings.lease_ttl);
  ReadTime(limits, "unlisted_lease_ttl_ms", ms, settings.unlisted_lease_ttl);
  ReadTime(limits, "quiet_between_holders_ms", ms,
           settings.leader_handover_delay);
  ReadTime(limits, "stop_within_s", s, settings.stop_within);
  ReadTime(limits, "directory_keep_s", s, settings.directory_keep);
  ReadTime(limits, "config_bound_ms", ms, settings.config_bound);
  ReadTime(limits, "quota_window_s", s, settings.quota_allowance.window);
  ReadNumber(limits, "quota_overage", settings.quota_allowance.overage);
  ReadNumber(limits, "quota_slack", settings.quota_allowance.slack);
  ReadNumber(limits, "retry_share", settings.retry_share);
  ReadNumber(limits, "retry_slack", settings.retry_slack);
  ReadTime(limits, "target_heartbeat_ms", ms, settings.target_heartbeat);
  ReadTime(limits, "load_window_s", s, settings.load_window);
  ReadNumber(limits, "load_overage", settings.load_overage);
  ReadNumber(limits, "slow_start_overage", settings.slow_start_overage);
  ReadNumber(limits, "slow_start_slack", settings.slow_start_slack);
  ReadKilobytes(limits, "caller_socket_kb",
                settings.caller_buffers.socket_bytes);
  ReadKilobytes(limits, "caller_buffers_kb",
                settings.caller_buffers.total_bytes);
  ReadKilobytes(limits, "request_bodies_kb", settings.request_bodies_bytes);
  settings.run_backups = limits.value("run_backups", settings.run_backups);
  settings.engine_model = limits.value("engine_model", settings.engine_model);
  settings.prompt_cache_events =
      limits.value("prompt_cache_events", settings.prompt_cache_events);
  settings.prompt_cache = limits.value("prompt_cache", settings.prompt_cache);
}

}  // namespace

Result<GatewaySettings> ParseGatewaySettings(std::string_view text) {
  const json document = ParseJsonOrDiscard(text);
  if (document.is_discarded()) return InvalidSettings("not JSON");
  const auto problems = CheckSchema(SettingsSchema(), document);
  if (!problems.empty()) return InvalidSettings(Describe(problems));
  GatewaySettings settings;
  settings.instance = document.at("instance").get<std::string>();
  settings.zone = document.at("zone").get<std::string>();
  settings.first_start = document.value("first_start", false);
  AddressReader addresses;
  const json& listen = document.at("listen");
  settings.callers = addresses.Read(listen, "callers");
  settings.readiness = addresses.Read(listen, "readiness");
  settings.directory = addresses.Read(listen, "directory");
  settings.metrics = addresses.Read(listen, "metrics");
  settings.peers = addresses.Read(listen, "peers");
  settings.store = addresses.Read(document.at("store"), "address");
  if (!addresses.Problem().empty()) return InvalidSettings(addresses.Problem());
  const json machine = document.value("machine", json::object());
  ReadNumber(machine, "cores", settings.cores);
  ReadNumber(machine, "link_mbps", settings.link_mbps);
  if (machine.contains("descriptors")) {
    settings.descriptors = machine.at("descriptors").get<std::size_t>();
  }
  ReadLimits(document.value("limits", json::object()), settings);
  return settings;
}

bool ApplyReloadableSettings(const GatewaySettings& newer,
                             GatewaySettings& settings) {
  GatewaySettings merged = newer;
  merged.instance = settings.instance;
  merged.zone = settings.zone;
  merged.callers = settings.callers;
  merged.readiness = settings.readiness;
  merged.directory = settings.directory;
  merged.metrics = settings.metrics;
  merged.peers = settings.peers;
  merged.store = settings.store;
  merged.cores = settings.cores;
  merged.link_mbps = settings.link_mbps;
  merged.descriptors = settings.descriptors;
  settings = std::move(merged);
  const auto differs = [](const Endpoint& one, const Endpoint& other) {
    return one.ToString() != other.ToString();
  };
  return newer.instance != settings.instance || newer.zone != settings.zone ||
         newer.cores != settings.cores ||
         newer.link_mbps != settings.link_mbps ||
         newer.descriptors != settings.descriptors ||
         differs(newer.callers, settings.callers) ||
         differs(newer.readiness, settings.readiness) ||
         differs(newer.directory, settings.directory) ||
         differs(newer.metrics, settings.metrics) ||
         differs(newer.peers, settings.peers) ||
         differs(newer.store, settings.store);
}

Result<GatewaySettings> ReadGatewaySettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) return InvalidSettings(fmt::format("cannot open {}", path));
  std::ostringstream text;
  text << file.rdbuf();
  return ParseGatewaySettings(text.str());
}

}  // namespace dragonflyglade::gateway
