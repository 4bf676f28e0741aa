#include "dragonflyglade/decision/failure.h"

#include <fmt/format.h>

namespace dragonflyglade {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "dragonflyglade"; }

  std::string message(int value) const override {
    switch (static_cast<Errc>(value)) {
      case Errc::kInvalidArgument:
        return "invalid argument";
      case Errc::kInvalidSettings:
        return "invalid settings";
      case Errc::kInvalidRecord:
        return "invalid record";
      case Errc::kUnknownRecord:
        return "no such record";
      case Errc::kConflict:
        return "changed by another writer";
      case Errc::kConnectFailed:
        return "could not connect";
      case Errc::kTimeout:
        return "no answer in time";
      case Errc::kConnectionLost:
        return "connection lost";
      case Errc::kMalformedResponse:
        return "malformed answer";
      case Errc::kTruncated:
        return "answer cut short";
      case Errc::kRefused:
        return "refused";
      case Errc::kOutcomeUnknown:
        return "outcome unknown";
      case Errc::kUnavailable:
        return "unavailable";
      case Errc::kCancelled:
        return "cancelled";
      case Errc::kNotHeld:
        return "not held";
    }
    return "unknown error";
  }
};

}  // namespace

const std::error_category& DragonflygladeCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(Errc code) {
  return {static_cast<int>(code), DragonflygladeCategory()};
}

std::string Failure::ToString() const {
  std::string line =
      fmt::format("{} at {}: {}", this->step, this->peer, this->code.message());
  if (!this->detail.empty()) line += fmt::format(" ({})", this->detail);
  return line;
}

Failure MakeFailure(Errc code, std::string_view step, std::string_view peer,
                    std::string_view detail) {
  return Failure{make_error_code(code), std::string(step), std::string(peer),
                 std::string(detail)};
}

}  // namespace dragonflyglade
