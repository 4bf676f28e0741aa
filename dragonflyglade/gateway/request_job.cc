#include "dragonflyglade/gateway/request_job.h"

#include <algorithm>
#include <utility>

#include "dragonflyglade/decision/target_choice.h"

namespace dragonflyglade::gateway {

// The last part of a prompt belongs to the request or its session; other
// requests share the parts before it.
double RequestJob::SharedTokens() const {
  const auto& parts = this->request.use.parts;
  double tokens = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) tokens += parts[i].tokens;
  return std::min(tokens, this->request.use.prompt_tokens);
}

std::string_view RequestJob::SharedId() const {
  const auto& parts = this->request.use.parts;
  return parts.size() < 2 ? std::string_view() : parts[parts.size() - 2].id;
}

void RequestJob::RecordOutput(Instant now) {
  if (!this->first_output.has_value()) this->first_output = now;
  if (this->last_output.has_value()) {
    this->longest_pause =
        std::max(this->longest_pause, now - *this->last_output);
  }
  this->last_output = now;
}

double RequestJob::UnreadTokens() const {
  return ExpectedPrefillTokens(this->request.use.prompt_tokens,
                               this->SharedTokens());
}

Refusal MakeRefusal(RefusalCode code, std::string message,
                    absl::Duration retry_after) {
  return {code, std::move(message), retry_after};
}

}  // namespace dragonflyglade::gateway
