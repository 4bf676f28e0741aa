#include "dragonflyglade/store/kv_codec.h"

#include "absl/strings/escaping.h"

namespace dragonflyglade {

using nlohmann::json;

std::string EncodeBytes(std::string_view bytes) {
  return absl::Base64Escape(absl::string_view(bytes.data(), bytes.size()));
}

std::string DecodeBytes(const std::string& base64) {
  std::string bytes;
  if (absl::Base64Unescape(base64, &bytes)) return bytes;
  throw json::other_error::create(501, "not base64", nullptr);
}

std::string PrefixEnd(std::string_view prefix) {
  std::string end(prefix);
  while (!end.empty()) {
    const auto last = static_cast<unsigned char>(end.back());
    if (last != 0xff) {
      end.back() = static_cast<char>(last + 1);
      return end;
    }
    end.pop_back();
  }
  return std::string(1, '\0');
}

json EncodeRange(const KvQuery& query) {
  json message = {{"key", EncodeBytes(query.key)}};
  if (query.prefix) message["range_end"] = EncodeBytes(PrefixEnd(query.key));
  if (query.at_revision != 0) {
    message["revision"] = std::to_string(query.at_revision);
  }
  if (query.min_revision != 0) {
    message["min_mod_revision"] = std::to_string(query.min_revision);
  }
  return message;
}

json EncodeTxn(absl::Span<const KvCondition> conditions,
               absl::Span<const KvWrite> writes) {
  json compare = json::array();
  json failure = json::array();
  for (const KvCondition& condition : conditions) {
    compare.push_back(
        {{"key", EncodeBytes(condition.key)},
         {"target", "MOD"},
         {"result", "EQUAL"},
         {"mod_revision", std::to_string(condition.mod_revision)}});
    failure.push_back(
        {{"request_range", {{"key", EncodeBytes(condition.key)}}}});
  }
  json success = json::array();
  for (const KvWrite& write : writes) {
    if (write.remove) {
      success.push_back(
          {{"request_delete_range", {{"key", EncodeBytes(write.key)}}}});
      continue;
    }
    json put = {{"key", EncodeBytes(write.key)},
                {"value", EncodeBytes(write.value)}};
    if (write.lease != 0) put["lease"] = std::to_string(write.lease);
    success.push_back({{"request_put", put}});
  }
  return {{"compare", compare}, {"success", success}, {"failure", failure}};
}

json EncodeWatch(std::string_view prefix, std::int64_t from_revision) {
  return {{"create_request",
           {{"key", EncodeBytes(prefix)},
            {"range_end", EncodeBytes(PrefixEnd(prefix))},
            {"start_revision", std::to_string(from_revision)},
            {"progress_notify", true}}}};
}

std::int64_t DecodeNumber(const json& object, const char* field) {
  if (!object.is_object()) {
    throw json::other_error::create(501, "not an object", nullptr);
  }
  const auto found = object.find(field);
  if (found == object.end()) return 0;
  if (found->is_string()) {
    const std::string text = found->get<std::string>();
    char* end = nullptr;
    const std::int64_t number = std::strtoll(text.c_str(), &end, 10);
    if (!text.empty() && *end == '\0') return number;
    throw json::other_error::create(501, "not a number: " + text, nullptr);
  }
  return found->get<std::int64_t>();
}

KvEntry DecodeEntry(const json& object) {
  KvEntry entry;
  entry.key = DecodeBytes(object.at("key").get<std::string>());
  entry.value = DecodeBytes(object.value("value", std::string()));
  entry.create_revision = DecodeNumber(object, "create_revision");
  entry.mod_revision = DecodeNumber(object, "mod_revision");
  entry.lease = DecodeNumber(object, "lease");
  return entry;
}

KvRange DecodeRange(const json& object) {
  KvRange range;
  range.revision = DecodeNumber(object.at("header"), "revision");
  for (const json& item : object.value("kvs", json::array())) {
    range.entries.push_back(DecodeEntry(item));
  }
  return range;
}

KvTxnResult DecodeTxn(const json& object) {
  KvTxnResult reply;
  reply.revision = DecodeNumber(object.at("header"), "revision");
  reply.succeeded = object.value("succeeded", false);
  if (reply.succeeded) return reply;
  for (const json& response : object.value("responses", json::array())) {
    const json& range = response.at("response_range");
    for (const json& item : range.value("kvs", json::array())) {
      reply.found.push_back(DecodeEntry(item));
    }
  }
  return reply;
}

std::vector<KvEvent> DecodeEvents(const json& result) {
  std::vector<KvEvent> events;
  for (const json& item : result.value("events", json::array())) {
    KvEvent event;
    event.entry = DecodeEntry(item.at("kv"));
    event.deleted = item.value("type", std::string("PUT")) == "DELETE";
    events.push_back(std::move(event));
  }
  return events;
}

}  // namespace dragonflyglade
