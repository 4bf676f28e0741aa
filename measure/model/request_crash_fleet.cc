#include "measure/model/request_crash_fleet.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(5);
constexpr absl::Duration kLength = absl::Seconds(60);
constexpr absl::Duration kFirstBad = absl::Seconds(10);
constexpr absl::Duration kDomainStart = absl::Seconds(20);
constexpr absl::Duration kDomainTime = absl::Seconds(10);
constexpr absl::Duration kKill = absl::Seconds(11);
constexpr absl::Duration kAwayTime = absl::Seconds(4);
constexpr int kTargetsPerInstance = 3;
constexpr std::size_t kSlots = 8;
constexpr double kSoundPerInstance = 5;
constexpr int kMaxExecutions = 2;
constexpr int kSoundRepeats = 1;
constexpr std::size_t kOwners = 3;
constexpr double kDatagramLoss = 0.01;
constexpr double kNoteBytes = 120;
// Until it is known that a process has ended.
constexpr absl::Duration kVerdictTime = absl::Milliseconds(20);
// Of a question to the owners, with the answer.
constexpr absl::Duration kOwnersTime = absl::Milliseconds(5);
// Of a question to all instances.
constexpr absl::Duration kAnswerTime = absl::Milliseconds(80);
constexpr absl::Duration kTellRound = absl::Milliseconds(20);
constexpr int kTellRounds = 3;
constexpr absl::Duration kStoreTime = absl::Milliseconds(500);
const std::string kBad = "bad";

Suspect Digest(const std::string& digest) {
  return {SuspectKind::kRequest, digest};
}

}  // namespace

RequestCrashFleet::RequestCrashFleet(RequestCrashOptions options)
    : options(options),
      random(static_cast<unsigned>(options.seed)),
      instances(options.instances),
      targets(static_cast<std::size_t>(options.instances) *
              kTargetsPerInstance) {
  for (int i = 0; i < options.instances; ++i) {
    this->names.push_back(absl::StrCat("i", i));
    this->Start(this->instances[i]);
  }
  for (int i = 0; i < options.bad_callers; ++i) {
    Request request;
    request.digest = kBad;
    request.bad = true;
    this->At(kFirstBad, [this, request] { this->Arrive(request); });
  }
  if (options.kills_all) {
    this->At(kKill, [this] {
      for (Instance& instance : this->instances) this->Start(instance);
    });
  }
}

void RequestCrashFleet::CountMessages(int messages) {
  this->result.bytes += kNoteBytes * messages;
}

double RequestCrashFleet::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

// A process reads the store's records before it serves.
void RequestCrashFleet::Start(Instance& instance) {
  instance.account = std::make_unique<CrashAccount>(Clock(&this->clock));
  instance.recent = std::make_unique<RecentCrashes>(Clock(&this->clock));
  instance.held.clear();
  for (const auto& [digest, crashes] : this->recorded) {
    instance.held[digest] = {crashes, this->clock.Now()};
  }
}

void RequestCrashFleet::At(absl::Duration delay, std::function<void()> action) {
  this->events.emplace(this->clock.Now() + delay, std::move(action));
}

RequestCrashResult RequestCrashFleet::Run() {
  while (this->clock.Now() < kLength) this->Step();
  this->result.held = static_cast<int>(this->held_sound.size());
  return this->result;
}

void RequestCrashFleet::Step() {
  this->clock.Advance(kStep);
  const Instant now = this->clock.Now();
  while (!this->events.empty() && this->events.begin()->first <= now) {
    const std::function<void()> action = this->events.begin()->second;
    this->events.erase(this->events.begin());
    action();
  }
  this->SendSound();
  for (std::size_t i = 0; i < this->targets.size(); ++i) this->StepTarget(i);
  if (now < kDomainStart) return;
  const double ended =
      std::min(1.0, absl::FDivDuration(now - kDomainStart, kDomainTime));
  const auto due = static_cast<int>(ended * this->options.domain_share *
                                    static_cast<double>(this->targets.size()));
  while (this->next_domain_target < due) {
    this->Crash(this->next_domain_target++);
  }
}

void RequestCrashFleet::SendSound() {
  this->due_sound += absl::ToDoubleSeconds(kStep) * kSoundPerInstance *
                     this->options.instances;
  for (; this->due_sound >= 1; this->due_sound -= 1) {
    Request request;
    request.digest = absl::StrCat("r", ++this->result.sound);
    this->Arrive(std::move(request));
  }
}

void RequestCrashFleet::Arrive(Request request) {
  request.instance =
      static_cast<int>(this->Uniform() * this->options.instances);
  request.executions = 0;
  request.is_trial = false;
  this->Send(std::move(request));
}

bool RequestCrashFleet::MaySend(Request& request) {
  const Instance& instance = this->instances[request.instance];
  const auto held = instance.held.find(request.digest);
  if (held == instance.held.end()) return true;
  HeldRequest state;
  state.crashes = held->second.crashes;
  state.held_for = this->clock.Now() - held->second.known_since;
  if (request.executions == 0 && MayTry(state) &&
      this->tried.insert(request.digest).second) {
    request.is_trial = true;
    return true;
  }
  if (!request.bad) this->held_sound.insert(request.digest);
  return false;
}

// The least busy of three targets, as a choice by load does.
void RequestCrashFleet::Send(Request request) {
  const Instant now = this->clock.Now();
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
  if (best == nullptr || !this->MaySend(request)) {
    this->Fail(std::move(request));
    return;
  }
  request.executions += 1;
  if (request.bad && this->result.ended >= 3) this->result.sent_after += 1;
  request.output_at = now + absl::Milliseconds(100 + 300 * this->Uniform());
  request.ends_at =
      request.output_at + absl::Milliseconds(500 + 2500 * this->Uniform());
  best->running.push_back(std::move(request));
}

