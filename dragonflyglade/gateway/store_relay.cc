#include "dragonflyglade/gateway/store_relay.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/change_codec.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// A datagram takes 64 KB, and a summary of 160 engines has some 24 KB besides
// the packed changes.
constexpr std::size_t kMaxPackedBytes = std::size_t{32} * 1024;
// In the compact encoding.
constexpr std::size_t kBytesPerExistingKey = 5;
// A larger change is sent once to each instance that requests it, and not with
// each digest until the receiver's next report.
constexpr std::size_t kMaxDigestChangeBytes = std::size_t{12} * 1024;
// The leader gets a response of the store every 0.6 s and sends a digest every
// 0.5 s. An older digest means that the leader is unreachable, or that the
// store is unreachable for it. Another relay's digest then arrives before the
// last one is too old to be used.
constexpr absl::Duration kDigestStaleAfter = absl::Milliseconds(1150);
constexpr absl::Duration kQueryInterval = absl::Milliseconds(250);
constexpr absl::Duration kPartCheckInterval = absl::Milliseconds(50);
// Of an instance that relies on a neighbor: within the time for which its
// query subscribes it there.
constexpr absl::Duration kNeighborQueryInterval = absl::Milliseconds(500);
constexpr std::size_t kNeighborsPerQuery = 2;
// A query subscribes its sender to changes for this long.
constexpr absl::Duration kSubscriptionDuration = absl::Milliseconds(1000);

}  // namespace

StoreRelay::StoreRelay(asio::io_context& context, FleetState& fleet,
                       StoreSyncState& sync_state, InstanceRecord self,
                       double link_mbps, Metrics& metrics, EventLog& log,
                       Clock clock)
    : context(context),
      fleet(fleet),
      sync_state(sync_state),
      self(std::move(self)),
      metrics(metrics),
      log(log),
      clock(std::move(clock)),
      large_sender(context, fleet, link_mbps, metrics, this->clock),
      large_receiver(fleet, this->self, this->clock),
      parts_missing(context),
      neighbors(fleet, this->self.name) {}

void StoreRelay::OnSend(SendMessage send) {
  this->send = std::move(send);
  this->large_sender.OnSend(this->send);
}

// Packed changes are cached by revision: most instances know the same one, and
// packing a large configuration takes some milliseconds on a small machine.
const StoreRelay::PackedDigestChanges* StoreRelay::PackedChangesSince(
    std::uint64_t known) {
  const RecentChanges& recent = this->fleet.RecentUrgentChanges();
  if (recent.Version() != this->packed_version) this->packed.clear();
  this->packed_version = recent.Version();
  const auto found = this->packed.find(known);
  if (found != this->packed.end()) return &found->second;
  PackedDigestChanges packed;
  std::size_t max_bytes = kMaxPackedBytes;
  std::optional<std::vector<StoreEvent>> changes = recent.Since(known);
  if (!changes.has_value() && known > 0) {
    changes = recent.LatestSince(known);
    packed.existing = this->ExistingKeys();
    const std::size_t key_bytes =
        kBytesPerExistingKey * packed.existing->hashes.size();
    // A larger digest would not be sent at all.
    if (key_bytes > kMaxPackedBytes - kMaxDigestChangeBytes) return nullptr;
    max_bytes -= key_bytes;
  }
  if (!changes.has_value()) return nullptr;
  std::erase_if(*changes, [&](const StoreEvent& event) {
    std::optional<wire::LargeChange> large = this->DescribeIfLarge(event);
    if (!large.has_value()) return false;
    packed.large_changes.push_back(*std::move(large));
    return true;
  });
  PackedChanges bytes = PackChanges(*changes, max_bytes);
  packed.complete = bytes.count == changes->size();
  if (bytes.count > 0) packed.last = (*changes)[bytes.count - 1].item.revision;
  packed.bytes = std::move(bytes.bytes);
  return &this->packed.emplace(known, std::move(packed)).first->second;
}

wire::ExistingKeys StoreRelay::ExistingKeys() const {
  wire::ExistingKeys existing;
  existing.hashes = this->fleet.ExistingKeys();
  existing.revision = static_cast<std::int64_t>(this->sync_state.ReadThrough());
  return existing;
}

std::optional<wire::LargeChange> StoreRelay::DescribeIfLarge(
    const StoreEvent& event) {
  if (event.item.value.size() <= kMaxDigestChangeBytes) return std::nullopt;
  const std::shared_ptr<const PackedChange> packed =
      this->large_sender.Pack(event);
  if (packed->Bytes().size() <= kMaxDigestChangeBytes) return std::nullopt;
  wire::LargeChange large;
  large.key = event.item.key;
  large.revision = static_cast<std::int64_t>(event.item.revision);
  large.checksum = static_cast<std::int64_t>(packed->Checksum());
  large.parts = static_cast<std::int32_t>(packed->Parts());
  return large;
}

