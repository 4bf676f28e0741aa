#include "measure/model/crash_fleet.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(5);
constexpr absl::Duration kLength = absl::Seconds(70);
constexpr absl::Duration kFirstCrashing = absl::Seconds(10);
constexpr absl::Duration kDomainStart = absl::Seconds(20);
constexpr absl::Duration kDomainGap = absl::Milliseconds(100);
constexpr absl::Duration kStabilityWindow = absl::Seconds(3);
constexpr absl::Duration kAwayTime = absl::Seconds(4);
constexpr int kTargetsPerInstance = 3;
constexpr int kSlots = 8;
constexpr double kSoundPerInstance = 5;
constexpr int kTimedCrash = 3;
constexpr int kBoundingCrashes = 5;
// Of the crash's proof and the message to an owner.
constexpr absl::Duration kNoticeDelay = absl::Milliseconds(25);
constexpr absl::Duration kAnswerTime = absl::Milliseconds(80);
constexpr absl::Duration kAskAgainTime = absl::Milliseconds(200);
constexpr absl::Duration kOwnerTurn = absl::Milliseconds(150);
constexpr std::size_t kOwners = 3;
constexpr double kNoteBytes = 120;
constexpr double kDatagramLoss = 0.01;
constexpr int kFirstParts = 3;
constexpr int kSecondParts = 51;
constexpr const char* kCrashingPart = "crashing";

Suspect Part(const std::string& id) { return {SuspectKind::kPart, id}; }

}  // namespace

CrashFleet::CrashFleet(CrashFleetOptions options)
    : options(options),
      random(static_cast<unsigned>(options.seed)),
      instances(options.instances),
      targets(static_cast<std::size_t>(options.instances) *
              kTargetsPerInstance) {
  this->recent = std::make_unique<RecentCrashes>(Clock(&this->clock));
  this->answers = std::make_unique<AnswerLog>(Clock(&this->clock));
  for (int i = 0; i < options.instances; ++i) {
    this->names.push_back(absl::StrCat("i", i));
    this->Start(this->instances[i]);
  }
}

double CrashFleet::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void CrashFleet::Start(Instance& instance) {
  instance.crashes = std::make_unique<CrashAccount>(Clock(&this->clock));
  instance.survived = std::make_unique<AnswerLog>(Clock(&this->clock));
  instance.refused = this->recorded;
  instance.judged.clear();
  instance.enough_since.clear();
}

CrashFleetResult CrashFleet::Run() {
  while (this->clock.Now() < kLength) this->Step();
  this->result.served = static_cast<double>(this->served) / this->sound;
  this->result.bytes_per_second =
      this->bytes / this->options.instances / absl::ToDoubleSeconds(kLength);
  return this->result;
}

void CrashFleet::Step() {
  this->clock.Advance(kStep);
  this->Kill();
  this->SendRequests();
  for (std::size_t i = 0; i < this->targets.size(); ++i) this->StepTarget(i);
  this->RunEvents();
  const Instant now = this->clock.Now();
  if (now < kDomainStart) return;
  const bool due = (now - kDomainStart) % kDomainGap == absl::ZeroDuration();
  const auto last = static_cast<int>(this->options.domain_share *
                                     static_cast<double>(this->targets.size()));
  if (due && this->next_domain_target < last) {
    this->Crash(this->next_domain_target++, false);
  }
}

void CrashFleet::Kill() {
  const std::int64_t ms = absl::ToInt64Milliseconds(this->clock.Now());
  const bool all = this->options.kills == CrashKills::kAllOnce && ms == 20000;
  const bool tenth =
      this->options.kills == CrashKills::kTenthEachSecond && ms % 1000 == 0;
  for (Instance& instance : this->instances) {
    if (all || (tenth && this->Uniform() < 0.1)) this->Start(instance);
  }
}

