#include "dragonflyglade/operator/record_schemas.h"

#include <map>
#include <string>
#include <utility>

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr const char* kName = "^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$";
constexpr const char* kHex = "^[0-9a-f]+$";

json Object(json properties, json required) {
  return {{"type", "object"},
          {"additionalProperties", false},
          {"properties", std::move(properties)},
          {"required", std::move(required)}};
}

json Text(const char* pattern) {
  return {{"type", "string"}, {"pattern", pattern}};
}

json AtLeast(const char* type, int minimum) {
  return {{"type", type}, {"minimum", minimum}};
}

json Positive() { return {{"type", "number"}, {"exclusiveMinimum", 0}}; }

json Workspace() {
  return Object({{"description", {{"type", "string"}}},
                 {"models", {{"type", "array"}, {"items", Text(kName)}}}},
                json::array());
}

json Key() {
  return Object({{"workspace", Text(kName)},
                 {"salt", Text(kHex)},
                 {"digest", Text(kHex)},
                 {"withdrawn", {{"type", "boolean"}}}},
                {"workspace", "salt", "digest"});
}

json RateV1() {
  return Object(
      {{"tokens_per_second", Positive()}, {"burst_tokens", Positive()}},
      {"tokens_per_second", "burst_tokens"});
}

// Version 2 lets a rate be written over a longer period than a second.
json RateV2() {
  return Object({{"tokens", Positive()},
                 {"per_seconds", Positive()},
                 {"burst_tokens", Positive()}},
                {"tokens", "per_seconds", "burst_tokens"});
}

json Pool() {
  return Object(
      {{"kind", {{"type", "string"}, {"enum", {"engine", "service"}}}},
       {"memory_bytes", AtLeast("integer", 0)},
       {"fenced", {{"type", "boolean"}}},
       {"role",
        {{"type", "string"}, {"enum", {"mixed", "prefill", "decode"}}}}},
      {"kind"});
}

json Model() {
  return Object({{"pool", Text(kName)},
                 {"version", Text(kName)},
                 {"bytes", AtLeast("integer", 1)},
                 {"max_output_tokens", AtLeast("integer", 1)}},
                {"pool", "version", "bytes", "max_output_tokens"});
}

json Adapter() {
  return Object({{"model", Text(kName)}, {"bytes", AtLeast("integer", 1)}},
                {"model", "bytes"});
}

json Placement() {
  return Object({{"copies", AtLeast("integer", 1)}}, {"copies"});
}

json Service() {
  const json route =
      Object({{"method",
               {{"type", "string"},
                {"enum", {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}}}},
              {"path", Text("^/")},
              {"repeatable", {{"type", "boolean"}}}},
             {"method", "path", "repeatable"});
  return Object(
      {{"pool", Text(kName)},
       {"class", {{"type", "string"}, {"enum", {"urgent", "chat", "batch"}}}},
       {"cost_tokens", AtLeast("number", 0)},
       {"routes", {{"type", "array"}, {"minItems", 1}, {"items", route}}}},
      {"pool", "class", "routes"});
}

json Retirement() {
  return Object({{"retired_up_to", AtLeast("integer", 1)}}, {"retired_up_to"});
}

json AllotmentSchema() {
  const json holder = Object({{"instance", Text(kName)},
                              {"incarnation", AtLeast("integer", 0)},
                              {"share", AtLeast("integer", 0)},
                              {"held", AtLeast("integer", 0)},
                              {"listed_at", AtLeast("integer", 0)}},
                             {"instance", "incarnation", "share", "held"});
  return Object({{"epoch", AtLeast("integer", 1)},
                 {"holders", {{"type", "array"}, {"items", holder}}}},
                {"epoch", "holders"});
}

std::map<std::pair<std::string, int>, json> AllSchemas() {
  return {{{"workspace", 1}, Workspace()},
          {{"key", 1}, Key()},
          {{"rate", 1}, RateV1()},
          {{"rate", 2}, RateV2()},
          {{"pool", 1}, Pool()},
          {{"model", 1}, Model()},
          {{"adapter", 1}, Adapter()},
          {{"placement", 1}, Placement()},
          {{"service", 1}, Service()},
          {{"retirement", 1}, Retirement()},
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
