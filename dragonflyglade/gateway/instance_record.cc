#include "dragonflyglade/gateway/instance_record.h"

#include <nlohmann/json.hpp>

#include "dragonflyglade/decision/json_text.h"

namespace dragonflyglade::gateway {

using nlohmann::json;

std::string EncodeInstanceRecord(const InstanceRecord& record) {
  return json{{"name", record.name},
              {"zone", record.zone},
              {"callers", record.caller_address},
              {"peers", record.peer_address},
              {"incarnation", record.incarnation},
              {"capacity", record.capacity}}
      .dump();
}

Result<InstanceRecord> DecodeInstanceRecord(std::string_view text) {
  try {
    const json document = ParseJson(text);
    InstanceRecord record;
    record.name = document.at("name").get<std::string>();
    record.zone = document.at("zone").get<std::string>();
    record.caller_address = document.at("callers").get<std::string>();
    record.peer_address = document.at("peers").get<std::string>();
    record.incarnation = document.at("incarnation").get<std::string>();
    // Instances of an earlier version do not write it.
    record.capacity = document.value("capacity", 0.0);
    return record;
  } catch (const json::exception& error) {
    return MakeFailure(Errc::kInvalidRecord, "read instance", "store",
                       error.what());
  }
}

}  // namespace dragonflyglade::gateway
