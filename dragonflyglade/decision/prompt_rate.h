#ifndef DRAGONFLYGLADE_DECISION_PROMPT_RATE_H_
#define DRAGONFLYGLADE_DECISION_PROMPT_RATE_H_

#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// The prompts that an engine got lately, as decaying averages. Not
/// synchronised.
class PromptRate {
 public:
  void Add(double prompt_tokens, Instant now);

  double TokensPerMs(Instant now) const;
  /// The mean size of the prompt that a token belongs to; 0 if there is none.
  double TypicalTokens() const;

 private:
  double Decay(Instant now) const;

  double tokens = 0;
  double squares = 0;  ///< sum of the squared sizes
  Instant updated;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_PROMPT_RATE_H_
