#include "dragonflyglade/gateway/crash_judge.h"

#include <algorithm>

#include "dragonflyglade/gateway/crash_messages.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// An answer takes 1 to 3 ms within a region, plus the time that the asked
// instances spend on other work.
constexpr absl::Duration kAnswerTime = absl::Milliseconds(80);
constexpr absl::Duration kAskAgainTime = absl::Milliseconds(200);
// A suspect part crashes another target within seconds, or is innocent.
constexpr absl::Duration kSuspicionTime = absl::Seconds(10);
constexpr std::size_t kMaxSuspects = 1000;
// Some kilobytes.
constexpr std::size_t kMaxCrashesPerAnswer = 100;
constexpr std::size_t kMaxCrashesPerJudgement = 10000;

}  // namespace

CrashJudge::CrashJudge(asio::io_context& context, FleetState& fleet,
                       RefusedSuspects& refused, InstanceRecord self,
                       EventLog& log, Tasks& tasks, Clock clock)
    : context(context),
      fleet(fleet),
      refused(refused),
      self(std::move(self)),
      log(log),
      tasks(tasks),
      clock(clock),
      account(clock),
      answered(clock),
      recent(clock),
      decided(context) {
  this->refused.OnRemoved(
      [this](const Suspect& suspect) { this->account.Forget(suspect); });
}

bool CrashJudge::AnySuspect(absl::Span<const PromptPart> parts) const {
  if (this->suspect_until.empty()) return false;
  const Instant now = this->clock.Now();
  return std::any_of(parts.begin(), parts.end(), [&](const PromptPart& part) {
    const auto found =
        this->suspect_until.find(Suspect{SuspectKind::kPart, part.id});
    return found != this->suspect_until.end() && now < found->second;
  });
}

void CrashJudge::RecordCrash(const Suspect& suspect, const TargetCrash& crash,
                             Instant at, SentAs sent_as) {
  this->recent.Record(crash);
  this->account.RecordCrash(suspect, crash, at, sent_as);
}

void CrashJudge::RecordSurvival(absl::Span<const PromptPart> parts,
                                const SoftwareVersion& version) {
  const Instant now = this->clock.Now();
  if (!parts.empty()) this->answered.CountAnswer();
  for (const PromptPart& part : parts) {
    const Suspect suspect{SuspectKind::kPart, part.id};
    if (!IsUsable(suspect)) continue;
    this->answered.RecordPart(part.id, version);
    this->account.RecordSurvival(suspect, version, now);
  }
}

void CrashJudge::RecordSurvival(std::string_view digest,
                                const SoftwareVersion& version) {
  this->answered.RecordRequest(digest, version);
  this->account.RecordSurvival({SuspectKind::kRequest, std::string(digest)},
                               version, this->clock.Now());
}

std::vector<TargetCrash> CrashJudge::CrashesAround(
    const Suspect& suspect) const {
  std::vector<TargetCrash> crashes = this->recent.Within(
      EvidenceTime(suspect.kind, this->account.AgeOf(suspect)));
  if (crashes.size() > kMaxCrashesPerAnswer) {
    crashes.resize(kMaxCrashesPerAnswer);
  }
  return crashes;
}

// A request may have crashed one target more than its record says.
bool CrashJudge::IsSettled(const Suspect& suspect) const {
  const RefusedSuspect* known = this->refused.Find(suspect);
  if (known == nullptr) return false;
  if (suspect.kind == SuspectKind::kPart) return true;
  const std::size_t crashes = this->account.Count(suspect);
  const std::size_t needed = known->record.fell_together
                                 ? crashes
                                 : std::min(crashes, kMaxCrashesOfRequest);
  return known->record.crashes.size() >= needed;
}

void CrashJudge::JudgeLater(const Suspect& suspect, absl::Duration delay) {
  this->log.Write("parts", "suspect",
                  {{LogNameOf(suspect.kind), suspect.id},
                   {"crashes", static_cast<int>(this->CountOf(suspect))}});
  if (this->judged.count(suspect) > 0) return;
  if (!this->due.insert(suspect).second) return;
  this->tasks.Spawn("judge suspect", this->JudgeAfter(suspect, delay));
}

