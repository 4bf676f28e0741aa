#ifndef DRAGONFLYGLADE_DECISION_REQUEST_CLASS_H_
#define DRAGONFLYGLADE_DECISION_REQUEST_CLASS_H_

#include <optional>
#include <string_view>

namespace dragonflyglade {

/// Priority class of a request; lower values are served first.
enum class RequestClass {
  kUrgent = 0,  ///< payouts, balance reads, corrections, renewals
  kChat = 1,    ///< a person waits for the text
  kBatch = 2,   ///< may be delayed, but does not starve
};

inline constexpr int kRequestClasses = 3;

/// The name in records and headers: "urgent", "chat" or "batch".
std::string_view NameOf(RequestClass request_class);

/// The class with that name, or nothing if there is none.
std::optional<RequestClass> RequestClassOf(std::string_view name);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_REQUEST_CLASS_H_
