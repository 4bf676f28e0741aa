// The methods of Pipeline that choose the target of a request, and wait for
// one.
#include <algorithm>
#include <utility>
#include <vector>

#include "dragonflyglade/decision/pacing.h"
#include "dragonflyglade/decision/target_choice.h"
#include "dragonflyglade/gateway/pipeline.h"
#include "dragonflyglade/gateway/request_job.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// A request whose model or adapter is resident nowhere waits for it to be
// loaded: an adapter takes some ten milliseconds, a model seconds. The wait is
// limited to this share of the route's latency objective; after that the caller
// does better to retry later.
constexpr double kMaxModelWaitShare = 0.5;
// A request waits for room at a brittle target for at most this share of the
// route's latency objective.
constexpr double kMaxBrittleWaitShare = 0.125;
constexpr absl::Duration kBrittlePollInterval = absl::Milliseconds(5);
// Interval at which a waiting request checks whether its caller has
// disconnected.
constexpr absl::Duration kCallerCheckInterval = absl::Milliseconds(100);
// The share of a target's connections that the listed instances divide among
// them. The rest is for instances that callers with an outdated list still use.
constexpr double kListedInstancesShare = 0.9;
// For this long after its start, the instance sends nothing to targets that
// warm up: the requests of its earlier process still count in their last
// second.
constexpr absl::Duration kSlowStartRestartPause = absl::Milliseconds(1100);

}  // namespace

// The listed instances divide a target's connections among them. A division by
// all instances, most of which get no callers, would leave each so few that
// requests for a model with one replica are refused although it has room.
int Pipeline::MaxInFlightAtTarget(const ServiceSpec& service) const {
  const double shared_connections =
      kListedInstancesShare * service.max_connections;
  const auto listed_instances =
      static_cast<double>(this->fleet.ListedInstances().size());
  return std::max(1, static_cast<int>(shared_connections /
                                      std::max(1.0, listed_instances)));
}

SendAllowance Pipeline::SlowStartAllowanceOf(const ServiceSpec& service) const {
  SlowStartLimit limit = service.slow_start;
  limit.overage = this->settings.slow_start_overage;
  limit.slack = this->settings.slow_start_slack;
  return SlowStartAllowance(limit);
}

absl::Duration Pipeline::UntilTargetAllows(const ServiceSpec& service,
                                           TargetState& target,
                                           Instant now) const {
  const bool warms_up =
      service.slow_start.Applies() && target.SlowStartState().IsWarmingUp(now);
  const std::optional<double> limit = target.RateLimit().Limit();
  absl::Duration until = this->paths.UntilRested(target);
  if (!warms_up && !limit.has_value()) return until;
  const std::vector<std::string> listed = this->ListedNames();
  const auto apply = [&](const SendAllowance& allowance) {
    const SendAllowance part = DivideAllowance(allowance, target.Record().id,
                                               this->settings.instance, listed);
    until = std::max(until, target.Sent().UntilAllowed(part, now));
  };
  if (warms_up) {
    apply(this->SlowStartAllowanceOf(service));
    const absl::Duration age = now - this->started;
    until = std::max(until, kSlowStartRestartPause - age);
  }
  if (limit.has_value()) apply(RateLimitAllowance(*limit));
  return until;
}

bool Pipeline::CanServe(const RequestJob& job, TargetState& target,
                        Instant now) const {
  const TargetRecord& record = target.Record();
  if (target.IsLeaving() || this->fleet.IsEvacuated(record.zone)) return false;
  if (job.unreachable.count(record.id) > 0) return false;
  if (!job.MayUse(record)) return false;
  const ModelUse& use = job.request.use;
  return use.model.empty() || target.Holds(use.model, use.adapter, now);
}

// A target that has just declined is not tried as a last resort either.
bool Pipeline::HasBrittleRoom(const ServiceSpec& service,
                              const TargetState& target, Instant now) const {
  const BrittleTarget& brittleness = target.Brittleness();
  if (!brittleness.IsBrittle()) return true;
  if (target.IsAvoided(now)) return false;
  std::vector<SlotOwner> owners;
  for (const auto& each : this->fleet.Targets(service.name)) {
    owners.push_back({each->Record().id, each->Record().slots});
  }
  const SlotShare share = ShareOfSlots(
      target.Record().id, owners, this->settings.instance, this->ListedNames());
  return target.InFlight() < brittleness.MaxInFlight(share, now);
}

