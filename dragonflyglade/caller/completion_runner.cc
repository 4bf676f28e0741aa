#include "dragonflyglade/caller/completion_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/time/clock.h"
#include "dragonflyglade/caller/paths.h"
#include "dragonflyglade/caller/reservation.h"
#include "dragonflyglade/caller/sse.h"
#include "dragonflyglade/decision/json_text.h"
#include "dragonflyglade/net/log.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr int kMaxAttempts = 3;
// A resume may fail at once without a connection: the target has terminated, or
// is behind a partition that drops packets.
constexpr int kMaxFailedConnects = 2;
// A target that cannot be reached goes on generating, and its stream is
// complete when the partition ends. As long as the default wait for a silent
// target.
constexpr absl::Duration kMaxResumeTime = absl::Seconds(10);
constexpr absl::Duration kFirstResumePause = absl::Milliseconds(20);
constexpr absl::Duration kMaxResumePause = absl::Milliseconds(250);
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpServerError = 500;
constexpr std::size_t kMaxErrorBodyBytes = 64u << 10;

// The text in one event of a completion or a chat completion.
std::string EventText(const json& event) {
  const auto choices = event.find("choices");
  if (choices == event.end() || !choices->is_array() || choices->empty()) {
    return {};
  }
  const json& choice = choices->front();
  if (choice.contains("text") && choice.at("text").is_string()) {
    return choice.at("text").get<std::string>();
  }
  if (!choice.contains("delta")) return {};
  const json& delta = choice.at("delta");
  if (!delta.contains("content") || !delta.at("content").is_string()) {
    return {};
  }
  return delta.at("content").get<std::string>();
}

// The model that an event names, which may be more specific than the requested
// one.
std::string EventModel(const json& event, const std::string& fallback) {
  const auto model = event.find("model");
  const bool named = model != event.end() && model->is_string();
  return named ? model->get<std::string>() : fallback;
}

}  // namespace

// A request in progress, shared by the thread that serves the caller and the
// one that reads from the target.
struct CompletionRunner::Job {
  CallContext context;
  std::string path;
  CompletionRequest request;
  Admission admission;
  std::shared_ptr<EventStream> stream;
  std::optional<StreamRegistry::Entry> entry;
  Instant started;
  Instant reservation_deadline;
  std::set<std::string> failed_targets;
  int delivered_events = 0;  ///< passed on to the caller
  bool first_event_seen = false;
};

// An attempt to run a request at one target.
struct CompletionRunner::Attempt {
  Attempt(TargetReservation reservation, EngineClient engine)
      : reservation(std::move(reservation)), engine(std::move(engine)) {}

  TargetReservation reservation;
  EngineClient engine;
  int status = 0;
  std::string echoed_id;
  std::string error_body;
  SseReader reader;
  bool complete = false;
  bool caller_disconnected = false;
  std::optional<Failure> failure;
};

CompletionRunner::CompletionRunner(AdmissionGate& gate, Dispatcher& dispatcher,
                                   TargetRegistry& targets,
                                   StreamRegistry& registry,
                                   const CatalogHolder& catalog,
                                   DemandTracker& demand, RetryBudget& retries,
                                   Metrics& metrics, CallerLimits limits,
                                   TargetCallOptions call_options,
                                   std::string_view zone, Clock clock)
    : gate(gate),
      dispatcher(dispatcher),
      targets(targets),
      registry(registry),
      catalog(catalog),
      demand(demand),
      retries(retries),
      metrics(metrics),
      limits(limits),
      call_options(call_options),
      zone(zone),
      clock(clock) {}

