#include "dragonflyglade/gateway/spend_recorder.h"

#include <algorithm>
#include <utility>

#include "dragonflyglade/gateway/fleet_state.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// A flood shows in the record within this time; see kUnrecordedSpendingShare.
constexpr absl::Duration kLookEvery = absl::Milliseconds(500);
// Each write is a call, so that a record stands for this long while no
// workspace spends much more than it says.
constexpr absl::Duration kRecordStands = absl::Milliseconds(1500);
constexpr double kMuchMore = 1.05;
// A new holder reads the record as soon as it has the duty.
constexpr absl::Duration kDutyLook = absl::Milliseconds(50);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(400);

}  // namespace

SpendRecorder::SpendRecorder(asio::io_context& context, StoreClient& store,
                             ReportAggregator& hub, const LeaderLease& duty,
                             EventLog& log, TimeOfDay time_of_day)
    : context(context),
      store(store),
      hub(hub),
      duty(duty),
      log(log),
      time_of_day(std::move(time_of_day)) {}

asio::awaitable<void> SpendRecorder::Run() {
  bool taken_over = false;
  while (true) {
    co_await Sleep(this->context, taken_over ? kLookEvery : kDutyLook);
    if (!this->duty.Held()) {
      taken_over = false;
    } else if (!taken_over) {
      taken_over = co_await this->TakeOver();
    } else {
      co_await this->Record();
    }
  }
}

// What processes spent that have ended since is in nobody's report. Without
// the record, their parts of the quotas would be closed for a whole window.
asio::awaitable<bool> SpendRecorder::TakeOver() {
  const std::string key(FleetState::kSpendsKey);
  StoreCall call = StoreList{key, ""};
  const StoreResponse reply =
      co_await this->store.Call(std::move(call), kCallTimeout);
  const auto* page = std::get_if<StorePage>(&reply);
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
  if (usable && this->duty.Held()) this->hub.TakeOver(record.Value());
  this->log.Write("quota", usable ? "spending taken over" : "record too old",
                  {{"revision", item->revision},
                   {"age_ms", age},
                   {"fence", this->duty.Fence()}});
  co_return true;
}

bool SpendRecorder::Stands(const SpendRecord& newer) const {
  const absl::Duration age = newer.written - this->last.written;
  if (age < absl::ZeroDuration() || age >= kRecordStands) return false;
  const auto known = SpendingByWorkspace(this->last);
  const auto spent = SpendingByWorkspace(newer);
  return std::all_of(spent.begin(), spent.end(), [&](const auto& item) {
    const auto found = known.find(item.first);
    return found != known.end() && item.second <= kMuchMore * found->second;
  });
}

asio::awaitable<void> SpendRecorder::Record() {
  SpendRecord record;
  record.written = this->time_of_day();
  record.processes = this->hub.SpendingByProcess();
  if (SpendingByWorkspace(record).empty() || this->Stands(record)) co_return;
  StoreTransaction transaction;
  // A holder that was replaced and does not know it yet writes nothing.
  transaction.expected.push_back(
      {std::string(FleetState::kLeaderKey), this->duty.Fence()});
  transaction.puts.push_back(
      {std::string(FleetState::kSpendsKey), EncodeSpendRecord(record), 0});
  StoreCall call = std::move(transaction);
  const StoreResponse reply =
      co_await this->store.Call(std::move(call), kCallTimeout);
  if (std::holds_alternative<StoreCommitted>(reply)) {
    this->last = std::move(record);
  }
}

}  // namespace dragonflyglade::gateway
