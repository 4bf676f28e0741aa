#include "dragonflyglade/gateway/stream_origins.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// An answer takes 1 to 3 ms within a region, plus the time that the asked
// instances spend on other work. The second round covers lost datagrams.
constexpr absl::Duration kAnswerTimeout = absl::Milliseconds(45);
constexpr int kRounds = 2;
// Longer ids belong to no caller that keeps to the interface, and would fill
// the memory.
constexpr std::size_t kMaxStreamIdBytes = 128;
// Some ten kilobytes, of which a lost datagram loses few.
constexpr std::size_t kMaxOriginsPerNote = 200;
// With an older view of the store, this instance may not know a target that
// others send to.
constexpr absl::Duration kMaxStoreAge = absl::Seconds(2);
// The store, or a relay, confirms more often than once a second that nothing is
// newer.
constexpr absl::Duration kMaxConfirmationWait = absl::Milliseconds(1200);
constexpr absl::Duration kConfirmationPollInterval = absl::Milliseconds(20);

wire::StreamOrigin ToWire(std::string_view stream, const StreamOrigin& origin,
                          absl::Duration lifetime) {
  wire::StreamOrigin encoded;
  encoded.stream = std::string(stream);
  if (origin.version.has_value()) encoded.__set_version(*origin.version);
  encoded.attempt = origin.attempt;
  encoded.lifetime_ms = absl::ToInt64Milliseconds(lifetime);
  return encoded;
}

StreamOrigin FromWire(const wire::StreamOrigin& encoded) {
  StreamOrigin origin;
  if (encoded.__isset.version) origin.version = encoded.version;
  origin.attempt = encoded.attempt;
  return origin;
}

bool IsUsableId(std::string_view stream) {
  return !stream.empty() && stream.size() <= kMaxStreamIdBytes;
}

// For the log and the metrics.
struct DecisionText {
  std::string_view operator()(const OnlyVersion&) const { return "known"; }
  std::string_view operator()(const UnknownVersion&) const { return "unknown"; }
};

// For the log.
struct VersionText {
  std::string operator()(const OnlyVersion& only) const {
    return only.origin.version.value_or("none");
  }
  std::string operator()(const UnknownVersion&) const { return ""; }
};

}  // namespace

StreamOrigins::StreamOrigins(asio::io_context& context, FleetState& fleet,
                             EarlierVersions& earlier_versions,
                             const StoreSyncState& sync_state,
                             InstanceRecord self, Metrics& metrics,
                             EventLog& log, Clock clock)
    : context(context),
      fleet(fleet),
      earlier_versions(earlier_versions),
      sync_state(sync_state),
      self(std::move(self)),
      metrics(metrics),
      log(log),
      clock(clock),
      streams(clock) {
  this->fleet.OnSecondVersion([this](std::string_view service) {
    this->log.Write("stream", "second version",
                    {{"service", std::string(service)}});
    this->TellAllOwners();
  });
}

std::vector<StreamOwnerCandidate> StreamOrigins::Candidates() const {
  std::vector<StreamOwnerCandidate> candidates;
  for (const auto& [name, record] : this->fleet.Instances()) {
    if (name != this->self.name) candidates.push_back({name, record.zone});
  }
  return candidates;
}

std::optional<SoftwareVersion> StreamOrigins::SoleVersion(
    std::string_view service, absl::Duration lifetime) {
  if (!this->earlier_versions.AreKnown()) return std::nullopt;
  return this->fleet.CurrentVersions(service).SoleFor(lifetime,
                                                      this->clock.Now());
}

bool StreamOrigins::IsUpToDate() const {
  const absl::Duration own_age =
      this->clock.Now() - this->sync_state.ConfirmedAt();
  return !this->sync_state.IsBehind() &&
         std::min(own_age, this->sync_state.DigestAge()) <= kMaxStoreAge;
}

