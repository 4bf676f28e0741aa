#include "dragonflyglade/gateway/crash_reports.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "dragonflyglade/gateway/crash_messages.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// Each owner gives the ones before it this long to judge a suspect.
constexpr absl::Duration kOwnerTurn = absl::Milliseconds(150);
// One datagram in some hundred is lost.
constexpr int kRounds = 3;
constexpr absl::Duration kReplyTime = absl::Milliseconds(25);

}  // namespace

CrashReports::CrashReports(asio::io_context& context, FleetState& fleet,
                           const RefusedSuspects& refused, CrashJudge& judge,
                           InstanceRecord self, Clock clock)
    : context(context),
      fleet(fleet),
      refused(refused),
      judge(judge),
      self(std::move(self)),
      clock(std::move(clock)) {}

CrashReports::Notes CrashReports::NotesFor(
    const TargetCrash& crash, SuspectKind kind,
    const std::set<std::string>& ids) const {
  Notes notes;
  for (const std::string& id : ids) {
    const Suspect suspect{kind, id};
    if (!IsUsable(suspect)) continue;
    const std::vector<std::string> owners =
        OwnersOf(suspect, this->fleet, this->self.name);
    for (std::size_t rank = 0; rank < owners.size(); ++rank) {
      wire::CrashNote& note = notes[owners[rank]];
      note.crash = ToWire(crash);
      note.kind = ToWire(kind);
      note.suspects.push_back(id);
      note.owner_ranks.push_back(static_cast<int>(rank));
    }
  }
  return notes;
}

void CrashReports::Send(const std::string& instance,
                        const wire::CrashNote& note) {
  if (instance == this->self.name) {
    this->ReceiveNote(note);
    return;
  }
  const auto found = this->fleet.Instances().find(instance);
  if (found == this->fleet.Instances().end()) return;
  wire::FleetMessage message;
  message.__set_crash_note(note);
  this->send(message, found->second.peer_address);
}

void CrashReports::ReportParts(const TargetCrash& crash,
                               const std::set<std::string>& parts) {
  this->judge.RecordCrash(crash);
  std::set<std::string> unknown;
  for (const std::string& part : parts) {
    const Suspect suspect{SuspectKind::kPart, part};
    if (this->refused.Find(suspect) == nullptr) unknown.insert(part);
  }
  for (const auto& [owner, note] :
       this->NotesFor(crash, SuspectKind::kPart, unknown)) {
    this->Send(owner, note);
  }
}

// Each of the owners may have missed one of the crashes, so all are heard.
asio::awaitable<std::set<std::string>> CrashReports::ReportRequests(
    TargetCrash crash, std::map<std::string, SentAs> requests) {
  const Instant now = this->clock.Now();
  std::set<std::string> digests;
  for (const auto& [digest, sent_as] : requests) {
    this->judge.RecordCrash({SuspectKind::kRequest, digest}, crash, now,
                            sent_as);
    digests.insert(digest);
  }
  const std::int64_t number = ++this->last_number;
  const auto report = std::make_shared<Unanswered>(this->context);
  this->unanswered[number] = report;
  report->notes = this->NotesFor(crash, SuspectKind::kRequest, digests);
  for (auto& [owner, note] : report->notes) {
    note.__set_reply_to(this->self.peer_address);
    note.__set_number(number);
    for (const std::string& digest : note.suspects) {
      note.sent_as.push_back(ToWire(requests.at(digest)));
    }
  }
  // What this instance knows as an owner is in its account already.
  const auto own = report->notes.find(this->self.name);
  if (own != report->notes.end()) {
    report->answered.insert(own->second.suspects.begin(),
                            own->second.suspects.end());
    report->notes.erase(own);
  }
  for (int round = 0; round < kRounds && !report->notes.empty(); ++round) {
    for (const auto& [owner, note] : report->notes) this->Send(owner, note);
    const Instant until = this->clock.Now() + kReplyTime;
    while (!report->notes.empty() && this->clock.Now() < until) {
      co_await report->changed.Wait(until - this->clock.Now());
    }
  }
  this->unanswered.erase(number);
  std::set<std::string> withheld;
  for (const std::string& digest : digests) {
    const std::size_t crashes =
        this->judge.CountOf({SuspectKind::kRequest, digest});
    const bool is_answered = report->answered.count(digest) > 0;
    if (!is_answered || crashes >= kCrashesToSuspect) withheld.insert(digest);
  }
  co_return withheld;
}

