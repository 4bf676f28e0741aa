#include "dragonflyglade/gateway/request_job.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_join.h"
#include "dragonflyglade/decision/target_choice.h"

namespace dragonflyglade::gateway {
namespace {

// A target that crashes on a prompt does so before its first output, or at it;
// that output may arrive a little earlier than the end of the connection.
constexpr absl::Duration kBeginningTime = absl::Milliseconds(300);

}  // namespace

// The last part of a prompt belongs to the request or its session; other
// requests share the parts before it.
absl::Span<const PromptPart> RequestJob::SharedParts() const {
  const absl::Span<const PromptPart> parts = this->request.use.parts;
  return parts.subspan(0, parts.empty() ? 0 : parts.size() - 1);
}

double RequestJob::SharedTokens() const {
  double tokens = 0;
  for (const PromptPart& part : this->SharedParts()) tokens += part.tokens;
  return std::min(tokens, this->request.use.prompt_tokens);
}

std::string RequestJob::SharedPartIds() const {
  return absl::StrJoin(
      this->SharedParts(), ",",
      [](std::string* text, const PromptPart& part) { text->append(part.id); });
}

std::string_view RequestJob::SharedId() const {
  const absl::Span<const PromptPart> parts = this->SharedParts();
  return parts.empty() ? std::string_view() : parts.back().id;
}

bool RequestJob::IsBeginning(Instant now) const {
  return !this->attempt_first_output.has_value() ||
         now - *this->attempt_first_output < kBeginningTime;
}

absl::Duration RequestJob::FirstOutputAtTarget() const {
  return this->attempt_first_output.value_or(this->attempt_started) -
         this->attempt_started;
}

absl::Duration RequestJob::PredictedPause() const {
  return this->prediction.has_value()
             ? absl::Milliseconds(this->prediction->longest_gap_ms)
             : absl::ZeroDuration();
}

void RequestJob::RecordCached(double tokens) {
  this->cached_tokens.reset();
  if (this->cacheable_parts.empty()) return;
  this->cached_tokens = std::min(tokens, this->SharedTokens());
}

void RequestJob::RecordOutput(Instant now) {
  if (!this->attempt_first_output.has_value()) this->attempt_first_output = now;
  if (!this->first_output.has_value()) this->first_output = now;
  if (this->last_output.has_value()) {
    this->longest_pause =
        std::max(this->longest_pause, now - *this->last_output);
  }
  this->last_output = now;
}

double RequestJob::UnreadTokens() const {
  if (this->cached_tokens.has_value()) {
    return this->request.use.prompt_tokens - *this->cached_tokens;
  }
  return ExpectedPrefillTokens(this->request.use.prompt_tokens,
                               this->SharedTokens());
}

Refusal MakeRefusal(RefusalCode code, std::string message,
                    absl::Duration retry_after) {
  return {code, std::move(message), retry_after};
}

}  // namespace dragonflyglade::gateway
