#include "dragonflyglade/caller/completion_runner.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "dragonflyglade/caller/paths.h"
#include "dragonflyglade/caller/reservation.h"
#include "dragonflyglade/caller/sse.h"
#include "dragonflyglade/net/log.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr int kMostAttempts = 3;
constexpr int kMostResumes = 2;
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpServerError = 500;
constexpr std::size_t kLongestErrorBody = 64u << 10;

// The text that one event adds, of either completion or chat form.
std::string TextOf(const json& event) {
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

// The model as an event names it, which may be in more detail than asked for.
std::string ModelOf(const json& event, const std::string& otherwise) {
  const auto model = event.find("model");
  const bool named = model != event.end() && model->is_string();
  return named ? model->get<std::string>() : otherwise;
}

}  // namespace

// One request on its way, shared by the caller's thread and the reader's.
struct CompletionRunner::Job {
  CallContext context;
  std::string path;
  CompletionRequest request;
  Admission admission;
  std::shared_ptr<EventStream> stream;
  std::optional<StreamRegistry::Entry> entry;
  Instant started;
  Instant place_deadline;
  std::set<std::string> failed_targets;
  int delivered = 0;  ///< events passed on
  bool first_seen = false;
};

// One try at one target.
struct CompletionRunner::Attempt {
  Attempt(TargetReservation place, EngineClient engine)
      : place(std::move(place)), engine(std::move(engine)) {}

  TargetReservation place;
  EngineClient engine;
  int status = 0;
  std::string echoed_id;
  std::string error_body;
  SseReader reader;
  bool complete = false;
  bool caller_gone = false;
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
  const ClassLimits& waits = this->limits.For(context.request_class);
  auto admitted = this->gate.Admit(context.workspace, job->request.Cost(),
                                   waits.token_wait);
  if (auto* refusal = std::get_if<Refusal>(&admitted)) return *refusal;
  job->admission = std::get<Admission>(std::move(admitted));
  job->started = this->clock.Now();
  job->place_deadline = job->started + waits.place_wait;
  job->stream = std::make_shared<EventStream>(this->limits.stream_events);
  // The registry must not keep the stream alive after its end.
  std::weak_ptr<EventStream> weak = job->stream;
  job->entry.emplace(this->registry, context.key_id, [weak] {
    if (const auto stream = weak.lock()) {
      stream->Fail(Refusal{RefusalCode::kStreamEnded, "the key was withdrawn"});
      stream->Cancel();
    }
  });
  // The key may have been withdrawn between its check and the line above;
  // nobody else would end this call then.
  const std::shared_ptr<const Catalog> newest = this->catalog.Get();
  const KeyRecord* key = FindRecord(newest->keys, context.key_id);
  if (key == nullptr || key->withdrawn) {
    this->gate.Settle(job->admission, 0);
    return Refusal{RefusalCode::kKeyWithdrawn, "the key was withdrawn"};
  }
  this->demand.Add(job->request.model, job->request.Cost());
  this->retries.RecordRequest();
  this->tasks.Run([this, job] { this->Produce(*job); });
  if (!job->request.stream) return this->Collect(*job);
  if (std::optional<Refusal> failure = job->stream->WaitForStart()) {
    return *failure;
  }
  return StreamResponse{job->stream};
}

void CompletionRunner::Produce(Job& job) {
  // Also after an exception: the caller waits for the stream's end. A stream
  // that has ended takes no failure.
  const absl::Cleanup end = [this, &job] {
    job.stream->Fail(
        Refusal{RefusalCode::kInternal, "the request failed here"});
    // An engine may stop early; what it did not generate is given back.
    this->gate.Settle(
        job.admission,
        job.delivered == 0 ? 0 : job.request.prompt_tokens + job.delivered);
  };
  this->TryTargets(job);
  this->metrics.Observe(
      "dragonflyglade_request_seconds",
      fmt::format("class=\"{}\"", NameOf(job.context.request_class)),
      absl::ToDoubleSeconds(this->clock.Now() - job.started));
}

std::variant<TargetReservation, Refusal> CompletionRunner::FindPlace(Job& job) {
  TargetRequirements need;
  need.pool = job.request.pool;
  need.model = job.request.model;
  need.adapter = job.request.adapter;
  need.zone = this->zone;
  need.prefix = job.request.prefix;
  need.tokens = job.request.Cost();
  need.avoid = job.failed_targets;
  return WaitForReservation(
      this->dispatcher, need,
      ReservationRequest{job.context.workspace, job.context.request_class,
                         job.place_deadline, job.request.model});
}

void CompletionRunner::TryTargets(Job& job) {
  for (int attempt = 0; attempt < kMostAttempts; ++attempt) {
    auto place = this->FindPlace(job);
    if (auto* refusal = std::get_if<Refusal>(&place)) {
      job.stream->Fail(*refusal);
      return;
    }
    if (this->AttemptOnce(job, std::get<TargetReservation>(place))) return;
    job.failed_targets.insert(std::get<TargetReservation>(place).target);
  }
  job.stream->Fail(
      Refusal{RefusalCode::kTargetLost, "several targets failed this request"});
}

