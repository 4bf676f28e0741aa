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
constexpr absl::Duration kWatchDuration = absl::Milliseconds(900);
constexpr absl::Duration kResponseTimeout = absl::Milliseconds(300);
// Others go by this instance's word, which is as old as its last answer.
constexpr absl::Duration kRelayWatchDuration = absl::Milliseconds(600);
// After changes the next watch waits a little, so that one call brings what
// many targets write at about the same time. Without anybody to follow the
// store for them, or while it does not answer, all instances together make
// some hundred calls a second. Its return is noticed within the two seconds
// that living targets have to enter themselves again.
constexpr absl::Duration kMinReadPause = absl::Milliseconds(250);
constexpr absl::Duration kPausePerInstance = absl::Milliseconds(3);
constexpr absl::Duration kMaxReadPause = absl::Seconds(1);
// How often a led instance looks at what is due by time.
constexpr absl::Duration kRelayCheckInterval = absl::Milliseconds(250);
// A page of some hundred entries.
constexpr absl::Duration kListTimeout = absl::Seconds(1);
// Living targets are in the store again within two seconds of its return.
constexpr absl::Duration kReregistrationTime = absl::Milliseconds(2500);

// Everything: targets, configuration and our own keys in one watch, since
// each waiting call counts.
constexpr const char* kAllKeys = "";

std::string FailureText(const StoreReply& reply) {
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
                             FleetState& fleet, StoreNews& news,
                             std::string self, EventLog& log, Clock clock)
    : context(context),
      store(store),
      fleet(fleet),
      news(news),
      self(std::move(self)),
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
    this->log.Write("store", "listing anew",
                    {{"revision", this->revision},
                     {"lacks_details", this->details_incomplete}});
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
      co_await this->HandleStoreFailure(FailureText(reply));
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
  this->HandleStoreResponse();
  this->revision = *first_revision;
  this->details_incomplete = false;
  this->fleet.ApplyListing(items, this->revision);
  this->news.Read(this->revision, this->fleet.UrgentRevision());
  this->log.Write("store", "listed",
                  {{"revision", this->revision},
                   {"items", static_cast<int>(items.size())}});
  co_return true;
}

// Those that follow the store for others read it themselves.
bool StoreFollower::IsLed() const {
  return this->news.IsLed() && !this->fleet.FollowsStore(this->self);
}

asio::awaitable<void> StoreFollower::WaitWhileRelayLive() {
  while (this->IsLed() && !this->news.MustRead()) {
    co_await this->news.Changed().Wait(kRelayCheckInterval);
    // Targets whose time of grace ends while nothing is read.
    this->fleet.Sweep();
  }
}

absl::Duration StoreFollower::PauseBetweenReads() const {
  if (this->fleet.FollowsStore(this->self)) return kMinReadPause;
  const auto instances = static_cast<double>(this->fleet.Instances().size());
  return std::clamp(kPausePerInstance * instances, kMinReadPause,
                    kMaxReadPause);
}

// What others' word brought need not be read again. That leaves out what is not
// urgent: adapters and kept weights of targets. Whoever follows the store may
// come to give orders, and must know these.
void StoreFollower::SkipRelayedChanges() {
  if (this->fleet.FollowsStore(this->self)) return;
  if (this->news.KnownThrough() <= this->revision) return;
  this->revision = this->news.KnownThrough();
  this->details_incomplete = true;
}

asio::awaitable<bool> StoreFollower::Watch() {
  co_await this->WaitWhileRelayLive();
  if (this->details_incomplete && this->fleet.FollowsStore(this->self)) {
    co_return false;
  }
  this->SkipRelayedChanges();
  const absl::Duration wait = this->fleet.FollowsStore(this->self)
                                  ? kRelayWatchDuration
                                  : kWatchDuration;
  StoreCall call = StoreWatch{kAllKeys, this->revision, wait};
  const StoreReply reply =
      co_await this->store.Call(std::move(call), wait + kResponseTimeout);
  if (std::holds_alternative<StoreCompacted>(reply)) {
    this->HandleStoreResponse();
    co_return false;
  }
  const auto* events = std::get_if<StoreEvents>(&reply);
  if (events == nullptr) {
    co_await this->HandleStoreFailure(FailureText(reply));
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
  this->news.Read(this->revision, this->fleet.UrgentRevision());
  if (!events->events.empty()) {
    co_await Sleep(this->context, this->PauseBetweenReads());
  }
  co_return true;
}

void StoreFollower::HandleStoreResponse() {
  if (!this->unreachable_since.has_value()) return;
  this->log.Write("store", "regained",
                  {{"away_ms", this->clock.Now() - *this->unreachable_since},
                   {"revision", this->revision}});
  this->unreachable_since.reset();
  if (!this->StoreStayedAvailable()) this->fleet.StoreReturned();
}

// Entries lapse only while the store is away for all. If it turned away just
// this instance and answered those that follow it throughout, what is missing
// is gone, and believing in it for longer would send requests to a target that
// left.
bool StoreFollower::StoreStayedAvailable() const {
  return this->news.SteadyFor() > kReregistrationTime;
}

asio::awaitable<void> StoreFollower::HandleStoreFailure(std::string_view why) {
  if (!this->unreachable_since.has_value()) {
    this->unreachable_since = this->clock.Now();
    this->log.Write("store", "lost",
                    {{"why", why}, {"revision", this->revision}});
  }
  co_await Sleep(this->context, this->PauseBetweenReads());
}

}  // namespace dragonflyglade::gateway
