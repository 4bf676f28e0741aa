#ifndef DRAGONFLYGLADE_STORE_KV_CODEC_H_
#define DRAGONFLYGLADE_STORE_KV_CODEC_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "dragonflyglade/store/kv_client.h"

namespace dragonflyglade {

/// The JSON gateway's messages: byte strings are base64, 64-bit numbers are
/// strings, and fields with their zero value are left out.

/// The end of the range of keys with a prefix.
std::string PrefixEnd(std::string_view prefix);

nlohmann::json EncodeRange(const KvQuery& query);
nlohmann::json EncodeTxn(absl::Span<const KvCondition> expects,
                         absl::Span<const KvWrite> writes);
nlohmann::json EncodeWatch(std::string_view prefix, std::int64_t from);

/// Reads a number that may be a string, a number or missing (0).
std::int64_t DecodeNumber(const nlohmann::json& object, const char* field);

/// Throw nlohmann::json::exception for anything malformed.
KvEntry DecodeEntry(const nlohmann::json& object);
KvRange DecodeRange(const nlohmann::json& object);
KvTxnResult DecodeTxn(const nlohmann::json& object);
std::vector<KvEvent> DecodeEvents(const nlohmann::json& result);

std::string EncodeBytes(std::string_view bytes);
std::string DecodeBytes(const std::string& base64);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_STORE_KV_CODEC_H_
