#include "dragonflyglade/operator/record_schemas.h"

#include <map>
#include <string>
#include <utility>

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr const char* kNamePattern = "^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$";
constexpr const char* kHexPattern = "^[0-9a-f]+$";

json ObjectSchema(json properties, json required) {
  return {{"type", "object"},
          {"additionalProperties", false},
          {"properties", std::move(properties)},
          {"required", std::move(required)}};
}

json TextSchema(const char* pattern) {
  return {{"type", "string"}, {"pattern", pattern}};
}

json MinimumSchema(const char* type, int minimum) {
  return {{"type", type}, {"minimum", minimum}};
}

json PositiveNumberSchema() {
  return {{"type", "number"}, {"exclusiveMinimum", 0}};
}

json WorkspaceSchema() {
  return ObjectSchema(
      {{"description", {{"type", "string"}}},
       {"models", {{"type", "array"}, {"items", TextSchema(kNamePattern)}}}},
      json::array());
}

json KeySchema() {
  return ObjectSchema({{"workspace", TextSchema(kNamePattern)},
                       {"salt", TextSchema(kHexPattern)},
                       {"digest", TextSchema(kHexPattern)},
                       {"withdrawn", {{"type", "boolean"}}}},
                      {"workspace", "salt", "digest"});
}

json RateSchemaV1() {
  return ObjectSchema({{"tokens_per_second", PositiveNumberSchema()},
                       {"burst_tokens", PositiveNumberSchema()}},
                      {"tokens_per_second", "burst_tokens"});
}

// Version 2 expresses a rate over a period of any length, such as a minute.
json RateSchemaV2() {
  return ObjectSchema({{"tokens", PositiveNumberSchema()},
                       {"per_seconds", PositiveNumberSchema()},
                       {"burst_tokens", PositiveNumberSchema()}},
                      {"tokens", "per_seconds", "burst_tokens"});
}

json PoolSchema() {
  return ObjectSchema(
      {{"kind", {{"type", "string"}, {"enum", {"engine", "service"}}}},
       {"memory_bytes", MinimumSchema("integer", 0)},
       {"fenced", {{"type", "boolean"}}},
       {"role",
        {{"type", "string"}, {"enum", {"mixed", "prefill", "decode"}}}}},
      {"kind"});
}

json ModelSchema() {
  return ObjectSchema({{"pool", TextSchema(kNamePattern)},
                       {"version", TextSchema(kNamePattern)},
                       {"bytes", MinimumSchema("integer", 1)},
                       {"max_output_tokens", MinimumSchema("integer", 1)}},
                      {"pool", "version", "bytes", "max_output_tokens"});
}

json AdapterSchema() {
  return ObjectSchema({{"model", TextSchema(kNamePattern)},
                       {"bytes", MinimumSchema("integer", 1)}},
                      {"model", "bytes"});
}

json PlacementSchema() {
  return ObjectSchema({{"copies", MinimumSchema("integer", 1)}}, {"copies"});
}

json ServiceSchema() {
  const json route = ObjectSchema(
      {{"method",
        {{"type", "string"},
         {"enum", {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}}}},
       {"path", TextSchema("^/")},
       {"repeatable", {{"type", "boolean"}}}},
      {"method", "path", "repeatable"});
  return ObjectSchema(
      {{"pool", TextSchema(kNamePattern)},
       {"class", {{"type", "string"}, {"enum", {"urgent", "chat", "batch"}}}},
       {"cost_tokens", MinimumSchema("number", 0)},
       {"routes", {{"type", "array"}, {"minItems", 1}, {"items", route}}}},
      {"pool", "class", "routes"});
}

json RetirementSchema() {
  return ObjectSchema({{"retired_up_to", MinimumSchema("integer", 1)}},
                      {"retired_up_to"});
}

json AllotmentSchema() {
  const json owner = ObjectSchema({{"instance", TextSchema(kNamePattern)},
                                   {"incarnation", MinimumSchema("integer", 0)},
                                   {"share", MinimumSchema("integer", 0)},
                                   {"held", MinimumSchema("integer", 0)},
                                   {"listed_at", MinimumSchema("integer", 0)}},
                                  {"instance", "incarnation", "share", "held"});
  return ObjectSchema({{"epoch", MinimumSchema("integer", 1)},
                       {"holders", {{"type", "array"}, {"items", owner}}}},
                      {"epoch", "holders"});
}

std::map<std::pair<std::string, int>, json> AllSchemas() {
  return {{{"workspace", 1}, WorkspaceSchema()},
          {{"key", 1}, KeySchema()},
          {{"rate", 1}, RateSchemaV1()},
          {{"rate", 2}, RateSchemaV2()},
          {{"pool", 1}, PoolSchema()},
          {{"model", 1}, ModelSchema()},
          {{"adapter", 1}, AdapterSchema()},
          {{"placement", 1}, PlacementSchema()},
          {{"service", 1}, ServiceSchema()},
          {{"retirement", 1}, RetirementSchema()},
          {{"allotment", 1}, AllotmentSchema()}};
}

}  // namespace

const json* RecordSchema(std::string_view kind, int version) {
  static const auto& schemas =
      *new std::map<std::pair<std::string, int>, json>(AllSchemas());
  const auto found = schemas.find({std::string(kind), version});
  return found == schemas.end() ? nullptr : &found->second;
}

}  // namespace dragonflyglade
