#include "dragonflyglade/target/target_poller.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

#include "dragonflyglade/net/log.h"

namespace dragonflyglade {
namespace {

// Engines are polled in parallel, so that a slow engine does not delay the
// reports of all others.
constexpr std::size_t kPollThreads = 4;

}  // namespace

TargetPoller::TargetPoller(const DiscoveryClient& lists,
                           TargetRegistry& targets,
                           const CatalogHolder& catalog,
                           TargetCallOptions options,
                           absl::Duration list_period,
                           absl::Duration report_period)
    : lists(lists),
      targets(targets),
      catalog(catalog),
      options(options),
      list_period(list_period),
      report_period(report_period),
      list_worker([this] { return this->PollTargetList(); }),
      report_worker([this] { return this->PollLoadReports(); }) {}

TargetPoller::~TargetPoller() { this->Stop(); }

void TargetPoller::Start() {
  this->list_worker.Start();
  this->report_worker.Start();
}

void TargetPoller::Stop() {
  this->list_worker.Stop();
  this->report_worker.Stop();
}

absl::Duration TargetPoller::PollTargetList() {
  const Result<DiscoveredTargets> list = this->lists.FetchTargets();
  if (list.Ok()) {
    this->targets.ApplyTargetList(list.Value().version, list.Value().targets);
    this->report_worker.Wake();
  } else {
    LogFor(LogPart::kStore).debug("{}.", list.Error().ToString());
  }
  return this->list_period;
}

void TargetPoller::PollEngine(const ListedTarget& target) {
  const EngineClient engine(Endpoint{target.address, target.port}, target.name,
                            this->options);
  const Result<EngineReport> report = engine.FetchReport();
  if (!report.Ok()) return;
  if (report.Value().leaving) this->targets.MarkLeaving(target.name);
  this->targets.ApplyLoadReport(target.pool, target.name, report.Value().load);
  this->PollCacheEvents(engine, target);
}

void TargetPoller::PollCacheEvents(const EngineClient& engine,
                                   const ListedTarget& target) {
  std::int64_t after = 0;
  {
    absl::MutexLock lock(&this->mutex);
    after = this->cache_sequence[target.name];
  }
  const Result<std::vector<CacheEvent>> events = engine.FetchCacheEvents(after);
  if (!events.Ok()) return;
  for (const CacheEvent& event : events.Value()) {
    if (event.stored) {
      this->targets.RecordCachedPrefix(target.pool, target.name, event.prefix);
    } else {
      this->targets.ForgetCachedPrefix(target.pool, target.name, event.prefix);
    }
    after = std::max(after, event.sequence);
  }
  absl::MutexLock lock(&this->mutex);
  this->cache_sequence[target.name] = after;
}

absl::Duration TargetPoller::PollLoadReports() {
  std::vector<ListedTarget> engines;
  const std::shared_ptr<const Catalog> catalog = this->catalog.Get();
  for (const TargetStatus& status : this->targets.Status()) {
    const PoolRecord* pool = FindRecord(catalog->pools, status.listed.pool);
    const bool is_engine = pool != nullptr && pool->kind == PoolKind::kEngine;
    if (is_engine) engines.push_back(status.listed);
  }
  std::atomic<std::size_t> next{0};
  const auto poll = [&] {
    for (std::size_t i = next++; i < engines.size(); i = next++) {
      if (this->report_worker.Stopping()) return;
      this->PollEngine(engines[i]);
    }
  };
  std::vector<std::thread> threads;
  const std::size_t count = std::min(kPollThreads, engines.size());
  threads.reserve(count);
  for (std::size_t i = 0; i < count; ++i) threads.emplace_back(poll);
  for (std::thread& thread : threads) thread.join();
  return this->report_period;
}

}  // namespace dragonflyglade
