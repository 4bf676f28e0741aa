#include "dragonflyglade/gateway/crashing_parts.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_join.h"
#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// In a fleet of some hundred instances, more than one or two are killed at once
// now and then.
constexpr std::size_t kOwners = 3;
// Each owner gives the ones before it this long to confirm a part.
constexpr absl::Duration kOwnerTurn = absl::Milliseconds(150);
// An answer takes 1 to 3 ms within a region, plus the time that the asked
// instances spend on other work.
constexpr absl::Duration kAnswerTime = absl::Milliseconds(80);
constexpr absl::Duration kAskAgainTime = absl::Milliseconds(200);
// A suspect part crashes another target within seconds, or is innocent.
constexpr absl::Duration kSuspicionTime = absl::Seconds(10);
// Messages from before a removal arrive within this time.
constexpr absl::Duration kRemovalTime = absl::Seconds(10);
constexpr absl::Duration kWriteInterval = absl::Milliseconds(500);
constexpr absl::Duration kIdleInterval = absl::Seconds(60);
constexpr absl::Duration kWriteTimeout = absl::Milliseconds(400);
// An owner writes the record if the one that confirmed the part did not.
constexpr absl::Duration kOwnerWriteDelay = absl::Seconds(1);
// The other relays have the store's newest state, and write it if no owner did.
constexpr absl::Duration kRelayWriteDelay = absl::Seconds(5);
// A record that was written and is not there has been removed since.
constexpr absl::Duration kWrittenTime = absl::Seconds(10);
// Store keys have 200 bytes at most.
constexpr std::size_t kMaxPartBytes = 128;
// Bounds the memory, and what is read from the store at each start.
constexpr std::size_t kMaxRefusedParts = 1000;
constexpr std::size_t kMaxSuspects = 1000;
// Some kilobytes.
constexpr std::size_t kMaxCrashesPerAnswer = 100;
constexpr std::size_t kMaxCrashesPerJudgement = 10000;

bool IsUsablePart(std::string_view part) {
  return !part.empty() && part.size() <= kMaxPartBytes &&
         std::all_of(part.begin(), part.end(),
                     [](char one) { return one > ' ' && one < '\x7f'; });
}

wire::TargetCrash ToWire(const TargetCrash& crash) {
  wire::TargetCrash encoded;
  encoded.target = crash.target;
  encoded.born_ms = crash.born_ms;
  if (crash.version.has_value()) encoded.__set_version(*crash.version);
  return encoded;
}

TargetCrash FromWire(const wire::TargetCrash& encoded) {
  TargetCrash crash{encoded.target, encoded.born_ms, std::nullopt};
  if (encoded.__isset.version) crash.version = encoded.version;
  return crash;
}

// Removes the oldest entry if there are too many.
void Bound(std::map<std::string, Instant, std::less<>>& times) {
  if (times.size() <= kMaxSuspects) return;
  times.erase(std::min_element(times.begin(), times.end(),
                               [](const auto& one, const auto& other) {
                                 return one.second < other.second;
                               }));
}

}  // namespace

CrashingParts::CrashingParts(asio::io_context& context, FleetState& fleet,
                             StoreClient& store, InstanceRecord self,
                             Metrics& metrics, EventLog& log, Tasks& tasks,
                             Clock clock, TimeOfDay time_of_day)
    : context(context),
      fleet(fleet),
      store(store),
      self(std::move(self)),
      metrics(metrics),
      log(log),
      tasks(tasks),
      clock(clock),
      time_of_day(std::move(time_of_day)),
      crashes(clock),
      survived(clock),
      recent(clock),
      confirmed(context) {
  this->fleet.OnCrashingPartRemoved(
      [this](std::string_view part) { this->HandleRemoval(part); });
}

bool CrashingParts::IsRefused(std::string_view part) const {
  return this->fleet.CrashingParts().count(part) > 0 ||
         this->unrecorded.count(part) > 0;
}

const PromptPart* CrashingParts::FindRefused(
    absl::Span<const PromptPart> parts) const {
  const auto found = std::find_if(
      parts.begin(), parts.end(),
      [this](const PromptPart& part) { return this->IsRefused(part.id); });
  return found == parts.end() ? nullptr : &*found;
}

bool CrashingParts::AnySuspect(absl::Span<const PromptPart> parts) const {
  const Instant now = this->clock.Now();
  return std::any_of(parts.begin(), parts.end(), [&](const PromptPart& part) {
    const auto found = this->suspect_until.find(part.id);
    return found != this->suspect_until.end() && now < found->second;
  });
}

std::size_t CrashingParts::RefusedCount() const {
  return this->fleet.CrashingParts().size() + this->unrecorded.size();
}

