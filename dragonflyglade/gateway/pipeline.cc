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

// A request that finds its model or adapter nowhere waits for it: adapters
// are there in some ten milliseconds, models in seconds. Longer than half of
// what a caller wants its first output in, it does better to come back.
constexpr double kWaitShare = 0.5;  // of the route's latency objective
// How often a waiting request looks whether its caller has left.
constexpr absl::Duration kWaitSlice = absl::Milliseconds(100);
// After the signal to stop, requests are taken as ever for this long: callers
// that just asked for instances may still be on their way.
constexpr absl::Duration kLateCallers = absl::Milliseconds(2500);
// The part of a target's connections for instances that callers are sent to.
// The rest is for callers that come elsewhere with an old list.
constexpr double kListedConnections = 0.9;
constexpr double kLongestRetryAfter = 60;  // seconds

std::string_view PathOf(std::string_view path_and_query) {
  return path_and_query.substr(0, path_and_query.find('?'));
}

}  // namespace

Pipeline::Pipeline(asio::io_context& context, const GatewaySettings& settings,
                   const WireFormat& wire, FleetState& fleet,
                   ModelDemand& demand, QuotaAdmission& quotas,
                   FleetChannel& channel, Metrics& metrics, EventLog& log,
                   Tasks& tasks, Clock clock)
    : context(context),
      settings(settings),
      wire(wire),
      fleet(fleet),
      demand(demand),
      quotas(quotas),
      channel(channel),
      metrics(metrics),
      log(log),
      tasks(tasks),
      clock(std::move(clock)) {}

asio::awaitable<void> Pipeline::Serve(CallerRequest request,
                                      CallerConnection& link) {
  RequestJob job(std::move(request), link);
  job.started = this->clock.Now();
  job.config = this->fleet.Config();
  this->in_flight += 1;
  std::exception_ptr failure = co_await CatchException(this->ServeJob(job));
  // The watch refers to the job.
  link.StopWatching();
  if (failure)
    failure = co_await CatchException(this->AnswerFailure(job, failure));
  this->in_flight -= 1;
  if (failure) std::rethrow_exception(failure);
}

asio::awaitable<void> Pipeline::ServeJob(RequestJob& job) {
  std::optional<Refusal> refusal = co_await this->Admit(job);
  if (refusal.has_value()) {
    co_await this->Refuse(job, std::move(*refusal));
    co_return;
  }
  job.link.WatchForDisconnect([&job] {
    if (job.exchange != nullptr) job.exchange->Abort("caller left");
  });
  co_await this->Forward(job);
}

asio::awaitable<void> Pipeline::AnswerFailure(
    RequestJob& job, const std::exception_ptr& failure) {
  this->tasks.Failed("serve request", failure);
  if (job.link.Answered() && !job.link.StreamBegun()) co_return;
  Refusal refusal = MakeRefusal(RefusalCode::kInternal, "the gateway failed");
  co_await this->Refuse(job, std::move(refusal));
}

asio::awaitable<std::optional<Refusal>> Pipeline::Admit(RequestJob& job) {
  std::optional<Refusal> refusal = this->FindRoute(job);
  if (!refusal.has_value()) refusal = this->FindWorkspace(job);
  if (!refusal.has_value()) refusal = co_await this->TakeQuota(job);
  job.admitted = this->clock.Now() - job.started;
  co_return refusal;
}

std::optional<Refusal> Pipeline::FindRoute(RequestJob& job) {
  if (job.config == nullptr) {
    return MakeRefusal(RefusalCode::kNotReady, "no configuration yet",
                       kRetryNotReady);
  }
  job.route = job.config->routes.Find(job.request.host,
                                      PathOf(job.request.path_and_query));
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
  job.give_up = job.started + limit;
  if (this->EndsTooLate(job)) {
    return MakeRefusal(RefusalCode::kDraining, "the instance is stopping",
                       kRetryElsewhere);
  }
  return std::nullopt;
}

void Pipeline::StopBy(Instant end) {
  this->stop_begun = this->clock.Now();
  this->stop_end = end;
}

