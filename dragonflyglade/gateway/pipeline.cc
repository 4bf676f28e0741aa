#include "dragonflyglade/gateway/pipeline.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "dragonflyglade/decision/pacing.h"
#include "dragonflyglade/decision/target_choice.h"
#include "dragonflyglade/gateway/catch_exception.h"
#include "dragonflyglade/gateway/request_digest.h"
#include "dragonflyglade/gateway/request_job.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// After the signal to stop, all requests are still admitted for this long:
// callers that have just queried the directory may be about to connect.
constexpr absl::Duration kStopGracePeriod = absl::Milliseconds(2500);
constexpr double kMaxRetryAfterSeconds = 60;
// Callers of resting targets return within this many times the rest.
constexpr double kReturnSpread = 1.5;
// A process has its first configuration within this time of its start, unless
// the store is away.
constexpr absl::Duration kFirstConfigTime = absl::Seconds(1);
// The share of a caller's deadline for which a request waits for it.
constexpr double kMaxFirstConfigWaitShare = 0.25;
// When this instance loses its paths to the targets, requests without a sign
// for this long are sent again over other paths.
constexpr absl::Duration kSilenceToRetry = absl::Milliseconds(300);

std::string_view PathWithoutQuery(std::string_view path_and_query) {
  return path_and_query.substr(0, path_and_query.find('?'));
}

}  // namespace

Pipeline::Pipeline(asio::io_context& context, const GatewaySettings& settings,
                   const WireFormat& wire, FleetState& fleet,
                   ModelDemand& demand, QuotaAdmission& quotas,
                   FleetChannel& channel, StreamOrigins& stream_origins,
                   CrashSuspects& crash_suspects,
                   TargetCrashDetector& crash_detector, TargetPaths& paths,
                   PromptCaches& prompt_caches, CallerBuffers& caller_buffers,
                   const RequestMemory& request_bodies,
                   const StoreSyncState& sync_state, Metrics& metrics,
                   EventLog& log, Tasks& tasks, Clock clock)
    : context(context),
      settings(settings),
      wire(wire),
      fleet(fleet),
      demand(demand),
      quotas(quotas),
      channel(channel),
      stream_origins(stream_origins),
      crash_suspects(crash_suspects),
      crash_detector(crash_detector),
      paths(paths),
      prompt_caches(prompt_caches),
      caller_buffers(caller_buffers),
      request_bodies(request_bodies),
      sync_state(sync_state),
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
  this->RecordAttemptEnded(job);
  this->EndCopy(job, false);
  this->EndTrial(job);
  // The disconnect callback holds a reference to the job.
  connection.StopWatching();
  if (failure)
    failure = co_await CatchException(this->RespondToFailure(job, failure));
  this->in_flight -= 1;
  if (failure) std::rethrow_exception(failure);
}

