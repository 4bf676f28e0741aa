#include "dragonflyglade/operator/records.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "dragonflyglade/decision/json_text.h"
#include "dragonflyglade/operator/record_schemas.h"
#include "dragonflyglade/operator/schema_check.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr const char* kConfigurationPeer = "configuration";
constexpr std::size_t kMaxNameBytes = 128;
constexpr int kMaxSchemaVersion = 16;

constexpr std::array<std::string_view, 9> kOperatorKinds = {
    "workspace", "key",       "rate",    "pool",      "model",
    "adapter",   "placement", "service", "retirement"};

Failure InvalidRecord(std::string_view step, std::string_view problem) {
  return MakeFailure(Errc::kInvalidRecord, step, kConfigurationPeer, problem);
}

bool IsValidName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  for (const char c : text) {
    const bool is_allowed = std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                            c == '.' || c == '_' || c == '-';
    if (!is_allowed) return false;
  }
  return true;
}

std::vector<std::string_view> SplitAtSlashes(std::string_view text) {
  std::vector<std::string_view> parts;
  std::size_t start = 0;
  while (true) {
    const std::size_t slash = text.find('/', start);
    parts.push_back(text.substr(start, slash - start));
    if (slash == std::string_view::npos) return parts;
    start = slash + 1;
  }
}

int ParseSchemaVersion(std::string_view text) {
  int number = 0;
  if (text.size() < 2 || text.front() != 'v') return 0;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data() + 1, end, number);
  return error == std::errc() && last == end ? number : 0;
}

Record ToWorkspace(const RecordKey& key, const json& document) {
  return WorkspaceRecord{key.name, document.value("description", std::string()),
                         document.value("models", std::vector<std::string>())};
}

Record ToKey(const RecordKey& key, const json& document) {
  return KeyRecord{key.name, document.at("workspace"), document.at("salt"),
                   document.at("digest"), document.value("withdrawn", false)};
}

Record ToRate(const RecordKey& key, const json& document) {
  RateRecord record;
  record.workspace = key.name;
  record.limit.burst_tokens = document.at("burst_tokens");
  if (key.schema == 1) {
    record.limit.tokens_per_second = document.at("tokens_per_second");
  } else {
    record.limit.tokens_per_second = document.at("tokens").get<double>() /
                                     document.at("per_seconds").get<double>();
  }
  return record;
}

Record ToPool(const RecordKey& key, const json& document) {
  PoolRecord record;
  record.name = key.name;
  record.kind =
      document.at("kind") == "engine" ? PoolKind::kEngine : PoolKind::kService;
  record.memory_bytes = document.value("memory_bytes", std::int64_t{0});
  record.fenced = document.value("fenced", false);
  record.role = document.value("role", std::string());
  return record;
}

Record ToModel(const RecordKey& key, const json& document) {
  return ModelRecord{key.name, document.at("pool"), document.at("version"),
                     document.at("bytes"), document.at("max_output_tokens")};
}

Record ToAdapter(const RecordKey& key, const json& document) {
  return AdapterRecord{key.name, document.at("model"), document.at("bytes")};
}

Record ToPlacement(const RecordKey& key, const json& document) {
  return PlacementRecord{key.name, document.at("copies")};
}

Record ToService(const RecordKey& key, const json& document) {
  ServiceRecord record;
  record.name = key.name;
  record.pool = document.at("pool");
  record.request_class = RequestClassOf(document.at("class").get<std::string>())
                             .value_or(RequestClass::kChat);
  record.cost_tokens = document.value("cost_tokens", 1.0);
  for (const json& route : document.at("routes")) {
    record.routes.push_back(ServiceRoute{route.at("method"), route.at("path"),
                                         route.at("repeatable")});
  }
  return record;
}

Record ToRetirement(const RecordKey& key, const json& document) {
  return RetirementRecord{key.name, document.at("retired_up_to")};
}

Record ToAllotment(const RecordKey& key, const json& document) {
  Allotment allotment;
  allotment.workspace = key.name;
  allotment.epoch = document.at("epoch");
  for (const json& item : document.at("holders")) {
    allotment.owners.push_back(OwnerShare{
        item.at("instance"), item.at("incarnation"), item.at("share"),
        item.at("held"), item.value("listed_at", std::int64_t{0})});
  }
  return allotment;
}

