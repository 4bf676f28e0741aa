#include "dragonflyglade/gateway/pipeline.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "dragonflyglade/decision/pacing.h"
#include "dragonflyglade/decision/target_choice.h"
#include "dragonflyglade/gateway/catch_exception.h"
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
// After the signal to stop, all requests are still admitted for this long:
// callers that have just queried the directory may be about to connect.
constexpr absl::Duration kStopGracePeriod = absl::Milliseconds(2500);
// The share of a target's connections that the listed instances divide among
// them. The rest is for instances that callers with an outdated list still use.
constexpr double kListedInstancesShare = 0.9;
constexpr double kMaxRetryAfterSeconds = 60;
// When this instance loses its paths to the targets, requests without a sign
// for this long are sent again over other paths.
constexpr absl::Duration kSilenceToRetry = absl::Milliseconds(300);
// For this long after its start, the instance sends nothing to targets that
// warm up: the requests of its earlier process still count in their last
// second.
constexpr absl::Duration kSlowStartRestartPause = absl::Milliseconds(1100);

std::string_view PathWithoutQuery(std::string_view path_and_query) {
  return path_and_query.substr(0, path_and_query.find('?'));
}

}  // namespace

Pipeline::Pipeline(asio::io_context& context, const GatewaySettings& settings,
                   const WireFormat& wire, FleetState& fleet,
                   ModelDemand& demand, QuotaAdmission& quotas,
                   FleetChannel& channel, TargetPaths& paths, Metrics& metrics,
                   EventLog& log, Tasks& tasks, Clock clock)
    : context(context),
      settings(settings),
      wire(wire),
      fleet(fleet),
      demand(demand),
      quotas(quotas),
      channel(channel),
      paths(paths),
      metrics(metrics),
      log(log),
      tasks(tasks),
      clock(std::move(clock)),
      started(this->clock.Now()) {
  this->paths.OnIsolated(
      [this](std::string_view service) { this->RetryOnOtherPaths(service); });
}

asio::awaitable<void> Pipeline::Serve(CallerRequest request,
                                      CallerConnection& connection) {
  RequestJob job(std::move(request), connection);
  job.started = this->clock.Now();
  job.config = this->fleet.Config();
  this->in_flight += 1;
  this->jobs.insert(&job);
  std::exception_ptr failure = co_await CatchException(this->ServeJob(job));
  this->jobs.erase(&job);
  // The disconnect callback holds a reference to the job.
  connection.StopWatching();
  if (failure)
    failure = co_await CatchException(this->RespondToFailure(job, failure));
  this->in_flight -= 1;
  if (failure) std::rethrow_exception(failure);
}

asio::awaitable<void> Pipeline::ServeJob(RequestJob& job) {
  std::optional<Refusal> refusal = co_await this->Admit(job);
  if (refusal.has_value()) {
    co_await this->Refuse(job, std::move(*refusal));
    co_return;
  }
  job.connection.WatchForDisconnect([&job] {
    if (job.exchange != nullptr) job.exchange->Abort("caller left");
  });
  co_await this->Forward(job);
}

// A response that was on its way over a lost path arrives late or never. What
// may run once only goes on waiting.
void Pipeline::RetryOnOtherPaths(std::string_view service) {
  const Instant now = this->clock.Now();
  for (RequestJob* job : this->jobs) {
    if (job->exchange == nullptr || !job->uses_own_path) continue;
    if (job->service->name != service || !job->MayReexecute()) continue;
    const Instant last_sign = std::max(
        job->attempt_started, job->last_output.value_or(job->attempt_started));
    if (now - last_sign < kSilenceToRetry) continue;
    job->exchange->Abort("no own path");
  }
}

asio::awaitable<void> Pipeline::RespondToFailure(
    RequestJob& job, const std::exception_ptr& failure) {
  this->tasks.ReportFailure("serve request", failure);
  if (job.connection.Responded() && !job.connection.StreamStarted()) co_return;
  Refusal refusal = MakeRefusal(RefusalCode::kInternal, "the gateway failed");
  co_await this->Refuse(job, std::move(refusal));
}

