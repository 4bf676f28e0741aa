#include "dragonflyglade/gateway/refused_suspects.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_join.h"
#include "dragonflyglade/decision/rendezvous.h"
#include "dragonflyglade/gateway/crash_messages.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// In a fleet of some hundred instances, more than one or two are killed at once
// now and then.
constexpr std::size_t kOwners = 3;
// Messages from before a removal arrive within this time.
constexpr absl::Duration kRemovalTime = absl::Seconds(10);
constexpr absl::Duration kWriteInterval = absl::Milliseconds(500);
constexpr absl::Duration kIdleInterval = absl::Seconds(60);
constexpr absl::Duration kWriteTimeout = absl::Milliseconds(400);
// An owner writes the record if the one that refused the suspect did not.
constexpr absl::Duration kOwnerWriteDelay = absl::Seconds(1);
// The other relays have the store's newest state, and write it if no owner did.
constexpr absl::Duration kRelayWriteDelay = absl::Seconds(5);
// A record that was written and is not there has been removed since.
constexpr absl::Duration kWrittenTime = absl::Seconds(10);
// A caller may repeat its request this long; its record is dropped then.
constexpr absl::Duration kRequestLifetime = absl::Hours(24);
// Store keys have 200 bytes at most.
constexpr std::size_t kMaxIdBytes = 128;
// Of a kind. Bounds the memory, and what is read from the store at each start.
constexpr std::size_t kMaxRefused = 1000;
constexpr std::size_t kMaxRemoved = 1000;
// One datagram in some hundred is lost. An instance that does not confirm is
// killed or cut off, and learns of the suspect from the store.
constexpr int kTellRounds = 3;
constexpr absl::Duration kConfirmationTime = absl::Milliseconds(20);

// Removes the oldest entry if there are too many.
void Bound(std::map<Suspect, Instant>& times) {
  if (times.size() <= kMaxRemoved) return;
  times.erase(std::min_element(times.begin(), times.end(),
                               [](const auto& one, const auto& other) {
                                 return one.second < other.second;
                               }));
}

std::vector<SoftwareVersion> VersionsOf(
    absl::Span<const CrashAccount::Crash> crashes) {
  std::set<SoftwareVersion> versions;
  for (const CrashAccount::Crash& known : crashes) {
    versions.insert(known.crash.version);
  }
  return {versions.begin(), versions.end()};
}

}  // namespace

std::vector<std::string> OwnersOf(const Suspect& suspect,
                                  const FleetState& fleet,
                                  const std::string& self) {
  std::vector<std::string> names = {self};
  for (const auto& [name, record] : fleet.Instances()) {
    if (name != self) names.push_back(name);
  }
  return RendezvousOwners(suspect.id, names, kOwners);
}

bool IsUsable(const Suspect& suspect) {
  const std::string& id = suspect.id;
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(),
                     [](char one) { return one > ' ' && one < '\x7f'; });
}

RefusedSuspects::RefusedSuspects(asio::io_context& context, FleetState& fleet,
                                 StoreClient& store, InstanceRecord self,
                                 Metrics& metrics, EventLog& log, Clock clock,
                                 TimeOfDay time_of_day)
    : context(context),
      fleet(fleet),
      store(store),
      self(std::move(self)),
      metrics(metrics),
      log(log),
      clock(std::move(clock)),
      time_of_day(std::move(time_of_day)),
      added(context) {
  this->fleet.OnCrashRecordRemoved(
      [this](const Suspect& suspect) { this->HandleRemoval(suspect); });
}

// What another instance told may be newer than what the store has.
const RefusedSuspect* RefusedSuspects::Find(const Suspect& suspect) const {
  const auto own = this->unrecorded.find(suspect);
  if (own != this->unrecorded.end()) return &own->second.refused;
  const auto& recorded = this->fleet.CrashRecords();
  const auto found = recorded.find(suspect);
  return found == recorded.end() ? nullptr : &found->second;
}

const PromptPart* RefusedSuspects::FindPart(
    absl::Span<const PromptPart> parts) const {
  if (this->unrecorded.empty() && this->fleet.CrashRecords().empty()) {
    return nullptr;
  }
  const auto found =
      std::find_if(parts.begin(), parts.end(), [this](const PromptPart& part) {
        return this->Find({SuspectKind::kPart, part.id}) != nullptr;
      });
  return found == parts.end() ? nullptr : &*found;
}

