#include "dragonflyglade/caller/call_context.h"

namespace dragonflyglade {

const ClassLimits& CallerLimits::For(RequestClass request_class) const {
  switch (request_class) {
    case RequestClass::kUrgent:
      return this->urgent;
    case RequestClass::kChat:
      return this->chat;
    case RequestClass::kBatch:
      return this->batch;
  }
  return this->chat;
}

}  // namespace dragonflyglade
