#ifndef DRAGONFLYGLADE_DECISION_FAILURE_H_
#define DRAGONFLYGLADE_DECISION_FAILURE_H_

#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>

namespace dragonflyglade {

/// What went wrong, in the terms that callers and operators act upon.
enum class Errc {
  kInvalidArgument = 1,
  kInvalidSettings,
  kInvalidRecord,
  kUnknownRecord,
  kConflict,
  kConnectFailed,
  kTimeout,
  kConnectionLost,
  kMalformedResponse,
  kTruncated,
  kRefused,
  kOutcomeUnknown,
  kUnavailable,
  kCancelled,
  kNotHeld,
};

/// The category of Errc; its messages are whole phrases.
const std::error_category& DragonflygladeCategory();

std::error_code make_error_code(Errc code);  // NOLINT: the name is std's.

/// An error together with the step and the peer at which it arose.
struct Failure {
  std::error_code code;
  std::string step;    ///< what was being done, e.g. "txn"
  std::string peer;    ///< with whom, e.g. "kv 127.0.0.1:2379"
  std::string detail;  ///< what was found; may be empty

  /// One line for logs and messages: "step at peer: message (detail)".
  std::string ToString() const;
};

/// Makes a failure from its four parts.
Failure MakeFailure(Errc code, std::string_view step, std::string_view peer,
                    std::string_view detail = {});

/// A value or the failure that took its place.
template <typename T>
class Result {
 public:
  Result(T value)  // NOLINT(google-explicit-constructor): return either.
      : state(std::move(value)) {}
  Result(Failure failure)  // NOLINT(google-explicit-constructor)
      : state(std::move(failure)) {}

  bool Ok() const { return std::holds_alternative<T>(this->state); }
  /// Precondition: Ok().
  const T& Value() const { return std::get<T>(this->state); }
  T& Value() { return std::get<T>(this->state); }
  /// Precondition: !Ok().
  const Failure& Error() const { return std::get<Failure>(this->state); }

 private:
  std::variant<T, Failure> state;
};

/// The result of a step that yields nothing.
struct Done {};
using Status = Result<Done>;

}  // namespace dragonflyglade

template <>
struct std::is_error_code_enum<dragonflyglade::Errc> : std::true_type {};

#endif  // DRAGONFLYGLADE_DECISION_FAILURE_H_