std::vector<std::string> CrashingParts::OwnersOf(std::string_view part) const {
  std::vector<std::string> names = {this->self.name};
  for (const auto& [name, record] : this->fleet.Instances()) {
    if (name != this->self.name) names.push_back(name);
  }
  return RendezvousOwners(part, names, kOwners);
}

void CrashingParts::RecordCrash(const TargetCrash& crash,
                                const std::set<std::string>& parts) {
  this->recent.Record(crash);
  std::map<std::string, wire::PartCrashNote> notes;
  for (const std::string& part : parts) {
    if (!IsUsablePart(part) || this->IsRefused(part)) continue;
    const std::vector<std::string> owners = this->OwnersOf(part);
    for (std::size_t rank = 0; rank < owners.size(); ++rank) {
      wire::PartCrashNote& note = notes[owners[rank]];
      note.crash = ToWire(crash);
      note.parts.push_back(part);
      note.owner_ranks.push_back(static_cast<int>(rank));
    }
  }
  for (auto& [owner, note] : notes) {
    if (owner == this->self.name) {
      this->ReceiveCrashNote(note);
      continue;
    }
    wire::FleetMessage message;
    message.__set_part_crash_note(std::move(note));
    this->send(message, this->fleet.Instances().at(owner).peer_address);
  }
}

void CrashingParts::RecordSurvival(absl::Span<const PromptPart> parts,
                                   const SoftwareVersion& version) {
  const Instant now = this->clock.Now();
  if (!parts.empty()) this->survived.RecordAnswer();
  for (const PromptPart& part : parts) {
    if (!IsUsablePart(part.id)) continue;
    this->survived.Record(part.id, version);
    this->crashes.RecordSurvival(part.id, version, now);
  }
}

void CrashingParts::Receive(const wire::FleetMessage& message) {
  if (message.__isset.part_crash_note) {
    this->ReceiveCrashNote(message.part_crash_note);
  }
  if (message.__isset.part_question) {
    this->ReceiveQuestion(message.part_question);
  }
  if (message.__isset.part_answer) {
    this->ReceiveAnswer(message.part_answer);
  }
  if (message.__isset.crashing_part_note) {
    this->ReceiveConfirmed(message.crashing_part_note);
  }
}

void CrashingParts::ReceiveCrashNote(const wire::PartCrashNote& note) {
  const TargetCrash crash = FromWire(note.crash);
  for (std::size_t i = 0; i < note.parts.size(); ++i) {
    const std::string& part = note.parts[i];
    if (!IsUsablePart(part) || this->IsRefused(part)) continue;
    this->crashes.RecordCrash(part, crash);
    const std::size_t count = this->crashes.Count(part);
    if (count < kCrashesToSuspect) continue;
    this->log.Write("parts", "suspect",
                    {{"prompt_part", part},
                     {"target", crash.target},
                     {"crashes", static_cast<int>(count)}});
    const int rank = i < note.owner_ranks.size() ? note.owner_ranks[i] : 0;
    if (!this->judged.try_emplace(part).second) continue;
    this->tasks.Spawn("judge part", this->JudgeInTurn(part, rank));
  }
}

asio::awaitable<void> CrashingParts::JudgeInTurn(std::string part, int rank) {
  co_await Sleep(this->context, kOwnerTurn * std::max(0, rank));
  co_await this->Judge(part, rank);
  this->judged.erase(part);
}

absl::Duration CrashingParts::AgeOfFirstCrash(const std::string& part) const {
  return this->clock.Now() - this->crashes.CrashesOf(part).front().at;
}