std::size_t RefusedSuspects::Count(SuspectKind kind) const {
  std::size_t count = 0;
  for (const auto& [suspect, refused] : this->fleet.CrashRecords()) {
    if (suspect.kind == kind) count += 1;
  }
  for (const auto& [suspect, item] : this->unrecorded) {
    const bool recorded = this->fleet.CrashRecords().count(suspect) > 0;
    if (suspect.kind == kind && !recorded) count += 1;
  }
  return count;
}

asio::awaitable<void> RefusedSuspects::Refuse(
    Suspect suspect, std::vector<CrashAccount::Crash> crashes) {
  CrashRecord record;
  record.by = this->self.name;
  record.since = this->time_of_day();
  for (const CrashAccount::Crash& known : crashes) {
    record.crashes.push_back(known.crash.target);
  }
  record.fell_together = CrashAccount::FellTogether(crashes);
  record.versions = VersionsOf(crashes);
  this->log.Write("parts", "confirmed",
                  {{LogNameOf(suspect.kind), suspect.id},
                   {"crashes", absl::StrJoin(record.crashes, ",")},
                   {"fell_together", record.fell_together}});
  this->metrics.Count(suspect.kind == SuspectKind::kPart
                          ? "crashing_parts_confirmed"
                          : "crashing_requests_confirmed");
  this->Add(suspect, record, true);
  co_await this->TellAll(std::move(suspect), std::move(record));
}

wire::FleetMessage RefusedSuspects::MakeNote(const Suspect& suspect,
                                             const CrashRecord& record,
                                             std::int64_t number) const {
  wire::FleetMessage message;
  wire::RefusedSuspectNote note;
  note.suspect = suspect.id;
  note.record = EncodeCrashRecord(record);
  note.kind = ToWire(suspect.kind);
  note.__set_reply_to(this->self.peer_address);
  note.__set_number(number);
  message.__set_refused_suspect_note(std::move(note));
  return message;
}

// A caller that has got its answer may send the request again at any of them.
asio::awaitable<void> RefusedSuspects::TellAll(Suspect suspect,
                                               CrashRecord record) {
  const std::int64_t number = ++this->last_number;
  const auto waiting = std::make_shared<Unconfirmed>(this->context);
  for (const auto& [name, instance] : this->fleet.Instances()) {
    if (name != this->self.name) waiting->instances.insert(name);
  }
  this->unconfirmed[number] = waiting;
  const wire::FleetMessage note = this->MakeNote(suspect, record, number);
  for (int round = 0; round < kTellRounds; ++round) {
    for (const std::string& name : waiting->instances) {
      const auto instance = this->fleet.Instances().find(name);
      if (instance == this->fleet.Instances().end()) continue;
      this->send(note, instance->second.peer_address);
    }
    const Instant until = this->clock.Now() + kConfirmationTime;
    while (!waiting->instances.empty() && this->clock.Now() < until) {
      co_await waiting->changed.Wait(until - this->clock.Now());
    }
  }
  this->unconfirmed.erase(number);
}

void RefusedSuspects::Receive(const wire::FleetMessage& message) {
  if (message.__isset.refused_suspect_note) {
    this->ReceiveNote(message.refused_suspect_note);
  }
  if (message.__isset.refusal_confirmation) {
    this->ReceiveConfirmation(message.refusal_confirmation);
  }
}

void RefusedSuspects::ReceiveNote(const wire::RefusedSuspectNote& note) {
  const std::optional<SuspectKind> kind = FromWire(note.kind);
  if (!kind.has_value()) return;
  const Suspect suspect{*kind, note.suspect};
  if (!IsUsable(suspect)) return;
  if (note.__isset.reply_to) {
    wire::FleetMessage message;
    wire::RefusalConfirmation confirmation;
    confirmation.number = note.number;
    confirmation.instance = this->self.name;
    message.__set_refusal_confirmation(std::move(confirmation));
    this->send(message, note.reply_to);
  }
  const auto removed = this->removed_at.find(suspect);
  if (removed != this->removed_at.end() &&
      this->clock.Now() - removed->second < kRemovalTime) {
    return;
  }
  CrashRecord record = DecodeCrashRecord(note.record);
  const RefusedSuspect* known = this->Find(suspect);
  if (known != nullptr &&
      known->record.crashes.size() >= record.crashes.size()) {
    return;
  }
  this->log.Write("parts", "confirmed by another",
                  {{LogNameOf(suspect.kind), suspect.id},
                   {"by", record.by},
                   {"crashes", absl::StrJoin(record.crashes, ",")}});
  this->Add(suspect, std::move(record), false);
}