bool Pipeline::HasRoomAfterRest(const TargetState& target, Instant now) const {
  const auto listed = static_cast<double>(this->fleet.ListedInstances().size());
  const double share = target.Record().slots / std::max(1.0, listed);
  const std::optional<int> most = target.Rest().MaxInFlight(share, now);
  return !most.has_value() || target.InFlight() < *most;
}

std::vector<std::string> Pipeline::ListedNames() const {
  std::vector<std::string> names;
  for (const InstanceRecord* record : this->fleet.ListedInstances()) {
    names.push_back(record->name);
  }
  return names;
}

std::optional<absl::Duration> Pipeline::UntilSomeTargetAllows(
    const RequestJob& job) const {
  const Instant now = this->clock.Now();
  std::optional<absl::Duration> least;
  for (const auto& target : this->fleet.Targets(job.service->name)) {
    if (!this->CanServe(job, *target, now)) continue;
    const absl::Duration until =
        this->UntilTargetAllows(*job.service, *target, now);
    least = std::min(least.value_or(until), until);
  }
  return least;
}

std::shared_ptr<TargetState> Pipeline::ChooseAmong(RequestJob& job,
                                                   bool last_resort) {
  const Instant now = this->clock.Now();
  const int max_in_flight = this->MaxInFlightAtTarget(*job.service);
  std::vector<std::shared_ptr<TargetState>> targets;
  std::vector<TargetCandidate> candidates;
  this->prompt_caches.Prepare(job);
  for (const auto& target : this->fleet.Targets(job.service->name)) {
    const TargetRecord& record = target->Record();
    if (target->InFlight() >= max_in_flight) continue;
    if (!this->HasRoomAfterRest(*target, now)) continue;
    if (!this->HasBrittleRoom(*job.service, *target, now)) continue;
    if (!this->CanServe(job, *target, now)) continue;
    if (this->UntilTargetAllows(*job.service, *target, now) >
        absl::ZeroDuration()) {
      continue;
    }
    if (!last_resort &&
        (target->IsAvoided(now) || job.tried.count(record.id) > 0)) {
      continue;
    }
    TargetCandidate candidate;
    candidate.id = record.id;
    candidate.slots = record.slots;
    candidate.requests = target->EstimatedRequests(now);
    candidate.has_room = candidate.requests < candidate.slots;
    candidate.unprocessed_prompt_tokens = target->EstimatedUnreadTokens(now);
    this->prompt_caches.Describe(record, job.cacheable_parts, candidate);
    candidate.same_zone = record.zone == this->settings.zone;
    candidate.failure_rate = target->FailureRate();
    candidate.slowness = target->Slowness(now);
    candidate.prompt_tokens_per_ms = target->PromptTokensPerMs(now);
    candidate.typical_prompt_tokens = target->TypicalPromptTokens();
    candidates.push_back(candidate);
    targets.push_back(target);
  }
  const std::optional<TargetChoice> choice =
      this->ChooseTargetFor(job, candidates);
  if (!choice.has_value()) return nullptr;
  job.candidates = candidates.size();
  job.RecordCached(candidates[choice->index].cached_prefix_tokens);
  job.expected_first_output_delay = choice->expected_first_output_delay;
  job.prediction = choice->engine;
  job.least_first_output_delay = choice->any_idle
                                     ? absl::ZeroDuration()
                                     : choice->least_first_output_delay;
  return targets[choice->index];
}

std::shared_ptr<TargetState> Pipeline::Choose(RequestJob& job) {
  std::shared_ptr<TargetState> target = this->ChooseAmong(job, false);
  // If every target is avoided or has been tried, the best of them is used:
  // that all are avoided points to this instance's network rather than to the
  // targets. Targets that this request could not reach stay excluded: the
  // request would use up its attempts there within milliseconds, while a
  // replica of its model is about to be loaded elsewhere.
  if (target == nullptr && job.attempts < 2) {
    target = this->ChooseAmong(job, true);
  }
  return target;
}

bool Pipeline::EndsWait(const RequestJob& job) const {
  return job.connection.IsDisconnected() ||
         this->crash_suspects.refused.FindPart(job.SharedParts()) != nullptr ||
         this->IsHeldBack(job);
}

