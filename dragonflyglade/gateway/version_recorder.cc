#include "dragonflyglade/gateway/version_recorder.h"

#include <algorithm>
#include <string>
#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

constexpr absl::Duration kCheckInterval = absl::Milliseconds(500);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(400);
// The store keeps the history since the last writing for longer than that.
constexpr absl::Duration kRefreshInterval = absl::Seconds(4);

// A service whose only version stays the same has it since the same time.
bool NameSameVersions(const VersionRecord& one, const VersionRecord& other) {
  return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                    [](const auto& left, const auto& right) {
                      return left.first == right.first &&
                             left.second.version == right.second.version;
                    });
}

}  // namespace

VersionRecorder::VersionRecorder(asio::io_context& context, StoreClient& store,
                                 FleetState& fleet,
                                 const EarlierVersions& earlier_versions,
                                 const StoreSyncState& sync_state,
                                 const LeaderLease& leader_lease, Clock clock,
                                 TimeOfDay time_of_day)
    : context(context),
      store(store),
      fleet(fleet),
      earlier_versions(earlier_versions),
      sync_state(sync_state),
      leader_lease(leader_lease),
      clock(std::move(clock)),
      time_of_day(std::move(time_of_day)) {}

asio::awaitable<void> VersionRecorder::Run() {
  while (true) {
    co_await Sleep(this->context, kCheckInterval);
    if (!this->leader_lease.IsLeader()) {
      this->last.reset();
      continue;
    }
    if (!this->earlier_versions.AreKnown()) continue;
    VersionRecord record = this->CurrentRecord();
    if (this->MustWrite(record)) co_await this->Write(std::move(record));
  }
}

bool VersionRecorder::MustWrite(const VersionRecord& record) const {
  if (!this->last.has_value() || !NameSameVersions(*this->last, record)) {
    return true;
  }
  return !record.empty() &&
         this->clock.Now() - this->written_at >= kRefreshInterval;
}

// The version and the time for which it has served alone are of one moment.
VersionRecord VersionRecorder::CurrentRecord() const {
  const absl::Time now = this->time_of_day();
  VersionRecord record;
  const auto config = this->fleet.Config();
  if (config == nullptr) return record;
  for (const auto& [name, service] : config->services) {
    const ServedVersions& versions = this->fleet.CurrentVersions(name);
    const std::optional<SoftwareVersion> version = versions.Latest();
    const absl::Duration single_for = versions.SingleFor(this->clock.Now());
    if (!version.has_value() || single_for <= absl::ZeroDuration()) continue;
    record[name] = SingleVersion{*version, now - single_for,
                                 this->sync_state.ReadThrough()};
  }
  return record;
}

asio::awaitable<void> VersionRecorder::Write(VersionRecord record) {
  StoreTransaction transaction;
  // The precondition keeps a leader that was replaced, and does not know it
  // yet, from writing.
  transaction.preconditions.push_back(
      {std::string(FleetState::kLeaderKey), this->leader_lease.FencingToken()});
  transaction.puts.push_back({std::string(FleetState::kVersionRecordKey),
                              EncodeVersionRecord(record), 0});
  StoreCall call = std::move(transaction);
  const StoreResponse response =
      co_await this->store.Call(std::move(call), kCallTimeout);
  if (std::holds_alternative<StoreCommitted>(response)) {
    this->last = std::move(record);
    this->written_at = this->clock.Now();
  }
}

}  // namespace dragonflyglade::gateway