CallerResponse CompletionRunner::Run(const CallContext& context,
                                     const CallerRequest& request) {
  auto parsed = ParseCompletion(request.path, request.body, *context.catalog,
                                context.workspace, context.request_class);
  if (auto* refusal = std::get_if<Refusal>(&parsed)) return *refusal;
  auto job = std::make_shared<Job>();
  job->context = context;
  job->path = request.path;
  job->request = std::get<CompletionRequest>(std::move(parsed));
  const ClassLimits& class_limits = this->limits.For(context.request_class);
  auto admitted = this->gate.Admit(context.workspace, job->request.Cost(),
                                   class_limits.token_wait);
  if (auto* refusal = std::get_if<Refusal>(&admitted)) return *refusal;
  job->admission = std::get<Admission>(std::move(admitted));
  job->started = this->clock.Now();
  job->reservation_deadline = job->started + class_limits.reservation_wait;
  job->stream = std::make_shared<EventStream>(this->limits.stream_events);
  // A weak pointer, so that the registry does not keep an ended stream alive.
  std::weak_ptr<EventStream> weak_stream = job->stream;
  job->entry.emplace(this->registry, context.key_id, [weak_stream] {
    if (const auto stream = weak_stream.lock()) {
      stream->Fail(Refusal{RefusalCode::kStreamEnded, "the key was withdrawn"});
      stream->Cancel();
    }
  });
  // The key may have been withdrawn between its check and the registration
  // above; in that case nothing else would end this call.
  const std::shared_ptr<const Catalog> newest = this->catalog.Get();
  const KeyRecord* key = FindRecord(newest->keys, context.key_id);
  if (key == nullptr || key->withdrawn) {
    this->gate.Settle(job->admission, 0);
    return Refusal{RefusalCode::kKeyWithdrawn, "the key was withdrawn"};
  }
  this->demand.Add(job->request.model, job->request.Cost());
  this->retries.RecordRequest();
  this->tasks.Run([this, job] { this->RunJob(*job); });
  if (!job->request.stream) return this->CollectResponse(*job);
  if (std::optional<Refusal> failure = job->stream->WaitForStart()) {
    return *failure;
  }
  return StreamResponse{job->stream};
}

void CompletionRunner::RunJob(Job& job) {
  // Runs after an exception as well, since the caller waits for the end of the
  // stream. Fail has no effect on a stream that has ended.
  const absl::Cleanup end = [this, &job] {
    job.stream->Fail(
        Refusal{RefusalCode::kInternal, "the request failed here"});
    // An engine may generate fewer tokens than the request allows; the rest is
    // refunded.
    this->gate.Settle(job.admission,
                      job.delivered_events == 0
                          ? 0
                          : job.request.prompt_tokens + job.delivered_events);
  };
  this->TryTargets(job);
  this->metrics.Observe(
      "dragonflyglade_request_seconds",
      fmt::format("class=\"{}\"", NameOf(job.context.request_class)),
      absl::ToDoubleSeconds(this->clock.Now() - job.started));
}

std::variant<TargetReservation, Refusal> CompletionRunner::Reserve(Job& job) {
  TargetRequirements requirements;
  requirements.pool = job.request.pool;
  requirements.model = job.request.model;
  requirements.adapter = job.request.adapter;
  requirements.zone = this->zone;
  requirements.prefix = job.request.prefix;
  requirements.tokens = job.request.Cost();
  requirements.avoid = job.failed_targets;
  return WaitForReservation(
      this->dispatcher, requirements,
      ReservationRequest{job.context.workspace, job.context.request_class,
                         job.reservation_deadline, job.request.model});
}

void CompletionRunner::TryTargets(Job& job) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto reservation = this->Reserve(job);
    if (auto* refusal = std::get_if<Refusal>(&reservation)) {
      job.stream->Fail(*refusal);
      return;
    }
    if (this->RunAttempt(job, std::get<TargetReservation>(reservation))) return;
    job.failed_targets.insert(std::get<TargetReservation>(reservation).target);
  }
  job.stream->Fail(
      Refusal{RefusalCode::kTargetLost, "several targets failed this request"});
}

