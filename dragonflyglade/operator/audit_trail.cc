#include "dragonflyglade/operator/audit_trail.h"

#include <fmt/format.h>

#include <algorithm>

#include "absl/time/clock.h"
#include "dragonflyglade/decision/json_text.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxSegmentEntries = 200;
constexpr std::size_t kMaxSegmentBytes = 128u << 10;
constexpr std::int64_t kMaxSegmentsPerWriter = 16;
constexpr std::size_t kMaxPendingEntries = 10'000;

}  // namespace

json EncodeAuditEntry(const AuditEntry& entry) {
  return {{"time", entry.time},
          {"actor", entry.actor},
          {"action", entry.action},
          {"subject", entry.subject},
          {"detail", entry.detail}};
}

AuditEntry DecodeAuditEntry(const json& object) {
  return AuditEntry{object.at("time"), object.at("actor"), object.at("action"),
                    object.at("subject"), object.at("detail")};
}

Result<std::vector<AuditEntry>> ReadAuditTrail(const KvClient& kv) {
  KvQuery query;
  query.key = std::string(kAuditPrefix);
  query.prefix = true;
  const Result<KvRange> range = kv.Range(query);
  if (!range.Ok()) return range.Error();
  std::vector<AuditEntry> entries;
  try {
    for (const KvEntry& segment : range.Value().entries) {
      for (const json& item : ParseJson(segment.value)) {
        entries.push_back(DecodeAuditEntry(item));
      }
    }
  } catch (const json::exception& error) {
    return MakeFailure(Errc::kMalformedResponse, "read audit trail", "kv",
                       error.what());
  }
  std::stable_sort(
      entries.begin(), entries.end(),
      [](const AuditEntry& a, const AuditEntry& b) { return a.time < b.time; });
  return entries;
}

// The numbers of a writer's segments begin with the time of its start, so a
// restarted writer continues after its earlier segments without reading them.
AuditTrail::AuditTrail(const KvClient& kv, std::string_view writer)
    : kv(kv),
      writer(writer),
      number(absl::ToUnixMicros(absl::Now())),
      first_kept(number) {}

std::string AuditTrail::SegmentKey(std::int64_t number) const {
  return fmt::format("{}{}/{:020}", kAuditPrefix, this->writer, number);
}

void AuditTrail::Add(std::string_view action, std::string_view subject,
                     json detail) {
  AuditEntry entry;
  entry.time = absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", absl::Now(),
                                absl::UTCTimeZone());
  entry.actor = this->writer;
  entry.action = std::string(action);
  entry.subject = std::string(subject);
  entry.detail = std::move(detail);
  absl::MutexLock lock(&this->mutex);
  // Beyond the limit entries are dropped, so that a long outage of the service
  // cannot exhaust the instance's memory.
  if (this->pending.size() >= kMaxPendingEntries) return;
  this->pending.push_back(std::move(entry));
}

std::size_t AuditTrail::Pending() const {
  absl::MutexLock lock(&this->mutex);
  return this->pending.size();
}

Status AuditTrail::Flush() {
  absl::MutexLock flush_lock(&this->flush_mutex);
  std::vector<AuditEntry> batch;
  {
    absl::MutexLock lock(&this->mutex);
    const std::size_t count =
        std::min(this->pending.size(), kMaxSegmentEntries);
    batch.assign(this->pending.begin(),
                 this->pending.begin() + static_cast<std::ptrdiff_t>(count));
  }
  if (batch.empty()) return Done{};
  const bool is_full =
      this->segment.size() + batch.size() > kMaxSegmentEntries ||
      this->segment.dump().size() > kMaxSegmentBytes;
  if (is_full) {
    this->segment = json::array();
    ++this->number;
  }
  json next_segment = this->segment;
  for (const AuditEntry& entry : batch) {
    next_segment.push_back(EncodeAuditEntry(entry));
  }
  std::vector<KvWrite> writes = {
      {this->SegmentKey(this->number), next_segment.dump(), 0, false}};
  const bool drops_oldest =
      this->number - this->first_kept >= kMaxSegmentsPerWriter;
  if (drops_oldest)
    writes.push_back({this->SegmentKey(this->first_kept), "", 0, true});
  // The whole segment is rewritten, so a write whose response was lost can be
  // repeated safely.
  const Result<KvTxnResult> reply = this->kv.Txn({}, writes);
  if (!reply.Ok()) return reply.Error();
  this->segment = std::move(next_segment);
  if (drops_oldest) ++this->first_kept;
  absl::MutexLock lock(&this->mutex);
  this->pending.erase(
      this->pending.begin(),
      this->pending.begin() + static_cast<std::ptrdiff_t>(batch.size()));
  return Done{};
}

}  // namespace dragonflyglade