void CrashFleet::SendRequests() {
  const double seconds = absl::ToDoubleSeconds(kStep);
  this->due_sound += seconds * kSoundPerInstance * this->options.instances;
  if (this->clock.Now() >= kFirstCrashing) {
    this->due_crashing += seconds * this->options.crashing_per_second;
  }
  for (; this->due_sound >= 1; this->due_sound -= 1) this->Send(false);
  for (; this->due_crashing >= 1; this->due_crashing -= 1) this->Send(true);
}

// The least busy of three targets, as a choice by load does.
void CrashFleet::Send(bool crashing) {
  const Instant now = this->clock.Now();
  if (!crashing) this->sound += 1;
  Request request;
  request.crashing = crashing;
  request.instance =
      static_cast<int>(this->Uniform() * this->options.instances);
  const double rank = this->Uniform();
  request.parts = {
      absl::StrCat("first", static_cast<int>(this->Uniform() * kFirstParts)),
      crashing ? kCrashingPart
               : absl::StrCat("second",
                              static_cast<int>(rank * rank * kSecondParts))};
  const Instance& instance = this->instances[request.instance];
  for (const std::string& part : request.parts) {
    if (instance.refused.count(part) > 0) return;
  }
  Target* best = nullptr;
  for (int i = 0; i < 3; ++i) {
    const auto index = static_cast<std::size_t>(
        this->Uniform() * static_cast<double>(this->targets.size()));
    Target& one = this->targets[index];
    if (one.back_at.has_value() || one.running.size() >= kSlots) continue;
    if (best == nullptr || one.running.size() < best->running.size()) {
      best = &one;
    }
  }
  if (best == nullptr) return;
  if (crashing && this->fifth_crash.has_value() &&
      now - *this->fifth_crash > kStabilityWindow) {
    this->result.late += 1;
  }
  request.output_at = now + absl::Milliseconds(100 + 300 * this->Uniform());
  request.ends_at =
      request.output_at + absl::Milliseconds(500 + 2500 * this->Uniform());
  best->running.push_back(std::move(request));
}

void CrashFleet::StepTarget(std::size_t index) {
  const Instant now = this->clock.Now();
  Target& target = this->targets[index];
  if (target.back_at.has_value() && now >= *target.back_at) {
    target.back_at.reset();
    target.born_ms = absl::ToInt64Milliseconds(now);
  }
  for (Request& request : target.running) {
    if (now < request.output_at) continue;
    if (request.crashing) {
      this->Crash(index, true);
      return;
    }
    const bool proven = now >= request.ends_at ||
                        now - request.output_at > absl::Milliseconds(300);
    if (!proven || request.survival_recorded) continue;
    request.survival_recorded = true;
    this->answers->CountAnswer();
    for (const std::string& part : request.parts) {
      this->instances[request.instance].survived->RecordPart(part, "v1");
    }
  }
  auto& running = target.running;
  const auto ended =
      std::remove_if(running.begin(), running.end(),
                     [&](const Request& one) { return now >= one.ends_at; });
  this->served += static_cast<int>(running.end() - ended);
  running.erase(ended, running.end());
}

void CrashFleet::Crash(std::size_t index, bool by_part) {
  Target& target = this->targets[index];
  if (target.back_at.has_value()) return;
  const Instant now = this->clock.Now();
  if (by_part) {
    this->result.crashes += 1;
    if (this->result.crashes == kTimedCrash) this->third_crash = now;
    if (this->result.crashes == kBoundingCrashes) this->fifth_crash = now;
  }
  const TargetCrash crash{absl::StrCat("t", index), target.born_ms, "v1"};
  if (!target.running.empty()) this->recent->Record(crash);
  for (const Request& request : target.running) {
    const bool beginning = now - request.output_at < absl::Milliseconds(300);
    if (beginning) this->TellOwners(request, crash);
  }
  target.running.clear();
  target.back_at = now + kAwayTime;
}