void RefusedSuspects::ReceiveConfirmation(
    const wire::RefusalConfirmation& confirmation) {
  const auto found = this->unconfirmed.find(confirmation.number);
  if (found == this->unconfirmed.end()) return;
  found->second->instances.erase(confirmation.instance);
  found->second->changed.Notify();
}

void RefusedSuspects::Add(const Suspect& suspect, CrashRecord record,
                          bool own) {
  const bool is_known = this->Find(suspect) != nullptr;
  if (!is_known && this->Count(suspect.kind) >= kMaxRefused) {
    this->log.Write("parts", "too many",
                    {{LogNameOf(suspect.kind), suspect.id}});
    if (suspect.kind == SuspectKind::kPart) return;
    this->DropOldestRequest();
  }
  Unrecorded item;
  item.refused = {std::move(record), this->clock.Now()};
  item.own = own;
  item.next_write = this->clock.Now();
  this->unrecorded.insert_or_assign(suspect, std::move(item));
  this->added.Notify();
  this->fleet.Changed().Notify();
}

void RefusedSuspects::DropOldestRequest() {
  auto oldest = this->unrecorded.end();
  for (auto item = this->unrecorded.begin(); item != this->unrecorded.end();
       ++item) {
    if (item->first.kind != SuspectKind::kRequest) continue;
    const bool is_older =
        oldest == this->unrecorded.end() ||
        item->second.refused.known_since < oldest->second.refused.known_since;
    if (is_older) oldest = item;
  }
  if (oldest != this->unrecorded.end()) this->unrecorded.erase(oldest);
}

// An operator has taken it back, or it was answered: it needs new evidence.
void RefusedSuspects::HandleRemoval(const Suspect& suspect) {
  this->unrecorded.erase(suspect);
  this->removed_at[suspect] = this->clock.Now();
  Bound(this->removed_at);
  if (this->on_removed) this->on_removed(suspect);
}

asio::awaitable<void> RefusedSuspects::Clear(std::string digest,
                                             SoftwareVersion version) {
  const Suspect suspect{SuspectKind::kRequest, digest};
  const RefusedSuspect* refused = this->Find(suspect);
  if (refused == nullptr) co_return;
  const auto& versions = refused->record.versions;
  const bool others =
      std::any_of(versions.begin(), versions.end(),
                  [&](const SoftwareVersion& one) { return one != version; });
  this->log.Write("parts", others ? "answered by another version" : "answered",
                  {{"digest", digest}, {"version", version.value_or("none")}});
  if (others) co_return;
  while (!co_await this->RemoveRecord(digest)) {
    co_await Sleep(this->context, kWriteInterval);
  }
  this->HandleRemoval(suspect);
}

asio::awaitable<bool> RefusedSuspects::RemoveRecord(std::string digest) {
  StoreTransaction transaction;
  transaction.deletes.push_back(
      CrashRecordKey({SuspectKind::kRequest, digest}));
  transaction.deletes.push_back(TrialKey(digest));
  StoreCall call = std::move(transaction);
  const StoreResponse response =
      co_await this->store.Call(std::move(call), kWriteTimeout);
  co_return std::holds_alternative<StoreCommitted>(response);
}

asio::awaitable<void> RefusedSuspects::MaintainRecords() {
  while (true) {
    co_await this->WriteDue();
    if (this->fleet.IsRelayInstance(this->self.name)) {
      for (const Suspect& lapsed : this->LapsedRequests()) {
        co_await this->RemoveRecord(lapsed.id);
      }
    }
    co_await this->added.Wait(this->unrecorded.empty() ? kIdleInterval
                                                       : kWriteInterval);
  }
}

