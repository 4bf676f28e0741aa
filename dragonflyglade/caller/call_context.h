#ifndef DRAGONFLYGLADE_CALLER_CALL_CONTEXT_H_
#define DRAGONFLYGLADE_CALLER_CALL_CONTEXT_H_

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "dragonflyglade/decision/distributed_rate_limiter.h"
#include "dragonflyglade/decision/request_class.h"
#include "dragonflyglade/operator/catalog.h"

namespace dragonflyglade {

/// How long a request of a class may wait.
struct ClassLimits {
  absl::Duration token_wait;        ///< until enough quota tokens accrue
  absl::Duration reservation_wait;  ///< for a reservation at a target
};

/// The limits on the size of callers' requests and on their waiting times.
struct CallerLimits {
  std::size_t max_body = 1u << 20;  ///< bytes
  std::size_t max_path = 4096;      ///< bytes, path and query together
  std::size_t stream_events = 256;  ///< buffered for a slow caller
  ClassLimits urgent{absl::Milliseconds(500), absl::Seconds(2)};
  ClassLimits chat{absl::Milliseconds(250), absl::Seconds(5)};
  ClassLimits batch{absl::Seconds(2), absl::Seconds(60)};

  const ClassLimits& For(RequestClass request_class) const;
};

/// The context of a request whose caller key is valid.
struct CallContext {
  std::string request_id;
  std::string key_id;
  std::string workspace;
  std::shared_ptr<const Catalog> catalog;
  RequestClass request_class = RequestClass::kChat;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_CALL_CONTEXT_H_