void CrashReports::Receive(const wire::FleetMessage& message) {
  if (message.__isset.crash_note) this->ReceiveNote(message.crash_note);
  if (message.__isset.crash_reply) this->ReceiveReply(message.crash_reply);
}

void CrashReports::ReceiveNote(const wire::CrashNote& note) {
  const std::optional<SuspectKind> kind = FromWire(note.kind);
  if (!kind.has_value()) return;
  const TargetCrash crash = FromWire(note.crash);
  // The instance that reports a request judges it itself, if it lives.
  const int reporter_turns = *kind == SuspectKind::kRequest ? 1 : 0;
  for (std::size_t i = 0; i < note.suspects.size(); ++i) {
    const Suspect suspect{*kind, note.suspects[i]};
    if (!IsUsable(suspect)) continue;
    const bool is_part = *kind == SuspectKind::kPart;
    if (is_part && this->refused.Find(suspect) != nullptr) continue;
    const SentAs sent_as =
        i < note.sent_as.size() ? FromWire(note.sent_as[i]) : SentAs::kRepeat;
    this->judge.RecordCrash(suspect, crash, this->clock.Now(), sent_as);
    if (this->judge.CountOf(suspect) < kCrashesToSuspect) continue;
    const int rank = i < note.owner_ranks.size() ? note.owner_ranks[i] : 0;
    this->judge.JudgeLater(suspect,
                           kOwnerTurn * (std::max(0, rank) + reporter_turns));
  }
  if (note.__isset.reply_to) this->Reply(note, *kind);
}

void CrashReports::Reply(const wire::CrashNote& note, SuspectKind kind) {
  const Instant now = this->clock.Now();
  wire::FleetMessage message;
  wire::CrashReply reply;
  reply.number = note.number;
  reply.instance = this->self.name;
  std::set<std::pair<std::string, std::int64_t>> recent;
  for (const std::string& id : note.suspects) {
    const Suspect suspect{kind, id};
    const auto crashes = this->judge.CrashesOf(suspect);
    if (crashes.size() < kCrashesToSuspect) continue;
    for (const CrashAccount::Crash& known : crashes) {
      wire::SuspectCrash crash;
      crash.suspect = id;
      crash.crash = ToWire(known.crash);
      crash.age_ms = absl::ToInt64Milliseconds(now - known.at);
      crash.sent_as = ToWire(known.sent_as);
      reply.crashes.push_back(std::move(crash));
    }
    for (const TargetCrash& other : this->judge.CrashesAround(suspect)) {
      if (!recent.emplace(other.target, other.born_ms).second) continue;
      reply.all_crashes.push_back(ToWire(other));
    }
  }
  message.__set_crash_reply(std::move(reply));
  this->send(message, note.reply_to);
}

void CrashReports::ReceiveReply(const wire::CrashReply& reply) {
  const auto found = this->unanswered.find(reply.number);
  if (found == this->unanswered.end()) return;
  const auto note = found->second->notes.find(reply.instance);
  if (note == found->second->notes.end()) return;
  const Instant now = this->clock.Now();
  for (const wire::SuspectCrash& known : reply.crashes) {
    this->judge.RecordCrash(
        {SuspectKind::kRequest, known.suspect}, FromWire(known.crash),
        now - absl::Milliseconds(known.age_ms), FromWire(known.sent_as));
  }
  for (const wire::TargetCrash& crash : reply.all_crashes) {
    this->judge.RecordCrash(FromWire(crash));
  }
  found->second->answered.insert(note->second.suspects.begin(),
                                 note->second.suspects.end());
  found->second->notes.erase(note);
  found->second->changed.Notify();
}

}  // namespace dragonflyglade::gateway
