#include "dragonflyglade/instance/config_follower.h"

#include <algorithm>
#include <set>
#include <utility>

#include "dragonflyglade/decision/rendezvous.h"
#include "dragonflyglade/net/log.h"
#include "dragonflyglade/peer/heartbeat.h"
#include "dragonflyglade/peer/peer_codec.h"

namespace dragonflyglade {
namespace {

constexpr const char* kRelayRole = "configuration relay";
constexpr int kWholeReadEvery = 30;
constexpr int kOlderVersionsTried = 5;
constexpr absl::Duration kWatchPause = absl::Milliseconds(200);
constexpr absl::Duration kLongestBackoff = absl::Seconds(5);

}  // namespace

ConfigFollower::ConfigFollower(const KvClient& kv, PeerClient& peers,
                               Membership& membership, RecordStore& records,
                               ConfigFreshness& freshness,
                               CatalogHolder& catalog, FollowerOptions options,
                               OnChange on_change, Clock clock)
    : kv(kv),
      peers(peers),
      membership(membership),
      records(records),
      freshness(freshness),
      catalog(catalog),
      options(options),
      on_change(std::move(on_change)),
      clock(clock),
      backoff(options.reread, kLongestBackoff,
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
                           this->membership.Active(),
                           static_cast<std::size_t>(this->options.relays));
}

void ConfigFollower::PullFrom(const MemberStatus& member) {
  {
    absl::MutexLock lock(&this->mutex);
    this->pull_from = member;
  }
  this->puller.Wake();
}

// Failure: all relays die at once, or their connections go silent, and nobody
// notices that a key was withdrawn. An instance whose configuration ages reads
// the service itself, after a pause with jitter, until it hears from a relay.
absl::Duration ConfigFollower::ReadRound() {
  const bool never = this->records.CompleteRevision() == 0;
  const bool aged = this->freshness.Age() > this->options.help_yourself_after;
  if (!never && !aged && !this->IsRelay()) return this->options.reread;
  const bool whole = never || this->rounds % kWholeReadEvery == 0;
  if (this->ReadService(whole)) {
    ++this->rounds;
    this->backoff.Reset();
    return this->options.reread;
  }
  if (never) {
    // The service is out: any instance that has a configuration will do.
    for (const MemberStatus& member : this->membership.SampleAlive(1, "")) {
      this->PullFrom(member);
    }
  }
  return this->backoff.Next();
}

