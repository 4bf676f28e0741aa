#include "dragonflyglade/decision/prompt_rate.h"

#include <algorithm>
#include <cmath>

namespace dragonflyglade {
namespace {

// Streams last one to two seconds, and meet the prompts of that time.
constexpr absl::Duration kTimeConstant = absl::Milliseconds(1500);

}  // namespace

double PromptRate::Decay(Instant now) const {
  const absl::Duration age =
      std::max(absl::ZeroDuration(), now - this->updated);
  return std::exp(-absl::FDivDuration(age, kTimeConstant));
}

void PromptRate::Add(double prompt_tokens, Instant now) {
  if (prompt_tokens <= 0) return;
  const double decay = this->Decay(now);
  this->tokens = this->tokens * decay + prompt_tokens;
  this->squares = this->squares * decay + prompt_tokens * prompt_tokens;
  this->updated = std::max(this->updated, now);
}

double PromptRate::TokensPerMs(Instant now) const {
  return this->tokens * this->Decay(now) /
         absl::ToDoubleMilliseconds(kTimeConstant);
}

double PromptRate::TypicalTokens() const {
  return this->tokens > 0 ? this->squares / this->tokens : 0;
}

}  // namespace dragonflyglade
