#ifndef DRAGONFLYGLADE_CALLER_COMPLETION_REQUEST_H_
#define DRAGONFLYGLADE_CALLER_COMPLETION_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "dragonflyglade/decision/refusal.h"
#include "dragonflyglade/decision/request_class.h"
#include "dragonflyglade/operator/catalog.h"

namespace dragonflyglade {

/// A completion request that was validated against the configuration.
struct CompletionRequest {
  std::string model;    ///< the base model
  std::string adapter;  ///< empty for none
  std::string pool;
  std::string body;  ///< the JSON to send to the engine
  bool stream = false;
  double prompt_tokens = 0;  ///< estimated
  double max_tokens = 0;
  std::uint64_t prefix = 0;  ///< hash of the prompt's beginning

  /// The largest number of tokens that the request can use.
  double Cost() const { return this->prompt_tokens + this->max_tokens; }
};

/// Parses a completion's JSON body.
/// @param path "/v1/completions" or "/v1/chat/completions"
/// @param request_class determines the priority that engines give to it
/// Errors: bad_request for malformed input, not_found for unknown models and
/// models that the workspace may not use.
std::variant<CompletionRequest, Refusal> ParseCompletion(
    std::string_view path, std::string_view body, const Catalog& catalog,
    std::string_view workspace,
    RequestClass request_class = RequestClass::kChat);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_COMPLETION_REQUEST_H_