void CrashFleet::TellOwners(const Request& request, const TargetCrash& crash) {
  for (const std::string& part : request.parts) {
    const std::vector<std::string> owners =
        RendezvousOwners(part, this->names, kOwners);
    for (const std::string& owner : owners) {
      this->bytes += kNoteBytes;
      if (this->Uniform() < kDatagramLoss) continue;
      Event event;
      event.instance = std::stoi(owner.substr(1));
      event.part = part;
      event.crash = crash;
      this->events.emplace(this->clock.Now() + kNoticeDelay, std::move(event));
    }
  }
}

void CrashFleet::RunEvents() {
  const Instant now = this->clock.Now();
  while (!this->events.empty() && this->events.begin()->first <= now) {
    const Event event = this->events.begin()->second;
    this->events.erase(this->events.begin());
    Instance& owner = this->instances[event.instance];
    if (!event.crash.has_value()) {
      this->Judge(event.instance, event.part);
      continue;
    }
    if (owner.refused.count(event.part) > 0) continue;
    owner.crashes->RecordCrash(Part(event.part), *event.crash);
    if (owner.crashes->Count(Part(event.part)) < kCrashesToSuspect) continue;
    if (!owner.judged.insert(event.part).second) continue;
    const std::vector<std::string> owners =
        RendezvousOwners(event.part, this->names, kOwners);
    const auto rank =
        std::find(owners.begin(), owners.end(), this->names[event.instance]) -
        owners.begin();
    this->ScheduleJudgement(event.instance, event.part, kOwnerTurn * rank);
  }
}

void CrashFleet::ScheduleJudgement(int instance, const std::string& part,
                                   absl::Duration pause) {
  this->instances[instance].judged.insert(part);
  Event judgement;
  judgement.instance = instance;
  judgement.part = part;
  this->events.emplace(this->clock.Now() + pause + kAnswerTime,
                       std::move(judgement));
}

void CrashFleet::Judge(int index, const std::string& part) {
  Instance& owner = this->instances[index];
  owner.judged.erase(part);
  if (this->options.policy == CrashPolicy::kNothing) return;
  if (owner.refused.count(part) > 0) return;
  const bool asks = this->options.policy == CrashPolicy::kAnsweredSince ||
                    this->options.policy == CrashPolicy::kShare;
  if (asks) {
    for (const Instance& each : this->instances) {
      this->bytes += kNoteBytes;
      const auto survivals = each.survived->Find(Part(part));
      if (!survivals.empty()) this->bytes += kNoteBytes;
      for (const auto& [version, at] : survivals) {
        owner.crashes->RecordSurvival(Part(part), version, at);
      }
    }
  }
  CrashEvidence evidence;
  evidence.targets = this->targets.size();
  evidence.counted = owner.crashes->Count(Part(part));
  if (evidence.counted == 0) return;
  const auto crashes = owner.crashes->CrashesOf(Part(part));
  evidence.crashes = crashes.size();
  if (this->options.policy != CrashPolicy::kShare) {
    if (evidence.counted >= kCrashesToConfirm) this->Confirm(part);
    return;
  }
  const Instant now = this->clock.Now();
  evidence.age = now - crashes.front().at;
  evidence.all_crashes =
      this->recent->Within(evidence.age + kNoticeDelay).size();
  evidence.answers = this->answers->AnswersWithin(evidence.age);
  auto& since = owner.enough_since;
  if (evidence.counted < kCrashesToConfirm) since.erase(part);
  evidence.waited = now - since.emplace(part, now).first->second;
  const CrashVerdict verdict = JudgePart(evidence);
  if (verdict == CrashVerdict::kCrashesTargets) this->Confirm(part);
  if (verdict == CrashVerdict::kOpen) {
    this->ScheduleJudgement(index, part, kAskAgainTime);
  }
}

void CrashFleet::Confirm(const std::string& part) {
  if (!this->recorded.insert(part).second) return;
  if (part != kCrashingPart) this->result.innocents += 1;
  for (Instance& instance : this->instances) {
    this->bytes += kNoteBytes;
    instance.refused.insert(part);
  }
  if (part == kCrashingPart) {
    this->result.until_refused = this->clock.Now() - *this->third_crash;
  }
}

}  // namespace dragonflyglade
