#ifndef DRAGONFLYGLADE_OPERATOR_RECORD_SCHEMAS_H_
#define DRAGONFLYGLADE_OPERATOR_RECORD_SCHEMAS_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace dragonflyglade {

/// The JSON schema of a schema version of a kind of records; null if there is
/// none.
const nlohmann::json* RecordSchema(std::string_view kind, int version);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_RECORD_SCHEMAS_H_