// Failure: targets of another version began to serve a moment ago, and streams
// at them through other instances broke. This instance was cut off or stood
// still, knows one version only and takes the streams for ones of that. A
// target is entered before it serves, so what the store had when the caller
// came names each version at which its stream may have begun.
asio::awaitable<bool> StreamOrigins::AwaitKnowledgeOf(Instant time) {
  const auto is_known = [&] {
    return !this->sync_state.IsBehind() &&
           this->sync_state.KnowledgeAge() <= this->clock.Now() - time;
  };
  const Instant until = this->clock.Now() + kMaxConfirmationWait;
  while (!is_known() && this->clock.Now() < until) {
    co_await Sleep(this->context, kConfirmationPollInterval);
  }
  co_return is_known();
}

void StreamOrigins::RecordSent(const StreamQuery& query,
                               const StreamOrigin& origin) {
  if (!IsUsableId(query.stream)) return;
  this->streams.Record(query.stream, origin, query.lifetime);
  if (!this->SoleVersion(query.service, query.lifetime).has_value()) {
    this->TellOwners(query.stream, origin, query.lifetime);
  }
}

void StreamOrigins::TellOwners(std::string_view stream,
                               const StreamOrigin& origin,
                               absl::Duration lifetime) {
  const std::vector<StreamOwnerCandidate> candidates = this->Candidates();
  for (const std::size_t owner : StreamOwners(stream, candidates)) {
    this->SendNote({ToWire(stream, origin, lifetime)}, candidates[owner].name);
  }
}

void StreamOrigins::TellAllOwners() {
  const std::vector<StreamOwnerCandidate> candidates = this->Candidates();
  std::map<std::string, std::vector<wire::StreamOrigin>> notes;
  this->streams.ForEach([&](std::string_view stream, const StreamOrigin& origin,
                            absl::Duration lifetime) {
    for (const std::size_t owner : StreamOwners(stream, candidates)) {
      auto& note = notes[candidates[owner].name];
      note.push_back(ToWire(stream, origin, lifetime));
      if (note.size() < kMaxOriginsPerNote) continue;
      this->SendNote(std::move(note), candidates[owner].name);
      note.clear();
    }
  });
  for (auto& [owner, note] : notes) this->SendNote(std::move(note), owner);
}

void StreamOrigins::SendNote(std::vector<wire::StreamOrigin> origins,
                             const std::string& instance) {
  const auto found = this->fleet.Instances().find(instance);
  if (found == this->fleet.Instances().end() || origins.empty()) return;
  wire::FleetMessage message;
  wire::StreamOriginNote note;
  note.origins = std::move(origins);
  message.__set_stream_note(std::move(note));
  this->send(message, found->second.peer_address);
}

asio::awaitable<ContinuationDecision> StreamOrigins::Decide(StreamQuery query) {
  const Instant start = this->clock.Now();
  ContinuationFacts facts;
  facts.origin = this->streams.Find(query.stream);
  std::string_view source = "own";
  if (!facts.origin.has_value()) {
    source = "others";
    if (IsUsableId(query.stream)) facts = co_await this->Ask(query);
    co_await this->earlier_versions.AwaitKnown();
    facts.sole_version = this->SoleVersion(query.service, query.lifetime);
    facts.up_to_date = this->IsUpToDate();
    const bool goes_on_unasked = facts.answers == 0 && facts.up_to_date &&
                                 facts.sole_version.has_value();
    if (goes_on_unasked) {
      facts.up_to_date = co_await this->AwaitKnowledgeOf(start);
      facts.sole_version = this->SoleVersion(query.service, query.lifetime);
    }
  }
  const ContinuationDecision decision = DecideContinuation(facts);
  const bool by_sole_version = !facts.origin.has_value() &&
                               std::holds_alternative<OnlyVersion>(decision);
  const std::string_view text =
      by_sole_version ? "one version" : std::visit(DecisionText(), decision);
  this->metrics.Count("stream_continuations",
                      "decision=\"" + std::string(text) + "\"");
  this->log.Write("stream", "continuation",
                  {{"id", query.request_id},
                   {"stream", query.stream},
                   {"decision", text},
                   {"source", source},
                   {"version", std::visit(VersionText(), decision)},
                   {"answers", facts.answers},
                   {"up_to_date", facts.up_to_date},
                   {"waited_ms", this->clock.Now() - start}});
  co_return decision;
}