// Returns true if the request has its final result, false if it is to be
// retried at another target.
bool CompletionRunner::RunAttempt(Job& job,
                                  const TargetReservation& reservation) {
  Attempt attempt(reservation,
                  EngineClient(Endpoint{reservation.address, reservation.port},
                               reservation.target, this->call_options));
  EngineRequest request{job.path, job.request.body, job.context.request_id};
  RequestOutcome outcome = RequestOutcome::kNeutral;
  absl::Cleanup release = [&] {
    this->dispatcher.Release(reservation, outcome);
  };
  this->ReadStream(job, attempt, EngineClient::MakeCompletionRequest(request));
  this->ResumeUntilComplete(job, attempt);
  outcome = this->OutcomeOf(job, attempt);
  std::move(release).Invoke();
  if (attempt.complete) {
    this->targets.RecordCachedPrefix(reservation.pool, reservation.target,
                                     job.request.prefix);
    job.stream->Finish();
    return true;
  }
  if (attempt.caller_disconnected || job.stream->Cancelled()) return true;
  if (this->MayRetry(job, attempt)) return false;
  if (job.delivered_events > 0) {
    job.stream->Fail(Refusal{RefusalCode::kStreamEnded,
                             "the stream broke off and could not be resumed"});
  } else if (attempt.failure.has_value()) {
    const bool timed_out = attempt.failure->code == Errc::kTimeout;
    job.stream->Fail(Refusal{
        timed_out ? RefusalCode::kTargetTimeout : RefusalCode::kTargetLost,
        "the target did not answer whole"});
  } else {
    job.stream->Fail(Refusal{RefusalCode::kTargetRefused,
                             "the target refused: " + attempt.error_body});
  }
  return true;
}

void CompletionRunner::ReadStream(Job& job, Attempt& attempt,
                                  const HttpRequest& request) {
  const std::shared_ptr<HttpCall> call = attempt.engine.NewCall();
  job.stream->OnCancel([call] { call->Cancel(); });
  attempt.failure.reset();
  attempt.reader = SseReader();
  const auto on_head = [&](const HttpResponseHead& head) {
    attempt.status = head.status;
    attempt.echoed_id = head.request_id;
    return true;
  };
  const auto on_event = [&](const std::string& data) {
    if (data == kStreamEndMarker) {
      attempt.complete = true;
    } else {
      ++job.delivered_events;
    }
    if (!job.first_event_seen) {
      job.first_event_seen = true;
      this->metrics.Observe(
          "dragonflyglade_first_token_seconds",
          fmt::format("class=\"{}\"", NameOf(job.context.request_class)),
          absl::ToDoubleSeconds(this->clock.Now() - job.started));
    }
    if (job.stream->Push(data)) return true;
    attempt.caller_disconnected = true;
    return false;
  };
  const auto on_data = [&](std::string_view data) {
    // Failure: a target mixes up two connections, so that a workspace receives
    // the response to another workspace's request. The echoed request id shows
    // which request the response belongs to; nothing of another request's
    // response is passed on.
    const bool is_own_response = attempt.echoed_id.empty() ||
                                 attempt.echoed_id == job.context.request_id;
    if (!is_own_response) return false;
    if (attempt.status != kHttpOk) {
      attempt.error_body.append(data);
      return attempt.error_body.size() < kMaxErrorBodyBytes;
    }
    for (const std::string& event : attempt.reader.Feed(data)) {
      if (attempt.complete) return false;
      if (!on_event(event)) return false;
    }
    return true;
  };
  const Status status = call->Stream(request, on_head, on_data);
  job.stream->OnCancel(nullptr);
  if (attempt.complete) return;
  if (!status.Ok()) {
    attempt.failure = status.Error();
  } else if (attempt.status == kHttpOk) {
    attempt.failure =
        MakeFailure(Errc::kTruncated, "read stream",
                    "target " + attempt.reservation.target, "no end marker");
  }
  if (attempt.failure.has_value() && !attempt.caller_disconnected &&
      !job.stream->Cancelled()) {
    LogFor(LogPart::kTarget).warn("{}.", attempt.failure->ToString());
  }
}

bool CompletionRunner::MayResume(const Job& job, const Attempt& attempt) const {
  if (attempt.complete || attempt.caller_disconnected) return false;
  if (job.stream->Cancelled() || job.delivered_events == 0) return false;
  // Without a failure, the target responded that it does not have the stream.
  return attempt.failure.has_value() && attempt.status == kHttpOk;
}

