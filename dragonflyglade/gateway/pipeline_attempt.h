#ifndef DRAGONFLYGLADE_GATEWAY_PIPELINE_ATTEMPT_H_
#define DRAGONFLYGLADE_GATEWAY_PIPELINE_ATTEMPT_H_

#include "absl/time/time.h"

namespace dragonflyglade::gateway {

// What the sources of Pipeline share about attempts.

/// With less time left, another attempt has no chance to finish.
inline constexpr absl::Duration kMinAttemptTime = absl::Milliseconds(30);
/// Each declined attempt costs a message; if five targets have declined, all
/// targets are probably full.
inline constexpr int kMaxAttempts = 5;

/// Whether a response's status says that the request succeeded.
constexpr bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_PIPELINE_ATTEMPT_H_
