#include "dragonflyglade/instance/settings_schema.h"

#include <utility>

namespace dragonflyglade {
namespace {

using nlohmann::json;

json ObjectSchema(json properties, json required = json::array()) {
  return {{"type", "object"},
          {"additionalProperties", false},
          {"properties", std::move(properties)},
          {"required", std::move(required)}};
}

json IntegerSchema(std::int64_t minimum) {
  return {{"type", "integer"}, {"minimum", minimum}};
}

json NumberSchema(double minimum) {
  return {{"type", "number"}, {"minimum", minimum}};
}

json NameSchema() {
  return {{"type", "string"},
          {"pattern", "^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$"}};
}

json ListenSchema() {
  return ObjectSchema(
      {{"address", {{"type", "string"}}},
       {"port", {{"type", "integer"}, {"minimum", 0}, {"maximum", 65535}}}},
      {"address", "port"});
}

json EndpointSchema() {
  return {{"type", "string"}, {"pattern", "^(http://)?[0-9a-fA-F.:\\[\\]]+$"}};
}

json LimitsSchema() {
  const json class_limits = ObjectSchema({{"token_wait_ms", IntegerSchema(0)},
                                          {"place_wait_ms", IntegerSchema(0)}});
  return ObjectSchema({{"max_body_bytes", IntegerSchema(1)},
                       {"max_path_bytes", IntegerSchema(16)},
                       {"threads", IntegerSchema(4)},
                       {"queue", IntegerSchema(1)},
                       {"in_flight_per_target", IntegerSchema(1)},
                       {"urgent", class_limits},
                       {"chat", class_limits},
                       {"batch", class_limits}});
}

json TimeoutsSchema() {
  return ObjectSchema({{"kv_ms", IntegerSchema(1)},
                       {"kv_watch_silence_ms", IntegerSchema(10)},
                       {"peer_ms", IntegerSchema(1)},
                       {"borrow_ms", IntegerSchema(1)},
                       {"hold_ms", IntegerSchema(1)},
                       {"target_connect_ms", IntegerSchema(1)},
                       {"target_read_ms", IntegerSchema(1)},
                       {"order_ms", IntegerSchema(1)},
                       {"suspicion_ms", IntegerSchema(1)},
                       {"config_fresh_ms", IntegerSchema(1)},
                       {"ejection_ms", IntegerSchema(1)},
                       {"slow_return_ms", IntegerSchema(1)},
                       {"claim_keep_s", IntegerSchema(1)},
                       {"answer_keep_s", IntegerSchema(0)},
                       {"drain_s", IntegerSchema(0)}});
}

json PeriodsSchema() {
  return ObjectSchema({{"heartbeat_ms", IntegerSchema(1)},
                       {"config_reread_ms", IntegerSchema(1)},
                       {"lists_ms", IntegerSchema(1)},
                       {"reports_ms", IntegerSchema(1)},
                       {"allotments_ms", IntegerSchema(1)}});
}

json PlacementSchema() {
  return ObjectSchema({{"period_ms", IntegerSchema(1)},
                       {"lease_ms", IntegerSchema(1000)},
                       {"settle_ms", IntegerSchema(0)},
                       {"drop_after_ms", IntegerSchema(0)},
                       {"copy_tokens_per_second", NumberSchema(1)},
                       {"add_above", NumberSchema(0)},
                       {"drop_below", NumberSchema(0)},
                       {"loads_per_second", NumberSchema(0)},
                       {"loads_at_once", IntegerSchema(1)},
                       {"adapter_loads_at_once", IntegerSchema(1)}});
}

}  // namespace

json SettingsSchema() {
  return ObjectSchema(
      {{"name", NameSchema()},
       {"availability_zone", NameSchema()},
       {"listen", ObjectSchema({{"caller", ListenSchema()},
                                {"peer", ListenSchema()},
                                {"operator", ListenSchema()}},
                               {"caller", "peer", "operator"})},
       {"kv", ObjectSchema({{"endpoints",
                             {{"type", "array"},
                              {"minItems", 1},
                              {"items", EndpointSchema()}}}},
                           {"endpoints"})},
       {"lists", ObjectSchema({{"endpoint", EndpointSchema()}}, {"endpoint"})},
       {"limits", LimitsSchema()},
       {"timeouts", TimeoutsSchema()},
       {"periods", PeriodsSchema()},
       {"placement", PlacementSchema()},
       {"config_relays", IntegerSchema(1)},
       {"routing", ObjectSchema({{"zone_penalty_tokens", NumberSchema(0)},
                                 {"prefix_bonus_tokens", NumberSchema(0)}})},
       {"log",
        ObjectSchema(
            {{"level",
              {{"type", "string"},
               {"enum", {"trace", "debug", "info", "warn", "error", "off"}}}},
             {"json", {{"type", "boolean"}}}})}},
      {"name", "availability_zone", "listen", "kv", "lists"});
}

}  // namespace dragonflyglade
