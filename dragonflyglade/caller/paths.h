#ifndef DRAGONFLYGLADE_CALLER_PATHS_H_
#define DRAGONFLYGLADE_CALLER_PATHS_H_

#include <string_view>

namespace dragonflyglade {

/// The paths of the HTTP API for callers.
inline constexpr std::string_view kCompletionsPath = "/v1/completions";
inline constexpr std::string_view kChatPath = "/v1/chat/completions";
inline constexpr std::string_view kModelsPath = "/v1/models";
inline constexpr std::string_view kInstancesPath = "/v1/instances";
inline constexpr std::string_view kServicePrefix = "/v1/services/";

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_PATHS_H_
