#ifndef DRAGONFLYGLADE_STORE_KV_CODEC_H_
#define DRAGONFLYGLADE_STORE_KV_CODEC_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "dragonflyglade/store/kv_client.h"

namespace dragonflyglade {

// Codec of the messages of etcd's JSON gateway, in which byte strings are
// base64, 64-bit numbers are strings, and fields with a zero value are omitted.

/// The exclusive end of the range of all keys with a prefix.
std::string PrefixEnd(std::string_view prefix);

nlohmann::json EncodeRange(const KvQuery& query);
nlohmann::json EncodeTxn(absl::Span<const KvCondition> conditions,
                         absl::Span<const KvWrite> writes);
nlohmann::json EncodeWatch(std::string_view prefix, std::int64_t from_revision);

/// Decodes a number written as a JSON number or a string; 0 if it is missing.
/// Throws nlohmann::json::exception for anything else.
std::int64_t DecodeNumber(const nlohmann::json& object, const char* field);

// These throw nlohmann::json::exception for a malformed message.
KvEntry DecodeEntry(const nlohmann::json& object);
KvRange DecodeRange(const nlohmann::json& object);
KvTxnResult DecodeTxn(const nlohmann::json& object);
std::vector<KvEvent> DecodeEvents(const nlohmann::json& result);

/// Encodes bytes as base64.
std::string EncodeBytes(std::string_view bytes);
/// Decodes base64. Throws nlohmann::json::exception for anything else.
std::string DecodeBytes(const std::string& base64);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_STORE_KV_CODEC_H_