asio::awaitable<std::optional<Refusal>> Pipeline::Admit(RequestJob& job) {
  std::optional<Refusal> refusal = this->FindRoute(job);
  if (!refusal.has_value()) refusal = this->FindWorkspace(job);
  if (!refusal.has_value()) refusal = co_await this->AdmitToQuota(job);
  job.admission_time = this->clock.Now() - job.started;
  co_return refusal;
}

std::optional<Refusal> Pipeline::FindRoute(RequestJob& job) {
  if (job.config == nullptr) {
    return MakeRefusal(RefusalCode::kNotReady, "no configuration yet",
                       kRetryAfterNotReady);
  }
  job.route = job.config->routes.Find(
      job.request.host, PathWithoutQuery(job.request.path_and_query));
  if (job.route == nullptr) {
    return MakeRefusal(RefusalCode::kNotFound,
                       "no route for this host and path");
  }
  const std::string_view service = PickService(
      job.route->services, absl::Uniform<double>(this->random, 0, 1));
  const auto spec = job.config->services.find(service);
  if (spec == job.config->services.end()) {
    return MakeRefusal(RefusalCode::kTargetsUnreachable,
                       "the service is unknown");
  }
  job.service = &spec->second;
  const absl::Duration limit =
      std::min(job.request.deadline.value_or(absl::InfiniteDuration()),
               job.route->timeout);
  job.deadline = job.started + limit;
  if (this->OutlastsShutdown(job)) {
    return MakeRefusal(RefusalCode::kDraining, "the instance is stopping",
                       kRetryAtOtherInstance);
  }
  return std::nullopt;
}

void Pipeline::BeginShutdown(Instant end) {
  this->shutdown_start = this->clock.Now();
  this->shutdown_deadline = end;
}

// Callers cache the list of instances, so requests arrive for seconds after
// the signal to stop. A stream that starts late would be cut at the end of the
// process; the refusal sends its caller to another instance at once.
bool Pipeline::OutlastsShutdown(const RequestJob& job) const {
  if (!this->shutdown_deadline.has_value()) return false;
  if (job.deadline <= *this->shutdown_deadline) return false;
  return this->clock.Now() - *this->shutdown_start > kStopGracePeriod;
}

std::optional<Refusal> Pipeline::FindWorkspace(RequestJob& job) {
  if (!job.config->requires_keys || job.route->is_public) return std::nullopt;
  if (job.request.key.empty()) {
    return MakeRefusal(RefusalCode::kMissingKey, "no key was shown");
  }
  const auto name = job.config->workspace_of_key.find(job.request.key);
  if (name == job.config->workspace_of_key.end()) {
    return MakeRefusal(RefusalCode::kUnknownKey, "the key is not known");
  }
  job.workspace = &job.config->workspaces.at(name->second);
  const double tokens = job.request.use.Tokens();
  job.cost = !job.workspace->counts_tokens ? 1
             : tokens > 0                  ? tokens
                                           : job.workspace->default_tokens;
  return std::nullopt;
}

asio::awaitable<std::optional<Refusal>> Pipeline::AdmitToQuota(
    RequestJob& job) {
  if (job.workspace == nullptr) co_return std::nullopt;
  const QuotaVerdict verdict = co_await this->quotas.AdmitRequest(
      job.request.id, job.workspace->name, job.workspace->quota, job.cost);
  if (verdict.admitted) co_return std::nullopt;
  co_return MakeRefusal(RefusalCode::kOverRate,
                        "the workspace is above its rate", verdict.retry_after);
}

asio::awaitable<void> Pipeline::Forward(RequestJob& job) {
  const ModelUse& use = job.request.use;
  if (job.NeedsModel()) {
    const double work_ms =
        EngineWorkMs(use.prompt_tokens, job.SharedTokens(), use.output_tokens);
    this->demand.AddRequest({job.service->name, use.model, ""}, work_ms);
    if (!use.adapter.empty()) {
      this->demand.AddRequest({job.service->name, use.model, use.adapter},
                              work_ms);
    }
  }
  NextStep next = NextStep::kTryAnother;
  while (next == NextStep::kTryAnother) {
    const std::shared_ptr<TargetState> target = co_await this->FindTarget(job);
    if (job.connection.IsDisconnected()) {
      this->RecordOutcome(job, "caller left", 0);
      co_return;
    }
    if (target == nullptr) {
      co_await this->Refuse(job, this->NoTargetRefusal(job));
      co_return;
    }
    next = co_await this->Attempt(job, target);
  }
}