wire::StoreDigest StoreRelay::DigestSince(std::uint64_t known) {
  const PackedDigestChanges* changes = this->PackedChangesSince(known);
  if (changes == nullptr) {
    wire::StoreDigest digest = this->DigestWithChanges("");
    digest.lacks_history = this->sync_state.UrgentRevision() > known;
    return digest;
  }
  wire::StoreDigest digest = this->DigestWithChanges(changes->bytes);
  digest.through_with_large_changes = static_cast<std::int64_t>(
      changes->complete ? this->sync_state.ReadThrough() : changes->last);
  digest.changes_through = digest.through_with_large_changes;
  digest.large_changes = changes->large_changes;
  if (changes->existing.has_value()) digest.__set_existing(*changes->existing);
  for (const wire::LargeChange& large : digest.large_changes) {
    digest.changes_through =
        std::min(digest.changes_through, large.revision - 1);
  }
  return digest;
}

wire::StoreDigest StoreRelay::RespondWithDigest(std::uint64_t known,
                                                const RequestTime& request) {
  wire::StoreDigest digest = this->DigestSince(known);
  wire::RequestEcho echo;
  echo.sent_ms = request.sent_ms;
  echo.held_ms =
      absl::ToInt64Milliseconds(this->clock.Now() - request.received_at);
  digest.__set_echo(echo);
  return digest;
}

// Failure: digests lie on a link or in a socket's buffer for seconds. If their
// age were counted from their arrival, this instance would believe to be up to
// date, and serve by an old configuration although the store is in reach. The
// time from its own request on includes all of the way, with no other
// instance's clock.
std::optional<Instant> StoreRelay::EarliestSendTime(
    const wire::StoreDigest& digest) const {
  if (!digest.__isset.echo) return std::nullopt;
  const Instant sent_at =
      absl::Milliseconds(digest.echo.sent_ms + digest.echo.held_ms);
  return std::min(this->clock.Now(), sent_at);
}

// How long the digest was on its way is known within bounds only. The uptime
// begins at the latest and ends at the earliest possible time, so that it does
// not cover part of an outage.
void StoreRelay::RecordUptime(const wire::StoreDigest& digest,
                              Instant confirmed_at) {
  StoreUptime uptime{confirmed_at, confirmed_at};
  const std::optional<Instant> sent_at = this->EarliestSendTime(digest);
  if (!sent_at.has_value()) return;
  if (digest.__isset.uptime) {
    uptime.through = *sent_at - absl::Milliseconds(digest.uptime.through_ms);
    uptime.since =
        std::min(this->clock.Now() - absl::Milliseconds(digest.uptime.since_ms),
                 uptime.through);
  }
  this->sync_state.RecordUptime(uptime);
  this->fleet.RemoveMissingTargets();
}

void StoreRelay::ReceiveDigest(const wire::StoreDigest& digest) {
  RelayDigest relay_digest;
  relay_digest.urgent_revision =
      static_cast<std::uint64_t>(digest.urgent_revision);
  relay_digest.confirmed_at =
      this->EarliestSendTime(digest).value_or(-absl::InfiniteDuration()) -
      absl::Milliseconds(digest.age_ms);
  relay_digest.changes_through =
      static_cast<std::uint64_t>(digest.changes_through);
  relay_digest.lacks_history = digest.lacks_history;
  this->RecordUptime(digest, relay_digest.confirmed_at);
  if (!digest.changes.empty()) {
    const auto changes = UnpackChanges(digest.changes);
    if (!changes.has_value()) {
      this->metrics.Count("unreadable_datagrams");
      return;
    }
    for (const StoreEvent& event : *changes) {
      if (event.deleted) {
        this->fleet.ApplyDeleted(event.item.key, event.item.revision);
      } else {
        this->fleet.Apply(event.item, ChangeSource::kRelay);
      }
    }
  }
  if (digest.__isset.existing) {
    this->fleet.RemoveOtherKeys(
        digest.existing.hashes,
        static_cast<std::uint64_t>(digest.existing.revision),
        this->sync_state.KnownThrough());
  }
  if (this->large_receiver.Announce(digest) && !digest.large_changes.empty()) {
    relay_digest.changes_through =
        static_cast<std::uint64_t>(digest.through_with_large_changes);
  }
  if (this->clock.Now() - relay_digest.confirmed_at <
      this->sync_state.DigestAge()) {
    this->freshest_source = digest.address;
  }
  const std::uint64_t known = this->sync_state.KnownThrough();
  this->sync_state.ApplyDigest(relay_digest);
  this->RequestMissingParts();
  if (this->large_receiver.HasMissing()) this->parts_missing.Notify();
  // The changes did not all fit into one datagram; the next query gets more.
  const bool more_available = this->sync_state.IsBehind() &&
                              !this->large_receiver.HasMissing() &&
                              this->sync_state.KnownThrough() > known;
  if (more_available) this->QueryNextRelay();
  if (this->on_digest_applied) this->on_digest_applied();
}

