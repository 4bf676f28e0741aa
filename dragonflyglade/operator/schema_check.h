#ifndef DRAGONFLYGLADE_OPERATOR_SCHEMA_CHECK_H_
#define DRAGONFLYGLADE_OPERATOR_SCHEMA_CHECK_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/types/span.h"

namespace dragonflyglade {

/// One place at which a document does not match its schema.
struct SchemaProblem {
  std::string path;      ///< e.g. "limits.max_body_bytes"
  std::string expected;  ///< e.g. "integer, at least 1"
  std::string found;     ///< the value there, or "nothing"
};

/// Validates a document against a JSON schema (draft 7).
/// @return the problems, the most specific first; empty if it is valid
std::vector<SchemaProblem> CheckSchema(const nlohmann::json& schema,
                                       const nlohmann::json& document);

/// "path: expected ..., found ..." for each problem, joined by "; ".
std::string Describe(absl::Span<const SchemaProblem> problems);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_SCHEMA_CHECK_H_