Record ToRecord(const RecordKey& key, const json& document) {
  if (key.kind == "workspace") return ToWorkspace(key, document);
  if (key.kind == "key") return ToKey(key, document);
  if (key.kind == "rate") return ToRate(key, document);
  if (key.kind == "pool") return ToPool(key, document);
  if (key.kind == "model") return ToModel(key, document);
  if (key.kind == "adapter") return ToAdapter(key, document);
  if (key.kind == "placement") return ToPlacement(key, document);
  if (key.kind == "service") return ToService(key, document);
  if (key.kind == kAllotmentKind) return ToAllotment(key, document);
  return ToRetirement(key, document);
}

}  // namespace

std::string RecordKey::ToString() const {
  return fmt::format("{}{}/v{}/{}", kConfigPrefix, this->kind, this->schema,
                     this->name);
}

std::string AllotmentKey(std::string_view workspace) {
  return RecordKey{std::string(kAllotmentKind), 1, std::string(workspace)}
      .ToString();
}

std::string EncodeAllotment(const Allotment& allotment) {
  json holders = json::array();
  for (const OwnerShare& owner : allotment.owners) {
    holders.push_back({{"instance", owner.instance},
                       {"incarnation", owner.incarnation},
                       {"share", owner.share},
                       {"held", owner.in_use},
                       {"listed_at", owner.list_version}});
  }
  const json document = {{"epoch", allotment.epoch}, {"holders", holders}};
  return document.dump();
}

Result<RecordKey> ParseRecordKey(std::string_view text) {
  const std::vector<std::string_view> parts = SplitAtSlashes(text);
  if (parts.size() != 4 || parts[0] != "config") {
    return InvalidRecord(
        "read record key",
        fmt::format("expected config/<kind>/v<n>/<name>, found '{}'", text));
  }
  const int schema = ParseSchemaVersion(parts[2]);
  if (schema < 1) {
    return InvalidRecord(
        "read record key",
        fmt::format("expected v1, v2, ...; found '{}'", parts[2]));
  }
  if (!IsValidName(parts[3])) {
    return InvalidRecord(
        "read record key",
        fmt::format("expected a name of letters, digits, '.', '_' and '-'; "
                    "found '{}'",
                    parts[3]));
  }
  return RecordKey{std::string(parts[1]), schema, std::string(parts[3])};
}

std::vector<std::string> RecordKinds() {
  return {kOperatorKinds.begin(), kOperatorKinds.end()};
}

int NewestSchema(std::string_view kind) {
  for (int version = kMaxSchemaVersion; version > 0; --version) {
    if (RecordSchema(kind, version) != nullptr) return version;
  }
  return 0;
}

Result<Record> ParseRecord(const RecordKey& key, std::string_view value) {
  const int newest = NewestSchema(key.kind);
  if (newest == 0) {
    return InvalidRecord("read record",
                         fmt::format("unknown kind '{}'", key.kind));
  }
  const json* schema = RecordSchema(key.kind, key.schema);
  if (schema == nullptr) {
    return InvalidRecord(
        "read record",
        fmt::format("schema v{} of {} is not known here; newest is "
                    "v{}",
                    key.schema, key.kind, newest));
  }
  const json document = ParseJsonOrDiscard(value);
  if (document.is_discarded()) return InvalidRecord("read record", "not JSON");
  const std::vector<SchemaProblem> problems = CheckSchema(*schema, document);
  if (!problems.empty())
    return InvalidRecord("read record", Describe(problems));
  try {
    return ToRecord(key, document);
  } catch (const json::exception& error) {
    return InvalidRecord("read record", error.what());
  }
}

std::optional<std::string> WhyInvalid(const RecordVersion& version) {
  const Result<RecordKey> key = ParseRecordKey(version.key);
  if (!key.Ok()) return key.Error().detail;
  const Result<Record> record = ParseRecord(key.Value(), version.value);
  if (!record.Ok()) return record.Error().detail;
  return std::nullopt;
}

}  // namespace dragonflyglade
