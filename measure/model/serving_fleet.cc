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
constexpr int kTargetSlots = 8;
constexpr double kPrefillTokensPerSecond = 6000;
constexpr double kDecodeTokensPerSecond = 50;
constexpr double kMeanPromptTokens = 1200;
constexpr double kMeanOutputTokens = 100;
constexpr double kCachedPrefillFraction = 0.1;
constexpr double kRateHeadroom = 1.1;
constexpr double kBurstSeconds = 5;
constexpr double kSlowFactor = 4;
constexpr std::size_t kCachedPrefixes = 12;
constexpr int kMaxAttempts = 3;
constexpr absl::Duration kUnresponsiveTimeout = absl::Seconds(10);
constexpr absl::Duration kReportPeriod = absl::Milliseconds(500);
constexpr absl::Duration kDispatchPeriod = absl::Milliseconds(100);
constexpr absl::Duration kFaultTime = absl::Seconds(30);
constexpr std::array<absl::Duration, kRequestClasses> kFirstTokenDeadlines = {
    absl::Milliseconds(560), absl::Milliseconds(560), absl::Seconds(30)};

double MeanServiceSeconds() {
  return kMeanPromptTokens / kPrefillTokensPerSecond +
         kMeanOutputTokens / kDecodeTokensPerSecond;
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
      static_cast<double>(run.targets) * kTargetSlots / MeanServiceSeconds();
  for (const double fraction : run.workspace_fractions) {
    TokenBucket rate(this->manual.Now());
    const double per_second = kRateHeadroom * capacity * run.load * fraction;
    rate.Configure(per_second, per_second * kBurstSeconds, this->manual.Now());
    rate.Deposit(per_second * kBurstSeconds, this->manual.Now());
    this->rates.push_back(rate);
  }
  this->instances.resize(run.instances);
  for (std::size_t i = 0; i < run.instances; ++i) {
    Instance& state = this->instances[i];
    TargetOptions options;
    state.registry =
        std::make_unique<TargetRegistry>(options, this->clock, run.seed + i);
    state.registry->ApplyTargetList(1, list);
    state.registry->SetInstanceCount(static_cast<int>(run.instances));
    // For QueuePolicy::kFifo, Enqueue gives all requests the same workspace and
    // class, which makes the FairQueue a FIFO queue.
    state.queue = std::make_unique<FairQueue>(absl::Seconds(5), 8);
    state.retries = std::make_unique<RetryBudget>(0.1, 10);
  }
}

void ServingFleet::Schedule(Instant when, std::function<void()> action) {
  this->events.emplace(std::max(when, this->manual.Now()), std::move(action));
}

void ServingFleet::GenerateRequest(std::size_t workspace) {
  const double capacity = static_cast<double>(this->run.targets) *
                          kTargetSlots / MeanServiceSeconds();
  const double fraction = this->run.workspace_fractions[workspace] *
                          (workspace == 0 ? this->run.excess_factor : 1);
  const double rate = capacity * this->run.load * fraction;
  this->Schedule(
      this->manual.Now() + absl::Seconds(absl::Exponential(this->random, rate)),
      [=, this] { this->GenerateRequest(workspace); });
  if (this->run.limited &&
      !this->rates[workspace].Withdraw(1, this->manual.Now())) {
    ++this->result.over_rate;
    return;
  }
  auto request = std::make_shared<Request>();
  request->id = this->next_id++;
  request->workspace = fmt::format("w{}", workspace);
  const double kind = absl::Uniform(this->random, 0.0, 1.0);
  if (kind < this->run.urgent_fraction) {
    request->request_class = RequestClass::kUrgent;
  } else if (kind < this->run.urgent_fraction + this->run.batch_fraction) {
    request->request_class = RequestClass::kBatch;
  }
  request->prompt = kMeanPromptTokens * absl::Uniform(this->random, 0.5, 1.5);
  request->output = kMeanOutputTokens * absl::Uniform(this->random, 0.5, 1.5);
  request->prefix =
      1 + absl::Uniform<std::uint64_t>(
              this->random, 0, static_cast<std::uint64_t>(this->run.prefixes));
  request->arrived = this->manual.Now();
  ++this->result.requests;
  ++this->result.by_workspace[request->workspace].second;
  ++this->result.by_class[static_cast<int>(request->request_class)].second;
  const auto instance =
      absl::Uniform<std::size_t>(this->random, 0, this->instances.size());
  this->instances[instance].retries->RecordRequest();
  this->Enqueue(instance, request);
}