// Failure: a partition between the instance and a target cuts streams that have
// begun, and their callers get the error stream_ended although the target has
// the rest of the stream a second later. Resuming for some seconds bridges it;
// it stops at once if the target does not know the stream any more.
void CompletionRunner::ResumeUntilComplete(Job& job, Attempt& attempt) {
  Instant last_event = this->clock.Now();
  absl::Duration pause = kFirstResumePause;
  int failed_connects = 0;
  while (this->MayResume(job, attempt)) {
    const int events_before = job.delivered_events;
    this->ReadStream(
        job, attempt,
        EngineClient::MakeResumeRequest(job.context.request_id, events_before));
    if (attempt.complete) {
      this->metrics.Count("dragonflyglade_streams_resumed_total");
      return;
    }
    const bool progressed = job.delivered_events > events_before;
    if (progressed) last_event = this->clock.Now();
    const bool connect_failed = attempt.failure.has_value() &&
                                attempt.failure->code == Errc::kConnectFailed;
    failed_connects = connect_failed ? failed_connects + 1 : 0;
    if (failed_connects >= kMaxFailedConnects) return;
    if (this->clock.Now() - last_event >= kMaxResumeTime) return;
    absl::SleepFor(pause);
    pause =
        progressed ? kFirstResumePause : std::min(2 * pause, kMaxResumePause);
  }
}

RequestOutcome CompletionRunner::OutcomeOf(Job& job, const Attempt& attempt) {
  if (attempt.complete) return RequestOutcome::kSucceeded;
  if (attempt.caller_disconnected || job.stream->Cancelled()) {
    return RequestOutcome::kNeutral;
  }
  if (attempt.failure.has_value()) {
    if (attempt.failure->code == Errc::kConnectFailed) {
      // A target that refuses connections is shutting down or has terminated.
      this->metrics.Count("dragonflyglade_target_connect_failures_total");
    }
    return RequestOutcome::kTargetFault;
  }
  return attempt.status >= kHttpServerError ? RequestOutcome::kTargetFault
                                            : RequestOutcome::kNeutral;
}

bool CompletionRunner::MayRetry(const Job& job, const Attempt& attempt) {
  if (job.delivered_events > 0) return false;
  const bool certainly_not_run = attempt.failure.has_value() &&
                                 attempt.failure->code == Errc::kConnectFailed;
  if (certainly_not_run) return true;
  const bool may_help =
      attempt.failure.has_value() || attempt.status >= kHttpServerError ||
      attempt.status == kHttpNotFound || attempt.status == kHttpTooManyRequests;
  if (!may_help || !this->retries.TryConsumeRetry()) return false;
  this->metrics.Count("dragonflyglade_retries_total");
  return true;
}

// Assembles a complete response from the stream.
CallerResponse CompletionRunner::CollectResponse(Job& job) {
  const bool is_chat = job.path == kChatPath;
  std::string text;
  json last = json::object();
  std::string finish_reason = "stop";
  while (true) {
    StreamPart part = job.stream->Next(absl::InfiniteDuration());
    if (const auto* refusal = std::get_if<Refusal>(&part)) return *refusal;
    if (std::holds_alternative<StreamDone>(part)) break;
    if (const auto* data = std::get_if<StreamData>(&part)) {
      if (data->text == kStreamEndMarker) continue;
      last = ParseJsonOrDiscard(data->text);
      if (!last.is_object()) {
        job.stream->Cancel();
        return Refusal{RefusalCode::kAnswerTruncated,
                       "the target sent an event that is not JSON"};
      }
      text += EventText(last);
    }
  }
  if (job.stream->Cancelled()) {
    return Refusal{RefusalCode::kStreamEnded, "the call was ended early"};
  }
  json response = {{"id", job.context.request_id},
                   {"model", EventModel(last, job.request.model)},
                   {"object", is_chat ? "chat.completion" : "text_completion"}};
  json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (is_chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  response["choices"] = json::array({choice});
  response["usage"] = {
      {"prompt_tokens", static_cast<int>(job.request.prompt_tokens)},
      {"completion_tokens", job.delivered_events}};
  CompleteResponse complete;
  complete.body = response.dump(-1, ' ', false, json::error_handler_t::replace);
  return complete;
}

}  // namespace dragonflyglade
