#include "dragonflyglade/gateway/gateway_settings.h"

#include <fmt/format.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "dragonflyglade/operator/schema_check.h"

namespace dragonflyglade::gateway {
namespace {

using nlohmann::json;

constexpr const char* kPeer = "settings";

Failure Invalid(std::string_view why) {
  return MakeFailure(Errc::kInvalidSettings, "read settings", kPeer, why);
}

json Object(json properties, json required) {
  return {{"type", "object"},
          {"additionalProperties", false},
          {"properties", std::move(properties)},
          {"required", std::move(required)}};
}

json Number() { return {{"type", "number"}, {"minimum", 0}}; }

json Name() { return {{"type", "string"}, {"minLength", 1}}; }

// "ADDRESS:PORT"
json Address() {
  return {{"type", "string"}, {"pattern", "^[0-9a-fA-F.:\\[\\]]+:[0-9]+$"}};
}

json Schema() {
  const json listen =
      Object({{"callers", Address()},
              {"readiness", Address()},
              {"directory", Address()},
              {"metrics", Address()},
              {"peers", Address()}},
             {"callers", "readiness", "directory", "metrics", "peers"});
  const json machine =
      Object({{"cores", Number()}, {"link_mbps", Number()}}, json::array());
  const json limits = Object({{"lease_ttl_ms", Number()},
                              {"unlisted_lease_ttl_ms", Number()},
                              {"quiet_between_holders_ms", Number()},
                              {"stop_within_s", Number()},
                              {"directory_keep_s", Number()},
                              {"quota_window_s", Number()},
                              {"quota_overage", Number()},
                              {"quota_slack", Number()},
                              {"retry_share", Number()},
                              {"retry_slack", Number()},
                              {"load_window_s", Number()},
                              {"load_overage", Number()}},
                             json::array());
  return Object({{"instance", Name()},
                 {"zone", Name()},
                 {"first_start", {{"type", "boolean"}}},
                 {"listen", listen},
                 {"store", Object({{"address", Address()}}, {"address"})},
                 {"machine", machine},
                 {"limits", limits}},
                {"instance", "zone", "listen", "store"});
}

void ReadNumber(const json& object, const char* field, double& value) {
  if (object.contains(field)) value = object.at(field).get<double>();
}

void ReadTime(const json& object, const char* field, absl::Duration unit,
              absl::Duration& value) {
  if (object.contains(field)) value = object.at(field).get<double>() * unit;
}

// Reads the addresses and remembers the first that is not an IP number.
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
  ReadTime(limits, "quota_window_s", s, settings.quota_allowance.window);
  ReadNumber(limits, "quota_overage", settings.quota_allowance.overage);
  ReadNumber(limits, "quota_slack", settings.quota_allowance.slack);
  ReadNumber(limits, "retry_share", settings.retry_share);
  ReadNumber(limits, "retry_slack", settings.retry_slack);
  ReadTime(limits, "load_window_s", s, settings.load_window);
  ReadNumber(limits, "load_overage", settings.load_overage);
}

}  // namespace

Result<GatewaySettings> ParseGatewaySettings(std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  if (document.is_discarded()) return Invalid("not JSON");
  const auto problems = CheckSchema(Schema(), document);
  if (!problems.empty()) return Invalid(Describe(problems));
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
  if (!addresses.Problem().empty()) return Invalid(addresses.Problem());
  const json machine = document.value("machine", json::object());
  ReadNumber(machine, "cores", settings.cores);
  ReadNumber(machine, "link_mbps", settings.link_mbps);
  ReadLimits(document.value("limits", json::object()), settings);
  return settings;
}

bool ApplyReloadableSettings(const GatewaySettings& newer,
                             GatewaySettings& settings) {
  GatewaySettings taken = newer;
  taken.instance = settings.instance;
  taken.zone = settings.zone;
  taken.callers = settings.callers;
  taken.readiness = settings.readiness;
  taken.directory = settings.directory;
  taken.metrics = settings.metrics;
  taken.peers = settings.peers;
  taken.store = settings.store;
  taken.cores = settings.cores;
  taken.link_mbps = settings.link_mbps;
  settings = std::move(taken);
  const auto differs = [](const Endpoint& one, const Endpoint& other) {
    return one.ToString() != other.ToString();
  };
  return newer.instance != settings.instance || newer.zone != settings.zone ||
         newer.cores != settings.cores ||
         newer.link_mbps != settings.link_mbps ||
         differs(newer.callers, settings.callers) ||
         differs(newer.readiness, settings.readiness) ||
         differs(newer.directory, settings.directory) ||
         differs(newer.metrics, settings.metrics) ||
         differs(newer.peers, settings.peers) ||
         differs(newer.store, settings.store);
}

Result<GatewaySettings> ReadGatewaySettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) return Invalid(fmt::format("cannot open {}", path));
  std::ostringstream text;
  text << file.rdbuf();
  return ParseGatewaySettings(text.str());
}

}  // namespace dragonflyglade::gateway