asio::awaitable<void> Pipeline::ServeJob(RequestJob& job) {
  co_await this->AwaitFirstConfig(job);
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

// When all instances restart at once, callers are refused by every instance
// that they try, although each of them could serve a moment later.
asio::awaitable<void> Pipeline::AwaitFirstConfig(RequestJob& job) {
  const absl::Duration deadline =
      job.request.deadline.value_or(absl::InfiniteDuration());
  const Instant until =
      std::min(this->started + kFirstConfigTime,
               job.started + kMaxFirstConfigWaitShare * deadline);
  Instant now = job.started;
  while (job.config == nullptr && now < until) {
    co_await this->fleet.Changed().Wait(until - now);
    now = this->clock.Now();
    job.config = this->fleet.Config();
  }
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
  if (!refusal.has_value()) {
    job.digest = DigestOf(job.request, job.WorkspaceName());
    refusal = this->CheckSuspects(job);
  }
  if (!refusal.has_value()) refusal = this->CheckSize(job);
  if (!refusal.has_value()) refusal = co_await this->FindStreamOrigin(job);
  if (!refusal.has_value()) refusal = co_await this->AdmitToQuota(job);
  job.admission_time = this->clock.Now() - job.started;
  co_return refusal;
}

// Failure: an instance that hears neither from the store nor from a relay tells
// callers that a route or key does not exist which was added since, and they
// give up. Another instance may know it.
Refusal Pipeline::RefuseByConfig(RefusalCode code, std::string message) const {
  if (this->sync_state.KnowledgeAge() <= this->settings.config_bound) {
    return MakeRefusal(code, std::move(message));
  }
  return MakeRefusal(RefusalCode::kConfigurationStale,
                     "the configuration may be too old to tell",
                     kRetryAtOtherInstance);
}

std::optional<Refusal> Pipeline::FindRoute(RequestJob& job) {
  if (job.config == nullptr) {
    return MakeRefusal(RefusalCode::kNotReady, "no configuration yet",
                       kRetryAfterNotReady);
  }
  job.route = job.config->routes.Find(
      job.request.host, PathWithoutQuery(job.request.path_and_query));
  if (job.route == nullptr) {
    return this->RefuseByConfig(RefusalCode::kNotFound,
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
  return this->CheckShutdown(job);
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

// A request may have waited for a target, so it is checked again before it is
// sent. Once a target may have executed it, it goes on.
std::optional<Refusal> Pipeline::CheckShutdown(const RequestJob& job) const {
  if (job.executions > 0 || !this->OutlastsShutdown(job)) return std::nullopt;
  return MakeRefusal(RefusalCode::kDraining, "the instance is stopping",
                     kRetryAtOtherInstance);
}

std::optional<Refusal> Pipeline::FindWorkspace(RequestJob& job) {
  if (!job.config->requires_keys || job.route->is_public) return std::nullopt;
  if (job.request.key.empty()) {
    return this->RefuseByConfig(RefusalCode::kMissingKey, "no key was shown");
  }
  const auto name = job.config->workspace_of_key.find(job.request.key);
  if (name == job.config->workspace_of_key.end()) {
    return this->RefuseByConfig(RefusalCode::kUnknownKey,
                                "the key is not known");
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
  if (verdict.admitted) {
    job.charge = QuotaCharge{job.workspace->name, job.cost};
    co_return std::nullopt;
  }
  co_return MakeRefusal(RefusalCode::kOverRate,
                        "the workspace is above its rate", verdict.retry_after);
}

asio::awaitable<void> Pipeline::Forward(RequestJob& job) {
  const ModelUse& use = job.request.use;
  if (job.NeedsLoadableModel()) {
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
    std::shared_ptr<TargetState> target;
    if (job.continues_copy) {
      target = this->EngineOfCopy(job);
    } else {
      target = co_await this->FindTarget(job);
    }
    if (job.connection.IsDisconnected()) {
      this->RecordOutcome(job, "caller left", 0);
      co_return;
    }
    // The part may have become known while the request waited or was lost.
    std::optional<Refusal> refusal = this->CheckSuspects(job);
    if (refusal.has_value()) {
      co_await this->Refuse(job, std::move(*refusal));
      co_return;
    }
    if (target == nullptr) {
      co_await this->Refuse(job, this->NoTargetRefusal(job));
      co_return;
    }
    refusal = this->CheckShutdown(job);
    if (!refusal.has_value()) refusal = this->CheckEngines(job);
    if (!refusal.has_value()) refusal = co_await this->ClaimTrial(job);
    if (refusal.has_value()) {
      co_await this->Refuse(job, std::move(*refusal));
      co_return;
    }
    next = co_await this->Attempt(job, target);
  }
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
  if (!this->HasTargetOfStreamVersion(job)) {
    return MakeRefusal(RefusalCode::kStreamVersionUnavailable,
                       "no target of the version that began the stream serves",
                       kRetryAfterStreamVersion);
  }
  const std::optional<absl::Duration> until_allowed =
      this->UntilSomeTargetAllows(job);
  if (until_allowed > absl::ZeroDuration()) {
    return this->RefuseUntilAllowed(job, *until_allowed);
  }
  if (job.NeedsModel()) {
    return MakeRefusal(RefusalCode::kModelNotResident, kText,
                       kRetryAfterModelLoad);
  }
  return MakeRefusal(RefusalCode::kTargetsBusy, kText, kRetryAfterBusy);
}

bool Pipeline::AwaitsRest(const RequestJob& job) const {
  const Instant now = this->clock.Now();
  const auto targets = this->fleet.Targets(job.service->name);
  return std::any_of(targets.begin(), targets.end(), [&](const auto& target) {
    return this->CanServe(job, *target, now) &&
           this->paths.UntilRested(*target) > absl::ZeroDuration();
  });
}

Refusal Pipeline::RefuseUntilAllowed(const RequestJob& job,
                                     absl::Duration until) {
  if (!this->AwaitsRest(job)) {
    // If other instances have all of the places, the next caller to come may
    // well reach one of them.
    return MakeRefusal(RefusalCode::kTargetsLimited,
                       "the targets limit their requests",
                       std::min(until, kMaxRetryAfterLimit));
  }
  // A copy of a model can be loaded elsewhere.
  if (job.NeedsModel()) until = std::min(until, kMaxRetryAfterLimit);
  // Callers who all came at the end of the rest would overload the target
  // again.
  const double spread = absl::Uniform<double>(this->random, 1, kReturnSpread);
  return MakeRefusal(RefusalCode::kTargetsResting,
                     "the targets have asked for rest", spread * until);
}

asio::awaitable<void> Pipeline::Refuse(RequestJob& job, Refusal refusal) {
  // The caller has received a part of the stream, and no target can resume it.
  // A refusal sent now would appear as bytes in the middle of the stream.
  if (job.connection.StreamStarted()) {
    this->AbortStream(job);
    co_return;
  }
  const RefusalRule& rule = RefusalRuleFor(refusal.code);
  // Failure: a request that is refused before it was charged gives its
  // workspace tokens that others were charged, and the workspace gets more than
  // its rate.
  if (rule.ran == WasExecuted::kNo && job.charge.has_value()) {
    this->quotas.Refund(*job.charge);
    job.charge.reset();
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

asio::awaitable<void> Pipeline::RefuseBody(CallerRequest request,
                                           std::uint64_t body_bytes,
                                           CallerConnection& connection) {
  RequestJob job(std::move(request), connection);
  job.started = this->clock.Now();
  job.config = this->fleet.Config();
  const std::uint64_t held_bytes = this->request_bodies.Bytes();
  this->log.Write("request", "body refused",
                  {{"id", job.request.id},
                   {"body_bytes", body_bytes},
                   {"held_body_bytes", held_bytes}});
  co_await this->RefuseForMemory(
      job, "the body exceeds the instance's memory for bodies");
}

asio::awaitable<void> Pipeline::RefuseHead(CallerConnection& connection) {
  CallerRequest unread;
  RequestJob job(std::move(unread), connection);
  job.started = this->clock.Now();
  job.config = this->fleet.Config();
  co_await this->RefuseForMemory(
      job, "the head exceeds the instance's memory for heads");
}

asio::awaitable<void> Pipeline::RefuseForMemory(RequestJob& job,
                                                std::string message) {
  const double spread = absl::Uniform<double>(this->random, 1, kReturnSpread);
  Refusal refusal = MakeRefusal(RefusalCode::kMemoryFull, std::move(message),
                                spread * kRetryAfterMemoryFull);
  co_await this->Refuse(job, std::move(refusal));
}

asio::awaitable<void> Pipeline::EndCutOff(RequestJob& job) {
  const std::uint64_t held_bytes = this->caller_buffers.Bytes();
  this->metrics.Count("responses_cut_off");
  this->log.Write("request", "response cut off",
                  {{"id", job.request.id},
                   {"target", job.target},
                   {"held_response_bytes", held_bytes}});
  Refusal refusal =
      MakeRefusal(RefusalCode::kAnswerTruncated,
                  "responses together exceed the instance's memory");
  co_await this->Refuse(job, std::move(refusal));
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
    this->RecordEngineOutcome(job);
  }
  this->log.Write(
      "request", outcome,
      {{"id", job.request.id},
       {"status", status},
       {"route", route},
       {"digest", job.digest},
       {"workspace", job.WorkspaceName()},
       {"config", job.config == nullptr ? 0 : job.config->version},
       {"knowledge_age_ms", this->sync_state.KnowledgeAge()},
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
       {"first_at_target_ms", job.FirstOutputAtTarget()},
       {"expected_pause_ms", job.PredictedPause()},
       {"longest_pause_ms", job.longest_pause},
       {"total_ms", now - job.started},
       {"connection", job.connection.EndReason()}});
}

}  // namespace dragonflyglade::gateway