void StoreRelay::RequestMissingParts() {
  for (LargeChangeReceiver::AddressedRequest& next :
       this->large_receiver.NextRequests()) {
    wire::FleetMessage message;
    message.__set_part_request(std::move(next.request));
    this->send(message, next.address);
    this->metrics.Count("change_part_requests");
  }
}

asio::awaitable<void> StoreRelay::RequestPartsWhileMissing() {
  while (true) {
    if (this->large_receiver.HasMissing()) {
      co_await Sleep(this->context, kPartCheckInterval);
    } else {
      co_await this->parts_missing.Wait(absl::Seconds(1));
    }
    this->RequestMissingParts();
  }
}

void StoreRelay::ReceivePart(const wire::ChangePart& part) {
  const Instant last_progress = this->large_receiver.LastProgress();
  const std::optional<StoreEvent> change = this->large_receiver.Receive(part);
  if (this->large_receiver.LastProgress() > last_progress) {
    this->sync_state.RecordProgress();
  }
  if (!change.has_value()) return;
  this->fleet.Apply(change->item, ChangeSource::kRelay);
  if (!this->large_receiver.HasMissing()) {
    this->sync_state.RecordComplete(this->large_receiver.CompleteThrough());
  }
  this->RequestMissingParts();
}

std::string StoreRelay::PackLeaderRecord() const {
  auto changes =
      this->fleet.RecentUrgentChanges().Since(this->fleet.LeaderRevision() - 1);
  if (!changes.has_value()) return "";
  std::erase_if(*changes, [](const StoreEvent& event) {
    return event.item.key != FleetState::kLeaderKey;
  });
  return PackChanges(*changes, kMaxPackedBytes).bytes;
}

// changes_through stays 0, since the receiver may lack other changes.
wire::StoreDigest StoreRelay::DigestWithChanges(std::string changes) const {
  wire::StoreDigest digest;
  digest.urgent_revision =
      static_cast<std::int64_t>(this->sync_state.UrgentRevision());
  digest.age_ms = absl::ToInt64Milliseconds(this->clock.Now() -
                                            this->sync_state.ConfirmedAt());
  digest.changes = std::move(changes);
  digest.address = this->self.peer_address;
  const auto& uptime = this->sync_state.Availability().Uptime();
  if (uptime.has_value()) {
    const Instant now = this->clock.Now();
    wire::StoreUptime ages;
    ages.since_ms = absl::ToInt64Milliseconds(now - uptime->since);
    ages.through_ms = absl::ToInt64Milliseconds(now - uptime->through);
    digest.__set_uptime(ages);
  }
  return digest;
}

void StoreRelay::SendDigest(std::uint64_t known, const RequestTime& request,
                            const std::string& address) {
  wire::FleetMessage message;
  message.__set_store(this->RespondWithDigest(known, request));
  this->send(message, address);
}

void StoreRelay::ReceiveQuestion(const wire::StoreQuestion& question) {
  const auto known = static_cast<std::uint64_t>(question.known);
  const RequestTime query{question.sent_ms, this->clock.Now()};
  this->subscribers[question.address] = {known, query};
  this->SendDigest(known, query, question.address);
}

void StoreRelay::NotifySubscribers() {
  const Instant now = this->clock.Now();
  for (auto subscriber = this->subscribers.begin();
       subscriber != this->subscribers.end();) {
    const Subscriber& known = subscriber->second;
    if (now - known.query.received_at > kSubscriptionDuration) {
      subscriber = this->subscribers.erase(subscriber);
      continue;
    }
    this->SendDigest(known.known, known.query, subscriber->first);
    ++subscriber;
  }
}

bool StoreRelay::IsRelay() const {
  return this->fleet.IsRelayInstance(this->self.name);
}

void StoreRelay::Receive(const wire::FleetMessage& message) {
  if (message.__isset.store) this->ReceiveDigest(message.store);
  if (message.__isset.store_question) {
    this->ReceiveQuestion(message.store_question);
  }
  if (message.__isset.part_request) {
    this->large_sender.Receive(message.part_request);
  }
  if (message.__isset.change_part) this->ReceivePart(message.change_part);
}

