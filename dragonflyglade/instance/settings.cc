#include "dragonflyglade/instance/settings.h"

#include <fmt/format.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "dragonflyglade/decision/json_text.h"
#include "dragonflyglade/instance/settings_schema.h"
#include "dragonflyglade/operator/schema_check.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr const char* kFailurePeer = "settings";

Failure Invalid(std::string_view why) {
  return MakeFailure(Errc::kInvalidSettings, "read settings", kFailurePeer,
                     why);
}

// Both overloads leave `value` unchanged if the field is absent.
void Read(const json& object, const char* field, absl::Duration unit,
          absl::Duration& value) {
  if (object.contains(field)) {
    value = object.at(field).get<std::int64_t>() * unit;
  }
}

template <typename T>
void Read(const json& object, const char* field, T& value) {
  if (object.contains(field)) value = object.at(field).get<T>();
}

// Parses addresses and collects a description of each that is not an IP
// address.
class AddressParser {
 public:
  Endpoint ParseListen(const json& listen, const std::string& path) {
    Endpoint endpoint{listen.at("address"), listen.at("port")};
    if (!IsIpAddress(endpoint.address)) {
      this->AddProblem(path + ".address", endpoint.address);
    }
    return endpoint;
  }

  Endpoint Parse(const std::string& text, const std::string& path) {
    const Result<Endpoint> endpoint = ParseEndpoint(text);
    if (endpoint.Ok()) return endpoint.Value();
    this->AddProblem(path, text);
    return {};
  }

  const std::string& Problems() const { return this->problems; }

 private:
  void AddProblem(const std::string& path, const std::string& found) {
    if (!this->problems.empty()) this->problems += "; ";
    this->problems +=
        fmt::format("{}: expected an IP number; found \"{}\"", path, found);
  }

  std::string problems;
};

void ReadClassLimits(const json& limits, const char* name,
                     ClassLimits& class_limits) {
  if (!limits.contains(name)) return;
  const absl::Duration unit = absl::Milliseconds(1);
  Read(limits.at(name), "token_wait_ms", unit, class_limits.token_wait);
  Read(limits.at(name), "place_wait_ms", unit, class_limits.reservation_wait);
}

void ReadLimits(const json& limits, Settings& settings) {
  Read(limits, "max_body_bytes", settings.limits.max_body);
  Read(limits, "max_path_bytes", settings.limits.max_path);
  Read(limits, "threads", settings.threads);
  Read(limits, "queue", settings.dispatch.queue_limit);
  Read(limits, "in_flight_per_target", settings.targets.max_in_flight);
  ReadClassLimits(limits, "urgent", settings.limits.urgent);
  ReadClassLimits(limits, "chat", settings.limits.chat);
  ReadClassLimits(limits, "batch", settings.limits.batch);
}

void ReadTimeouts(const json& timeouts, Settings& settings) {
  const absl::Duration ms = absl::Milliseconds(1);
  const absl::Duration s = absl::Seconds(1);
  Read(timeouts, "kv_ms", ms, settings.kv.call_timeout);
  Read(timeouts, "kv_watch_silence_ms", ms, settings.kv.watch_read_timeout);
  Read(timeouts, "peer_ms", ms, settings.peers.call_timeout);
  Read(timeouts, "borrow_ms", ms, settings.peers.borrow_timeout);
  Read(timeouts, "hold_ms", ms, settings.rate_limiter.min_hold);
  Read(timeouts, "target_connect_ms", ms,
       settings.target_calls.connect_timeout);
  Read(timeouts, "target_read_ms", ms, settings.target_calls.read_timeout);
  Read(timeouts, "order_ms", ms, settings.target_calls.order_timeout);
  Read(timeouts, "suspicion_ms", ms, settings.membership.suspicion);
  Read(timeouts, "config_fresh_ms", ms, settings.max_config_age);
  Read(timeouts, "ejection_ms", ms, settings.targets.ejection);
  Read(timeouts, "slow_return_ms", ms, settings.targets.recovery_ramp);
  Read(timeouts, "claim_keep_s", s, settings.claim_retention);
  Read(timeouts, "answer_keep_s", s, settings.selection_lifetime);
  Read(timeouts, "drain_s", s, settings.drain_timeout);
}