// The listed instances divide a target's connections among them. A division by
// all instances, listed or not, gives each too few: in a fleet of 61 instances
// with 8 listed, an instance had 11 at a target of 64, and requests for a model
// with one replica were refused although the target had room.
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
  if (!warms_up && !limit.has_value()) return absl::ZeroDuration();
  const std::vector<std::string> listed = this->ListedNames();
  absl::Duration until = absl::ZeroDuration();
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
  if (record.leaving || this->fleet.IsEvacuated(record.zone)) return false;
  if (job.unreachable.count(record.id) > 0) return false;
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
  const ModelUse& use = job.request.use;
  std::vector<std::shared_ptr<TargetState>> targets;
  std::vector<TargetCandidate> candidates;
  for (const auto& target : this->fleet.Targets(job.service->name)) {
    const TargetRecord& record = target->Record();
    if (target->InFlight() >= max_in_flight) continue;
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
    candidate.unprocessed_prompt_tokens = target->EstimatedUnreadTokens(now);
    candidate.same_zone = record.zone == this->settings.zone;
    candidate.failure_rate = target->FailureRate();
    candidates.push_back(candidate);
    targets.push_back(target);
  }
  TargetChoiceRequest request;
  request.prompt_tokens = use.prompt_tokens;
  request.shared_prefix_tokens = job.SharedTokens();
  request.shared_prefix_id = job.SharedId();
  const std::optional<TargetChoice> choice = ChooseTarget(
      request, candidates, absl::Uniform<double>(this->random, 0, 1));
  if (!choice.has_value()) return nullptr;
  job.candidates = candidates.size();
  job.expected_first_output_delay = choice->expected_first_output_delay;
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
  while (target != nullptr && now < until && !job.connection.IsDisconnected()) {
    const absl::Duration hold =
        PacingDelay(target->TokensAheadOfPace(now), job.UnreadTokens(),
                    objective, this->pacing[job.service->name].BacklogFactor());
    if (hold <= absl::ZeroDuration()) break;
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
  while (target == nullptr && now < until && !job.connection.IsDisconnected()) {
    co_await Sleep(this->context, std::min(kBrittlePollInterval, until - now));
    now = this->clock.Now();
    target = this->Choose(job);
  }
  job.target_wait += now - wait_start;
  co_return target;
}

asio::awaitable<std::shared_ptr<TargetState>> Pipeline::FindTarget(
    RequestJob& job) {
  if (!this->paths.AnyPath(job.service->name)) co_return nullptr;
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
  this->demand.BeginWait(name);
  Instant now = wait_start;
  while (target == nullptr && now < until && !job.connection.IsDisconnected()) {
    co_await this->fleet.Changed().Wait(
        std::min(kCallerCheckInterval, until - now));
    now = this->clock.Now();
    target = this->Choose(job);
  }
  this->demand.EndWait(name);
  job.target_wait += now - wait_start;
  this->log.Write("request", target != nullptr ? "model found" : "no model",
                  {{"id", job.request.id},
                   {"model", ResidentKey(name.model, name.adapter)},
                   {"waited_ms", now - wait_start}});
  co_return target;
}

void Pipeline::RecordPauses(const RequestJob& job) {
  if (!job.NeedsModel()) return;
  this->metrics.Observe("longest_pause_seconds", "",
                        absl::ToDoubleSeconds(job.longest_pause));
  this->pacing[job.service->name].RecordStream(job.longest_pause,
                                               job.route->event_gap_objective);
}