asio::awaitable<void> StoreRelay::QueryRelaysWhileStale() {
  while (true) {
    co_await Sleep(this->context, kQueryInterval);
    this->CheckRelays();
  }
}

void StoreRelay::CheckRelays() {
  const absl::Duration own_age =
      this->clock.Now() - this->sync_state.ConfirmedAt();
  const absl::Duration digest_age = this->sync_state.DigestAge();
  const bool reads_itself = this->IsRelay() && own_age <= kDigestStaleAfter;
  if (!reads_itself && digest_age > kDigestStaleAfter) this->QueryNextRelay();
  const absl::Duration query_after =
      this->ReliesOnNeighbor() ? kNeighborQueryInterval : kDigestStaleAfter;
  if (this->sync_state.ReadsFail() && digest_age > query_after) {
    this->QueryNeighbors();
  }
  // An instance that lost all its links believes in an outage of the store.
  // Digests say so if others saw none, but a relay gets none unasked.
  if (this->sync_state.Availability().MayLackEntries(this->clock.Now())) {
    this->QueryNextNeighbors();
  }
  this->fleet.RemoveMissingTargets();
  this->LogChanges();
  this->LogOutage();
}

void StoreRelay::LogOutage() {
  const std::optional<StoreOutage> outage =
      this->sync_state.Availability().LastOutage();
  std::optional<Instant> end;
  if (outage.has_value()) end = outage->end;
  if (end == this->logged_outage_end) return;
  this->logged_outage_end = end;
  if (!outage.has_value()) {
    this->log.Write("store", "responded to others throughout", {});
    return;
  }
  this->log.Write("store", "outage",
                  {{"lasted_ms", outage->end - outage->begin},
                   {"ended_ms_ago", this->clock.Now() - outage->end}});
}

void StoreRelay::LogChanges() {
  const Instant now = this->clock.Now();
  if (this->sync_state.HasLiveRelay() != this->had_live_relay) {
    this->had_live_relay = this->sync_state.HasLiveRelay();
    this->log.Write("store",
                    this->had_live_relay ? "relay live" : "no live relay",
                    {{"known_through", this->sync_state.KnownThrough()},
                     {"behind", this->sync_state.IsBehind()}});
  }
  if (this->sync_state.IsBehind() == this->logged_behind_since.has_value()) {
    return;
  }
  if (!this->logged_behind_since.has_value()) {
    this->logged_behind_since = now;
    this->log.Write("store", "behind",
                    {{"known_through", this->sync_state.KnownThrough()},
                     {"announced", this->sync_state.AnnouncedRevision()}});
    return;
  }
  this->log.Write("store", "caught up",
                  {{"known_through", this->sync_state.KnownThrough()},
                   {"behind_ms", now - *this->logged_behind_since}});
  this->logged_behind_since.reset();
}

// Queries the relays in turn, since one may have terminated or be unreachable
// from here.
void StoreRelay::QueryNextRelay() {
  const std::vector<const InstanceRecord*>& relays =
      this->fleet.RelayInstances();
  if (relays.empty()) return;
  const InstanceRecord* relay = relays[this->next_relay % relays.size()];
  this->next_relay += 1;
  if (relay->name != this->self.name) this->Query(relay->peer_address);
}

// The store refuses this instance, and perhaps all relays. The others then read
// the store themselves, and any of them may be up to date.
void StoreRelay::QueryNeighbors() {
  if (!this->freshest_source.empty()) this->Query(this->freshest_source);
  if (!this->sync_state.HasLiveRelay()) this->QueryNextNeighbors();
}

void StoreRelay::QueryNextNeighbors() {
  for (std::size_t i = 0; i < kNeighborsPerQuery; ++i) {
    const std::optional<std::string> address = this->neighbors.NextAddress();
    if (address.has_value()) this->Query(*address);
  }
}

bool StoreRelay::ReliesOnNeighbor() const {
  const auto& relays = this->fleet.RelayInstances();
  return std::none_of(relays.begin(), relays.end(),
                      [this](const InstanceRecord* relay) {
                        return relay->peer_address == this->freshest_source;
                      });
}

void StoreRelay::Query(const std::string& address) {
  wire::FleetMessage message;
  wire::StoreQuestion question;
  question.address = this->self.peer_address;
  question.known = static_cast<std::int64_t>(this->sync_state.KnownThrough());
  question.sent_ms = absl::ToInt64Milliseconds(this->clock.Now());
  message.__set_store_question(std::move(question));
  this->send(message, address);
  this->metrics.Count("store_questions");
}

}  // namespace dragonflyglade::gateway
