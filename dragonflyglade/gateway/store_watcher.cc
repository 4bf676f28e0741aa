#include "dragonflyglade/gateway/store_watcher.h"

#include <fmt/format.h>

#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// A change must take effect within two seconds of its acknowledgement. A watch
// without a response is abandoned after the watch duration plus the response
// timeout, and the next one, on a new connection, returns immediately: about
// 1.3 s in all. Shorter watches would need more calls, which the store limits.
constexpr absl::Duration kWatchDuration = absl::Milliseconds(900);
constexpr absl::Duration kResponseTimeout = absl::Milliseconds(300);
// For a relay: other instances rely on its digests, which are as old as the
// store's last response to it.
constexpr absl::Duration kRelayWatchDuration = absl::Milliseconds(600);
// For the first watch after a time without own reads. Its response is to come
// at once, as the digests before it are as old as they may be.
constexpr absl::Duration kFirstWatchDuration = absl::Milliseconds(1);
// Pauses after changes, so that one call returns what many targets write at
// about the same time, and after failed calls. The pause per instance limits
// all instances together to some hundred calls a second when no relay is live
// or the store does not respond. The longest pause is well inside the two
// seconds in which running targets register again after the store recovers.
constexpr absl::Duration kMinReadPause = absl::Milliseconds(250);
constexpr absl::Duration kPausePerInstance = absl::Milliseconds(3);
constexpr absl::Duration kMaxReadPause = absl::Seconds(1);
// Interval at which an instance that relies on a relay checks what depends on
// time.
constexpr absl::Duration kRelayCheckInterval = absl::Milliseconds(250);
// For one page of some hundred entries.
constexpr absl::Duration kListTimeout = absl::Seconds(1);

// One watch covers targets, configuration and this program's own keys, since
// the store counts each call that waits.
constexpr const char* kAllKeysPrefix = "";

std::string FailureText(const StoreResponse& response) {
  if (const auto* refused = std::get_if<StoreRefused>(&response)) {
    return fmt::format("refused with status {}", refused->status);
  }
  if (const auto* unknown = std::get_if<StoreOutcomeUnknown>(&response)) {
    return "no answer: " + unknown->detail;
  }
  return "unexpected answer";
}

}  // namespace

StoreWatcher::StoreWatcher(asio::io_context& context, StoreClient& store,
                           FleetState& fleet, StoreSyncState& sync_state,
                           std::string self, EventLog& log, Clock clock)
    : context(context),
      store(store),
      fleet(fleet),
      sync_state(sync_state),
      self(std::move(self)),
      log(log),
      clock(std::move(clock)) {}

asio::awaitable<void> StoreWatcher::Run() {
  while (true) {
    const bool listed = co_await this->List();
    if (!listed) continue;
    bool history_kept = true;
    while (history_kept) {
      history_kept = co_await this->Watch();
      this->fleet.RemoveMissingTargets();
    }
    this->log.Write("store", "listing all keys again",
                    {{"revision", this->revision},
                     {"lacks_details", this->details_incomplete}});
  }
}

asio::awaitable<bool> StoreWatcher::List() {
  std::vector<StoreItem> items;
  std::optional<std::uint64_t> first_revision;
  std::string after;
  bool more_pages = true;
  while (more_pages) {
    StoreCall call = StoreList{kAllKeysPrefix, after};
    StoreResponse response =
        co_await this->store.Call(std::move(call), kListTimeout);
    auto* page = std::get_if<StorePage>(&response);
    if (page == nullptr) {
      co_await this->HandleStoreFailure(FailureText(response));
      co_return false;
    }
    // The pages are no snapshot. The watch therefore starts at the first page's
    // revision and returns changes again that later pages contain already;
    // FleetState ignores them by their revisions.
    if (!first_revision.has_value()) first_revision = page->store_revision;
    for (StoreItem& item : page->items) items.push_back(std::move(item));
    more_pages = page->truncated && !items.empty();
    if (more_pages) after = items.back().key;
  }
  this->HandleStoreResponse();
  this->revision = *first_revision;
  this->details_incomplete = false;
  this->fleet.ApplyListing(items, this->revision,
                           this->sync_state.KnownThrough());
  this->sync_state.RecordRead(this->revision, this->fleet.UrgentRevision());
  this->log.Write("store", "listed",
                  {{"revision", this->revision},
                   {"items", static_cast<int>(items.size())}});
  co_return true;
}

