#include "dragonflyglade/gateway/spend_recorder.h"

#include <algorithm>
#include <utility>

#include "dragonflyglade/gateway/fleet_state.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// The record shows a sudden rise of spending within this time; see
// kUnrecordedSpendingShare.
constexpr absl::Duration kCheckInterval = absl::Milliseconds(500);
// Each write costs a store call. A record is therefore kept for this long while
// no workspace has spent much more than it shows.
constexpr absl::Duration kRecordMaxAge = absl::Milliseconds(1500);
constexpr double kRewriteFactor = 1.05;
// Interval at which an instance checks whether it has become leader. A new
// leader reads the record at once.
constexpr absl::Duration kLeaseCheckInterval = absl::Milliseconds(50);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(400);

}  // namespace

SpendRecorder::SpendRecorder(asio::io_context& context, StoreClient& store,
                             ReportAggregator& aggregator,
                             const LeaderLease& leader_lease, EventLog& log,
                             TimeOfDay time_of_day)
    : context(context),
      store(store),
      aggregator(aggregator),
      leader_lease(leader_lease),
      log(log),
      time_of_day(std::move(time_of_day)) {}

asio::awaitable<void> SpendRecorder::Run() {
  bool has_read_record = false;
  while (true) {
    co_await Sleep(this->context,
                   has_read_record ? kCheckInterval : kLeaseCheckInterval);
    if (!this->leader_lease.IsLeader()) {
      has_read_record = false;
    } else if (!has_read_record) {
      has_read_record = co_await this->ReadPreviousRecord();
    } else {
      co_await this->Record();
    }
  }
}

// No report contains the spending of processes that have terminated since.
// Without the record, their shares of the quotas would be unusable for a whole
// window.
asio::awaitable<bool> SpendRecorder::ReadPreviousRecord() {
  const std::string key(FleetState::kSpendRecordKey);
  StoreCall call = StoreList{key, ""};
  const StoreResponse response =
      co_await this->store.Call(std::move(call), kCallTimeout);
  const auto* page = std::get_if<StorePage>(&response);
  if (page == nullptr) co_return false;
  const auto item = std::find_if(
      page->items.begin(), page->items.end(),
      [&](const StoreItem& candidate) { return candidate.key == key; });
  if (item == page->items.end()) co_return true;
  const Result<SpendRecord> record = DecodeSpendRecord(item->value);
  const absl::Duration age = record.Ok()
                                 ? this->time_of_day() - record.Value().written
                                 : absl::InfiniteDuration();
  const bool usable =
      record.Ok() && IsRecent(record.Value(), this->time_of_day());
  if (usable && this->leader_lease.IsLeader())
    this->aggregator.MergeSpendRecord(record.Value());
  this->log.Write("quota",
                  usable ? "spend record usable" : "spend record not used",
                  {{"revision", item->revision},
                   {"age_ms", age},
                   {"fence", this->leader_lease.FencingToken()}});
  co_return true;
}

bool SpendRecorder::IsStillAccurate(const SpendRecord& newer) const {
  const absl::Duration age = newer.written - this->last.written;
  if (age < absl::ZeroDuration() || age >= kRecordMaxAge) return false;
  const auto known = SpendingByWorkspace(this->last);
  const auto spent = SpendingByWorkspace(newer);
  return std::all_of(spent.begin(), spent.end(), [&](const auto& item) {
    const auto found = known.find(item.first);
    return found != known.end() &&
           item.second <= kRewriteFactor * found->second;
  });
}

asio::awaitable<void> SpendRecorder::Record() {
  SpendRecord record;
  record.written = this->time_of_day();
  record.processes = this->aggregator.SpendingByProcess();
  if (SpendingByWorkspace(record).empty() || this->IsStillAccurate(record))
    co_return;
  StoreTransaction transaction;
  // The precondition keeps a leader that was replaced, and does not know it
  // yet, from writing.
  transaction.preconditions.push_back(
      {std::string(FleetState::kLeaderKey), this->leader_lease.FencingToken()});
  transaction.puts.push_back(
      {std::string(FleetState::kSpendRecordKey), EncodeSpendRecord(record), 0});
  StoreCall call = std::move(transaction);
  const StoreResponse response =
      co_await this->store.Call(std::move(call), kCallTimeout);
  if (std::holds_alternative<StoreCommitted>(response)) {
    this->last = std::move(record);
  }
}

}  // namespace dragonflyglade::gateway