// If a target may have executed the request, the refusal must not tell the
// caller that it did not run.
Refusal Pipeline::NoTargetRefusal(const RequestJob& job) {
  constexpr const char* kText = "no target can take the request now";
  if (job.executions > 0) return MakeRefusal(RefusalCode::kTargetLost, kText);
  if (!this->paths.AnyPath(job.service->name)) {
    return MakeRefusal(RefusalCode::kTargetsUnreachable,
                       "no target could be reached");
  }
  if (this->fleet.IsServiceEvacuated(job.service->name)) {
    return MakeRefusal(RefusalCode::kZonesEvacuated,
                       "all availability zones of the service are evacuated",
                       kRetryAfterEvacuation);
  }
  const std::optional<absl::Duration> until_allowed =
      this->UntilSomeTargetAllows(job);
  if (until_allowed > absl::ZeroDuration()) {
    // If other instances have all of the places, the next caller to come may
    // well reach one of them.
    const absl::Duration retry_after =
        std::min(*until_allowed, kMaxRetryAfterLimit);
    return MakeRefusal(RefusalCode::kTargetsLimited,
                       "the targets limit their requests", retry_after);
  }
  if (job.NeedsModel()) {
    return MakeRefusal(RefusalCode::kModelNotResident, kText,
                       kRetryAfterModelLoad);
  }
  return MakeRefusal(RefusalCode::kTargetsBusy, kText, kRetryAfterBusy);
}

// No other response can follow on this connection. Closing it without the last
// chunk tells the caller that the stream is incomplete.
void Pipeline::AbortStream(RequestJob& job) {
  this->RecordOutcome(job, "stream broken", 0);
  job.connection.Abort("stream broken");
}

asio::awaitable<void> Pipeline::Refuse(RequestJob& job, Refusal refusal) {
  // The caller has received a part of the stream, and no target can resume it.
  // A refusal sent now would appear as bytes in the middle of the stream.
  if (job.connection.StreamStarted()) {
    this->AbortStream(job);
    co_return;
  }
  const RefusalRule& rule = RefusalRuleFor(refusal.code);
  if (rule.ran == WasExecuted::kNo && job.workspace != nullptr &&
      refusal.code != RefusalCode::kOverRate) {
    this->quotas.RefundRequest(job.workspace->name, job.cost);
  }
  HeaderFields fields = this->wire.response_fields(job.request);
  fields.emplace_back("Content-Type", "application/json");
  if (rule.retry_later) {
    // Callers honour fractions of a second; rounded up to whole seconds, the
    // delay would keep them waiting long after a target has room.
    const double seconds = std::min(absl::ToDoubleSeconds(refusal.retry_after),
                                    kMaxRetryAfterSeconds);
    fields.emplace_back("Retry-After", fmt::format("{:.2f}", seconds));
  }
  const std::string body = RefusalBody(refusal, job.request.id);
  co_await job.connection.WriteResponse(rule.http_status, std::move(fields),
                                        body);
  this->metrics.Count("refusals", fmt::format("code=\"{}\"", rule.name));
  this->RecordOutcome(job, rule.name, rule.http_status);
}

void Pipeline::RecordOutcome(RequestJob& job, std::string_view outcome,
                             int status) {
  const Instant now = this->clock.Now();
  const absl::Duration first = job.first_output.value_or(now) - job.started;
  const std::string route = job.route == nullptr ? "" : job.route->name;
  this->metrics.Count("requests", fmt::format("outcome=\"{}\"", outcome));
  if (outcome == "answered") {
    this->metrics.Observe("first_output_seconds", "",
                          absl::ToDoubleSeconds(first));
    this->metrics.Observe("request_seconds", "",
                          absl::ToDoubleSeconds(now - job.started));
  }
  this->log.Write(
      "request", outcome,
      {{"id", job.request.id},
       {"status", status},
       {"route", route},
       {"workspace",
        job.workspace == nullptr ? std::string() : job.workspace->name},
       {"config", job.config == nullptr ? 0 : job.config->version},
       {"target", job.target},
       {"model", ResidentKey(job.request.use.model, job.request.use.adapter)},
       {"tokens", job.request.use.Tokens()},
       {"candidates", static_cast<int>(job.candidates)},
       {"attempts", job.attempts},
       {"quota_ms", job.admission_time},
       {"held_ms", job.target_wait},
       {"paced_ms", job.pacing_time},
       {"expected_ms", job.expected_first_output_delay},
       {"first_ms", first},
       {"longest_pause_ms", job.longest_pause},
       {"total_ms", now - job.started},
       {"connection", job.connection.EndReason()}});
}

}  // namespace dragonflyglade::gateway
