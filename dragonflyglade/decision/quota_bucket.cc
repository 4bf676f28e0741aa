#include "dragonflyglade/decision/quota_bucket.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade {
namespace {

// A process whose report is this late was lost, paused or partitioned. Reports
// come at least every half second, and one may be lost.
constexpr absl::Duration kOverdueReport = absl::Seconds(1);
// Longer than a network partition and a window, after which the spending of a
// process is of no interest.
constexpr absl::Duration kProcessLifetime = absl::Minutes(1);
// Avoids a division by zero for workspaces that have a burst and no rate.
constexpr double kMinRefill = 1;

}  // namespace

bool BucketAdmits(double level, double capacity, double tokens) {
  return level >= std::min(tokens, capacity);
}

absl::Duration TimeUntilAdmitted(double level, const BucketSize& size,
                                 double tokens) {
  const double missing = std::min(tokens, size.capacity) - level;
  return absl::Seconds(std::max(0.0, missing) /
                       std::max(kMinRefill, size.refill));
}

QuotaBuckets::QuotaBuckets(Clock clock)
    : clock(std::move(clock)), started(this->clock.Now()) {}

double QuotaBuckets::Level(std::string_view workspace, const BucketSize& size,
                           double unreported_fraction, double initial_level) {
  auto found = this->buckets.find(workspace);
  if (found == this->buckets.end()) {
    Bucket bucket;
    bucket.level = std::min(size.capacity, initial_level);
    bucket.updated = this->clock.Now();
    found = this->buckets.emplace(std::string(workspace), bucket).first;
  }
  Bucket& bucket = found->second;
  bucket.size = size;
  this->Refill(bucket);
  bucket.unreported_fraction = std::clamp(unreported_fraction, 0.0, 1.0);
  return bucket.level;
}

// What is withheld covers the spending that instances report when they are
// back. It is released at the bucket's rate when none is missing any more.
void QuotaBuckets::Refill(Bucket& bucket) const {
  const Instant now = this->clock.Now();
  const double refilled =
      bucket.size.refill * absl::ToDoubleSeconds(now - bucket.updated);
  bucket.updated = now;
  const double withheld = bucket.unreported_fraction * refilled;
  if (withheld > 0) {
    bucket.withheld += withheld;
  } else {
    bucket.withheld = std::max(0.0, bucket.withheld - refilled);
  }
  bucket.level =
      std::min(bucket.level + refilled - withheld, bucket.size.capacity);
}

void QuotaBuckets::TakeGrant(std::string_view workspace, double tokens) {
  this->Take(workspace, tokens, false);
}

// An instance that was partitioned reports the spending of many seconds at
// once. If a bucket went far below zero by that, a workspace would be granted
// nothing for as long; the window counts that spending in full.
void QuotaBuckets::Take(std::string_view workspace, double tokens,
                        bool overdue) {
  const auto found = this->buckets.find(workspace);
  if (found == this->buckets.end()) return;
  Bucket& bucket = found->second;
  this->Refill(bucket);
  if (!overdue || tokens <= 0) {
    bucket.level = std::min(bucket.level - tokens, bucket.size.capacity);
    return;
  }
  const double covered = std::min(bucket.withheld, tokens);
  bucket.withheld -= covered;
  const double lowest = std::min(0.0, bucket.level);
  bucket.level = std::max(lowest, bucket.level - (tokens - covered));
}

// A process that is older than what is known here spent an unknown part of its
// first total before that. The window contains what of it still counts.
QuotaBuckets::Process& QuotaBuckets::ProcessOf(const SpendingReport& report) {
  const auto found = this->processes.find(report.process);
  if (found != this->processes.end()) return found->second;
  this->RemoveExpiredProcesses();
  Process process;
  process.reported_at = this->clock.Now();
  const bool is_older = report.age > this->clock.Now() - this->started;
  for (const SpentTotal& spent : report.totals) {
    if (!is_older) break;
    process.totals[std::string(spent.workspace)] = spent.tokens;
  }
  return this->processes
      .emplace(std::string(report.process), std::move(process))
      .first->second;
}

// Settled grants and the spending that contains them are applied together: a
// full bucket would lose what is returned first.
void QuotaBuckets::AddReport(
    const SpendingReport& report,
    const std::map<std::string, double, std::less<>>& settled) {
  std::map<std::string, double, std::less<>> taken;
  for (const auto& [workspace, tokens] : settled) taken[workspace] -= tokens;
  Process& process = this->ProcessOf(report);
  const Instant now = this->clock.Now();
  const bool overdue = now - process.reported_at > kOverdueReport;
  if (report.sequence > process.sequence) {
    process.sequence = report.sequence;
    process.reported_at = now;
    for (const SpentTotal& spent : report.totals) {
      double& total = process.totals[std::string(spent.workspace)];
      taken[std::string(spent.workspace)] += spent.tokens - total;
      total = spent.tokens;
    }
  }
  for (const auto& [workspace, tokens] : taken) {
    this->Take(workspace, tokens, overdue);
  }
}

void QuotaBuckets::RemoveExpiredProcesses() {
  const Instant oldest = this->clock.Now() - kProcessLifetime;
  std::erase_if(this->processes, [&](const auto& item) {
    return item.second.reported_at < oldest;
  });
}

void QuotaBuckets::Clear() {
  this->buckets.clear();
  this->processes.clear();
  this->started = this->clock.Now();
}

}  // namespace dragonflyglade