bool ConfigFollower::ReadService(bool whole) {
  const Instant asked_at = this->clock.Now();
  KvQuery query;
  query.key = std::string(kConfigPrefix);
  query.prefix = true;
  if (!whole) query.min_revision = this->records.CompleteRevision() + 1;
  std::int64_t delivered = 0;
  {
    absl::MutexLock lock(&this->mutex);
    delivered = this->watched_revision;
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
  if (whole) this->MarkMissing(range.Value());
  this->TakeEntries(range.Value().entries, range.Value().revision);
  this->freshness.ConfirmedAt(asked_at);
  if (!whole) this->NoteSilentWatch(delivered, newest);
  return true;
}

// Failure: the watch's connection goes silent although it looks open, and
// changes come only with the re-read. If the re-read finds what the watch
// should have delivered by the time the re-read began, a new watch is opened.
void ConfigFollower::NoteSilentWatch(std::int64_t delivered,
                                     std::int64_t read) {
  if (read == 0) return;
  absl::MutexLock lock(&this->mutex);
  const bool caught_up = this->watched_revision >= read;
  if (this->watch == nullptr || delivered == 0 || caught_up) return;
  LogFor(LogPart::kStore).warn("Watch is behind. Opening a new one.");
  this->watch->Stop();
}

// A key that an operator deleted outright leaves no version behind; its
// absence counts as a deletion at the revision of the read.
void ConfigFollower::MarkMissing(const KvRange& range) {
  std::set<std::string> present;
  for (const KvEntry& entry : range.entries) present.insert(entry.key);
  for (const RecordVersion& good : this->records.ValidRecords()) {
    const bool known_later = good.revision > range.revision;
    if (good.deleted || known_later || present.count(good.key) > 0) continue;
    this->records.ApplyVersion(
        RecordVersion{good.key, range.revision, "", true});
  }
}

void ConfigFollower::TakeEntries(absl::Span<const KvEntry> entries,
                                 std::int64_t revision) {
  bool changed = false;
  for (const KvEntry& entry : entries) {
    const RecordVersion version{entry.key, entry.mod_revision, entry.value,
                                false};
    const ApplyResult fate = this->records.ApplyVersion(version);
    changed = changed || fate == ApplyResult::kApplied;
    if (fate != ApplyResult::kRejected) continue;
    LogFor(LogPart::kOperator)
        .warn("Rejected {} at revision {}.", entry.key, entry.mod_revision);
    if (!this->records.HasValidVersion(entry.key)) this->RecoverGood(version);
  }
  this->records.MarkCompleteThrough(revision);
  if (changed || this->catalog.Get()->revision == 0) this->Rebuild();
}

// Failure: an instance that starts after an invalid record was written has no
// last good version, and would serve otherwise than those that started
// before. The service still has the older versions for a while.
void ConfigFollower::RecoverGood(const RecordVersion& bad) {
  std::int64_t before = bad.revision - 1;
  for (int i = 0; i < kOlderVersionsTried && before > 0; ++i) {
    KvQuery query;
    query.key = bad.key;
    query.at_revision = before;
    const Result<KvRange> range = this->kv.Range(query);
    if (!range.Ok() || range.Value().entries.empty()) return;
    const KvEntry& older = range.Value().entries.front();
    const ApplyResult fate = this->records.ApplyVersion(
        RecordVersion{older.key, older.mod_revision, older.value, false});
    if (fate == ApplyResult::kApplied) return;
    before = older.mod_revision - 1;
  }
}

void ConfigFollower::Rebuild() {
  absl::MutexLock lock(&this->rebuild_mutex);
  const std::int64_t revision = this->records.CompleteRevision();
  std::shared_ptr<const Catalog> catalog =
      this->builder.Build(revision, this->records.ValidRecords());
  this->catalog.Set(catalog);
  this->on_change(catalog);
}

absl::Duration ConfigFollower::WatchRound() {
  const std::int64_t from = this->records.CompleteRevision();
  if (from == 0 || !this->IsRelay()) return kWatchPause;
  const auto on_start = [this](std::shared_ptr<KvWatchHandle> handle) {
    absl::MutexLock lock(&this->mutex);
    this->watch = std::move(handle);
    this->watched_revision = 0;
    if (this->watcher.Stopping()) this->watch->Stop();
  };
  const auto on_events = [this](absl::Span<const KvEvent> events,
                                std::int64_t revision) {
    std::vector<KvEntry> puts;
    std::int64_t newest = 0;
    for (const KvEvent& event : events) {
      newest = std::max(newest, event.entry.mod_revision);
      if (event.deleted) {
        this->records.ApplyVersion(
            RecordVersion{event.entry.key, event.entry.mod_revision, "", true});
      } else {
        puts.push_back(event.entry);
      }
    }
    {
      absl::MutexLock lock(&this->mutex);
      this->watched_revision = std::max(this->watched_revision, revision);
    }
    // The header's revision may run ahead of the events delivered so far, so
    // only the events' own revisions count as complete.
    if (!events.empty()) {
      this->TakeEntries(puts, newest);
      if (puts.size() != events.size()) this->Rebuild();
    }
  };
  const Failure ended =
      this->kv.Watch(kConfigPrefix, from + 1, on_start, on_events);
  {
    absl::MutexLock lock(&this->mutex);
    this->watch.reset();
  }
  if (ended.code != Errc::kCancelled) {
    LogFor(LogPart::kStore).info("Watch ended: {}.", ended.ToString());
  }
  return kWatchPause;
}

absl::Duration ConfigFollower::PullRound() {
  std::optional<MemberStatus> from;
  {
    absl::MutexLock lock(&this->mutex);
    from.swap(this->pull_from);
  }
  if (!from.has_value()) return absl::InfiniteDuration();
  const Instant asked_at = this->clock.Now();
  const std::int64_t own = this->records.CompleteRevision();
  const Result<wire::ConfigPage> page =
      this->peers.PullConfig(PeerEndpoint(*from), own);
  if (!page.Ok()) {
    LogFor(LogPart::kPeer).debug("{}.", page.Error().ToString());
    return absl::InfiniteDuration();
  }
  bool changed = false;
  for (const wire::ConfigRecord& record : page.Value().records) {
    const ApplyResult fate = this->records.ApplyVersion(FromWire(record));
    changed = changed || fate == ApplyResult::kApplied;
  }
  this->records.MarkCompleteThrough(page.Value().revision);
  if (page.Value().age_ms >= 0) {
    this->freshness.ConfirmedAt(asked_at -
                                absl::Milliseconds(page.Value().age_ms));
  }
  if (changed) this->Rebuild();
  return absl::InfiniteDuration();
}

}  // namespace dragonflyglade
