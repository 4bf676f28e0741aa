#include "dragonflyglade/gateway/version_record.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "dragonflyglade/decision/json_text.h"

namespace dragonflyglade::gateway {

using nlohmann::json;

std::string EncodeVersionRecord(const VersionRecord& record) {
  json document = json::object();
  for (const auto& [service, single] : record) {
    json& item = document[service];
    item["since_ms"] = absl::ToUnixMillis(single.since);
    item["known_through"] = single.known_through;
    if (single.version.has_value()) item["version"] = *single.version;
  }
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<VersionRecord> DecodeVersionRecord(std::string_view text) {
  try {
    const json document = ParseJson(text);
    VersionRecord record;
    for (const auto& [service, item] : document.items()) {
      SingleVersion single;
      single.since =
          absl::FromUnixMillis(item.at("since_ms").get<std::int64_t>());
      single.known_through = item.value("known_through", std::uint64_t{0});
      const auto version = item.find("version");
      if (version != item.end()) single.version = version->get<std::string>();
      record[service] = std::move(single);
    }
    return record;
  } catch (const json::exception& error) {
    return MakeFailure(Errc::kInvalidRecord, "read versions", "store",
                       error.what());
  }
}

}  // namespace dragonflyglade::gateway
