#include "dragonflyglade/gateway/crash_record.h"

#include <cstdint>
#include <nlohmann/json.hpp>

#include "dragonflyglade/decision/json_text.h"

namespace dragonflyglade::gateway {

using nlohmann::json;

namespace {

constexpr std::string_view kPartPrefix = "dragonflyglade/crashing-parts/";
constexpr std::string_view kRequestPrefix = "dragonflyglade/crashing-requests/";
constexpr std::string_view kTrialPrefix = "dragonflyglade/request-trials/";

json EncodeVersion(const SoftwareVersion& version) {
  return version.has_value() ? json(*version) : json();
}

SoftwareVersion DecodeVersion(const json& value) {
  if (value.is_null()) return std::nullopt;
  return value.get<std::string>();
}

}  // namespace

std::string EncodeCrashRecord(const CrashRecord& record) {
  json versions = json::array();
  for (const SoftwareVersion& version : record.versions) {
    versions.push_back(EncodeVersion(version));
  }
  const json document = {{"by", record.by},
                         {"since_ms", absl::ToUnixMillis(record.since)},
                         {"why", record.why},
                         {"crashes", record.crashes},
                         {"fell_together", record.fell_together},
                         {"versions", std::move(versions)}};
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

CrashRecord DecodeCrashRecord(std::string_view text) {
  CrashRecord record;
  try {
    const json document = ParseJson(text);
    record.by = document.value("by", "");
    record.since =
        absl::FromUnixMillis(document.value("since_ms", std::int64_t{0}));
    record.why = document.value("why", "");
    record.crashes = document.value("crashes", std::vector<std::string>());
    record.fell_together = document.value("fell_together", false);
    for (const json& version : document.value("versions", json::array())) {
      record.versions.push_back(DecodeVersion(version));
    }
  } catch (const json::exception&) {
    record.why = "unreadable record";
  }
  return record;
}

std::string_view CrashRecordPrefix(SuspectKind kind) {
  return kind == SuspectKind::kPart ? kPartPrefix : kRequestPrefix;
}

std::string CrashRecordKey(const Suspect& suspect) {
  return std::string(CrashRecordPrefix(suspect.kind)) + suspect.id;
}

std::optional<Suspect> SuspectOfKey(std::string_view key) {
  for (const SuspectKind kind : {SuspectKind::kPart, SuspectKind::kRequest}) {
    const std::string_view prefix = CrashRecordPrefix(kind);
    if (key.substr(0, prefix.size()) != prefix) continue;
    return Suspect{kind, std::string(key.substr(prefix.size()))};
  }
  return std::nullopt;
}

std::string TrialKey(std::string_view digest) {
  return std::string(kTrialPrefix) + std::string(digest);
}

bool IsTrialKey(std::string_view key) {
  return key.substr(0, kTrialPrefix.size()) == kTrialPrefix;
}

std::string_view LogNameOf(SuspectKind kind) {
  return kind == SuspectKind::kPart ? "prompt_part" : "digest";
}

}  // namespace dragonflyglade::gateway