// Delays the request while its target processes earlier prompts, and then
// chooses a target again.
asio::awaitable<std::shared_ptr<TargetState>> Pipeline::DelayForPacing(
    RequestJob& job, std::shared_ptr<TargetState> target) {
  const absl::Duration objective =
      job.config->routes.EventGapObjective(job.service->name);
  const Instant wait_start = this->clock.Now();
  const Instant until =
      wait_start + MaxPacingDelay(job.route->latency_objective);
  Instant now = wait_start;
  const bool speed_aware = this->IsSpeedAware(job.service->name);
  while (target != nullptr && now < until && !this->EndsWait(job)) {
    if (!this->MayPace(job, *target)) break;
    const absl::Duration hold =
        PacingDelay(target->TokensAheadOfPace(now), job.UnreadTokens(),
                    objective, this->pacing[job.service->name].BacklogFactor());
    if (hold <= absl::ZeroDuration()) break;
    // If more prompts come than the pace lets through, the longest delay of
    // each would shift them all and leave no gap between them.
    if (speed_aware && now + hold > until) break;
    co_await Sleep(this->context, std::min(hold, until - now));
    now = this->clock.Now();
    target = this->Choose(job);
  }
  job.pacing_time += now - wait_start;
  co_return target;
}

// A brittle target's queue is short, so that this instance queues for it. The
// wait is too short to keep a caller from trying elsewhere.
asio::awaitable<std::shared_ptr<TargetState>> Pipeline::AwaitBrittleRoom(
    RequestJob& job) {
  const auto targets = this->fleet.Targets(job.service->name);
  const bool any_brittle = std::any_of(
      targets.begin(), targets.end(),
      [](const auto& target) { return target->Brittleness().IsBrittle(); });
  if (!any_brittle) co_return nullptr;
  const Instant wait_start = this->clock.Now();
  const Instant until =
      wait_start + std::min(kMaxBrittleWaitShare * job.route->latency_objective,
                            job.deadline - wait_start);
  std::shared_ptr<TargetState> target;
  Instant now = wait_start;
  while (target == nullptr && now < until && !this->EndsWait(job)) {
    co_await Sleep(this->context, std::min(kBrittlePollInterval, until - now));
    now = this->clock.Now();
    target = this->Choose(job);
  }
  job.target_wait += now - wait_start;
  co_return target;
}

asio::awaitable<std::shared_ptr<TargetState>> Pipeline::FindTarget(
    RequestJob& job) {
  if (!this->paths.AnyPath(job.service->name) && !this->MayTryOwnPath(job)) {
    co_return nullptr;
  }
  if (!this->HasTargetOfStreamVersion(job)) co_return nullptr;
  std::shared_ptr<TargetState> target = this->Choose(job);
  if (target == nullptr) target = co_await this->AwaitBrittleRoom(job);
  if (!job.NeedsModel()) co_return target;
  if (target != nullptr) target = co_await this->DelayForPacing(job, target);
  if (target != nullptr) co_return target;
  if (this->fleet.IsServiceEvacuated(job.service->name)) co_return nullptr;
  const Instant wait_start = this->clock.Now();
  const Instant until =
      wait_start + std::min(kMaxModelWaitShare * job.route->latency_objective,
                            job.deadline - wait_start);
  // Waiting would not help: a place comes later, and here or at another
  // instance.
  const std::optional<absl::Duration> until_allowed =
      this->UntilSomeTargetAllows(job);
  if (until_allowed.has_value() && wait_start + *until_allowed > until) {
    co_return nullptr;
  }
  const ModelName name{job.service->name, job.request.use.model,
                       job.request.use.adapter};
  const bool is_demand = job.NeedsLoadableModel();
  if (is_demand) this->demand.BeginWait(name);
  Instant now = wait_start;
  while (target == nullptr && now < until && !this->EndsWait(job)) {
    co_await this->fleet.Changed().Wait(
        std::min(kCallerCheckInterval, until - now));
    now = this->clock.Now();
    target = this->Choose(job);
  }
  if (is_demand) this->demand.EndWait(name);
  job.target_wait += now - wait_start;
  this->log.Write("request", target != nullptr ? "model found" : "no model",
                  {{"id", job.request.id},
                   {"model", ResidentKey(name.model, name.adapter)},
                   {"waited_ms", now - wait_start}});
  co_return target;
}

}  // namespace dragonflyglade::gateway
