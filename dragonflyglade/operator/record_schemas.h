#ifndef DRAGONFLYGLADE_OPERATOR_RECORD_SCHEMAS_H_
#define DRAGONFLYGLADE_OPERATOR_RECORD_SCHEMAS_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace dragonflyglade {

/// The JSON schema of a kind's records at a schema version; null if there is
/// none.
const nlohmann::json* RecordSchema(std::string_view kind, int version);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_RECORD_SCHEMAS_H_
