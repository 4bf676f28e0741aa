#include "dragonflyglade/gateway/earlier_versions.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>
#include <variant>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

constexpr absl::Duration kListingCheckInterval = absl::Milliseconds(20);
constexpr absl::Duration kCallTimeout = absl::Seconds(1);
constexpr absl::Duration kRetryPause = absl::Milliseconds(200);
// The store answers at once if there is something to tell.
constexpr absl::Duration kWatchTime = absl::Milliseconds(1);
// Two machines' times of day differ by less.
constexpr absl::Duration kMaxClockError = absl::Seconds(10);

std::uint64_t OldestRevision(const VersionRecord& record) {
  std::uint64_t oldest = std::numeric_limits<std::uint64_t>::max();
  for (const auto& [service, single] : record) {
    oldest = std::min(oldest, single.known_through);
  }
  return oldest;
}

}  // namespace

EarlierVersions::EarlierVersions(asio::io_context& context, StoreClient& store,
                                 const WireFormat& wire, FleetState& fleet,
                                 const StoreSyncState& sync_state,
                                 EventLog& log, Clock clock,
                                 TimeOfDay time_of_day)
    : context(context),
      store(store),
      wire(wire),
      fleet(fleet),
      sync_state(sync_state),
      log(log),
      clock(std::move(clock)),
      time_of_day(std::move(time_of_day)),
      became_known(context) {}

asio::awaitable<void> EarlierVersions::Run() {
  co_await this->AwaitListing();
  const std::optional<VersionRecord>& record =
      this->fleet.InitialVersionRecord();
  if (record.has_value() && !record->empty()) {
    const History history = co_await this->Read(OldestRevision(*record));
    if (history.is_complete) this->Apply(*record, history);
    this->log.Write(
        "stream", "earlier versions",
        {{"services", static_cast<int>(record->size())},
         {"known_through", OldestRevision(*record)},
         {"history_targets", static_cast<int>(history.targets.size())},
         {"history_complete", history.is_complete}});
  }
  this->SetKnown();
}

asio::awaitable<void> EarlierVersions::AwaitKnown() {
  if (!this->are_known) co_await this->became_known.Wait(kCallTimeout);
}

void EarlierVersions::SetKnown() {
  this->are_known = true;
  this->became_known.Notify();
}

asio::awaitable<void> EarlierVersions::AwaitListing() {
  while (!this->fleet.HasListing()) {
    co_await Sleep(this->context, kListingCheckInterval);
  }
}

// Failure: a second version begins to serve, nobody has written that to the
// record yet, and all processes are killed. Its targets crash as well. The next
// processes go on with its streams at the first version.
asio::awaitable<EarlierVersions::History> EarlierVersions::Read(
    std::uint64_t after) {
  const std::uint64_t listed = this->sync_state.ReadThrough();
  History history;
  while (after < listed) {
    StoreCall call =
        StoreWatch{std::string(this->wire.targets_prefix), after, kWatchTime};
    const StoreResponse response =
        co_await this->store.Call(std::move(call), kCallTimeout);
    if (std::holds_alternative<StoreCompacted>(response)) co_return history;
    const auto* events = std::get_if<StoreEvents>(&response);
    if (events == nullptr) {
      co_await Sleep(this->context, kRetryPause);
      continue;
    }
    this->AddTargets(*events, history);
    after = std::max(after + 1, events->store_revision);
  }
  history.is_complete = true;
  co_return history;
}

void EarlierVersions::AddTargets(const StoreEvents& events,
                                 History& history) const {
  for (const StoreEvent& event : events.events) {
    if (event.deleted) continue;
    Result<TargetRecord> target =
        this->wire.decode_target(event.item.key, event.item.value);
    // Such an entry names no target that anyone uses.
    if (!target.Ok()) continue;
    history.targets.push_back(std::move(target.Value()));
  }
}

void EarlierVersions::Apply(const VersionRecord& record,
                            const History& history) {
  const Instant now = this->clock.Now();
  for (const auto& [service, single] : record) {
    const absl::Duration age =
        this->time_of_day() - single.since - kMaxClockError;
    const Instant since = now - std::max(age, absl::ZeroDuration());
    this->fleet.CurrentVersions(service).RecordEarlier(single.version, since,
                                                       now);
  }
  for (const TargetRecord& target : history.targets) {
    this->fleet.CurrentVersions(target.service).Record(target.version, now);
  }
}

}  // namespace dragonflyglade::gateway