asio::awaitable<ContinuationFacts> StreamOrigins::Ask(
    const StreamQuery& query) {
  const std::vector<StreamOwnerCandidate> candidates = this->Candidates();
  const std::int64_t number = ++this->last_number;
  wire::FleetMessage message;
  wire::StreamOriginQuestion question;
  question.number = number;
  question.address = this->self.peer_address;
  question.stream = std::string(query.stream);
  question.service_name = std::string(query.service);
  question.lifetime_ms = absl::ToInt64Milliseconds(query.lifetime);
  message.__set_stream_question(std::move(question));
  PendingQuestion& asked =
      this->pending.try_emplace(number, this->context).first->second;
  for (const std::size_t owner : AskedStreamOwners(query.stream, candidates)) {
    asked.silent.insert(candidates[owner].name);
  }
  for (int round = 0; round < kRounds && !asked.IsDecided(); ++round) {
    for (const std::string& name : asked.silent) {
      const auto instance = this->fleet.Instances().find(name);
      if (instance == this->fleet.Instances().end()) continue;
      this->send(message, instance->second.peer_address);
    }
    const Instant until = this->clock.Now() + kAnswerTimeout;
    while (!asked.IsDecided() && this->clock.Now() < until) {
      co_await asked.answered.Wait(until - this->clock.Now());
    }
  }
  ContinuationFacts facts = asked.facts;
  this->pending.erase(number);
  if (facts.origin.has_value()) {
    this->streams.Record(query.stream, *facts.origin, query.lifetime);
  }
  co_return facts;
}

void StreamOrigins::Receive(const wire::FleetMessage& message) {
  if (message.__isset.stream_note) this->ReceiveNote(message.stream_note);
  if (message.__isset.stream_question) {
    this->ReceiveQuestion(message.stream_question);
  }
  if (message.__isset.stream_answer) this->ReceiveAnswer(message.stream_answer);
}

void StreamOrigins::ReceiveNote(const wire::StreamOriginNote& note) {
  for (const wire::StreamOrigin& item : note.origins) {
    if (!IsUsableId(item.stream)) continue;
    this->streams.Record(item.stream, FromWire(item),
                         absl::Milliseconds(item.lifetime_ms));
  }
}

void StreamOrigins::ReceiveQuestion(
    const wire::StreamOriginQuestion& question) {
  const absl::Duration lifetime = absl::Milliseconds(question.lifetime_ms);
  wire::StreamOriginAnswer answer;
  answer.number = question.number;
  answer.instance = this->self.name;
  answer.several_versions =
      !this->SoleVersion(question.service_name, lifetime).has_value();
  const std::optional<StreamOrigin> origin =
      this->streams.Find(question.stream);
  if (origin.has_value()) {
    answer.__set_origin(ToWire(question.stream, *origin, lifetime));
  }
  wire::FleetMessage message;
  message.__set_stream_answer(std::move(answer));
  this->send(message, question.address);
}

void StreamOrigins::ReceiveAnswer(const wire::StreamOriginAnswer& answer) {
  const auto found = this->pending.find(answer.number);
  if (found == this->pending.end()) return;
  if (found->second.silent.erase(answer.instance) == 0) return;
  ContinuationFacts& facts = found->second.facts;
  facts.answers += 1;
  facts.several_versions |= answer.several_versions;
  if (answer.__isset.origin) {
    const StreamOrigin origin = FromWire(answer.origin);
    const bool newer =
        !facts.origin.has_value() || origin.attempt > facts.origin->attempt;
    if (newer) facts.origin = origin;
  }
  found->second.answered.Notify();
}

}  // namespace dragonflyglade::gateway