// A relay reads the store itself.
bool StoreWatcher::ReliesOnRelay() const {
  return this->sync_state.HasLiveRelay() &&
         !this->fleet.IsRelayInstance(this->self);
}

asio::awaitable<bool> StoreWatcher::WaitWhileRelayLive() {
  bool waited = false;
  while (this->ReliesOnRelay() && !this->sync_state.MustReadStore()) {
    co_await this->sync_state.Changed().Wait(
        std::min(kRelayCheckInterval, this->sync_state.RelayTimeLeft()));
    // Targets that are still missing while nothing is read.
    this->fleet.RemoveMissingTargets();
    waited = true;
  }
  co_return waited;
}

absl::Duration StoreWatcher::PauseBetweenReads() const {
  if (this->fleet.IsRelayInstance(this->self)) return kMinReadPause;
  const auto instances = static_cast<double>(this->fleet.Instances().size());
  return std::clamp(kPausePerInstance * instances, kMinReadPause,
                    kMaxReadPause);
}

// Skips what digests contained. They omit changes that are not urgent: adapters
// and cached weights of targets. A relay does not skip anything, since it may
// become the leader, which needs these to give orders.
void StoreWatcher::SkipRelayedChanges() {
  if (this->fleet.IsRelayInstance(this->self)) return;
  if (this->sync_state.KnownThrough() <= this->revision) return;
  this->revision = this->sync_state.KnownThrough();
  this->details_incomplete = true;
}

absl::Duration StoreWatcher::WatchDuration(bool relied_on_relay) const {
  if (relied_on_relay) return kFirstWatchDuration;
  if (this->fleet.IsRelayInstance(this->self)) return kRelayWatchDuration;
  return kWatchDuration;
}

asio::awaitable<bool> StoreWatcher::Watch() {
  const bool relied_on_relay = co_await this->WaitWhileRelayLive();
  if (this->details_incomplete && this->fleet.IsRelayInstance(this->self)) {
    co_return false;
  }
  this->SkipRelayedChanges();
  const absl::Duration wait = this->WatchDuration(relied_on_relay);
  StoreCall call = StoreWatch{kAllKeysPrefix, this->revision, wait};
  const StoreResponse response =
      co_await this->store.Call(std::move(call), wait + kResponseTimeout);
  if (std::holds_alternative<StoreCompacted>(response)) {
    this->HandleStoreResponse();
    co_return false;
  }
  const auto* events = std::get_if<StoreEvents>(&response);
  if (events == nullptr) {
    co_await this->HandleStoreFailure(FailureText(response));
    co_return true;
  }
  this->HandleStoreResponse();
  for (const StoreEvent& event : events->events) {
    if (event.deleted) {
      this->fleet.ApplyDeleted(event.item.key, event.item.revision);
    } else {
      this->fleet.Apply(event.item);
    }
  }
  this->revision = std::max(this->revision, events->store_revision);
  this->sync_state.RecordRead(this->revision, this->fleet.UrgentRevision());
  if (!events->events.empty()) {
    co_await Sleep(this->context, this->PauseBetweenReads());
  }
  co_return true;
}

void StoreWatcher::HandleStoreResponse() {
  this->sync_state.RecordResponse();
  if (!this->failing_since.has_value()) return;
  this->log.Write("store", "regained",
                  {{"since_lost_ms", this->clock.Now() - *this->failing_since},
                   {"revision", this->revision}});
  this->failing_since.reset();
}

asio::awaitable<void> StoreWatcher::HandleStoreFailure(std::string_view why) {
  this->sync_state.RecordReadFailure();
  if (!this->failing_since.has_value()) {
    this->failing_since = this->clock.Now();
    this->log.Write("store", "lost",
                    {{"why", why}, {"revision", this->revision}});
  }
  co_await Sleep(this->context, this->PauseBetweenReads());
}

}  // namespace dragonflyglade::gateway
