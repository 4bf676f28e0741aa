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

constexpr int kMostAttempts = 3;
constexpr absl::Duration kClaimDeadline = absl::Seconds(2);
constexpr absl::Duration kClaimPause = absl::Milliseconds(50);
constexpr std::size_t kNonceBytes = 16;
constexpr std::size_t kLongestStoredAnswer = 256u << 10;

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

// A path that a service could read as another one than the route that was
// checked, such as "/balance/../payout".
bool IsPlainPath(std::string_view path) {
  if (path.find("..") != std::string_view::npos) return false;
  if (path.find("//") != std::string_view::npos) return false;
  for (const char c : path) {
    const bool plain = std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                       std::string_view("/-._~:@!$&'()*+,;=").find(c) !=
                           std::string_view::npos;
    if (!plain) return false;
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
  std::string_view rest = request.path;
  rest.remove_prefix(kServicePrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string_view name = rest.substr(0, slash);
  const std::string path =
      slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  const ServiceRecord* service = FindRecord(context.catalog->services, name);
  if (service == nullptr) {
    return Refusal{RefusalCode::kNotFound,
                   fmt::format("there is no service '{}' here", name)};
  }
  if (!IsPlainPath(path)) {
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

  const ClassLimits& waits = this->limits.For(service->request_class);
  auto admitted = this->gate.Admit(context.workspace, service->cost_tokens,
                                   waits.token_wait);
  if (auto* refusal = std::get_if<Refusal>(&admitted)) return *refusal;
  job.place_deadline = this->clock.Now() + waits.place_wait;
  const Instant started = this->clock.Now();
  CallerResponse answer = !job.repeatable && !request.idempotency_key.empty()
                              ? this->RunWithClaim(job)
                              : this->Send(job).answer;
  // A call that a refusal kept from running cost nothing.
  const auto* refusal = std::get_if<Refusal>(&answer);
  const bool not_run =
      refusal != nullptr && RefusalRuleFor(refusal->code).ran == Ran::kNo;
  this->gate.Settle(std::get<Admission>(admitted),
                    not_run ? 0 : service->cost_tokens);
  this->metrics.Observe(
      "dragonflyglade_request_seconds",
      fmt::format("class=\"{}\"", NameOf(service->request_class)),
      absl::ToDoubleSeconds(this->clock.Now() - started));
  return answer;
}

std::variant<TargetReservation, Refusal> ServiceRunner::FindPlace(
    const Job& job, const std::set<std::string>& avoid) {
  TargetRequirements need;
  need.pool = job.service->pool;
  need.zone = this->zone;
  need.tokens = job.service->cost_tokens;
  need.avoid = avoid;
  return WaitForReservation(
      this->dispatcher, need,
      ReservationRequest{job.context->workspace, job.service->request_class,
                         job.place_deadline, job.service->name});
}

Result<HttpResponse> ServiceRunner::CallTarget(
    const Job& job, const TargetReservation& place) const {
  HttpOptions options;
  options.connect_timeout = this->call_options.connect_timeout;
  options.read_timeout = this->call_options.read_timeout;
  options.max_body = this->call_options.max_body;
  HttpCall call(Endpoint{place.address, place.port}, options,
                "target " + place.target);
  HttpRequest request;
  request.method = job.request->method;
  request.path = job.path;
  request.body = job.request->body;
  request.content_type = job.request->content_type;
  // Only these headers go on. A list of what is kept back would miss the next
  // header that some client uses to carry a key.
  request.headers = {{"X-Request-Id", job.context->request_id},
                     {"X-Workspace", job.context->workspace}};
  if (!job.request->accept.empty()) {
    request.headers.emplace_back("Accept", job.request->accept);
  }
  return call.Run(request);
}

ServiceRunner::CallEnd ServiceRunner::EndOf(
    const Job& job, const Result<HttpResponse>& reply) const {
  CallEnd end;
  if (reply.Ok()) {
    const HttpResponse& whole = reply.Value();
    if (!whole.head.request_id.empty() &&
        whole.head.request_id != job.context->request_id) {
      end.answer = Refusal{RefusalCode::kAnswerMismatch,
                           "the target answered another request"};
      return end;
    }
    WholeAnswer answer;
    answer.status = whole.head.status;
    answer.content_type = whole.head.content_type;
    answer.body = whole.body;
    end.answer = std::move(answer);
    end.state = ClaimState::kDone;
    return end;
  }
  const std::error_code& code = reply.Error().code;
  if (code == Errc::kConnectFailed) {
    end.certainly_not_run = true;
    end.answer =
        Refusal{RefusalCode::kTargetsUnreachable, "no connection to a target"};
  } else if (code == Errc::kTimeout) {
    end.answer = Refusal{RefusalCode::kTargetTimeout,
                         "the target did not answer in time"};
  } else if (code == Errc::kTruncated) {
    end.answer = Refusal{RefusalCode::kAnswerTruncated,
                         "the target's answer was cut short"};
  } else {
    end.answer = Refusal{RefusalCode::kTargetLost,
                         "the connection to the target was lost"};
  }
  return end;
}

// Failure: a payout is sent, its answer is lost, and a second attempt pays
// twice. Only a failure to connect proves that no byte arrived; after any
// other failure a call that may not be repeated ends with "unknown".
ServiceRunner::CallEnd ServiceRunner::Send(const Job& job) {
  this->retries.RecordRequest();
  std::set<std::string> avoid;
  CallEnd end;
  for (int attempt = 0; attempt < kMostAttempts; ++attempt) {
    const auto place = this->FindPlace(job, avoid);
    if (const auto* refusal = std::get_if<Refusal>(&place)) {
      // After a failed attempt that may have run, its outcome is the answer.
      const bool may_have_run = attempt > 0 && !end.certainly_not_run;
      if (may_have_run) return end;
      end.answer = *refusal;
      end.certainly_not_run = true;
      return end;
    }
    const TargetReservation& found = std::get<TargetReservation>(place);
    const Result<HttpResponse> reply = this->CallTarget(job, found);
    this->dispatcher.Release(found, reply.Ok() ? RequestOutcome::kSucceeded
                                               : RequestOutcome::kTargetFault);
    if (!reply.Ok()) {
      LogFor(LogPart::kTarget).warn("{}.", reply.Error().ToString());
    }
    const bool had_run = attempt > 0 && !end.certainly_not_run;
    end = this->EndOf(job, reply);
    // An earlier attempt of a repeatable call may have run.
    if (had_run) end.certainly_not_run = false;
    if (reply.Ok()) return end;
    avoid.insert(found.target);
    if (end.certainly_not_run) continue;
    if (!job.repeatable || !this->retries.TryConsumeRetry()) return end;
    this->metrics.Count("dragonflyglade_retries_total");
  }
  return end;
}

ClaimStep ServiceRunner::AcquireClaim(const std::string& key,
                                      const Claim& claim) {
  const Instant deadline = this->clock.Now() + kClaimDeadline;
  while (true) {
    const ClaimWriteResult write = this->claims.Create(key, claim);
    const bool may_retry = this->clock.Now() + kClaimPause < deadline;
    ClaimStep step = DecideClaimStep(claim, write, may_retry);
    if (!std::holds_alternative<RetryClaimWrite>(step)) return step;
    absl::SleepFor(kClaimPause);
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
    return WholeAnswer{replay->answer.status, replay->answer.content_type,
                       replay->answer.body};
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
    this->claims.Release(key, revision);
    return end.answer;
  }
  claim.state = end.state;
  if (const auto* answer = std::get_if<WholeAnswer>(&end.answer)) {
    // An answer too large to keep is not replayed; a repeat is then told
    // that the outcome is unknown.
    if (answer->body.size() > kLongestStoredAnswer) {
      claim.state = ClaimState::kUnknown;
    } else {
      claim.answer =
          StoredResponse{answer->status, answer->content_type, answer->body};
    }
  }
  this->claims.Finish(key, revision, claim);
  return end.answer;
}

}  // namespace dragonflyglade
