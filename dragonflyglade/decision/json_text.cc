#include "dragonflyglade/decision/json_text.h"

#include <cmath>
#include <limits>

namespace dragonflyglade {
namespace {

using nlohmann::json;

// Up to this size, doubles hold each whole number.
constexpr double kMaxExactDouble = 9007199254740992.0;

JsonValueError OutOfRange() { return JsonValueError("number out of range"); }

// Reads strings as the parser does, so that it finds the depth of all that the
// parser would accept. The parser itself does not recurse.
bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char c = text[at];
    if (in_string) {
      if (c == '\\') at += 1;
      if (c == '"') in_string = false;
      continue;
    }
    if (c == '"') in_string = true;
    if (c == '[' || c == '{') depth += 1;
    if (c == ']' || c == '}') depth -= 1;
    if (depth > kMaxJsonDepth) return true;
  }
  return false;
}

}  // namespace

json ParseJson(std::string_view text) {
  if (IsTooDeep(text)) throw JsonValueError("nested too deeply");
  return json::parse(text);
}

json ParseJsonOrDiscard(std::string_view text) {
  if (IsTooDeep(text)) return json(json::value_t::discarded);
  return json::parse(text, nullptr, false);
}

json ParseJsonPruned(std::string_view text) {
  if (!IsTooDeep(text)) return json::parse(text);
  return json::parse(text, [](int depth, json::parse_event_t, const json&) {
    return depth < kMaxJsonDepth;
  });
}

std::int64_t WholeNumber(const json& value, std::int64_t min,
                         std::int64_t max) {
  if (!value.is_number()) throw JsonValueError("expected a number");
  std::int64_t number = 0;
  if (value.is_number_float()) {
    const auto exact = value.get<double>();
    if (!(std::abs(exact) <= kMaxExactDouble)) throw OutOfRange();
    if (exact != std::trunc(exact)) {
      throw JsonValueError("expected a whole number");
    }
    number = static_cast<std::int64_t>(exact);
  } else {
    const bool is_too_large =
        value.is_number_unsigned() &&
        value.get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max();
    if (is_too_large) throw OutOfRange();
    number = value.get<std::int64_t>();
  }
  if (number < min || number > max) throw OutOfRange();
  return number;
}

}  // namespace dragonflyglade
