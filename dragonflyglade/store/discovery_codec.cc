#include "dragonflyglade/store/discovery_codec.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "dragonflyglade/decision/json_text.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr const char* kLeavingState = "leaving";
constexpr std::int64_t kMaxPort = 65535;
// Of a reason, which may quote the entry.
constexpr std::size_t kMaxReasonBytes = 200;

int DecodePort(const json& item, const char* field) {
  return static_cast<int>(WholeNumber(item.at(field), 1, kMaxPort));
}

std::string DecodeAddress(const json& item) {
  auto address = item.at("address").get<std::string>();
  if (!IsIpAddress(address)) {
    throw JsonValueError("the address is no IP number");
  }
  return address;
}

ListedInstance DecodeInstance(const json& item) {
  ListedInstance listed;
  listed.info.name = item.at("name").get<std::string>();
  listed.info.address = DecodeAddress(item);
  listed.info.peer_port = DecodePort(item, "peer_port");
  listed.info.caller_port = DecodePort(item, "caller_port");
  listed.info.zone = item.at("zone").get<std::string>();
  listed.leaving = item.value("state", std::string()) == kLeavingState;
  return listed;
}

ListedTarget DecodeTarget(const json& item) {
  ListedTarget listed;
  listed.name = item.at("name").get<std::string>();
  listed.address = DecodeAddress(item);
  listed.port = DecodePort(item, "port");
  listed.zone = item.at("zone").get<std::string>();
  listed.pool = item.at("pool").get<std::string>();
  listed.leaving = item.value("state", std::string()) == kLeavingState;
  return listed;
}

std::string NameOf(const json& item) {
  const bool has_name =
      item.is_object() && item.contains("name") && item.at("name").is_string();
  if (!has_name) return "an entry without a name";
  return item.at("name").get<std::string>().substr(0, kMaxReasonBytes);
}

// @param entries the field of the list's document
template <typename List, typename Entry>
Result<DecodedList<List>> DecodeList(std::string_view text, const char* entries,
                                     std::vector<Entry> List::*decoded,
                                     Entry (*decode)(const json&)) {
  try {
    const json document = ParseJsonPruned(text);
    DecodedList<List> result;
    result.list.version = document.at("version").get<std::int64_t>();
    for (const json& item : document.at(entries)) {
      try {
        (result.list.*decoded).push_back(decode(item));
      } catch (const json::exception& error) {
        const std::string_view why = error.what();
        result.left_out.insert(fmt::format("{}: {}", NameOf(item),
                                           why.substr(0, kMaxReasonBytes)));
      }
    }
    return result;
  } catch (const json::exception& error) {
    return MakeFailure(Errc::kMalformedResponse,
                       fmt::format("read {}", entries), "platform discovery",
                       error.what());
  }
}

}  // namespace

Result<DecodedList<InstanceList>> DecodeInstanceList(std::string_view text) {
  return DecodeList(text, "instances", &InstanceList::instances,
                    DecodeInstance);
}

Result<DecodedList<DiscoveredTargets>> DecodeTargetList(std::string_view text) {
  return DecodeList(text, "targets", &DiscoveredTargets::targets, DecodeTarget);
}

}  // namespace dragonflyglade