// Those that an operator named have no crashes.
std::vector<Suspect> RefusedSuspects::LapsedRequests() const {
  const absl::Time now = this->time_of_day();
  std::vector<std::pair<absl::Time, Suspect>> requests;
  for (const auto& [suspect, refused] : this->fleet.CrashRecords()) {
    if (suspect.kind != SuspectKind::kRequest) continue;
    if (refused.record.crashes.empty()) continue;
    requests.emplace_back(refused.record.since, suspect);
  }
  std::sort(requests.begin(), requests.end());
  std::vector<Suspect> lapsed;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const bool is_old = now - requests[i].first > kRequestLifetime;
    const bool too_many = requests.size() - i > kMaxRefused;
    if (is_old || too_many) lapsed.push_back(requests[i].second);
  }
  return lapsed;
}

void RefusedSuspects::DropRecorded() {
  const Instant now = this->clock.Now();
  const auto& recorded = this->fleet.CrashRecords();
  for (auto item = this->unrecorded.begin(); item != this->unrecorded.end();) {
    const std::optional<Instant> written = item->second.written;
    const auto found = recorded.find(item->first);
    const bool is_recorded = found != recorded.end() &&
                             found->second.record.crashes.size() >=
                                 item->second.refused.record.crashes.size();
    const bool is_removed =
        written.has_value() && now - *written > kWrittenTime;
    if (is_recorded) {
      this->fleet.SetCrashRecordKnownSince(item->first,
                                           item->second.refused.known_since);
    }
    item = is_recorded || is_removed ? this->unrecorded.erase(item)
                                     : std::next(item);
  }
}

// The time after which this instance writes the record; nothing if it leaves
// that to others.
std::optional<absl::Duration> RefusedSuspects::WriteDelay(
    const Suspect& suspect, const Unrecorded& item) const {
  if (item.own) return absl::ZeroDuration();
  const std::vector<std::string> owners =
      OwnersOf(suspect, this->fleet, this->self.name);
  const auto owner = std::find(owners.begin(), owners.end(), this->self.name);
  if (owner != owners.end()) {
    return kOwnerWriteDelay * (1 + (owner - owners.begin()));
  }
  if (this->fleet.IsRelayInstance(this->self.name)) return kRelayWriteDelay;
  return std::nullopt;
}

asio::awaitable<void> RefusedSuspects::WriteDue() {
  this->DropRecorded();
  const Instant now = this->clock.Now();
  std::vector<Suspect> due;
  for (auto& [suspect, item] : this->unrecorded) {
    if (item.written.has_value() || now < item.next_write) continue;
    const std::optional<absl::Duration> delay = this->WriteDelay(suspect, item);
    const absl::Duration known_for = now - item.refused.known_since;
    if (!delay.has_value() || known_for < *delay) continue;
    item.next_write = now + kWriteInterval;
    due.push_back(suspect);
  }
  for (const Suspect& suspect : due) co_await this->Write(suspect);
}

// While the store is away, instances that missed the message, or have started
// since, learn of the suspect by its repetition.
asio::awaitable<void> RefusedSuspects::Write(Suspect suspect) {
  const auto found = this->unrecorded.find(suspect);
  if (found == this->unrecorded.end()) co_return;
  const std::string key = CrashRecordKey(suspect);
  StoreTransaction transaction;
  // A request's record is replaced when another target has crashed on it.
  const bool is_newer = this->fleet.CrashRecords().count(suspect) > 0;
  if (!is_newer) transaction.preconditions.push_back({key, 0});
  transaction.puts.push_back(
      {key, EncodeCrashRecord(found->second.refused.record), 0});
  StoreCall call = std::move(transaction);
  const StoreResponse response =
      co_await this->store.Call(std::move(call), kWriteTimeout);
  const auto item = this->unrecorded.find(suspect);
  if (item == this->unrecorded.end()) co_return;
  if (std::holds_alternative<StoreCommitted>(response)) {
    item->second.written = this->clock.Now();
    co_return;
  }
  // The other record will be known here soon, and may have fewer crashes.
  if (std::holds_alternative<StoreConflict>(response)) co_return;
  this->log.Write("parts", "not recorded yet",
                  {{LogNameOf(suspect.kind), suspect.id}});
  co_await this->TellAll(suspect, item->second.refused.record);
}

}  // namespace dragonflyglade::gateway
