#include "dragonflyglade/decision/answer_log.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

// Some megabytes.
constexpr std::size_t kMaxParts = 20000;
constexpr std::size_t kMaxAnswers = 4000;
// Some hundred kilobytes.
constexpr std::size_t kMaxRequests = 2000;

}  // namespace

AnswerLog::AnswerLog(Clock clock) : clock(std::move(clock)) {}

void AnswerLog::CountAnswer() {
  this->answers.push_back(this->clock.Now());
  if (this->answers.size() > kMaxAnswers) this->answers.pop_front();
}

std::size_t AnswerLog::AnswersWithin(absl::Duration time) const {
  const Instant since = this->clock.Now() - time;
  return this->answers.end() -
         std::lower_bound(this->answers.begin(), this->answers.end(), since);
}

void AnswerLog::RecordPart(std::string_view part,
                           const SoftwareVersion& version) {
  const Instant now = this->clock.Now();
  const Key key(std::string(part), version);
  const auto found = this->last.find(key);
  if (found != this->last.end()) this->by_age.erase({found->second, key});
  this->last[key] = now;
  this->by_age.emplace(now, key);
  if (this->last.size() <= kMaxParts) return;
  const auto oldest = this->by_age.begin();
  this->last.erase(oldest->second);
  this->by_age.erase(oldest);
}

void AnswerLog::RecordRequest(std::string_view digest,
                              const SoftwareVersion& version) {
  this->requests.push_back({std::string(digest), version, this->clock.Now()});
  if (this->requests.size() > kMaxRequests) this->requests.pop_front();
}

std::map<SoftwareVersion, Instant> AnswerLog::Find(
    const Suspect& suspect) const {
  return suspect.kind == SuspectKind::kPart ? this->FindPart(suspect.id)
                                            : this->FindRequest(suspect.id);
}

std::map<SoftwareVersion, Instant> AnswerLog::FindPart(
    std::string_view part) const {
  std::map<SoftwareVersion, Instant> found;
  const Key first(std::string(part), std::nullopt);
  for (auto item = this->last.lower_bound(first);
       item != this->last.end() && item->first.first == part; ++item) {
    found[item->first.second] = item->second;
  }
  return found;
}

std::map<SoftwareVersion, Instant> AnswerLog::FindRequest(
    std::string_view digest) const {
  std::map<SoftwareVersion, Instant> found;
  for (const AnsweredRequest& request : this->requests) {
    if (request.digest == digest) found[request.version] = request.at;
  }
  return found;
}

}  // namespace dragonflyglade
