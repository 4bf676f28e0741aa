#include "dragonflyglade/caller/service_runner.h"

#include <fmt/format.h>

#include <optional>
#include <utility>

#include "absl/time/clock.h"
#include "dragonflyglade/caller/paths.h"
#include "dragonflyglade/caller/reservation.h"
#include "dragonflyglade/net/log.h"
#include "dragonflyglade/operator/caller_key.h"

namespace dragonflyglade {
namespace {

constexpr int kMaxAttempts = 3;
constexpr absl::Duration kClaimTimeout = absl::Seconds(2);
constexpr absl::Duration kClaimRetryInterval = absl::Milliseconds(50);
constexpr std::size_t kNonceBytes = 16;
constexpr std::size_t kMaxStoredResponseBytes = 256u << 10;

bool Matches(const ServiceRoute& route, std::string_view method,
             std::string_view path) {
  if (route.method != method) return false;
  const std::string_view pattern = route.path;
  if (pattern.back() != '*') return pattern == path;
  const std::string_view prefix = pattern.substr(0, pattern.size() - 1);
  return path.substr(0, prefix.size()) == prefix;
}

bool PathIsKnown(const ServiceRecord& service, std::string_view path) {
  for (const ServiceRoute& route : service.routes) {
    if (Matches(route, route.method, path)) return true;
  }
  return false;
}

const ServiceRoute* FindRoute(const ServiceRecord& service,
                              std::string_view method, std::string_view path) {
  for (const ServiceRoute& route : service.routes) {
    if (Matches(route, method, path)) return &route;
  }
  return nullptr;
}

// Rejects paths that a service could resolve to another path than the one that
// was checked against its routes, such as "/balance/../payout".
bool IsUnambiguousPath(std::string_view path) {
  if (path.find("..") != std::string_view::npos) return false;
  if (path.find("//") != std::string_view::npos) return false;
  for (const char c : path) {
    const bool is_allowed = std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                            std::string_view("/-._~:@!$&'()*+,;=").find(c) !=
                                std::string_view::npos;
    if (!is_allowed) return false;
  }
  return true;
}

}  // namespace

ServiceRunner::ServiceRunner(AdmissionGate& gate, Dispatcher& dispatcher,
                             ClaimStore& claims, RetryBudget& retries,
                             Metrics& metrics, CallerLimits limits,
                             TargetCallOptions call_options,
                             std::string_view zone, Clock clock)
    : gate(gate),
      dispatcher(dispatcher),
      claims(claims),
      retries(retries),
      metrics(metrics),
      limits(limits),
      call_options(call_options),
      zone(zone),
      clock(clock) {}

CallerResponse ServiceRunner::Run(const CallContext& context,
                                  const CallerRequest& request) {
  std::string_view service_path = request.path;
  service_path.remove_prefix(kServicePrefix.size());
  const std::size_t slash = service_path.find('/');
  const std::string_view name = service_path.substr(0, slash);
  const std::string path = slash == std::string_view::npos
                               ? "/"
                               : std::string(service_path.substr(slash));
  const ServiceRecord* service = FindRecord(context.catalog->services, name);
  if (service == nullptr) {
    return Refusal{RefusalCode::kNotFound,
                   fmt::format("there is no service '{}' here", name)};
  }
  if (!IsUnambiguousPath(path)) {
    return Refusal{RefusalCode::kBadRequest,
                   "path: expected plain segments without '..' or '//'"};
  }
  const ServiceRoute* route = FindRoute(*service, request.method, path);
  if (route == nullptr) {
    const bool known = PathIsKnown(*service, path);
    return Refusal{
        known ? RefusalCode::kMethodNotAllowed : RefusalCode::kNotFound,
        fmt::format("{} has no route {} {}", name, request.method, path)};
  }
  Job job;
  job.context = &context;
  job.request = &request;
  job.service = service;
  job.path = request.query.empty() ? path : path + "?" + request.query;
  job.repeatable = route->repeatable;

  const ClassLimits& class_limits = this->limits.For(service->request_class);
  auto admitted = this->gate.Admit(context.workspace, service->cost_tokens,
                                   class_limits.token_wait);
  if (auto* refusal = std::get_if<Refusal>(&admitted)) return *refusal;
  job.reservation_deadline = this->clock.Now() + class_limits.reservation_wait;
  const Instant started = this->clock.Now();
  CallerResponse response = !job.repeatable && !request.idempotency_key.empty()
                                ? this->RunWithClaim(job)
                                : this->Send(job).response;
  // A refused call that certainly did not run is refunded.
  const auto* refusal = std::get_if<Refusal>(&response);
  const bool not_run = refusal != nullptr &&
                       RefusalRuleFor(refusal->code).ran == WasExecuted::kNo;
  this->gate.Settle(std::get<Admission>(admitted),
                    not_run ? 0 : service->cost_tokens);
  this->metrics.Observe(
      "dragonflyglade_request_seconds",
      fmt::format("class=\"{}\"", NameOf(service->request_class)),
      absl::ToDoubleSeconds(this->clock.Now() - started));
  return response;
}

std::variant<TargetReservation, Refusal> ServiceRunner::Reserve(
    const Job& job, const std::set<std::string>& avoid) {
  TargetRequirements requirements;
  requirements.pool = job.service->pool;
  requirements.zone = this->zone;
  requirements.tokens = job.service->cost_tokens;
  requirements.avoid = avoid;
  return WaitForReservation(
      this->dispatcher, requirements,
      ReservationRequest{job.context->workspace, job.service->request_class,
                         job.reservation_deadline, job.service->name});
}

Result<HttpResponse> ServiceRunner::CallTarget(
    const Job& job, const TargetReservation& reservation) const {
  HttpOptions options;
  options.connect_timeout = this->call_options.connect_timeout;
  options.read_timeout = this->call_options.read_timeout;
  options.max_body = this->call_options.max_body;
  HttpCall call(Endpoint{reservation.address, reservation.port}, options,
                "target " + reservation.target);
  HttpRequest request;
  request.method = job.request->method;
  request.path = job.path;
  request.body = job.request->body;
  request.content_type = job.request->content_type;
  // Only these headers are passed on. A list of headers to drop would miss the
  // next header in which some client sends a key.
  request.headers = {{"X-Request-Id", job.context->request_id},
                     {"X-Workspace", job.context->workspace}};
  if (!job.request->accept.empty()) {
    request.headers.emplace_back("Accept", job.request->accept);
  }
  return call.Run(request);
}

ServiceRunner::CallEnd ServiceRunner::CallEndFor(
    const Job& job, const Result<HttpResponse>& reply) const {
  CallEnd end;
  if (reply.Ok()) {
    const HttpResponse& target_response = reply.Value();
    if (!target_response.head.request_id.empty() &&
        target_response.head.request_id != job.context->request_id) {
      end.response = Refusal{RefusalCode::kAnswerMismatch,
                             "the target answered another request"};
      return end;
    }
    CompleteResponse response;
    response.status = target_response.head.status;
    response.content_type = target_response.head.content_type;
    response.body = target_response.body;
    end.response = std::move(response);
    end.state = ClaimState::kDone;
    return end;
  }
  const std::error_code& code = reply.Error().code;
  if (code == Errc::kConnectFailed) {
    end.certainly_not_run = true;
    end.response =
        Refusal{RefusalCode::kTargetsUnreachable, "no connection to a target"};
  } else if (code == Errc::kTimeout) {
    end.response = Refusal{RefusalCode::kTargetTimeout,
                           "the target did not answer in time"};
  } else if (code == Errc::kTruncated) {
    end.response = Refusal{RefusalCode::kAnswerTruncated,
                           "the target's answer was cut short"};
  } else {
    end.response = Refusal{RefusalCode::kTargetLost,
                           "the connection to the target was lost"};
  }
  return end;
}

// Failure: a payout is sent, its response is lost, and a second attempt pays
// twice. Only a failure to connect proves that no byte arrived. After any other
// failure, a call that may not be repeated ends with an unknown outcome.
ServiceRunner::CallEnd ServiceRunner::Send(const Job& job) {
  this->retries.RecordRequest();
  std::set<std::string> avoid;
  CallEnd end;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto reservation = this->Reserve(job, avoid);
    if (const auto* refusal = std::get_if<Refusal>(&reservation)) {
      // If an earlier attempt may have run, its result is returned.
      const bool may_have_run = attempt > 0 && !end.certainly_not_run;
      if (may_have_run) return end;
      end.response = *refusal;
      end.certainly_not_run = true;
      return end;
    }
    const TargetReservation& reserved_target =
        std::get<TargetReservation>(reservation);
    const Result<HttpResponse> reply = this->CallTarget(job, reserved_target);
    this->dispatcher.Release(
        reserved_target,
        reply.Ok() ? RequestOutcome::kSucceeded : RequestOutcome::kTargetFault);
    if (!reply.Ok()) {
      LogFor(LogPart::kTarget).warn("{}.", reply.Error().ToString());
    }
    const bool may_have_run_before = attempt > 0 && !end.certainly_not_run;
    end = this->CallEndFor(job, reply);
    // An earlier attempt of a repeatable call may have run.
    if (may_have_run_before) end.certainly_not_run = false;
    if (reply.Ok()) return end;
    avoid.insert(reserved_target.target);
    if (end.certainly_not_run) continue;
    if (!job.repeatable || !this->retries.TryConsumeRetry()) return end;
    this->metrics.Count("dragonflyglade_retries_total");
  }
  return end;
}