void ReadPlacement(const json& placement, PlacementOptions& out) {
  const absl::Duration ms = absl::Milliseconds(1);
  Read(placement, "period_ms", ms, out.period);
  Read(placement, "lease_ms", ms, out.lease);
  Read(placement, "settle_ms", ms, out.settle_time);
  Read(placement, "drop_after_ms", ms, out.plan.drop_after);
  Read(placement, "copy_tokens_per_second", out.plan.copy_tokens_per_second);
  Read(placement, "add_above", out.plan.add_above);
  Read(placement, "drop_below", out.plan.drop_below);
  Read(placement, "loads_per_second", out.plan.loads_per_second);
  Read(placement, "loads_at_once", out.plan.loads_at_once);
  Read(placement, "adapter_loads_at_once", out.plan.adapter_loads_at_once);
}

void ReadPeriods(const json& periods, Periods& out) {
  const absl::Duration ms = absl::Milliseconds(1);
  Read(periods, "config_reread_ms", ms, out.config_reread);
  Read(periods, "lists_ms", ms, out.discovery);
  Read(periods, "reports_ms", ms, out.reports);
  Read(periods, "allotments_ms", ms, out.allotments);
}

Result<Settings> SettingsFromJson(const json& document) {
  Settings settings;
  AddressParser address_parser;
  settings.name = document.at("name");
  settings.zone = document.at("availability_zone");
  const json& listen = document.at("listen");
  settings.caller_listen =
      address_parser.ParseListen(listen.at("caller"), "listen.caller");
  settings.peer_listen =
      address_parser.ParseListen(listen.at("peer"), "listen.peer");
  settings.operator_listen =
      address_parser.ParseListen(listen.at("operator"), "listen.operator");
  for (const json& endpoint : document.at("kv").at("endpoints")) {
    settings.kv.endpoints.push_back(
        address_parser.Parse(endpoint.get<std::string>(), "kv.endpoints"));
  }
  settings.discovery = address_parser.Parse(
      document.at("lists").at("endpoint").get<std::string>(), "lists.endpoint");
  if (!address_parser.Problems().empty())
    return Invalid(address_parser.Problems());
  ReadLimits(document.value("limits", json::object()), settings);
  ReadTimeouts(document.value("timeouts", json::object()), settings);
  const json periods = document.value("periods", json::object());
  ReadPeriods(periods, settings.periods);
  Read(periods, "heartbeat_ms", absl::Milliseconds(1),
       settings.membership.period);
  ReadPlacement(document.value("placement", json::object()),
                settings.placement);
  Read(document, "config_relays", settings.config_relays);
  const json routing = document.value("routing", json::object());
  Read(routing, "zone_penalty_tokens", settings.targets.zone_penalty_tokens);
  Read(routing, "prefix_bonus_tokens", settings.targets.prefix_bonus_tokens);
  const json log = document.value("log", json::object());
  settings.log.level =
      spdlog::level::from_str(log.value("level", std::string("info")));
  settings.log.json_lines = log.value("json", false);
  return settings;
}

}  // namespace

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || !text) {
    return MakeFailure(Errc::kUnknownRecord, "read file", path,
                       "it cannot be read");
  }
  return text.str();
}

Result<Settings> ParseSettings(std::string_view text) {
  const json document = ParseJsonOrDiscard(text);
  if (document.is_discarded()) return Invalid("expected JSON");
  const std::vector<SchemaProblem> problems =
      CheckSchema(SettingsSchema(), document);
  if (!problems.empty()) return Invalid(Describe(problems));
  return SettingsFromJson(document);
}

Result<Settings> ReadSettings(const std::string& path) {
  const Result<std::string> text = ReadFile(path);
  if (!text.Ok()) return text.Error();
  return ParseSettings(text.Value());
}

}  // namespace dragonflyglade