void RequestCrashFleet::Fail(Request request) {
  if (!request.bad && request.repeats >= kSoundRepeats) return;
  request.repeats += 1;
  // Two seconds are the median of callers that do not return at once.
  const absl::Duration pause =
      request.bad ? this->options.pause : absl::Seconds(4 * this->Uniform());
  this->At(std::max(pause, kStep),
           [this, request = std::move(request)] { this->Arrive(request); });
}

void RequestCrashFleet::StepTarget(std::size_t index) {
  const Instant now = this->clock.Now();
  Target& target = this->targets[index];
  if (target.back_at.has_value() && now >= *target.back_at) {
    target.back_at.reset();
    target.born_ms = absl::ToInt64Milliseconds(now);
  }
  for (const Request& request : target.running) {
    const Instant at =
        this->options.in_middle ? request.ends_at : request.output_at;
    if (!request.bad || now < at) continue;
    this->result.ended += 1;
    this->Crash(index);
    return;
  }
  auto& running = target.running;
  for (const Request& request : running) {
    if (now < request.ends_at) continue;
    this->result.served += 1;
    if (!request.is_trial) continue;
    this->recorded.erase(request.digest);
    this->tried.erase(request.digest);
    for (Instance& instance : this->instances) {
      instance.held.erase(request.digest);
      instance.account->Forget(Digest(request.digest));
    }
  }
  running.erase(
      std::remove_if(running.begin(), running.end(),
                     [&](const Request& one) { return now >= one.ends_at; }),
      running.end());
}

void RequestCrashFleet::Crash(std::size_t index) {
  Target& target = this->targets[index];
  if (target.back_at.has_value()) return;
  const TargetCrash crash{absl::StrCat("t", index), target.born_ms, "v1"};
  for (const Request& request : target.running) {
    this->At(kVerdictTime,
             [this, request, crash] { this->Report(request, crash); });
  }
  target.running.clear();
  target.back_at = this->clock.Now() + kAwayTime;
}

void RequestCrashFleet::Report(const Request& request,
                               const TargetCrash& crash) {
  Instance& reporter = this->instances[request.instance];
  const Suspect suspect = Digest(request.digest);
  reporter.account->RecordCrash(suspect, crash);
  reporter.recent->Record(crash);
  for (const std::string& name :
       RendezvousOwners(request.digest, this->names, kOwners)) {
    this->CountMessages(2);
    // A note or its reply is lost, and sent again.
    const bool is_lost = this->Uniform() < 2 * kDatagramLoss * kDatagramLoss;
    if (is_lost) continue;
    Instance& owner = this->instances[std::stoi(name.substr(1))];
    owner.account->RecordCrash(suspect, crash);
    owner.recent->Record(crash);
    const auto known = owner.account->CrashesOf(suspect);
    if (known.size() < kCrashesToSuspect) continue;
    for (const CrashAccount::Crash& one : known) {
      reporter.account->RecordCrash(suspect, one.crash, one.at);
    }
    const absl::Duration time =
        EvidenceTime(SuspectKind::kRequest, owner.account->AgeOf(suspect));
    for (const TargetCrash& one : owner.recent->Within(time)) {
      reporter.recent->Record(one);
    }
  }
  this->At(kOwnersTime, [this, request] { this->Conclude(request); });
}

CrashEvidence RequestCrashFleet::EvidenceOn(const std::string& digest,
                                            const Instance& instance) const {
  CrashEvidence evidence;
  evidence.counted = instance.account->Count(Digest(digest));
  evidence.crashes = evidence.counted;
  evidence.age = instance.account->AgeOf(Digest(digest));
  evidence.all_crashes =
      instance.recent->Within(EvidenceTime(SuspectKind::kRequest, evidence.age))
          .size();
  return evidence;
}

void RequestCrashFleet::Conclude(const Request& request) {
  Instance& reporter = this->instances[request.instance];
  const std::size_t crashes = reporter.account->Count(Digest(request.digest));
  if (crashes < kCrashesToSuspect) {
    const bool may_retry = request.executions < kMaxExecutions;
    may_retry ? this->Send(request) : this->Fail(request);
    return;
  }
  const bool held = this->options.holds_back &&
                    JudgeRequest(this->EvidenceOn(request.digest, reporter)) ==
                        CrashVerdict::kCrashesTargets;
  if (!held) {
    // Without the rule, a retry does not look at what happened before.
    const bool may_retry =
        !this->options.holds_back && request.executions < kMaxExecutions;
    may_retry ? this->Send(request) : this->Fail(request);
    return;
  }
  this->CountMessages(2 * this->options.instances);
  this->At(kAnswerTime, [this, request] {
    Instance& judge = this->instances[request.instance];
    const std::size_t count = judge.account->Count(Digest(request.digest));
    if (count >= kCrashesToSuspect) this->Refuse(request.digest, count);
    this->At(kStep, [this, request] { this->Fail(request); });
  });
}

void RequestCrashFleet::Refuse(const std::string& digest, std::size_t crashes) {
  this->At(kStep,
           [this, digest, crashes] { this->recorded[digest] = crashes; });
  for (int i = 0; i < this->options.instances; ++i) {
    this->CountMessages(2);
    absl::Duration delay = kStep;
    for (int round = 0; round < kTellRounds; ++round) {
      if (this->Uniform() >= kDatagramLoss) break;
      delay += round + 1 < kTellRounds ? kTellRound : kStoreTime;
    }
    this->At(delay, [this, digest, crashes, i] {
      Held& held = this->instances[i].held[digest];
      if (held.crashes >= crashes) return;
      held = {crashes, this->clock.Now()};
    });
  }
}

}  // namespace dragonflyglade