PartEvidence CrashingParts::EvidenceOn(const std::string& part) {
  PartEvidence evidence;
  evidence.counted = this->crashes.Count(part);
  if (evidence.counted == 0) return evidence;
  const Instant now = this->clock.Now();
  Judgement& judgement = this->judged.at(part);
  const std::vector<PartCrashes::Crash> own = this->crashes.CrashesOf(part);
  evidence.crashes = own.size();
  evidence.age = now - own.front().at;
  for (const PartCrashes::Crash& known : own) {
    judgement.crashes.emplace(known.crash.target, known.crash.born_ms);
  }
  for (const TargetCrash& crash : this->recent.Within(evidence.age)) {
    judgement.crashes.emplace(crash.target, crash.born_ms);
  }
  evidence.all_crashes = judgement.crashes.size();
  evidence.answers = this->survived.AnswersWithin(evidence.age);
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

// Counts only crashes that the other instances were asked about: a request with
// the part may have been answered anywhere since.
asio::awaitable<void> CrashingParts::Judge(std::string part, int rank) {
  while (!this->IsRefused(part)) {
    this->RecordOwnSurvivals(part);
    const std::size_t asked = this->crashes.Count(part);
    if (asked < kCrashesToSuspect) co_return;
    this->AskAll(part);
    co_await Sleep(this->context, kAnswerTime);
    const PartEvidence evidence = this->EvidenceOn(part);
    if (this->IsRefused(part)) co_return;
    if (evidence.counted > asked) continue;
    const PartVerdict verdict = JudgePart(evidence);
    if (verdict == PartVerdict::kOpen) {
      co_await Sleep(this->context, kAskAgainTime);
      continue;
    }
    this->log.Write("parts", "judged",
                    {{"prompt_part", part},
                     {"counted", static_cast<int>(evidence.counted)},
                     {"crashes", static_cast<int>(evidence.crashes)},
                     {"all_crashes", static_cast<int>(evidence.all_crashes)},
                     {"answers", static_cast<int>(evidence.answers)},
                     {"waited_ms", evidence.waited}});
    if (verdict == PartVerdict::kCrashesTargets) this->Confirm(part, rank);
    co_return;
  }
}

void CrashingParts::RecordOwnSurvivals(const std::string& part) {
  for (const auto& [version, at] : this->survived.Find(part)) {
    this->crashes.RecordSurvival(part, version, at);
  }
}

void CrashingParts::AskAll(const std::string& part) {
  this->MarkSuspect(part);
  wire::FleetMessage message;
  wire::PartQuestion question;
  question.address = this->self.peer_address;
  question.part = part;
  question.since_ms = absl::ToInt64Milliseconds(this->AgeOfFirstCrash(part));
  message.__set_part_question(std::move(question));
  this->TellAll(message);
}

void CrashingParts::MarkSuspect(const std::string& part) {
  this->suspect_until[part] = this->clock.Now() + kSuspicionTime;
  Bound(this->suspect_until);
}

void CrashingParts::TellAll(const wire::FleetMessage& message) {
  for (const auto& [name, record] : this->fleet.Instances()) {
    if (name != this->self.name) this->send(message, record.peer_address);
  }
}

void CrashingParts::ReceiveQuestion(const wire::PartQuestion& question) {
  if (!IsUsablePart(question.part)) return;
  const Instant now = this->clock.Now();
  const absl::Duration since = absl::Milliseconds(question.since_ms);
  this->MarkSuspect(question.part);
  wire::PartAnswer answer;
  answer.part = question.part;
  for (const auto& [version, at] : this->survived.Find(question.part)) {
    if (now - at > since) continue;
    wire::PartSurvival survival;
    if (version.has_value()) survival.__set_version(*version);
    survival.age_ms = absl::ToInt64Milliseconds(now - at);
    answer.survivals.push_back(std::move(survival));
  }
  for (const TargetCrash& crash : this->recent.Within(since)) {
    if (answer.crashes.size() >= kMaxCrashesPerAnswer) break;
    answer.crashes.push_back(ToWire(crash));
  }
  answer.answers = static_cast<int>(this->survived.AnswersWithin(since));
  answer.instance = this->self.name;
  wire::FleetMessage message;
  message.__set_part_answer(std::move(answer));
  this->send(message, question.address);
}

void CrashingParts::ReceiveAnswer(const wire::PartAnswer& answer) {
  const Instant now = this->clock.Now();
  const auto judgement = this->judged.find(answer.part);
  if (judgement == this->judged.end()) return;
  auto& crashes_told = judgement->second.crashes;
  for (const wire::TargetCrash& crash : answer.crashes) {
    if (crashes_told.size() >= kMaxCrashesPerJudgement) break;
    crashes_told.emplace(crash.target, crash.born_ms);
  }
  judgement->second.answers[answer.instance] =
      static_cast<std::size_t>(std::max(0, answer.answers));
  for (const wire::PartSurvival& survival : answer.survivals) {
    SoftwareVersion version;
    if (survival.__isset.version) version = survival.version;
    this->crashes.RecordSurvival(answer.part, version,
                                 now - absl::Milliseconds(survival.age_ms));
  }
}

void CrashingParts::Confirm(const std::string& part, int rank) {
  CrashingPartRecord record;
  record.by = this->self.name;
  record.since = this->time_of_day();
  for (const PartCrashes::Crash& known : this->crashes.CrashesOf(part)) {
    record.crashes.push_back(known.crash.target);
  }
  this->log.Write("parts", "confirmed",
                  {{"prompt_part", part},
                   {"crashes", absl::StrJoin(record.crashes, ",")},
                   {"owner_rank", rank}});
  this->metrics.Count("crashing_parts_confirmed");
  this->TellConfirmed(part, record);
  this->AddUnrecorded(part, std::move(record), true);
}

void CrashingParts::TellConfirmed(const std::string& part,
                                  const CrashingPartRecord& record) {
  wire::FleetMessage message;
  wire::CrashingPartNote note;
  note.part = part;
  note.record = EncodeCrashingPartRecord(record);
  message.__set_crashing_part_note(std::move(note));
  this->TellAll(message);
}

void CrashingParts::AddUnrecorded(const std::string& part,
                                  CrashingPartRecord record, bool own) {
  if (this->RefusedCount() >= kMaxRefusedParts) {
    this->log.Write("parts", "too many", {{"prompt_part", part}});
    return;
  }
  Unrecorded item;
  item.record = std::move(record);
  item.own = own;
  item.known_since = this->clock.Now();
  item.next_write = item.known_since;
  this->unrecorded.emplace(part, std::move(item));
  this->confirmed.Notify();
  this->fleet.Changed().Notify();
}

void CrashingParts::ReceiveConfirmed(const wire::CrashingPartNote& note) {
  if (!IsUsablePart(note.part) || this->IsRefused(note.part)) return;
  const auto removed = this->removed_at.find(note.part);
  if (removed != this->removed_at.end() &&
      this->clock.Now() - removed->second < kRemovalTime) {
    return;
  }
  CrashingPartRecord record = DecodeCrashingPartRecord(note.record);
  this->log.Write("parts", "confirmed by another",
                  {{"prompt_part", note.part},
                   {"by", record.by},
                   {"crashes", absl::StrJoin(record.crashes, ",")}});
  this->AddUnrecorded(note.part, std::move(record), false);
}

// An operator has taken the part back: it needs new evidence.
void CrashingParts::HandleRemoval(std::string_view part) {
  this->crashes.Forget(part);
  const auto item = this->unrecorded.find(part);
  if (item != this->unrecorded.end()) this->unrecorded.erase(item);
  this->removed_at[std::string(part)] = this->clock.Now();
  Bound(this->removed_at);
}

asio::awaitable<void> CrashingParts::WriteRecords() {
  while (true) {
    co_await this->WriteDue();
    co_await this->confirmed.Wait(this->unrecorded.empty() ? kIdleInterval
                                                           : kWriteInterval);
  }
}

void CrashingParts::DropRecorded() {
  const Instant now = this->clock.Now();
  for (auto item = this->unrecorded.begin(); item != this->unrecorded.end();) {
    const std::optional<Instant> written = item->second.written;
    const bool drop = this->fleet.CrashingParts().count(item->first) > 0 ||
                      (written.has_value() && now - *written > kWrittenTime);
    item = drop ? this->unrecorded.erase(item) : std::next(item);
  }
}

// The time after which this instance writes the record; nothing if it leaves
// that to others.
std::optional<absl::Duration> CrashingParts::WriteDelay(
    const std::string& part, const Unrecorded& item) const {
  if (item.own) return absl::ZeroDuration();
  const std::vector<std::string> owners = this->OwnersOf(part);
  const auto owner = std::find(owners.begin(), owners.end(), this->self.name);
  if (owner != owners.end()) {
    return kOwnerWriteDelay * (1 + (owner - owners.begin()));
  }
  if (this->fleet.IsRelayInstance(this->self.name)) return kRelayWriteDelay;
  return std::nullopt;
}

asio::awaitable<void> CrashingParts::WriteDue() {
  this->DropRecorded();
  const Instant now = this->clock.Now();
  std::vector<std::string> due;
  for (auto& [part, item] : this->unrecorded) {
    if (item.written.has_value() || now < item.next_write) continue;
    const std::optional<absl::Duration> delay = this->WriteDelay(part, item);
    if (!delay.has_value() || now - item.known_since < *delay) continue;
    item.next_write = now + kWriteInterval;
    due.push_back(part);
  }
  for (const std::string& part : due) co_await this->Write(part);
}

// While the store is away, instances that missed the message, or have started
// since, learn of the part by its repetition.
asio::awaitable<void> CrashingParts::Write(std::string part) {
  const auto found = this->unrecorded.find(part);
  if (found == this->unrecorded.end()) co_return;
  const std::string key = FleetState::CrashingPartKey(part);
  StoreTransaction transaction;
  transaction.preconditions.push_back({key, 0});
  transaction.puts.push_back(
      {key, EncodeCrashingPartRecord(found->second.record), 0});
  StoreCall call = std::move(transaction);
  const StoreResponse response =
      co_await this->store.Call(std::move(call), kWriteTimeout);
  const auto item = this->unrecorded.find(part);
  if (item == this->unrecorded.end()) co_return;
  if (std::holds_alternative<StoreCommitted>(response) ||
      std::holds_alternative<StoreConflict>(response)) {
    item->second.written = this->clock.Now();
    co_return;
  }
  this->log.Write("parts", "not recorded yet", {{"prompt_part", part}});
  this->TellConfirmed(part, item->second.record);
}

}  // namespace dragonflyglade::gateway
