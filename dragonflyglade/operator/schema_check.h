#ifndef DRAGONFLYGLADE_OPERATOR_SCHEMA_CHECK_H_
#define DRAGONFLYGLADE_OPERATOR_SCHEMA_CHECK_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/types/span.h"

namespace dragonflyglade {

/// One place where a document does not fit its schema.
struct SchemaProblem {
  std::string path;      ///< e.g. "limits.max_body_bytes"
  std::string expected;  ///< e.g. "integer, at least 1"
  std::string found;     ///< the value there, or "nothing"
};

/// Checks a document against a JSON schema (draft 7).
/// @return the problems, most specific first; empty if there are none
std::vector<SchemaProblem> CheckSchema(const nlohmann::json& schema,
                                       const nlohmann::json& document);

/// "path: expected ..., found ..." for each problem, joined by "; ".
std::string Describe(absl::Span<const SchemaProblem> problems);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_SCHEMA_CHECK_H_