// Callers keep coming for seconds after the signal, since they keep the list
// of instances. A stream that they begin late would be cut at the end of the
// process; they do better elsewhere at once.
bool Pipeline::EndsTooLate(const RequestJob& job) const {
  if (!this->stop_end.has_value()) return false;
  if (job.give_up <= *this->stop_end) return false;
  return this->clock.Now() - *this->stop_begun > kLateCallers;
}

std::optional<Refusal> Pipeline::FindWorkspace(RequestJob& job) {
  if (!job.config->requires_keys || job.route->open) return std::nullopt;
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

asio::awaitable<std::optional<Refusal>> Pipeline::TakeQuota(RequestJob& job) {
  if (job.workspace == nullptr) co_return std::nullopt;
  const QuotaVerdict verdict = co_await this->quotas.Take(
      job.request.id, job.workspace->name, job.workspace->quota, job.cost);
  if (verdict.admitted) co_return std::nullopt;
  co_return MakeRefusal(RefusalCode::kOverRate,
                        "the workspace is above its rate", verdict.retry_after);
}

asio::awaitable<void> Pipeline::Forward(RequestJob& job) {
  const ModelUse& use = job.request.use;
  if (job.IsEngineWork()) {
    const double work_ms =
        EngineWorkMs(use.prompt_tokens, job.SharedTokens(), use.output_tokens);
    this->demand.Asked({job.service->name, use.model, ""}, work_ms);
    if (!use.adapter.empty()) {
      this->demand.Asked({job.service->name, use.model, use.adapter}, work_ms);
    }
  }
  Next next = Next::kTryAnother;
  while (next == Next::kTryAnother) {
    const std::shared_ptr<TargetState> target = co_await this->FindTarget(job);
    if (job.link.Left()) {
      this->Account(job, "caller left", 0);
      co_return;
    }
    if (target == nullptr) {
      co_await this->Refuse(job, this->NoTarget(job));
      co_return;
    }
    next = co_await this->Attempt(job, target);
  }
}

// A target's connections are shared by the instances that callers are sent to.
// Divided by all, an instance of 61 with 8 listed had 11 at a target of 64
// places, and a model with one copy was refused while its target had room.
int Pipeline::MostAtTarget(const ServiceSpec& service) const {
  const double whole = kListedConnections * service.max_connections;
  const auto listed = static_cast<double>(this->fleet.ListedInstances().size());
  return std::max(1, static_cast<int>(whole / std::max(1.0, listed)));
}

std::shared_ptr<TargetState> Pipeline::ChooseAmong(RequestJob& job, bool all) {
  const Instant now = this->clock.Now();
  const int most = this->MostAtTarget(*job.service);
  const ModelUse& use = job.request.use;
  std::vector<std::shared_ptr<TargetState>> targets;
  std::vector<TargetCandidate> candidates;
  for (const auto& target : this->fleet.Targets(job.service->name)) {
    const TargetRecord& record = target->Record();
    if (record.leaving || target->InFlight() >= most) continue;
    if (job.unreachable.count(record.id) > 0) continue;
    if (!use.model.empty() && !target->Holds(use.model, use.adapter, now)) {
      continue;
    }
    if (!all && (target->IsAvoided(now) || job.tried.count(record.id) > 0)) {
      continue;
    }
    TargetCandidate candidate;
    candidate.id = record.id;
    candidate.slots = record.slots;
    candidate.requests = target->Requests(now);
    candidate.unread_tokens = target->Unread(now);
    candidate.same_zone = record.zone == this->settings.zone;
    candidate.failure_rate = target->FaultShare();
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
  // Where every target is avoided or was tried, the least bad is asked: all
  // being avoided tells more of this instance's links than of the targets. One
  // that this request could not reach is not asked again: the request would
  // spend all its tries there in some milliseconds, while a copy of its model
  // is about to be loaded elsewhere.
  if (target == nullptr && job.attempts < 2) {
    target = this->ChooseAmong(job, true);
  }
  return target;
}

// Holds the request back while its target reads, and chooses again after.
asio::awaitable<std::shared_ptr<TargetState>> Pipeline::Pace(
    RequestJob& job, std::shared_ptr<TargetState> target) {
  const absl::Duration objective =
      job.config->routes.EventGapObjective(job.service->name);
  const Instant begun = this->clock.Now();
  const Instant until = begun + MaxPacingDelay(job.route->latency_objective);
  Instant now = begun;
  while (target != nullptr && now < until && !job.link.Left()) {
    const absl::Duration hold =
        PacingDelay(target->AheadOfPace(now), job.UnreadTokens(), objective);
    if (hold <= absl::ZeroDuration()) break;
    co_await Sleep(this->context, std::min(hold, until - now));
    now = this->clock.Now();
    target = this->Choose(job);
  }
  job.paced += now - begun;
  co_return target;
}

asio::awaitable<std::shared_ptr<TargetState>> Pipeline::FindTarget(
    RequestJob& job) {
  std::shared_ptr<TargetState> target = this->Choose(job);
  if (!job.IsEngineWork()) co_return target;
  if (target != nullptr) target = co_await this->Pace(job, target);
  if (target != nullptr) co_return target;
  const Instant begun = this->clock.Now();
  const Instant until =
      begun +
      std::min(kWaitShare * job.route->latency_objective, job.give_up - begun);
  const ModelName name{job.service->name, job.request.use.model,
                       job.request.use.adapter};
  this->demand.BeginWait(name);
  Instant now = begun;
  while (target == nullptr && now < until && !job.link.Left()) {
    co_await this->fleet.Changed().Wait(std::min(kWaitSlice, until - now));
    now = this->clock.Now();
    target = this->Choose(job);
  }
  this->demand.EndWait(name);
  job.held += now - begun;
  this->log.Write("request", target != nullptr ? "model found" : "no model",
                  {{"id", job.request.id},
                   {"model", ResidentKey(name.model, name.adapter)},
                   {"waited_ms", now - begun}});
  co_return target;
}

// A request that ran at a target which broke off is not said to have not run.
Refusal Pipeline::NoTarget(const RequestJob& job) const {
  constexpr const char* kWhy = "no target can take the request now";
  if (job.runs > 0) return MakeRefusal(RefusalCode::kTargetLost, kWhy);
  if (job.IsEngineWork()) {
    return MakeRefusal(RefusalCode::kModelNotResident, kWhy, kRetryModel);
  }
  return MakeRefusal(RefusalCode::kTargetsBusy, kWhy, kRetryBusy);
}

// No answer can follow on this connection; an end without the last chunk tells
// the caller that the stream is not whole.
void Pipeline::BreakStream(RequestJob& job) {
  this->Account(job, "stream broken", 0);
  job.link.Abort("stream broken");
}

asio::awaitable<void> Pipeline::Refuse(RequestJob& job, Refusal refusal) {
  // A stream that was to go on at another target, and finds none. A refusal
  // would stand in the middle of it, as bytes of no answer.
  if (job.link.StreamBegun()) {
    this->BreakStream(job);
    co_return;
  }
  const RefusalRule& rule = RefusalRuleFor(refusal.code);
  if (rule.ran == Ran::kNo && job.workspace != nullptr &&
      refusal.code != RefusalCode::kOverRate) {
    this->quotas.GiveBack(job.workspace->name, job.cost);
  }
  HeaderFields fields = this->wire.response_fields(job.request);
  fields.emplace_back("Content-Type", "application/json");
  if (rule.retry_later) {
    // Callers honour fractions; whole seconds would keep them away for long
    // after a place is free.
    const double seconds = std::min(absl::ToDoubleSeconds(refusal.retry_after),
                                    kLongestRetryAfter);
    fields.emplace_back("Retry-After", fmt::format("{:.2f}", seconds));
  }
  const std::string body = RefusalBody(refusal, job.request.id);
  co_await job.link.WriteResponse(rule.http_status, std::move(fields), body);
  this->metrics.Count("refusals", fmt::format("code=\"{}\"", rule.name));
  this->Account(job, rule.name, rule.http_status);
}

void Pipeline::Account(RequestJob& job, std::string_view outcome, int status) {
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
       {"quota_ms", job.admitted},
       {"held_ms", job.held},
       {"paced_ms", job.paced},
       {"expected_ms", job.expected_first_output_delay},
       {"first_ms", first},
       {"total_ms", now - job.started},
       {"connection", job.link.EndedBy()}});
}

}  // namespace dragonflyglade::gateway
