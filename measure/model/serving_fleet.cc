#include "measure/model/serving_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "absl/random/distributions.h"

namespace dragonflyglade {
namespace {

constexpr const char* kPool = "p";
constexpr const char* kModel = "m";
constexpr int kBatch = 8;
constexpr double kPrefillTokensPerSecond = 6000;
constexpr double kTokensPerSecond = 50;
constexpr double kPromptTokens = 1200;
constexpr double kOutputTokens = 100;
constexpr double kHitPart = 0.1;
constexpr double kRateRoom = 1.1;
constexpr double kBurstSeconds = 5;
constexpr double kSlowness = 4;
constexpr std::size_t kCachedPrefixes = 12;
constexpr int kMostAttempts = 3;
constexpr absl::Duration kSilence = absl::Seconds(10);
constexpr absl::Duration kReportEvery = absl::Milliseconds(500);
constexpr absl::Duration kRecheckEvery = absl::Milliseconds(100);
constexpr absl::Duration kFaultAt = absl::Seconds(30);
constexpr std::array<absl::Duration, kRequestClasses> kDeadlines = {
    absl::Milliseconds(560), absl::Milliseconds(560), absl::Seconds(30)};

double SecondsAtTarget() {
  return kPromptTokens / kPrefillTokensPerSecond +
         kOutputTokens / kTokensPerSecond;
}

}  // namespace

double ServingResult::Attained() const {
  return static_cast<double>(this->in_time) / std::max(1, this->requests);
}

double ServingResult::Attained(const std::string& workspace) const {
  const auto found = this->by_workspace.find(workspace);
  if (found == this->by_workspace.end()) return 0;
  return static_cast<double>(found->second.first) /
         std::max(1, found->second.second);
}

double ServingResult::WorstOverBest() const {
  double worst = 1;
  double best = 0;
  for (const auto& [workspace, counts] : this->by_workspace) {
    worst = std::min(worst, this->Attained(workspace));
    best = std::max(best, this->Attained(workspace));
  }
  return best == 0 ? 0 : worst / best;
}

ServingFleet::ServingFleet(const ServingRun& run)
    : run(run), clock(&this->manual), random(run.seed) {
  this->manual.Advance(absl::Hours(1));
  std::vector<ListedTarget> list;
  for (std::size_t i = 0; i < run.targets; ++i) {
    Target target;
    target.name = fmt::format("t{:02}", i);
    this->targets[target.name] = target;
    list.push_back(ListedTarget{target.name, "127.0.0.1", 1,
                                i % 2 == 0 ? "a" : "b", kPool, false});
  }
  const double capacity =
      static_cast<double>(run.targets) * kBatch / SecondsAtTarget();
  for (const double part : run.workspaces) {
    TokenBucket rate(this->manual.Now());
    const double per_second = kRateRoom * capacity * run.load * part;
    rate.Configure(per_second, per_second * kBurstSeconds, this->manual.Now());
    rate.Deposit(per_second * kBurstSeconds, this->manual.Now());
    this->rates.push_back(rate);
  }
  this->entries.resize(run.instances);
  for (std::size_t i = 0; i < run.instances; ++i) {
    Entry& entry = this->entries[i];
    TargetOptions options;
    entry.book =
        std::make_unique<TargetRegistry>(options, this->clock, run.seed + i);
    entry.book->TakeList(1, list);
    entry.book->SetInstanceCount(static_cast<int>(run.instances));
    // Waiting in the order of arrival is a fair queue with one line.
    entry.queue = std::make_unique<FairQueue>(absl::Seconds(5), 8);
    entry.retries = std::make_unique<RetryBudget>(0.1, 10);
  }
}

void ServingFleet::At(Instant when, std::function<void()> action) {
  this->events.emplace(std::max(when, this->manual.Now()), std::move(action));
}

void ServingFleet::Arrive(std::size_t workspace) {
  const double capacity =
      static_cast<double>(this->run.targets) * kBatch / SecondsAtTarget();
  const double part = this->run.workspaces[workspace] *
                      (workspace == 0 ? this->run.pressure : 1);
  const double rate = capacity * this->run.load * part;
  this->At(
      this->manual.Now() + absl::Seconds(absl::Exponential(this->random, rate)),
      [=, this] { this->Arrive(workspace); });
  if (this->run.limited &&
      !this->rates[workspace].Withdraw(1, this->manual.Now())) {
    ++this->result.over_rate;
    return;
  }
  auto request = std::make_shared<Request>();
  request->id = this->next_id++;
  request->workspace = fmt::format("w{}", workspace);
  const double kind = absl::Uniform(this->random, 0.0, 1.0);
  if (kind < this->run.urgent_part) {
    request->request_class = RequestClass::kUrgent;
  } else if (kind < this->run.urgent_part + this->run.batch_part) {
    request->request_class = RequestClass::kBatch;
  }
  request->prompt = kPromptTokens * absl::Uniform(this->random, 0.5, 1.5);
  request->output = kOutputTokens * absl::Uniform(this->random, 0.5, 1.5);
  request->prefix =
      1 + absl::Uniform<std::uint64_t>(
              this->random, 0, static_cast<std::uint64_t>(this->run.prefixes));
  request->arrived = this->manual.Now();
  ++this->result.requests;
  ++this->result.by_workspace[request->workspace].second;
  ++this->result.by_class[static_cast<int>(request->request_class)].second;
  const auto instance =
      absl::Uniform<std::size_t>(this->random, 0, this->entries.size());
  this->entries[instance].retries->RecordRequest();
  this->Enqueue(instance, request);
}

void ServingFleet::Enqueue(std::size_t instance, const RequestPtr& request) {
  Entry& entry = this->entries[instance];
  const bool fair = this->run.queue == QueueWay::kFair;
  entry.waiting[request->id] = request;
  entry.queue->Push(QueueEntry{
      request->id, fair ? request->workspace : "all",
      fair ? request->request_class : RequestClass::kChat,
      request->prompt + request->output, kModel, this->manual.Now()});
  this->Serve(instance);
}

void ServingFleet::Serve(std::size_t instance) {
  Entry& entry = this->entries[instance];
  const auto can_place = [&](const QueueEntry& waiting) {
    return this->TryPlace(instance, entry.waiting.at(waiting.id));
  };
  while (true) {
    const auto placed =
        entry.queue->PopFirstDispatchable(this->manual.Now(), can_place);
    if (!placed.has_value()) return;
    entry.waiting.erase(placed->id);
  }
}

std::string ServingFleet::ChooseSimply(std::size_t instance,
                                       const Request& request) {
  Entry& entry = this->entries[instance];
  std::vector<std::string> usable;
  for (const auto& [name, target] : this->targets) {
    if (request.avoid.count(name) > 0) continue;
    if (entry.own[name] < TargetOptions{}.max_in_flight) {
      usable.push_back(name);
    }
  }
  if (usable.empty()) return {};
  if (this->run.routing == RoutingWay::kRoundRobin) {
    return usable[entry.turn++ % usable.size()];
  }
  if (this->run.routing == RoutingWay::kTwoChoices) {
    const auto pick = [&] {
      return usable[absl::Uniform<std::size_t>(this->random, 0, usable.size())];
    };
    const std::string a = pick();
    const std::string b = pick();
    return entry.own[a] <= entry.own[b] ? a : b;
  }
  std::string best;
  double least = 0;
  for (const std::string& name : usable) {
    const auto& reports = this->targets.at(name).reports;
    const double reported = reports.empty() ? 0 : reports.front().tokens;
    if (!best.empty() && reported >= least) continue;
    best = name;
    least = reported;
  }
  return best;
}

bool ServingFleet::TryPlace(std::size_t instance, const RequestPtr& request) {
  Entry& entry = this->entries[instance];
  if (this->run.routing != RoutingWay::kBook) {
    const std::string name = this->ChooseSimply(instance, *request);
    if (name.empty()) return false;
    ++entry.own[name];
    this->Send(instance, request, TargetReservation{name, kPool, "", 0, 0});
    return true;
  }
  TargetRequirements need;
  need.pool = kPool;
  need.model = kModel;
  need.zone = instance % 2 == 0 ? "a" : "b";
  need.prefix = request->prefix;
  need.tokens = request->prompt + request->output;
  need.avoid = request->avoid;
  const auto place = entry.book->Take(need);
  if (!std::holds_alternative<TargetReservation>(place)) return false;
  this->Send(instance, request, std::get<TargetReservation>(place));
  return true;
}

void ServingFleet::Send(std::size_t instance, const RequestPtr& request,
                        const TargetReservation& place) {
  Target& target = this->targets.at(place.target);
  ++this->result.attempts;
  ++request->attempts;
  if (target.refusing) {
    this->At(this->manual.Now() + absl::Milliseconds(1),
             [=, this] { this->Fail(instance, request, place); });
    return;
  }
  if (target.silent) {
    this->At(this->manual.Now() + kSilence,
             [=, this] { this->Fail(instance, request, place); });
    return;
  }
  target.queued_tokens += request->prompt + request->output;
  Waiting waiting;
  waiting.request = request;
  waiting.instance = instance;
  waiting.place = place;
  target.queue[static_cast<int>(request->request_class)].push_back(waiting);
  this->Start(target);
}

bool ServingFleet::Hit(Target& target, std::uint64_t prefix) {
  if (target.prefixes.count(prefix) > 0) return true;
  target.prefixes.insert(prefix);
  target.prefix_order.push_back(prefix);
  if (target.prefix_order.size() > kCachedPrefixes) {
    target.prefixes.erase(target.prefix_order.front());
    target.prefix_order.pop_front();
  }
  return false;
}

void ServingFleet::Start(Target& target) {
  while (target.running < kBatch) {
    auto line = target.queue.begin();
    while (line != target.queue.end() && line->second.empty()) ++line;
    if (line == target.queue.end()) return;
    const Waiting waiting = line->second.front();
    line->second.pop_front();
    ++target.running;
    Request& request = *waiting.request;
    const bool hit = this->Hit(target, request.prefix);
    if (hit) ++this->result.prefix_hits;
    const double prefill = request.prompt / kPrefillTokensPerSecond *
                           (hit ? kHitPart : 1) * target.slowness;
    const double decode = request.output / kTokensPerSecond * target.slowness;
    const Instant first = this->manual.Now() + absl::Seconds(prefill);
    const auto kind = static_cast<std::size_t>(request.request_class);
    if (first - request.arrived <= kDeadlines.at(kind)) {
      ++this->result.in_time;
      ++this->result.by_workspace[request.workspace].first;
      ++this->result.by_class[static_cast<int>(kind)].first;
    }
    if (request.request_class == RequestClass::kBatch) {
      this->result.longest_batch_wait =
          std::max(this->result.longest_batch_wait, first - request.arrived);
    }
    const std::string name = target.name;
    this->At(first + absl::Seconds(decode), [=, this] {
      Target& at = this->targets.at(name);
      --at.running;
      at.queued_tokens -= waiting.request->prompt + waiting.request->output;
      if (this->run.routing == RoutingWay::kBook) {
        this->entries[waiting.instance].book->RecordCachedPrefix(
            kPool, name, waiting.request->prefix);
      }
      this->Finish(waiting.instance, waiting.place, RequestOutcome::kSucceeded);
      this->Start(at);
    });
  }
}

void ServingFleet::Finish(std::size_t instance, const TargetReservation& place,
                          RequestOutcome outcome) {
  Entry& entry = this->entries[instance];
  if (this->run.routing == RoutingWay::kBook) {
    entry.book->Finish(place, outcome);
  } else {
    --entry.own[place.target];
  }
  this->Serve(instance);
}

void ServingFleet::Fail(std::size_t instance, const RequestPtr& request,
                        const TargetReservation& place) {
  request->avoid.insert(place.target);
  const bool again = request->attempts < kMostAttempts &&
                     this->entries[instance].retries->TryConsumeRetry();
  this->Finish(instance, place, RequestOutcome::kTargetFault);
  if (again) {
    this->Enqueue(instance, request);
  } else {
    ++this->result.lost;
  }
}

// Each instance learns what the targets said a lag ago.
void ServingFleet::Report() {
  const Instant now = this->manual.Now();
  this->At(now + kReportEvery, [this] { this->Report(); });
  for (auto& [name, target] : this->targets) {
    if (target.silent || target.refusing) continue;
    int held = target.running;
    for (const auto& [priority, line] : target.queue) {
      held += static_cast<int>(line.size());
    }
    target.reports.push_back(Reported{now, target.queued_tokens, held});
    while (target.reports.size() > 1 &&
           target.reports[1].at <= now - this->run.report_lag) {
      target.reports.pop_front();
    }
    LoadReport report;
    report.queued_tokens = target.reports.front().tokens;
    report.running = target.reports.front().held;
    report.slots = kBatch;
    report.boot_id = "1";
    report.resident = {kModel};
    report.lag = now - target.reports.front().at;
    for (Entry& entry : this->entries) {
      entry.book->TakeReport(kPool, name, report);
    }
  }
}

void ServingFleet::Recheck() {
  this->At(this->manual.Now() + kRecheckEvery, [this] { this->Recheck(); });
  for (std::size_t i = 0; i < this->entries.size(); ++i) this->Serve(i);
}

ServingResult ServingFleet::Run() {
  const Instant start = this->manual.Now();
  this->Report();
  this->Recheck();
  for (std::size_t i = 0; i < this->run.workspaces.size(); ++i) {
    this->Arrive(i);
  }
  this->At(start + kFaultAt, [this] {
    std::size_t number = 0;
    for (auto& [name, target] : this->targets) {
      const bool is_first = number++ == 0;
      const bool in_third = number <= this->targets.size() / 3;
      if (this->run.fault == TargetFault::kThirdGone) {
        target.refusing = in_third;
      }
      if (!is_first) continue;
      if (this->run.fault == TargetFault::kSlow) target.slowness = kSlowness;
      if (this->run.fault == TargetFault::kSilent) target.silent = true;
      if (this->run.fault == TargetFault::kRefusing) target.refusing = true;
    }
  });
  const Instant end = start + this->run.length;
  while (!this->events.empty() && this->events.begin()->first < end) {
    const auto next = this->events.begin();
    const std::function<void()> action = std::move(next->second);
    this->manual.Advance(next->first - this->manual.Now());
    this->events.erase(next);
    action();
  }
  return this->result;
}

}  // namespace dragonflyglade