ClaimStep ServiceRunner::AcquireClaim(const std::string& key,
                                      const Claim& claim) {
  const Instant deadline = this->clock.Now() + kClaimTimeout;
  while (true) {
    const ClaimWriteResult write = this->claims.Create(key, claim);
    const bool may_retry = this->clock.Now() + kClaimRetryInterval < deadline;
    ClaimStep step = DecideClaimStep(claim, write, may_retry);
    if (!std::holds_alternative<RetryClaimWrite>(step)) return step;
    absl::SleepFor(kClaimRetryInterval);
  }
}

CallerResponse ServiceRunner::RunWithClaim(const Job& job) {
  const std::string key = ClaimStore::ClaimKeyFor(job.context->workspace,
                                                  job.request->idempotency_key);
  Claim claim;
  claim.nonce = RandomHex(kNonceBytes);
  claim.digest =
      Sha256Hex(fmt::format("{}\n{}\n{}\n{}", job.service->name,
                            job.request->method, job.path, job.request->body));
  const ClaimStep step = this->AcquireClaim(key, claim);
  if (const auto* dispatch = std::get_if<DispatchCall>(&step)) {
    return this->SendWithClaim(job, key, dispatch->revision, claim);
  }
  if (const auto* replay = std::get_if<ReplayResponse>(&step)) {
    this->metrics.Count("dragonflyglade_claims_replayed_total");
    return CompleteResponse{replay->response.status,
                            replay->response.content_type,
                            replay->response.body};
  }
  if (std::holds_alternative<IdempotencyKeyReused>(step)) {
    return Refusal{RefusalCode::kIdempotencyKeyReused,
                   "this Idempotency-Key came with another request before"};
  }
  if (std::holds_alternative<InProgressOrUnknown>(step)) {
    return Refusal{RefusalCode::kClaimInDoubt,
                   "a call with this Idempotency-Key is under way or its "
                   "outcome is not known"};
  }
  return Refusal{RefusalCode::kClaimServiceUnavailable,
                 "the call could not be claimed; it was not sent"};
}

CallerResponse ServiceRunner::SendWithClaim(const Job& job,
                                            const std::string& key,
                                            std::int64_t revision,
                                            Claim claim) {
  CallEnd end = this->Send(job);
  if (end.certainly_not_run) {
    this->claims.RemoveClaim(key, revision);
    return end.response;
  }
  claim.state = end.state;
  if (const auto* response = std::get_if<CompleteResponse>(&end.response)) {
    // A response that is too large to store cannot be replayed, so a repeated
    // call gets an unknown outcome.
    if (response->body.size() > kMaxStoredResponseBytes) {
      claim.state = ClaimState::kUnknown;
    } else {
      claim.response = StoredResponse{response->status, response->content_type,
                                      response->body};
    }
  }
  this->claims.RecordOutcome(key, revision, claim);
  return end.response;
}

}  // namespace dragonflyglade
