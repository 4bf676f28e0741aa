#include "dragonflyglade/instance/config_follower.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "dragonflyglade/decision/rendezvous.h"
#include "dragonflyglade/net/log.h"
#include "dragonflyglade/peer/heartbeat.h"
#include "dragonflyglade/peer/peer_codec.h"

namespace dragonflyglade {
namespace {

constexpr const char* kRelayRole = "configuration relay";
constexpr int kRoundsPerFullRead = 30;
constexpr int kMaxOlderVersionReads = 5;
constexpr absl::Duration kWatchRestartDelay = absl::Milliseconds(200);
constexpr absl::Duration kMaxReadBackoff = absl::Seconds(5);

}  // namespace

ConfigFollower::ConfigFollower(const KvClient& kv, PeerClient& peers,
                               Membership& membership, RecordStore& records,
                               ConfigFreshness& freshness,
                               CatalogHolder& catalog, FollowerOptions options,
                               CatalogPublisher::OnChange on_change,
                               Clock clock)
    : kv(kv),
      peers(peers),
      membership(membership),
      records(records),
      freshness(freshness),
      publisher(records, catalog, std::move(on_change)),
      options(options),
      clock(clock),
      backoff(options.reread_period, kMaxReadBackoff,
              StableHash(membership.Self().info.name)),
      reader([this] { return this->ReadRound(); }),
      watcher([this] { return this->WatchRound(); }),
      puller([this] { return this->PullRound(); }) {}

ConfigFollower::~ConfigFollower() { this->Stop(); }

void ConfigFollower::Start() {
  this->reader.Start();
  this->watcher.Start();
  this->puller.Start();
}

void ConfigFollower::Stop() {
  this->reader.Stop();
  {
    absl::MutexLock lock(&this->mutex);
    if (this->watch != nullptr) this->watch->Stop();
  }
  this->watcher.Stop();
  this->puller.Stop();
}

bool ConfigFollower::IsRelay() const {
  return IsRendezvousOwner(kRelayRole, this->membership.Self().info.name,
                           this->membership.ActiveNames(),
                           static_cast<std::size_t>(this->options.relay_count));
}

void ConfigFollower::SchedulePull(const MemberStatus& member) {
  {
    absl::MutexLock lock(&this->mutex);
    this->pull_source = member;
  }
  this->puller.Wake();
}

// Failure: all relay instances terminate at once, or their connections stop
// delivering data, and no instance learns that a key was withdrawn. An instance
// whose configuration is too old reads the key-value service itself until it
// gets an update from a relay again. Failed reads are retried with jittered
// backoff.
absl::Duration ConfigFollower::ReadRound() {
  const bool never_complete = this->records.CompleteRevision() == 0;
  const bool stale = this->freshness.Age() > this->options.direct_read_age;
  if (!never_complete && !stale && !this->IsRelay())
    return this->options.reread_period;
  const bool full_read =
      never_complete || this->read_rounds % kRoundsPerFullRead == 0;
  if (this->ReadStore(full_read)) {
    ++this->read_rounds;
    this->backoff.Reset();
    return this->options.reread_period;
  }
  if (never_complete) {
    // The key-value service is unavailable. The configuration of any live
    // instance is better than none, so pull from one chosen at random.
    for (const MemberStatus& member : this->membership.SampleAlive(1, "")) {
      this->SchedulePull(member);
    }
  }
  return this->backoff.NextDelay();
}

bool ConfigFollower::ReadStore(bool full_read) {
  const Instant request_time = this->clock.Now();
  KvQuery query;
  query.key = std::string(kConfigPrefix);
  query.prefix = true;
  if (!full_read) query.min_revision = this->records.CompleteRevision() + 1;
  std::int64_t delivered_revision = 0;
  {
    absl::MutexLock lock(&this->mutex);
    delivered_revision = this->watched_revision;
  }
  const Result<KvRange> range = this->kv.Range(query);
  if (!range.Ok()) {
    LogFor(LogPart::kStore).debug("{}.", range.Error().ToString());
    return false;
  }
  std::int64_t newest = 0;
  for (const KvEntry& entry : range.Value().entries) {
    newest = std::max(newest, entry.mod_revision);
  }
  if (full_read) this->MarkMissingAsDeleted(range.Value());
  this->ApplyEntries(range.Value().entries, range.Value().revision);
  this->freshness.MarkCurrentAt(request_time);
  if (!full_read) this->ReopenStalledWatch(delivered_revision, newest);
  return true;
}

// Failure: the watch's connection stops delivering data but appears open, so
// changes arrive only through the periodic re-read. If the re-read finds a
// change that the watch has not delivered, the watch is stopped and reopened. A
// watch that had delivered nothing when the re-read began is left running.
void ConfigFollower::ReopenStalledWatch(std::int64_t delivered_revision,
                                        std::int64_t read_revision) {
  if (read_revision == 0) return;
  absl::MutexLock lock(&this->mutex);
  const bool caught_up = this->watched_revision >= read_revision;
  if (this->watch == nullptr || delivered_revision == 0 || caught_up) return;
  LogFor(LogPart::kStore)
      .warn("The configuration watch is behind; reopening it.");
  this->watch->Stop();
}

// A key that an operator deleted directly in the key-value service has no
// version that reports the deletion. Its absence from a full read counts as a
// deletion at the revision of that read.
void ConfigFollower::MarkMissingAsDeleted(const KvRange& range) {
  std::set<std::string> present;
  std::vector<RecordVersion> deleted;
  for (const KvEntry& entry : range.entries) present.insert(entry.key);
  for (const RecordVersion& valid : this->records.ValidRecords()) {
    const bool known_later = valid.revision > range.revision;
    if (valid.deleted || known_later || present.count(valid.key) > 0) continue;
    deleted.push_back(RecordVersion{valid.key, range.revision, "", true});
  }
  this->publisher.Apply(deleted);
}

void ConfigFollower::ApplyEntries(absl::Span<const KvEntry> entries,
                                  std::int64_t revision) {
  std::vector<RecordVersion> versions;
  versions.reserve(entries.size());
  for (const KvEntry& entry : entries) {
    versions.push_back(
        RecordVersion{entry.key, entry.mod_revision, entry.value, false});
  }
  this->ApplyVersions(versions);
  this->publisher.Publish(revision);
}

void ConfigFollower::ApplyVersions(absl::Span<const RecordVersion> versions) {
  for (const RecordVersion& rejected : this->publisher.Apply(versions)) {
    LogFor(LogPart::kOperator)
        .warn("Rejected invalid record {} at revision {}.", rejected.key,
              rejected.revision);
    if (!this->records.HasValidVersion(rejected.key))
      this->RecoverValidVersion(rejected);
  }
}

void ConfigFollower::ApplyEvents(absl::Span<const KvEvent> events) {
  std::vector<RecordVersion> versions;
  std::int64_t newest = 0;
  for (const KvEvent& event : events) {
    const KvEntry& entry = event.entry;
    newest = std::max(newest, entry.mod_revision);
    versions.push_back(RecordVersion{entry.key, entry.mod_revision,
                                     event.deleted ? "" : entry.value,
                                     event.deleted});
  }
  this->ApplyVersions(versions);
  this->publisher.Publish(newest);
}

// Failure: an instance that starts after an invalid record was written has no
// last valid version of it, and would serve differently from instances that
// started earlier. The key-value service keeps older versions for a while, so
// the newest valid one is read from there.
void ConfigFollower::RecoverValidVersion(const RecordVersion& rejected) {
  std::int64_t before = rejected.revision - 1;
  for (int i = 0; i < kMaxOlderVersionReads && before > 0; ++i) {
    KvQuery query;
    query.key = rejected.key;
    query.at_revision = before;
    const Result<KvRange> range = this->kv.Range(query);
    if (!range.Ok() || range.Value().entries.empty()) return;
    const KvEntry& older = range.Value().entries.front();
    const RecordVersion version{older.key, older.mod_revision, older.value,
                                false};
    if (this->publisher.Apply({version}).empty()) return;
    before = older.mod_revision - 1;
  }
}

absl::Duration ConfigFollower::WatchRound() {
  const std::int64_t from = this->records.CompleteRevision();
  if (from == 0 || !this->IsRelay()) return kWatchRestartDelay;
  const auto on_start = [this](std::shared_ptr<KvWatchHandle> handle) {
    absl::MutexLock lock(&this->mutex);
    this->watch = std::move(handle);
    this->watched_revision = 0;
    if (this->watcher.Stopping()) this->watch->Stop();
  };
  const auto on_events = [this](absl::Span<const KvEvent> events,
                                std::int64_t revision) {
    {
      absl::MutexLock lock(&this->mutex);
      this->watched_revision = std::max(this->watched_revision, revision);
    }
    // The revision in the header of a watch response may be ahead of the
    // events delivered so far, so the configuration is complete only through
    // the newest revision of the events themselves.
    if (!events.empty()) this->ApplyEvents(events);
  };
  const Failure ended =
      this->kv.Watch(kConfigPrefix, from + 1, on_start, on_events);
  {
    absl::MutexLock lock(&this->mutex);
    this->watch.reset();
  }
  if (ended.code != Errc::kCancelled) {
    LogFor(LogPart::kStore)
        .info("The configuration watch ended: {}.", ended.ToString());
  }
  return kWatchRestartDelay;
}

absl::Duration ConfigFollower::PullRound() {
  std::optional<MemberStatus> from;
  {
    absl::MutexLock lock(&this->mutex);
    from.swap(this->pull_source);
  }
  if (!from.has_value()) return absl::InfiniteDuration();
  const Instant request_time = this->clock.Now();
  const std::int64_t own_revision = this->records.CompleteRevision();
  const Result<wire::ConfigPage> page =
      this->peers.PullConfig(PeerEndpoint(*from), own_revision);
  if (!page.Ok()) {
    LogFor(LogPart::kPeer).debug("{}.", page.Error().ToString());
    return absl::InfiniteDuration();
  }
  std::vector<RecordVersion> versions;
  for (const wire::ConfigRecord& record : page.Value().records) {
    versions.push_back(FromWire(record));
  }
  this->publisher.Apply(versions);
  this->publisher.Publish(page.Value().revision);
  if (page.Value().age_ms >= 0) {
    this->freshness.MarkCurrentAt(request_time -
                                  absl::Milliseconds(page.Value().age_ms));
  }
  return absl::InfiniteDuration();
}

}  // namespace dragonflyglade
