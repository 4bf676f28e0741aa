#ifndef DRAGONFLYGLADE_DECISION_REQUEST_CLASS_H_
#define DRAGONFLYGLADE_DECISION_REQUEST_CLASS_H_

#include <optional>
#include <string_view>

namespace dragonflyglade {

/// What a request is for; the lower value is served first.
enum class RequestClass {
  kUrgent = 0,  ///< payouts, balance reads, corrections, renewals
  kChat = 1,    ///< somebody waits for the text
  kBatch = 2,   ///< may be late, but is never left out
};

inline constexpr int kRequestClasses = 3;

/// The name that records and headers use: "urgent", "chat" or "batch".
std::string_view NameOf(RequestClass request_class);

/// The class of that name, if there is one.
std::optional<RequestClass> RequestClassOf(std::string_view name);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_REQUEST_CLASS_H_
