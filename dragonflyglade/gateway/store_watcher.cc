#include "dragonflyglade/gateway/store_watcher.h"

#include <fmt/format.h>

#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// A change must be in force two seconds after it was acknowledged. A silent
// watch is given up after wait and answer time, and the next one, on a new
// connection, answers at once: about 1.3 s in all. Shorter waits would cost
// more calls, which the store counts.
constexpr absl::Duration kWatchWait = absl::Milliseconds(900);
constexpr absl::Duration kAnswerTime = absl::Milliseconds(300);
// Others go by this instance's word, which is as old as its last answer.
constexpr absl::Duration kFollowersWait = absl::Milliseconds(600);
// After changes the next watch waits a little, so that one call brings what
// many targets write at about the same time. Without anybody to follow the
// store for them, or while it does not answer, all instances together make
// some hundred calls a second. Its return is noticed within the two seconds
// that living targets have to enter themselves again.
constexpr absl::Duration kShortestPause = absl::Milliseconds(250);
constexpr absl::Duration kPausePerInstance = absl::Milliseconds(3);
constexpr absl::Duration kLongestPause = absl::Seconds(1);
// How often a led instance looks at what is due by time.
constexpr absl::Duration kLedLook = absl::Milliseconds(250);
// A page of some hundred entries.
constexpr absl::Duration kListTimeout = absl::Seconds(1);
// Living targets are in the store again within two seconds of its return.
constexpr absl::Duration kEntriesBack = absl::Milliseconds(2500);

// Everything: targets, configuration and our own keys in one watch, since
// each waiting call counts.
constexpr const char* kAllKeys = "";

std::string WhyNot(const StoreResponse& reply) {
  if (const auto* refused = std::get_if<StoreRefused>(&reply)) {
    return fmt::format("refused with status {}", refused->status);
  }
  if (const auto* unknown = std::get_if<StoreOutcomeUnknown>(&reply)) {
    return "no answer: " + unknown->detail;
  }
  return "unexpected answer";
}

}  // namespace

StoreWatcher::StoreWatcher(asio::io_context& context, StoreClient& store,
                           FleetState& fleet, StoreSyncState& news,
                           std::string self, EventLog& log, Clock clock)
    : context(context),
      store(store),
      fleet(fleet),
      news(news),
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
      this->fleet.RemoveExpiredTargets();
    }
    this->log.Write(
        "store", "listing anew",
        {{"revision", this->revision}, {"lacks_details", this->lacks_details}});
  }
}

asio::awaitable<bool> StoreWatcher::List() {
  std::vector<StoreItem> items;
  std::optional<std::uint64_t> first_revision;
  std::string after;
  bool more = true;
  while (more) {
    StoreCall call = StoreList{kAllKeys, after};
    StoreResponse reply =
        co_await this->store.Call(std::move(call), kListTimeout);
    auto* page = std::get_if<StorePage>(&reply);
    if (page == nullptr) {
      co_await this->NotHeard(WhyNot(reply));
      co_return false;
    }
    // Pages are not a snapshot. Watching from the first page's revision shows
    // again what changed while later pages were read, and revisions make that
    // harmless.
    if (!first_revision.has_value()) first_revision = page->store_revision;
    for (StoreItem& item : page->items) items.push_back(std::move(item));
    more = page->truncated && !items.empty();
    if (more) after = items.back().key;
  }
  this->Heard();
  this->revision = *first_revision;
  this->lacks_details = false;
  this->fleet.ApplyListing(items, this->revision);
  this->news.Read(this->revision, this->fleet.UrgentRevision());
  this->log.Write("store", "listed",
                  {{"revision", this->revision},
                   {"items", static_cast<int>(items.size())}});
  co_return true;
}

// Those that follow the store for others read it themselves.
bool StoreWatcher::HasLiveRelay() const {
  return this->news.HasLiveRelay() && !this->fleet.IsRelayInstance(this->self);
}

asio::awaitable<void> StoreWatcher::WaitWhileLed() {
  while (this->HasLiveRelay() && !this->news.MustReadStore()) {
    co_await this->news.Changed().Wait(kLedLook);
    // Targets whose time of grace ends while nothing is read.
    this->fleet.RemoveExpiredTargets();
  }
}

absl::Duration StoreWatcher::PauseBetweenReads() const {
  if (this->fleet.IsRelayInstance(this->self)) return kShortestPause;
  const auto instances = static_cast<double>(this->fleet.Instances().size());
  return std::clamp(kPausePerInstance * instances, kShortestPause,
                    kLongestPause);
}

// What others' word brought need not be read again. That leaves out what is not
// urgent: adapters and kept weights of targets. Whoever follows the store may
// come to give orders, and must know these.
void StoreWatcher::SkipWhatIsKnown() {
  if (this->fleet.IsRelayInstance(this->self)) return;
  if (this->news.KnownThrough() <= this->revision) return;
  this->revision = this->news.KnownThrough();
  this->lacks_details = true;
}

asio::awaitable<bool> StoreWatcher::Watch() {
  co_await this->WaitWhileLed();
  if (this->lacks_details && this->fleet.IsRelayInstance(this->self)) {
    co_return false;
  }
  this->SkipWhatIsKnown();
  const absl::Duration wait =
      this->fleet.IsRelayInstance(this->self) ? kFollowersWait : kWatchWait;
  StoreCall call = StoreWatch{kAllKeys, this->revision, wait};
  const StoreResponse reply =
      co_await this->store.Call(std::move(call), wait + kAnswerTime);
  if (std::holds_alternative<StoreCompacted>(reply)) {
    this->Heard();
    co_return false;
  }
  const auto* events = std::get_if<StoreEvents>(&reply);
  if (events == nullptr) {
    co_await this->NotHeard(WhyNot(reply));
    co_return true;
  }
  this->Heard();
  for (const StoreEvent& event : events->events) {
    if (event.deleted) {
      this->fleet.ApplyDeleted(event.item.key, event.item.revision);
    } else {
      this->fleet.Apply(event.item);
    }
  }
  this->revision = std::max(this->revision, events->store_revision);
  this->news.Read(this->revision, this->fleet.UrgentRevision());
  if (!events->events.empty()) {
    co_await Sleep(this->context, this->PauseBetweenReads());
  }
  co_return true;
}

void StoreWatcher::Heard() {
  if (!this->away_since.has_value()) return;
  this->log.Write("store", "regained",
                  {{"away_ms", this->clock.Now() - *this->away_since},
                   {"revision", this->revision}});
  this->away_since.reset();
  if (!this->StoreStayed()) this->fleet.HandleStoreRecovery();
}

// Entries lapse only while the store is away for all. If it turned away just
// this instance and answered those that follow it throughout, what is missing
// is gone, and believing in it for longer would send requests to a target that
// left.
bool StoreWatcher::StoreStayed() const {
  return this->news.StoreUptime() > kEntriesBack;
}

asio::awaitable<void> StoreWatcher::NotHeard(std::string_view why) {
  if (!this->away_since.has_value()) {
    this->away_since = this->clock.Now();
    this->log.Write("store", "lost",
                    {{"why", why}, {"revision", this->revision}});
  }
  co_await Sleep(this->context, this->PauseBetweenReads());
}

}  // namespace dragonflyglade::gateway
