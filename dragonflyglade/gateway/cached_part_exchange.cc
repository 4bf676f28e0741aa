#include "dragonflyglade/gateway/cached_part_exchange.h"

#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflyglade::gateway {
namespace {

constexpr std::size_t kMaxPartsPerMessage = 64;
constexpr std::size_t kKeyBytes = 8;
// Above this, the cursors of instances that have ended are dropped with all
// others, which costs one summary with parts that were sent before.
constexpr std::size_t kMaxReceivers = 4096;

void AppendKey(PromptPartKey key, std::string& keys) {
  for (std::size_t i = 0; i < kKeyBytes; ++i) {
    keys.push_back(static_cast<char>(key >> (8 * i)));
  }
}

PromptPartKey ReadKey(std::string_view bytes) {
  PromptPartKey key = 0;
  for (std::size_t i = 0; i < kKeyBytes; ++i) {
    key |= PromptPartKey{static_cast<unsigned char>(bytes[i])} << (8 * i);
  }
  return key;
}

std::vector<wire::CachedParts> Encode(const std::vector<CachedPart>& parts) {
  std::map<std::pair<std::string, std::int64_t>, wire::CachedParts> by_process;
  for (const CachedPart& part : parts) {
    wire::CachedParts& of_target = by_process[{part.engine, part.born_ms}];
    of_target.target = part.engine;
    of_target.born_ms = part.born_ms;
    of_target.__isset.dropped_keys |= part.dropped;
    AppendKey(part.key, part.dropped ? of_target.dropped_keys : of_target.keys);
  }
  std::vector<wire::CachedParts> encoded;
  encoded.reserve(by_process.size());
  for (auto& [process, of_target] : by_process) {
    encoded.push_back(std::move(of_target));
  }
  return encoded;
}

void DecodeKeys(std::string_view bytes, CachedPart part,
                std::vector<CachedPart>& parts) {
  while (bytes.size() >= kKeyBytes && parts.size() < kMaxPartsPerMessage) {
    part.key = ReadKey(bytes);
    parts.push_back(part);
    bytes.remove_prefix(kKeyBytes);
  }
}

std::vector<CachedPart> Decode(const std::vector<wire::CachedParts>& encoded) {
  std::vector<CachedPart> parts;
  for (const wire::CachedParts& of_target : encoded) {
    CachedPart part{of_target.target, of_target.born_ms};
    DecodeKeys(of_target.keys, part, parts);
    part.dropped = true;
    DecodeKeys(of_target.dropped_keys, part, parts);
  }
  return parts;
}

}  // namespace

CachedPartExchange::CachedPartExchange(PromptCaches& caches, Clock clock)
    : caches(caches), clock(std::move(clock)) {}

void CachedPartExchange::AddTo(wire::InstanceReport& report) {
  const std::vector<CachedPart> parts = this->caches.Changes().Since(
      this->reported, report.instance, kMaxPartsPerMessage);
  if (!parts.empty()) report.__set_cached_parts(Encode(parts));
}

void CachedPartExchange::Apply(const wire::InstanceReport& report) {
  if (!report.__isset.cached_parts) return;
  const Instant now = this->clock.Now();
  for (CachedPart& part : Decode(report.cached_parts)) {
    this->fleet_parts.Add(std::move(part), report.incarnation, now);
  }
}

void CachedPartExchange::AddTo(wire::FleetSummary& summary,
                               const wire::InstanceReport& report) {
  if (this->fleet_parts.Size() == 0) return;
  if (this->summarized.size() > kMaxReceivers) this->summarized.clear();
  const std::vector<CachedPart> parts =
      this->fleet_parts.Since(this->summarized[report.incarnation],
                              report.incarnation, kMaxPartsPerMessage);
  if (!parts.empty()) summary.__set_cached_parts(Encode(parts));
}

void CachedPartExchange::Apply(const wire::FleetSummary& summary) {
  if (!summary.__isset.cached_parts) return;
  for (const CachedPart& part : Decode(summary.cached_parts)) {
    this->caches.Apply(part);
  }
}

}  // namespace dragonflyglade::gateway
