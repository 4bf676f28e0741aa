#include "dragonflyglade/decision/prompt_backlog.h"

#include <algorithm>
#include <cmath>

#include "dragonflyglade/decision/engine_model.h"

namespace dragonflyglade {
namespace {

// As of PromptRate.
constexpr absl::Duration kTimeConstant = absl::Milliseconds(1500);
// Several summaries in a row are missing.
constexpr absl::Duration kLifetime = absl::Milliseconds(3000);
// Prompts of which no size is known are taken for one step's prefill.
constexpr double kUsualTokens = 2000;

}  // namespace

void PromptBacklog::Record(double unread_tokens, Instant now) {
  const absl::Duration age =
      std::max(absl::ZeroDuration(), now - this->updated);
  const double weight = 1 - std::exp(-absl::FDivDuration(age, kTimeConstant));
  this->mean += weight * (unread_tokens - this->mean);
  this->updated = now;
}

double PromptBacklog::MeanTokens(Instant now) const {
  return now - this->updated < kLifetime ? this->mean : 0;
}

// The mean backlog of a queue with random arrivals (Pollaczek and Khinchine),
// solved for the utilisation.
double PromptBacklog::TokensPerMs(double typical_tokens, Instant now) const {
  const double size = typical_tokens > 0 ? typical_tokens : kUsualTokens;
  const double backlog = 2 * this->MeanTokens(now);
  return kPrefillTokensPerMs * backlog / (size + backlog);
}

}  // namespace dragonflyglade
