#include "dragonflyglade/gateway/store_follower.h"

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
// After changes the next watch waits a little, so that one call brings what
// many targets write at about the same time.
constexpr absl::Duration kGatherPause = absl::Milliseconds(250);
// The holder's word counts if it heard the store this lately. Its own watch
// may be silent for 1.2 s before it notices; with the datagram's way and a
// call of our own a change is still in force within two seconds.
constexpr absl::Duration kHolderHeard = absl::Milliseconds(1500);
// Changes that need not be followed at once are read after this. The holder's
// summaries bring all others; what is read here is which adapters targets say
// they hold, for when there is no holder.
constexpr absl::Duration kLedWait = absl::Seconds(8);
// A page of some hundred entries.
constexpr absl::Duration kListTimeout = absl::Seconds(1);
// Living targets are in the store again within two seconds of its return.
constexpr absl::Duration kEntriesBack = absl::Milliseconds(2500);
// Between calls while the store does not answer: all instances together stay
// far below its rates, and its return is noticed within the two seconds that
// living targets have to enter themselves again.
constexpr absl::Duration kRetryPause = absl::Milliseconds(250);

// Everything: targets, configuration and our own keys in one watch, since
// each waiting call counts.
constexpr const char* kAllKeys = "";

std::string WhyNot(const StoreReply& reply) {
  if (const auto* refused = std::get_if<StoreRefused>(&reply)) {
    return fmt::format("refused with status {}", refused->status);
  }
  if (const auto* unknown = std::get_if<StoreUnknown>(&reply)) {
    return "no answer: " + unknown->detail;
  }
  return "unexpected answer";
}

}  // namespace

StoreFollower::StoreFollower(asio::io_context& context, StoreLink& store,
                             FleetState& fleet, StoreNews& news, EventLog& log,
                             Clock clock)
    : context(context),
      store(store),
      fleet(fleet),
      news(news),
      log(log),
      clock(std::move(clock)) {}

asio::awaitable<void> StoreFollower::Run() {
  while (true) {
    const bool listed = co_await this->List();
    if (!listed) continue;
    bool history_kept = true;
    while (history_kept) {
      history_kept = co_await this->Watch();
      this->fleet.Sweep();
    }
    this->log.Write("store", "history gone", {{"revision", this->revision}});
  }
}

asio::awaitable<bool> StoreFollower::List() {
  std::vector<StoreItem> items;
  std::optional<std::uint64_t> first_revision;
  std::string after;
  bool more = true;
  while (more) {
    StoreCall call = StoreList{kAllKeys, after};
    StoreReply reply = co_await this->store.Call(std::move(call), kListTimeout);
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
  this->fleet.ApplyListing(items, this->revision);
  this->news.Watched(this->revision, this->fleet.UrgentRevision(),
                     this->clock.Now());
  this->log.Write("store", "listed",
                  {{"revision", this->revision},
                   {"items", static_cast<int>(items.size())}});
  co_return true;
}

bool StoreFollower::HolderKnows() const {
  return this->clock.Now() - this->news.holder_confirmed_at < kHolderHeard;
}

asio::awaitable<void> StoreFollower::WaitForHolder() {
  const Instant begun = this->clock.Now();
  while (this->HolderKnows() &&
         this->news.holder_revision <= this->news.urgent_through &&
         this->clock.Now() - begun < kLedWait) {
    co_await this->news.changed.Wait(kGatherPause);
    // Targets whose time of grace ends while nothing is read.
    this->fleet.Sweep();
  }
}

asio::awaitable<bool> StoreFollower::Watch() {
  co_await this->WaitForHolder();
  // With the holder's word there is something to read, or the time for a look
  // has come; nothing is waited for then.
  const absl::Duration wait =
      this->HolderKnows() ? absl::ZeroDuration() : kWatchWait;
  StoreCall call = StoreWatch{kAllKeys, this->revision, wait};
  const StoreReply reply =
      co_await this->store.Call(std::move(call), kWatchWait + kAnswerTime);
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
  const std::uint64_t urgent = this->fleet.UrgentRevision();
  const bool is_new = urgent > this->news.urgent_revision;
  this->news.Watched(this->revision, urgent, this->clock.Now());
  if (is_new && this->news.on_urgent) this->news.on_urgent();
  if (!events->events.empty()) co_await Sleep(this->context, kGatherPause);
  co_return true;
}

void StoreFollower::Heard() {
  if (!this->away_since.has_value()) return;
  this->log.Write("store", "regained",
                  {{"away_ms", this->clock.Now() - *this->away_since},
                   {"revision", this->revision}});
  this->away_since.reset();
  if (!this->StoreStayed()) this->fleet.StoreReturned();
}

// Entries lapse only while the store is away for all. If it turned away just
// this instance and answered the holder throughout, what is missing is gone,
// and believing in it for longer would send requests to a target that left.
bool StoreFollower::StoreStayed() const {
  return this->HolderKnows() &&
         this->clock.Now() - this->news.holder_steady_since > kEntriesBack;
}

asio::awaitable<void> StoreFollower::NotHeard(std::string_view why) {
  if (!this->away_since.has_value()) {
    this->away_since = this->clock.Now();
    this->log.Write("store", "lost",
                    {{"why", why}, {"revision", this->revision}});
  }
  co_await Sleep(this->context, kRetryPause);
}

}  // namespace dragonflyglade::gateway
