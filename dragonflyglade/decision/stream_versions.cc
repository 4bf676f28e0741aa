#include "dragonflyglade/decision/stream_versions.h"

#include <algorithm>
#include <utility>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// Bounds the memory to some megabytes.
constexpr std::size_t kMaxStreams = 20000;
constexpr std::size_t kAskedOwners = 5;

std::vector<std::size_t> RankCandidates(
    std::string_view stream,
    absl::Span<const StreamOwnerCandidate> candidates) {
  std::vector<std::pair<std::uint64_t, std::size_t>> weights;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::uint64_t seed = StableHash(candidates[i].name);
    weights.emplace_back(StableHash(stream, seed), i);
  }
  std::sort(weights.rbegin(), weights.rend());
  std::vector<std::size_t> order;
  order.reserve(weights.size());
  for (const auto& [weight, index] : weights) order.push_back(index);
  return order;
}

}  // namespace

StreamVersions::StreamVersions(Clock clock) : clock(std::move(clock)) {}

void StreamVersions::Record(std::string_view stream, const StreamOrigin& origin,
                            absl::Duration lifetime) {
  this->Forget();
  const Instant expires =
      this->clock.Now() + std::min(lifetime, kMaxStreamLifetime);
  const auto known = this->entries.find(stream);
  if (known == this->entries.end()) {
    this->entries.emplace(std::string(stream), Entry{origin, expires});
    this->by_age.emplace_back(stream);
    return;
  }
  Entry& entry = known->second;
  entry.expires = std::max(entry.expires, expires);
  if (origin.attempt >= entry.origin.attempt) entry.origin = origin;
}

// Streams with a longer lifetime keep later ones from being forgotten, for the
// longest lifetime at most.
void StreamVersions::Forget() {
  const Instant now = this->clock.Now();
  while (!this->by_age.empty()) {
    const auto oldest = this->entries.find(this->by_age.front());
    const bool expired = oldest->second.expires <= now;
    if (!expired && this->entries.size() < kMaxStreams) return;
    this->entries.erase(oldest);
    this->by_age.pop_front();
  }
}

std::optional<StreamOrigin> StreamVersions::Find(
    std::string_view stream) const {
  const auto found = this->entries.find(stream);
  if (found == this->entries.end()) return std::nullopt;
  if (found->second.expires <= this->clock.Now()) return std::nullopt;
  return found->second.origin;
}

void StreamVersions::ForEach(const Visitor& visit) const {
  const Instant now = this->clock.Now();
  for (const auto& [stream, entry] : this->entries) {
    if (entry.expires <= now) continue;
    visit(stream, entry.origin, entry.expires - now);
  }
}

ServedVersions::ServedVersions(Instant known_since)
    : known_since(known_since) {}

bool ServedVersions::Record(const SoftwareVersion& version, Instant now) {
  for (auto item = this->last_seen.begin(); item != this->last_seen.end();) {
    const bool old = now - item->second > kMaxStreamLifetime;
    // Of the forgotten ones, it is enough to know when the last one served.
    if (old) this->known_since = std::max(this->known_since, item->second);
    item = old ? this->last_seen.erase(item) : std::next(item);
  }
  const bool is_new = this->last_seen.count(version) == 0;
  this->last_seen[version] = now;
  return is_new && this->last_seen.size() > 1;
}

absl::Duration ServedVersions::SingleFor(Instant now) const {
  const std::optional<SoftwareVersion> latest = this->Latest();
  Instant since = this->known_since;
  for (const auto& [version, seen] : this->last_seen) {
    if (version != *latest) since = std::max(since, seen);
  }
  return now - since;
}

std::optional<SoftwareVersion> ServedVersions::Latest() const {
  const auto latest =
      std::max_element(this->last_seen.begin(), this->last_seen.end(),
                       [](const auto& one, const auto& other) {
                         return one.second < other.second;
                       });
  if (latest == this->last_seen.end()) return std::nullopt;
  return latest->first;
}

std::optional<SoftwareVersion> ServedVersions::SoleFor(absl::Duration time,
                                                       Instant now) const {
  if (this->SingleFor(now) < time) return std::nullopt;
  return this->Latest();
}

// Failure: nothing serves when the version becomes known, its targets have just
// left. If it were not remembered as one that served, the next version would
// seem to have served alone all the time, and would go on with its streams.
void ServedVersions::RecordEarlier(const SoftwareVersion& version,
                                   Instant since, Instant until) {
  this->known_since = std::min(this->known_since, since);
  const auto seen = this->last_seen.try_emplace(version, until).first;
  seen->second = std::max(seen->second, until);
}

std::vector<std::size_t> StreamOwners(
    std::string_view stream,
    absl::Span<const StreamOwnerCandidate> candidates) {
  const std::vector<std::size_t> order = RankCandidates(stream, candidates);
  if (order.size() <= 2) return order;
  // Those that are asked must include the owners.
  for (std::size_t i = 1; i < std::min(order.size(), kAskedOwners - 1); ++i) {
    if (candidates[order[i]].zone == candidates[order.front()].zone) continue;
    return {order.front(), order[i]};
  }
  return {order[0], order[1]};
}

std::vector<std::size_t> AskedStreamOwners(
    std::string_view stream,
    absl::Span<const StreamOwnerCandidate> candidates) {
  std::vector<std::size_t> order = RankCandidates(stream, candidates);
  order.resize(std::min(order.size(), kAskedOwners));
  return order;
}

ContinuationDecision DecideContinuation(const ContinuationFacts& facts) {
  if (facts.origin.has_value()) return OnlyVersion{*facts.origin};
  if (facts.several_versions || !facts.sole_version.has_value()) {
    return UnknownVersion{};
  }
  // Other instances may send to targets of a version that is not known here.
  if (!facts.up_to_date && facts.answers == 0) return UnknownVersion{};
  // A target of another version may begin to serve before the stream is sent.
  return OnlyVersion{{*facts.sole_version, 0}};
}

}  // namespace dragonflyglade