asio::awaitable<void> CrashJudge::JudgeAfter(Suspect suspect,
                                             absl::Duration delay) {
  co_await Sleep(this->context, delay);
  this->due.erase(suspect);
  co_await this->Judge(suspect);
}

asio::awaitable<void> CrashJudge::Judge(Suspect suspect) {
  while (this->judged.count(suspect) > 0) {
    co_await this->decided.Wait(kAskAgainTime);
  }
  this->judged.try_emplace(suspect);
  co_await this->JudgeUntilDecided(suspect);
  this->judged.erase(suspect);
  this->decided.Notify();
}

CrashEvidence CrashJudge::EvidenceOn(const Suspect& suspect) {
  CrashEvidence evidence;
  evidence.counted = this->account.Count(suspect);
  if (evidence.counted == 0) return evidence;
  const Instant now = this->clock.Now();
  Judgement& judgement = this->judged.at(suspect);
  const auto own = this->account.CrashesOf(suspect);
  evidence.crashes = own.size();
  evidence.age = this->account.AgeOf(suspect);
  for (const CrashAccount::Crash& known : own) {
    judgement.crashes.emplace(known.crash.target, known.crash.born_ms);
  }
  const absl::Duration time = EvidenceTime(suspect.kind, evidence.age);
  for (const TargetCrash& crash : this->recent.Within(time)) {
    judgement.crashes.emplace(crash.target, crash.born_ms);
  }
  evidence.all_crashes = judgement.crashes.size();
  evidence.answers = this->answered.AnswersWithin(evidence.age);
  for (const auto& [instance, answers] : judgement.answers) {
    evidence.answers += answers;
  }
  this->fleet.ForEachTarget(
      [&evidence](const TargetState&) { evidence.targets += 1; });
  if (evidence.counted < kCrashesToConfirm) {
    judgement.enough_since.reset();
  } else if (!judgement.enough_since.has_value()) {
    judgement.enough_since = now;
  }
  evidence.waited = now - judgement.enough_since.value_or(now);
  return evidence;
}

CrashVerdict CrashJudge::VerdictOn(const Suspect& suspect,
                                   const CrashEvidence& evidence) {
  const CrashVerdict verdict = suspect.kind == SuspectKind::kPart
                                   ? JudgePart(evidence)
                                   : JudgeRequest(evidence);
  if (verdict == CrashVerdict::kOpen) return verdict;
  this->log.Write("parts", "judged",
                  {{LogNameOf(suspect.kind), suspect.id},
                   {"counted", static_cast<int>(evidence.counted)},
                   {"crashes", static_cast<int>(evidence.crashes)},
                   {"all_crashes", static_cast<int>(evidence.all_crashes)},
                   {"answers", static_cast<int>(evidence.answers)},
                   {"waited_ms", evidence.waited}});
  return verdict;
}

// Counts only crashes that the other instances were asked about: a request with
// the suspect may have been answered anywhere since.
asio::awaitable<void> CrashJudge::JudgeUntilDecided(Suspect suspect) {
  while (!this->IsSettled(suspect)) {
    this->RecordOwnSurvivals(suspect);
    const std::size_t asked = this->account.Count(suspect);
    if (asked < kCrashesToSuspect) co_return;
    // Where many targets end, many requests were at two of them: no question
    // for each.
    const bool among_many =
        suspect.kind == SuspectKind::kRequest &&
        JudgeRequest(this->EvidenceOn(suspect)) == CrashVerdict::kNotEnough;
    if (among_many) co_return;
    this->AskAll(suspect);
    co_await Sleep(this->context, kAnswerTime);
    const CrashEvidence evidence = this->EvidenceOn(suspect);
    if (this->IsSettled(suspect)) co_return;
    if (evidence.counted > asked) continue;
    const CrashVerdict verdict = this->VerdictOn(suspect, evidence);
    if (verdict == CrashVerdict::kOpen) {
      co_await Sleep(this->context, kAskAgainTime);
      continue;
    }
    if (verdict == CrashVerdict::kCrashesTargets) {
      co_await this->refused.Refuse(suspect, this->account.CrashesOf(suspect));
    }
    co_return;
  }
}

