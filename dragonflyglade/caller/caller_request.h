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

/// A request as it came from a caller.
struct CallerRequest {
  std::string method;
  std::string path;   ///< decoded, without the query
  std::string query;  ///< as it came, without '?'
  std::string authorization;
  std::string idempotency_key;
  std::string request_class;
  std::string content_type;
  std::string accept;
  std::string body;
};

/// A whole answer to a caller.
struct WholeAnswer {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// An answer that comes in parts.
struct StreamResponse {
  std::shared_ptr<EventStream> stream;
};

using CallerResponse = std::variant<WholeAnswer, StreamResponse, Refusal>;

/// An answer with the id of its request.
struct IdentifiedResponse {
  std::string request_id;
  CallerResponse answer;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_CALLER_REQUEST_H_
