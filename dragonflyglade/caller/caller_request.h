#ifndef DRAGONFLYGLADE_CALLER_CALLER_REQUEST_H_
#define DRAGONFLYGLADE_CALLER_CALLER_REQUEST_H_

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dragonflyglade/caller/event_stream.h"
#include "dragonflyglade/decision/refusal.h"

namespace dragonflyglade {

/// A request received from a caller. Missing header fields are empty.
struct CallerRequest {
  std::string method;
  std::string path;   ///< decoded, without the query
  std::string query;  ///< not decoded, without '?'
  std::string authorization;
  std::string idempotency_key;
  std::string request_class;
  std::string content_type;
  std::string accept;
  std::string body;
};

/// A response to a caller whose body is complete.
struct CompleteResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// A response to a caller whose events are sent as they arrive.
struct StreamResponse {
  std::shared_ptr<EventStream> stream;
};

using CallerResponse = std::variant<CompleteResponse, StreamResponse, Refusal>;

/// A response with the id of its request.
struct IdentifiedResponse {
  std::string request_id;
  CallerResponse response;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_CALLER_REQUEST_H_
