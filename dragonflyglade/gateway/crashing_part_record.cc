#include "dragonflyglade/gateway/crashing_part_record.h"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace dragonflyglade::gateway {

using nlohmann::json;

std::string EncodeCrashingPartRecord(const CrashingPartRecord& record) {
  const json document = {{"by", record.by},
                         {"since_ms", absl::ToUnixMillis(record.since)},
                         {"why", record.why},
                         {"crashes", record.crashes}};
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

CrashingPartRecord DecodeCrashingPartRecord(std::string_view text) {
  CrashingPartRecord record;
  try {
    const json document = json::parse(text);
    record.by = document.value("by", "");
    record.since =
        absl::FromUnixMillis(document.value("since_ms", std::int64_t{0}));
    record.why = document.value("why", "");
    record.crashes = document.value("crashes", std::vector<std::string>());
  } catch (const json::exception&) {
    record.why = "unreadable record";
  }
  return record;
}

}  // namespace dragonflyglade::gateway
