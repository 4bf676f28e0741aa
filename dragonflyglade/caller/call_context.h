#ifndef DRAGONFLYGLADE_CALLER_CALL_CONTEXT_H_
#define DRAGONFLYGLADE_CALLER_CALL_CONTEXT_H_

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "dragonflyglade/decision/distributed_rate_limiter.h"
#include "dragonflyglade/decision/request_class.h"
#include "dragonflyglade/operator/catalog.h"

namespace dragonflyglade {

/// Waits that a class of requests bears.
struct ClassLimits {
  absl::Duration token_wait;  ///< for tokens that accrue meanwhile
  absl::Duration place_wait;  ///< for a place at a target
};

/// Limits on what callers send and how long they wait.
struct CallerLimits {
  std::size_t max_body = 1u << 20;
  std::size_t max_path = 4096;
  std::size_t stream_events = 256;  ///< buffered for a slow caller
  ClassLimits urgent{absl::Milliseconds(500), absl::Seconds(2)};
  ClassLimits chat{absl::Milliseconds(250), absl::Seconds(5)};
  ClassLimits batch{absl::Seconds(2), absl::Seconds(60)};

  const ClassLimits& For(RequestClass request_class) const;
};

/// What is known of a request once its key was found good.
struct CallContext {
  std::string request_id;
  std::string key_id;
  std::string workspace;
  std::shared_ptr<const Catalog> catalog;
  RequestClass request_class = RequestClass::kChat;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_CALL_CONTEXT_H_
