#ifndef DRAGONFLYGLADE_DECISION_JSON_TEXT_H_
#define DRAGONFLYGLADE_DECISION_JSON_TEXT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

namespace dragonflyglade {

/// Arrays and objects inside of one another, at most. The formats that are read
/// have a few levels.
inline constexpr int kMaxJsonDepth = 64;

/// Thrown for text that is nested too deeply, or a number that is out of range.
class JsonValueError : public nlohmann::json::exception {
 public:
  explicit JsonValueError(const char* what) : exception(kId, what) {}

 private:
  static constexpr int kId = 1000;  ///< outside of the library's own range
};

/// Parses text that anyone may have written. To be used wherever text from
/// outside becomes JSON: the library copies and prints values recursively, so
/// that a deeply nested one overflows the stack and ends the process.
/// @throws nlohmann::json::exception if it is no JSON or nested too deeply
nlohmann::json ParseJson(std::string_view text);

/// As ParseJson, without exceptions.
/// @return a discarded value if it is no JSON or nested too deeply
nlohmann::json ParseJsonOrDiscard(std::string_view text);

/// As ParseJson for a document of many writers: leaves out what is nested too
/// deeply, so that it does not keep the rest from being read.
nlohmann::json ParseJsonPruned(std::string_view text);

/// The whole number that a value holds.
/// @throws nlohmann::json::exception for another type, a fraction, or a number
///   outside of the range
std::int64_t WholeNumber(const nlohmann::json& value, std::int64_t min,
                         std::int64_t max);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_JSON_TEXT_H_
