#include "dragonflyglade/operator/schema_check.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxFoundBytes = 80;

// The validation library's path has elements such as "<root>", "[limits]" and
// "[0]". Returns the names in brackets.
std::vector<std::string> ParsePath(const std::vector<std::string>& context) {
  std::vector<std::string> steps;
  for (const std::string& part : context) {
    if (part.size() > 2 && part.front() == '[') {
      steps.push_back(part.substr(1, part.size() - 2));
    }
  }
  return steps;
}

const json* Child(const json& node, const std::string& step) {
  if (node.is_object()) {
    const auto found = node.find(step);
    return found == node.end() ? nullptr : &*found;
  }
  if (!node.is_array()) return nullptr;
  const std::size_t index = std::strtoull(step.c_str(), nullptr, 10);
  return index < node.size() ? &node[index] : nullptr;
}

const json* ValueAt(const json& document,
                    const std::vector<std::string>& steps) {
  const json* node = &document;
  for (const std::string& step : steps) {
    node = Child(*node, step);
    if (node == nullptr) return nullptr;
  }
  return node;
}

const json* SchemaAt(const json& schema,
                     const std::vector<std::string>& steps) {
  const json* node = &schema;
  for (const std::string& step : steps) {
    if (node->contains("properties") && node->at("properties").contains(step)) {
      node = &node->at("properties").at(step);
    } else if (node->contains("items")) {
      node = &node->at("items");
    } else {
      return nullptr;
    }
  }
  return node;
}

std::string PropertyNames(const json& schema) {
  std::vector<std::string> names;
  for (const auto& [name, value] : schema.at("properties").items()) {
    names.push_back(name);
  }
  return fmt::format("{}", fmt::join(names, ", "));
}

std::string DescribeExpected(const json* schema) {
  if (schema == nullptr) return "a known setting";
  std::vector<std::string> parts;
  if (schema->contains("type")) {
    const json& type = schema->at("type");
    parts.push_back(type.is_string() ? type.get<std::string>() : type.dump());
  }
  if (schema->contains("enum")) {
    parts.push_back("one of " + schema->at("enum").dump());
  }
  const std::vector<std::pair<const char*, const char*>> limits = {
      {"minimum", "at least"},        {"exclusiveMinimum", "above"},
      {"maximum", "at most"},         {"minLength", "length at least"},
      {"minItems", "items at least"}, {"pattern", "matching"}};
  for (const auto& [field, words] : limits) {
    if (schema->contains(field)) {
      parts.push_back(fmt::format("{} {}", words, schema->at(field).dump()));
    }
  }
  if (schema->contains("required")) {
    parts.push_back("with " + schema->at("required").dump());
  }
  if (schema->contains("properties")) {
    parts.push_back("fields only of " + PropertyNames(*schema));
  }
  return fmt::format("{}", fmt::join(parts, ", "));
}

std::string DescribeFound(const json* value) {
  if (value == nullptr) return "nothing";
  std::string text =
      value->dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxFoundBytes) {
    text = text.substr(0, kMaxFoundBytes) + "...";
  }
  return text;
}

SchemaProblem MakeProblem(const json& schema, const json& document,
                          const std::vector<std::string>& steps) {
  SchemaProblem problem;
  problem.path =
      steps.empty() ? "(document)" : fmt::format("{}", fmt::join(steps, "."));
  problem.expected = DescribeExpected(SchemaAt(schema, steps));
  problem.found = DescribeFound(ValueAt(document, steps));
  return problem;
}

// For an unknown field the validation library names only the object, so its
// unknown fields are searched here.
void AddUnknownFields(const json& schema, const json& document,
                      const std::vector<std::string>& steps,
                      std::vector<SchemaProblem>& problems) {
  const json* node = ValueAt(document, steps);
  const json* rule = SchemaAt(schema, steps);
  if (node == nullptr || rule == nullptr || !node->is_object()) return;
  if (!rule->contains("properties")) return;
  for (const auto& [name, value] : node->items()) {
    if (rule->at("properties").contains(name)) continue;
    std::vector<std::string> path = steps;
    path.push_back(name);
    problems.push_back(
        SchemaProblem{fmt::format("{}", fmt::join(path, ".")),
                      "no such field; known are " + PropertyNames(*rule),
                      DescribeFound(&value)});
  }
}

}  // namespace

std::vector<SchemaProblem> CheckSchema(const json& schema,
                                       const json& document) {
  using valijson::adapters::NlohmannJsonAdapter;
  valijson::Schema parsed;
  valijson::SchemaParser parser;
  parser.populateSchema(NlohmannJsonAdapter(schema), parsed);
  valijson::Validator validator;
  valijson::ValidationResults results;
  const NlohmannJsonAdapter target(document);
  std::vector<SchemaProblem> problems;
  if (validator.validate(parsed, target, &results)) return problems;

  std::vector<std::vector<std::string>> paths;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) paths.push_back(ParsePath(error.context));
  std::sort(paths.begin(), paths.end(),
            [](const auto& a, const auto& b) { return a.size() > b.size(); });
  paths.erase(std::unique(paths.begin(), paths.end()), paths.end());
  for (const auto& path : paths) {
    AddUnknownFields(schema, document, path, problems);
  }
  // An object is invalid because a value inside it is, so only the innermost
  // path is reported.
  const std::size_t deepest = paths.empty() ? 0 : paths.front().size();
  for (const auto& path : paths) {
    const bool is_inner = path.size() == deepest;
    if (is_inner && problems.empty()) {
      problems.push_back(MakeProblem(schema, document, path));
    }
  }
  return problems;
}

std::string Describe(absl::Span<const SchemaProblem> problems) {
  std::vector<std::string> lines;
  lines.reserve(problems.size());
  for (const SchemaProblem& problem : problems) {
    lines.push_back(fmt::format("{}: expected {}; found {}", problem.path,
                                problem.expected, problem.found));
  }
  return fmt::format("{}", fmt::join(lines, "; "));
}

}  // namespace dragonflyglade
