#include "dragonflyglade/gateway/spend_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

#include "dragonflyglade/decision/json_text.h"
#include "dragonflyglade/gateway/deflate.h"

namespace dragonflyglade::gateway {

using nlohmann::json;

namespace {

constexpr absl::Duration kRecordMaxAge = absl::Seconds(5);

}  // namespace

// The wall clock may jump between writing and reading, so that a record from
// the future is as unusable as an old one.
bool IsRecent(const SpendRecord& record, absl::Time now) {
  return absl::AbsDuration(now - record.written) <= kRecordMaxAge;
}

std::map<std::string, double, std::less<>> SpendingByWorkspace(
    const SpendRecord& record) {
  std::map<std::string, double, std::less<>> spent;
  for (const ProcessSpend& process : record.processes) {
    for (const auto& [workspace, tokens] : process.tokens) {
      spent[workspace] +=
          (1 + kUnrecordedSpendingShare) * static_cast<double>(tokens);
    }
  }
  return spent;
}

bool WasInstanceListed(const SpendRecord& record, std::string_view instance) {
  return std::any_of(record.processes.begin(), record.processes.end(),
                     [&](const ProcessSpend& process) {
                       return process.listed && process.instance == instance;
                     });
}

// A process that was replaced during the window is in the record as well.
int CountListedInstances(const SpendRecord& record) {
  std::set<std::string_view> names;
  for (const ProcessSpend& process : record.processes) {
    if (process.listed) names.insert(process.instance);
  }
  return static_cast<int>(names.size());
}

std::string EncodeSpendRecord(const SpendRecord& record) {
  json processes = json::array();
  for (const ProcessSpend& process : record.processes) {
    processes.push_back({{"instance", process.instance},
                         {"incarnation", process.incarnation},
                         {"listed", process.listed},
                         {"tokens", process.tokens}});
  }
  const json document = {{"written_ms", absl::ToUnixMillis(record.written)},
                         {"processes", std::move(processes)}};
  // Names come from reports and may contain any bytes, also invalid UTF-8.
  return Deflate(document.dump(-1, ' ', false, json::error_handler_t::replace));
}

Result<SpendRecord> DecodeSpendRecord(std::string_view packed) {
  const std::optional<std::string> text = Inflate(packed);
  if (!text.has_value()) {
    return MakeFailure(Errc::kInvalidRecord, "read spending", "store",
                       "the spend record cannot be decompressed");
  }
  try {
    const json document = ParseJson(*text);
    SpendRecord record;
    record.written =
        absl::FromUnixMillis(document.at("written_ms").get<std::int64_t>());
    for (const json& item : document.at("processes")) {
      ProcessSpend process;
      process.instance = item.at("instance").get<std::string>();
      process.incarnation = item.at("incarnation").get<std::string>();
      item.at("listed").get_to(process.listed);
      item.at("tokens").get_to(process.tokens);
      record.processes.push_back(std::move(process));
    }
    return record;
  } catch (const json::exception& error) {
    return MakeFailure(Errc::kInvalidRecord, "read spending", "store",
                       error.what());
  }
}

}  // namespace dragonflyglade::gateway