// True when the request has its final answer.
bool CompletionRunner::AttemptOnce(Job& job, const TargetReservation& place) {
  Attempt attempt(place, EngineClient(Endpoint{place.address, place.port},
                                      place.target, this->call_options));
  EngineRequest request{job.path, job.request.body, job.context.request_id};
  RequestOutcome outcome = RequestOutcome::kNeutral;
  absl::Cleanup release = [&] { this->dispatcher.Release(place, outcome); };
  this->ReadFrom(job, attempt, EngineClient::MakeCompletionRequest(request));
  for (int i = 0; i < kMostResumes && this->Resume(job, attempt); ++i) {
  }
  outcome = this->Judge(job, attempt);
  std::move(release).Invoke();
  if (attempt.complete) {
    this->targets.RecordCachedPrefix(place.pool, place.target,
                                     job.request.prefix);
    job.stream->Finish();
    return true;
  }
  if (attempt.caller_gone || job.stream->Cancelled()) return true;
  if (this->MayRetry(job, attempt)) return false;
  if (job.delivered > 0) {
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

void CompletionRunner::ReadFrom(Job& job, Attempt& attempt,
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
      ++job.delivered;
    }
    if (!job.first_seen) {
      job.first_seen = true;
      this->metrics.Observe(
          "dragonflyglade_first_token_seconds",
          fmt::format("class=\"{}\"", NameOf(job.context.request_class)),
          absl::ToDoubleSeconds(this->clock.Now() - job.started));
    }
    if (job.stream->Push(data)) return true;
    attempt.caller_gone = true;
    return false;
  };
  const auto on_data = [&](std::string_view data) {
    // Failure: a target mixes up two connections, and one workspace reads
    // another's letter. The echoed id tells whose answer it is; where it is
    // another's, nothing of it is passed on.
    const bool is_own = attempt.echoed_id.empty() ||
                        attempt.echoed_id == job.context.request_id;
    if (!is_own) return false;
    if (attempt.status != kHttpOk) {
      attempt.error_body.append(data);
      return attempt.error_body.size() < kLongestErrorBody;
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
                    "target " + attempt.place.target, "no end marker");
  }
  if (attempt.failure.has_value() && !attempt.caller_gone &&
      !job.stream->Cancelled()) {
    LogFor(LogPart::kTarget).warn("{}.", attempt.failure->ToString());
  }
}

// Takes a broken stream up where it stopped. False when that is not possible
// or not needed.
bool CompletionRunner::Resume(Job& job, Attempt& attempt) {
  if (attempt.complete || attempt.caller_gone || job.delivered == 0) {
    return false;
  }
  if (job.stream->Cancelled() || !attempt.failure.has_value()) return false;
  const int before = job.delivered;
  this->ReadFrom(
      job, attempt,
      EngineClient::MakeResumeRequest(job.context.request_id, before));
  if (attempt.complete) {
    this->metrics.Count("dragonflyglade_streams_resumed_total");
  }
  return !attempt.complete && attempt.status == kHttpOk;
}

RequestOutcome CompletionRunner::Judge(Job& job, const Attempt& attempt) {
  if (attempt.complete) return RequestOutcome::kSucceeded;
  if (attempt.caller_gone || job.stream->Cancelled()) {
    return RequestOutcome::kNeutral;
  }
  if (attempt.failure.has_value()) {
    if (attempt.failure->code == Errc::kConnectFailed) {
      // A target that refuses connections is on its way out or gone.
      this->metrics.Count("dragonflyglade_target_connect_failures_total");
    }
    return RequestOutcome::kTargetFault;
  }
  return attempt.status >= kHttpServerError ? RequestOutcome::kTargetFault
                                            : RequestOutcome::kNeutral;
}

bool CompletionRunner::MayRetry(const Job& job, const Attempt& attempt) {
  if (job.delivered > 0) return false;
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

// Puts a whole answer together from the stream.
CallerResponse CompletionRunner::Collect(Job& job) {
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
      last = json::parse(data->text, nullptr, false);
      if (!last.is_object()) {
        job.stream->Cancel();
        return Refusal{RefusalCode::kAnswerTruncated,
                       "the target sent an event that is not JSON"};
      }
      text += TextOf(last);
    }
  }
  if (job.stream->Cancelled()) {
    return Refusal{RefusalCode::kStreamEnded, "the call was ended early"};
  }
  json answer = {{"id", job.context.request_id},
                 {"model", ModelOf(last, job.request.model)},
                 {"object", is_chat ? "chat.completion" : "text_completion"}};
  json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (is_chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  answer["choices"] = json::array({choice});
  answer["usage"] = {
      {"prompt_tokens", static_cast<int>(job.request.prompt_tokens)},
      {"completion_tokens", job.delivered}};
  WholeAnswer whole;
  whole.body = answer.dump(-1, ' ', false, json::error_handler_t::replace);
  return whole;
}

}  // namespace dragonflyglade
