#ifndef DRAGONFLYGLADE_DECISION_PROMPT_BACKLOG_H_
#define DRAGONFLYGLADE_DECISION_PROMPT_BACKLOG_H_

#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// The prompt tokens that an engine had yet to process in the last seconds, by
/// summaries. Tells the rate of its prompts where instances do not tell each
/// other of each prompt. Not synchronised.
class PromptBacklog {
 public:
  /// @param unread_tokens at this moment
  void Record(double unread_tokens, Instant now);

  /// Mean of the last seconds; 0 if nothing was recorded lately.
  double MeanTokens(Instant now) const;
  /// The rate of prompts that keeps an engine this busy.
  /// @param typical_tokens see PromptRate; 0 if not known
  double TokensPerMs(double typical_tokens, Instant now) const;

 private:
  double mean = 0;
  Instant updated;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_PROMPT_BACKLOG_H_
