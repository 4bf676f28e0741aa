#include "dragonflyglade/instance/settings_schema.h"

#include <utility>

namespace dragonflyglade {
namespace {

using nlohmann::json;

json Object(json properties, json required = json::array()) {
  return {{"type", "object"},
          {"additionalProperties", false},
          {"properties", std::move(properties)},
          {"required", std::move(required)}};
}

json Whole(std::int64_t minimum) {
  return {{"type", "integer"}, {"minimum", minimum}};
}

json Number(double minimum) {
  return {{"type", "number"}, {"minimum", minimum}};
}

json Name() {
  return {{"type", "string"},
          {"pattern", "^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$"}};
}

json Listen() {
  return Object(
      {{"address", {{"type", "string"}}},
       {"port", {{"type", "integer"}, {"minimum", 0}, {"maximum", 65535}}}},
      {"address", "port"});
}

json EndpointText() {
  return {{"type", "string"}, {"pattern", "^(http://)?[0-9a-fA-F.:\\[\\]]+$"}};
}

json Limits() {
  const json waits =
      Object({{"token_wait_ms", Whole(0)}, {"place_wait_ms", Whole(0)}});
  return Object({{"max_body_bytes", Whole(1)},
                 {"max_path_bytes", Whole(16)},
                 {"threads", Whole(4)},
                 {"queue", Whole(1)},
                 {"in_flight_per_target", Whole(1)},
                 {"urgent", waits},
                 {"chat", waits},
                 {"batch", waits}});
}

json Timeouts() {
  return Object({{"kv_ms", Whole(1)},
                 {"kv_watch_silence_ms", Whole(10)},
                 {"peer_ms", Whole(1)},
                 {"borrow_ms", Whole(1)},
                 {"hold_ms", Whole(1)},
                 {"target_connect_ms", Whole(1)},
                 {"target_read_ms", Whole(1)},
                 {"order_ms", Whole(1)},
                 {"suspicion_ms", Whole(1)},
                 {"config_fresh_ms", Whole(1)},
                 {"ejection_ms", Whole(1)},
                 {"slow_return_ms", Whole(1)},
                 {"claim_keep_s", Whole(1)},
                 {"answer_keep_s", Whole(0)},
                 {"drain_s", Whole(0)}});
}

json PeriodsSchema() {
  return Object({{"heartbeat_ms", Whole(1)},
                 {"config_reread_ms", Whole(1)},
                 {"lists_ms", Whole(1)},
                 {"reports_ms", Whole(1)},
                 {"allotments_ms", Whole(1)}});
}

json Placement() {
  return Object({{"period_ms", Whole(1)},
                 {"lease_ms", Whole(1000)},
                 {"settle_ms", Whole(0)},
                 {"drop_after_ms", Whole(0)},
                 {"copy_tokens_per_second", Number(1)},
                 {"add_above", Number(0)},
                 {"drop_below", Number(0)},
                 {"loads_per_second", Number(0)},
                 {"loads_at_once", Whole(1)},
                 {"adapter_loads_at_once", Whole(1)}});
}

}  // namespace

json SettingsSchema() {
  return Object(
      {{"name", Name()},
       {"availability_zone", Name()},
       {"listen",
        Object(
            {{"caller", Listen()}, {"peer", Listen()}, {"operator", Listen()}},
            {"caller", "peer", "operator"})},
       {"kv",
        Object(
            {{"endpoints",
              {{"type", "array"}, {"minItems", 1}, {"items", EndpointText()}}}},
            {"endpoints"})},
       {"lists", Object({{"endpoint", EndpointText()}}, {"endpoint"})},
       {"limits", Limits()},
       {"timeouts", Timeouts()},
       {"periods", PeriodsSchema()},
       {"placement", Placement()},
       {"config_relays", Whole(1)},
       {"routing", Object({{"zone_penalty_tokens", Number(0)},
                           {"prefix_bonus_tokens", Number(0)}})},
       {"log", Object({{"level",
                        {{"type", "string"},
                         {"enum",
                          {"trace", "debug", "info", "warn", "error", "off"}}}},
                       {"json", {{"type", "boolean"}}}})}},
      {"name", "availability_zone", "listen", "kv", "lists"});
}

}  // namespace dragonflyglade