void CrashJudge::RecordOwnSurvivals(const Suspect& suspect) {
  for (const auto& [version, at] : this->answered.Find(suspect)) {
    this->account.RecordSurvival(suspect, version, at);
  }
}

void CrashJudge::AskAll(const Suspect& suspect) {
  this->MarkSuspect(suspect);
  wire::FleetMessage message;
  wire::SuspectQuestion question;
  question.address = this->self.peer_address;
  question.suspect = suspect.id;
  question.since_ms = absl::ToInt64Milliseconds(
      EvidenceTime(suspect.kind, this->account.AgeOf(suspect)));
  question.kind = ToWire(suspect.kind);
  message.__set_suspect_question(std::move(question));
  for (const auto& [name, record] : this->fleet.Instances()) {
    if (name != this->self.name) this->send(message, record.peer_address);
  }
}

void CrashJudge::MarkSuspect(const Suspect& suspect) {
  const Instant now = this->clock.Now();
  this->suspect_until[suspect] = now + kSuspicionTime;
  if (this->suspect_until.size() <= kMaxSuspects) return;
  this->suspect_until.erase(
      std::min_element(this->suspect_until.begin(), this->suspect_until.end(),
                       [](const auto& one, const auto& other) {
                         return one.second < other.second;
                       }));
}

void CrashJudge::Receive(const wire::FleetMessage& message) {
  if (message.__isset.suspect_question) {
    this->ReceiveQuestion(message.suspect_question);
  }
  if (message.__isset.suspect_answer) {
    this->ReceiveAnswer(message.suspect_answer);
  }
}

void CrashJudge::ReceiveQuestion(const wire::SuspectQuestion& question) {
  const std::optional<SuspectKind> kind = FromWire(question.kind);
  if (!kind.has_value()) return;
  const Suspect suspect{*kind, question.suspect};
  if (!IsUsable(suspect)) return;
  const Instant now = this->clock.Now();
  const absl::Duration since = absl::Milliseconds(question.since_ms);
  this->MarkSuspect(suspect);
  wire::SuspectAnswer answer;
  answer.suspect = suspect.id;
  answer.kind = question.kind;
  for (const auto& [version, at] : this->answered.Find(suspect)) {
    if (now - at > since) continue;
    wire::SuspectSurvival survival;
    if (version.has_value()) survival.__set_version(*version);
    survival.age_ms = absl::ToInt64Milliseconds(now - at);
    answer.survivals.push_back(std::move(survival));
  }
  for (const TargetCrash& crash : this->recent.Within(since)) {
    if (answer.crashes.size() >= kMaxCrashesPerAnswer) break;
    answer.crashes.push_back(ToWire(crash));
  }
  answer.answers = static_cast<int>(this->answered.AnswersWithin(since));
  answer.instance = this->self.name;
  wire::FleetMessage message;
  message.__set_suspect_answer(std::move(answer));
  this->send(message, question.address);
}

void CrashJudge::ReceiveAnswer(const wire::SuspectAnswer& answer) {
  const std::optional<SuspectKind> kind = FromWire(answer.kind);
  if (!kind.has_value()) return;
  const Suspect suspect{*kind, answer.suspect};
  const Instant now = this->clock.Now();
  const auto judgement = this->judged.find(suspect);
  if (judgement == this->judged.end()) return;
  auto& crashes_told = judgement->second.crashes;
  for (const wire::TargetCrash& crash : answer.crashes) {
    if (crashes_told.size() >= kMaxCrashesPerJudgement) break;
    crashes_told.emplace(crash.target, crash.born_ms);
  }
  judgement->second.answers[answer.instance] =
      static_cast<std::size_t>(std::max(0, answer.answers));
  for (const wire::SuspectSurvival& survival : answer.survivals) {
    SoftwareVersion version;
    if (survival.__isset.version) version = survival.version;
    this->account.RecordSurvival(suspect, version,
                                 now - absl::Milliseconds(survival.age_ms));
  }
}

}  // namespace dragonflyglade::gateway
