#include "dragonflyglade/gateway/store_relay.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "dragonflyglade/gateway/change_codec.h"
#include "dragonflyglade/gateway/signal.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// A summary of 160 engines has some 24 KB beside it, and a datagram 64.
constexpr std::size_t kMostPackedBytes = std::size_t{32} * 1024;
// The holder reads the store each 0.6 s and speaks each half a second. When its
// word is older than that, it is lost, or the store is lost to it, and another
// follower's word is here before this one is too old.
constexpr absl::Duration kOldWord = absl::Milliseconds(1150);
constexpr absl::Duration kAskEvery = absl::Milliseconds(250);
// Who asked this lately is told of changes as they come.
constexpr absl::Duration kAskerStays = absl::Milliseconds(1000);

}  // namespace

StoreRelay::StoreRelay(asio::io_context& context, FleetState& fleet,
                       StoreSyncState& news, InstanceRecord self,
                       Metrics& metrics, EventLog& log, Clock clock)
    : context(context),
      fleet(fleet),
      news(news),
      self(std::move(self)),
      metrics(metrics),
      log(log),
      clock(std::move(clock)) {}

// Most instances know the same revision, and packing costs some milliseconds
// of a small machine for a large configuration.
const StoreRelay::Packed* StoreRelay::ChangesSince(std::uint64_t known) {
  const RecentChanges& recent = this->fleet.RecentUrgentChanges();
  if (recent.Version() != this->packed_version) this->packed.clear();
  this->packed_version = recent.Version();
  const auto found = this->packed.find(known);
  if (found != this->packed.end()) return &found->second;
  const std::optional<std::vector<StoreEvent>> changes = recent.Since(known);
  if (!changes.has_value()) return nullptr;
  Packed packed;
  PackedChanges bytes = PackChanges(*changes, kMostPackedBytes);
  packed.whole = bytes.count == changes->size();
  if (bytes.count > 0) packed.last = (*changes)[bytes.count - 1].item.revision;
  packed.bytes = std::move(bytes.bytes);
  return &this->packed.emplace(known, std::move(packed)).first->second;
}

wire::StoreDigest StoreRelay::DigestSince(std::uint64_t known) {
  const Packed* changes = this->ChangesSince(known);
  if (changes == nullptr) return this->DigestOf("");
  wire::StoreDigest digest = this->DigestOf(changes->bytes);
  digest.changes_through = static_cast<std::int64_t>(
      changes->whole ? this->news.ReadThrough() : changes->last);
  return digest;
}

void StoreRelay::ReceiveDigest(const wire::StoreDigest& digest) {
  RelayDigest word;
  word.urgent_revision = static_cast<std::uint64_t>(digest.urgent_revision);
  word.confirmed_at = this->clock.Now() - absl::Milliseconds(digest.age_ms);
  word.changes_through = static_cast<std::uint64_t>(digest.changes_through);
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
        this->fleet.Apply(event.item);
      }
    }
  }
  const std::uint64_t known = this->news.KnownThrough();
  this->news.Told(word);
  // Not all fitted into one datagram.
  const bool more = this->news.IsBehind() && this->news.KnownThrough() > known;
  if (more) this->Ask();
  if (this->on_taken) this->on_taken();
}

std::string StoreRelay::PackLeaderRecord() const {
  auto changes =
      this->fleet.RecentUrgentChanges().Since(this->fleet.LeaderRevision() - 1);
  if (!changes.has_value()) return "";
  std::erase_if(*changes, [](const StoreEvent& event) {
    return event.item.key != FleetState::kLeaderKey;
  });
  return PackChanges(*changes, kMostPackedBytes).bytes;
}

// That its changes are all there is not said: the receiver may lack others.
wire::StoreDigest StoreRelay::DigestOf(std::string changes) const {
  wire::StoreDigest digest;
  digest.urgent_revision =
      static_cast<std::int64_t>(this->news.UrgentRevision());
  digest.age_ms =
      absl::ToInt64Milliseconds(this->clock.Now() - this->news.ConfirmedAt());
  digest.changes = std::move(changes);
  return digest;
}

void StoreRelay::SendDigest(std::uint64_t known, const std::string& address) {
  wire::FleetMessage message;
  message.__set_store(this->DigestSince(known));
  this->send(message, address);
}

void StoreRelay::ReceiveQuestion(const wire::StoreQuestion& question) {
  const auto known = static_cast<std::uint64_t>(question.known);
  this->askers[question.address] = {known, this->clock.Now()};
  this->SendDigest(known, question.address);
}

void StoreRelay::NotifySubscribers() {
  const Instant now = this->clock.Now();
  for (auto asker = this->askers.begin(); asker != this->askers.end();) {
    if (now - asker->second.at > kAskerStays) {
      asker = this->askers.erase(asker);
      continue;
    }
    this->SendDigest(asker->second.known, asker->first);
    ++asker;
  }
}

bool StoreRelay::IsFollower() const {
  return this->fleet.IsRelayInstance(this->self.name);
}

asio::awaitable<void> StoreRelay::QueryRelaysWhileStale() {
  while (true) {
    co_await Sleep(this->context, kAskEvery);
    if (!this->IsFollower() && this->news.DigestAge() > kOldWord) this->Ask();
    if (this->news.HasLiveRelay() == this->led) continue;
    this->led = this->news.HasLiveRelay();
    this->log.Write("store", this->led ? "led" : "not led",
                    {{"known_through", this->news.KnownThrough()},
                     {"behind", this->news.IsBehind()}});
  }
}

// In turn, since one of them may be dead, or cut off from here.
void StoreRelay::Ask() {
  const std::vector<const InstanceRecord*>& followers =
      this->fleet.RelayInstances();
  if (followers.empty()) return;
  const InstanceRecord* follower = followers[this->turn % followers.size()];
  this->turn += 1;
  wire::FleetMessage message;
  wire::StoreQuestion question;
  question.address = this->self.peers;
  question.known = static_cast<std::int64_t>(this->news.KnownThrough());
  message.__set_store_question(std::move(question));
  this->send(message, follower->peers);
  this->metrics.Count("store_questions");
}

}  // namespace dragonflyglade::gateway