void ServingFleet::Enqueue(std::size_t instance, const RequestPtr& request) {
  Instance& state = this->instances[instance];
  const bool fair = this->run.queue == QueuePolicy::kFair;
  state.waiting[request->id] = request;
  state.queue->Push(QueueEntry{
      request->id, fair ? request->workspace : "all",
      fair ? request->request_class : RequestClass::kChat,
      request->prompt + request->output, kModel, this->manual.Now()});
  this->DispatchWaiting(instance);
}

void ServingFleet::DispatchWaiting(std::size_t instance) {
  Instance& state = this->instances[instance];
  const auto can_dispatch = [&](const QueueEntry& waiting) {
    return this->TryDispatch(instance, state.waiting.at(waiting.id));
  };
  while (true) {
    const auto dispatched =
        state.queue->PopFirstDispatchable(this->manual.Now(), can_dispatch);
    if (!dispatched.has_value()) return;
    state.waiting.erase(dispatched->id);
  }
}

std::string ServingFleet::ChooseBaselineTarget(std::size_t instance,
                                               const Request& request) {
  Instance& state = this->instances[instance];
  std::vector<std::string> usable;
  for (const auto& [name, target] : this->targets) {
    if (request.avoid.count(name) > 0) continue;
    if (state.in_flight[name] < TargetOptions{}.max_in_flight) {
      usable.push_back(name);
    }
  }
  if (usable.empty()) return {};
  if (this->run.routing == RoutingPolicy::kRoundRobin) {
    return usable[state.next_target_index++ % usable.size()];
  }
  if (this->run.routing == RoutingPolicy::kTwoChoices) {
    const auto pick = [&] {
      return usable[absl::Uniform<std::size_t>(this->random, 0, usable.size())];
    };
    const std::string a = pick();
    const std::string b = pick();
    return state.in_flight[a] <= state.in_flight[b] ? a : b;
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

bool ServingFleet::TryDispatch(std::size_t instance,
                               const RequestPtr& request) {
  Instance& state = this->instances[instance];
  if (this->run.routing != RoutingPolicy::kRegistry) {
    const std::string name = this->ChooseBaselineTarget(instance, *request);
    if (name.empty()) return false;
    ++state.in_flight[name];
    this->SendToTarget(instance, request,
                       TargetReservation{name, kPool, "", 0, 0});
    return true;
  }
  TargetRequirements requirements;
  requirements.pool = kPool;
  requirements.model = kModel;
  requirements.zone = instance % 2 == 0 ? "a" : "b";
  requirements.prefix = request->prefix;
  requirements.tokens = request->prompt + request->output;
  requirements.avoid = request->avoid;
  const auto reservation = state.registry->ReserveTarget(requirements);
  if (!std::holds_alternative<TargetReservation>(reservation)) return false;
  this->SendToTarget(instance, request,
                     std::get<TargetReservation>(reservation));
  return true;
}

void ServingFleet::SendToTarget(std::size_t instance, const RequestPtr& request,
                                const TargetReservation& reservation) {
  Target& target = this->targets.at(reservation.target);
  ++this->result.attempts;
  ++request->attempts;
  if (target.refusing) {
    this->Schedule(this->manual.Now() + absl::Milliseconds(1), [=, this] {
      this->FailAttempt(instance, request, reservation);
    });
    return;
  }
  if (target.unresponsive) {
    this->Schedule(this->manual.Now() + kUnresponsiveTimeout, [=, this] {
      this->FailAttempt(instance, request, reservation);
    });
    return;
  }
  target.queued_tokens += request->prompt + request->output;
  QueuedRequest waiting;
  waiting.request = request;
  waiting.instance = instance;
  waiting.reservation = reservation;
  target.queue[static_cast<int>(request->request_class)].push_back(waiting);
  this->StartQueued(target);
}

bool ServingFleet::UsePrefixCache(Target& target, std::uint64_t prefix) {
  if (target.prefixes.count(prefix) > 0) return true;
  target.prefixes.insert(prefix);
  target.prefix_order.push_back(prefix);
  if (target.prefix_order.size() > kCachedPrefixes) {
    target.prefixes.erase(target.prefix_order.front());
    target.prefix_order.pop_front();
  }
  return false;
}

void ServingFleet::StartQueued(Target& target) {
  while (target.running < kTargetSlots) {
    auto class_queue = target.queue.begin();
    while (class_queue != target.queue.end() && class_queue->second.empty())
      ++class_queue;
    if (class_queue == target.queue.end()) return;
    const QueuedRequest waiting = class_queue->second.front();
    class_queue->second.pop_front();
    ++target.running;
    Request& request = *waiting.request;
    const bool hit = this->UsePrefixCache(target, request.prefix);
    if (hit) ++this->result.prefix_hits;
    const double prefill = request.prompt / kPrefillTokensPerSecond *
                           (hit ? kCachedPrefillFraction : 1) *
                           target.slow_factor;
    const double decode =
        request.output / kDecodeTokensPerSecond * target.slow_factor;
    const Instant first = this->manual.Now() + absl::Seconds(prefill);
    const auto kind = static_cast<std::size_t>(request.request_class);
    if (first - request.arrived <= kFirstTokenDeadlines.at(kind)) {
      ++this->result.in_time;
      ++this->result.by_workspace[request.workspace].first;
      ++this->result.by_class[static_cast<int>(kind)].first;
    }
    if (request.request_class == RequestClass::kBatch) {
      this->result.longest_batch_wait =
          std::max(this->result.longest_batch_wait, first - request.arrived);
    }
    const std::string name = target.name;
    this->Schedule(first + absl::Seconds(decode), [=, this] {
      Target& at = this->targets.at(name);
      --at.running;
      at.queued_tokens -= waiting.request->prompt + waiting.request->output;
      if (this->run.routing == RoutingPolicy::kRegistry) {
        this->instances[waiting.instance].registry->RecordCachedPrefix(
            kPool, name, waiting.request->prefix);
      }
      this->FinishAttempt(waiting.instance, waiting.reservation,
                          RequestOutcome::kSucceeded);
      this->StartQueued(at);
    });
  }
}

void ServingFleet::FinishAttempt(std::size_t instance,
                                 const TargetReservation& reservation,
                                 RequestOutcome outcome) {
  Instance& state = this->instances[instance];
  if (this->run.routing == RoutingPolicy::kRegistry) {
    state.registry->ReleaseTarget(reservation, outcome);
  } else {
    --state.in_flight[reservation.target];
  }
  this->DispatchWaiting(instance);
}

void ServingFleet::FailAttempt(std::size_t instance, const RequestPtr& request,
                               const TargetReservation& reservation) {
  request->avoid.insert(reservation.target);
  const bool again = request->attempts < kMaxAttempts &&
                     this->instances[instance].retries->TryConsumeRetry();
  this->FinishAttempt(instance, reservation, RequestOutcome::kTargetFault);
  if (again) {
    this->Enqueue(instance, request);
  } else {
    ++this->result.lost;
  }
}

// Gives each instance the targets' load as it was report_lag ago.
void ServingFleet::PublishReports() {
  const Instant now = this->manual.Now();
  this->Schedule(now + kReportPeriod, [this] { this->PublishReports(); });
  for (auto& [name, target] : this->targets) {
    if (target.unresponsive || target.refusing) continue;
    int requests = target.running;
    for (const auto& [priority, class_queue] : target.queue) {
      requests += static_cast<int>(class_queue.size());
    }
    target.reports.push_back(
        ReportSnapshot{now, target.queued_tokens, requests});
    while (target.reports.size() > 1 &&
           target.reports[1].at <= now - this->run.report_lag) {
      target.reports.pop_front();
    }
    LoadReport report;
    report.queued_tokens = target.reports.front().tokens;
    report.running = target.reports.front().requests;
    report.slots = kTargetSlots;
    report.boot_id = "1";
    report.resident = {kModel};
    report.lag = now - target.reports.front().at;
    for (Instance& state : this->instances) {
      state.registry->ApplyLoadReport(kPool, name, report);
    }
  }
}

void ServingFleet::DispatchAll() {
  this->Schedule(this->manual.Now() + kDispatchPeriod,
                 [this] { this->DispatchAll(); });
  for (std::size_t i = 0; i < this->instances.size(); ++i)
    this->DispatchWaiting(i);
}

ServingResult ServingFleet::Run() {
  const Instant start = this->manual.Now();
  this->PublishReports();
  this->DispatchAll();
  for (std::size_t i = 0; i < this->run.workspace_fractions.size(); ++i) {
    this->GenerateRequest(i);
  }
  this->Schedule(start + kFaultTime, [this] {
    std::size_t number = 0;
    for (auto& [name, target] : this->targets) {
      const bool is_first = number++ == 0;
      const bool in_third = number <= this->targets.size() / 3;
      if (this->run.fault == TargetFault::kThirdRefusing) {
        target.refusing = in_third;
      }
      if (!is_first) continue;
      if (this->run.fault == TargetFault::kSlow)
        target.slow_factor = kSlowFactor;
      if (this->run.fault == TargetFault::kUnresponsive)
        target.unresponsive = true;
      if (this->run.fault == TargetFault::kRefusing) target.refusing = true;
    }
  });
  const Instant end = start + this->run.length;
  RunEvents(this->events, this->manual, end);
  return this->result;
}

}  // namespace dragonflyglade
