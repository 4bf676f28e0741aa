#include "tests/standins/engine_stand_in.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <utility>

#include "absl/time/clock.h"
#include "dragonflyglade/decision/rendezvous.h"
#include "tests/standins/drop_response.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr int kThreads = 96;
constexpr const char* kJson = "application/json";
constexpr std::size_t kCachedPrefixBytes = 256;

std::string PromptOf(const json& body) {
  if (body.contains("prompt")) return body.at("prompt").get<std::string>();
  std::string text;
  for (const json& message : body.at("messages")) {
    text += message.at("content").get<std::string>() + "\n";
  }
  return text;
}

}  // namespace

EngineStandIn::EngineStandIn(EngineBehaviour behaviour)
    : behaviour(behaviour), server(Endpoint{"127.0.0.1", 0}, kThreads) {
  this->SetRoutes();
}

EngineStandIn::~EngineStandIn() {
  {
    absl::MutexLock lock(&this->mutex);
    this->stopping = true;
  }
  this->server.Stop();
}

Endpoint EngineStandIn::Start() {
  return Endpoint{"127.0.0.1", this->server.Start("listen").Value()};
}

void EngineStandIn::SetRoutes() {
  httplib::Server& http = this->server.HttplibServer();
  using httplib::Request;
  using httplib::Response;
  const auto complete = [this](const Request& request, Response& response) {
    this->HandleCompletion(request, response);
  };
  http.Post("/v1/completions", complete);
  http.Post("/v1/chat/completions", complete);
  http.Get(R"(/v1/streams/(\w+))",
           [this](const Request& request, Response& response) {
             this->HandleResume(request, response);
           });
  http.Get("/load", [this](const Request&, Response& response) {
    response.set_content(this->LoadReportJson().dump(), kJson);
  });
  http.Get("/cache_events", [this](const Request& request, Response& response) {
    const std::int64_t after = std::stoll(request.get_param_value("after"));
    json events = json::array();
    absl::MutexLock lock(&this->mutex);
    for (const json& event : this->cache_events) {
      if (event.at("sequence").get<std::int64_t>() > after) {
        events.push_back(event);
      }
    }
    response.set_content(json({{"events", events}}).dump(), kJson);
  });
  for (const char* kind : {"load_model", "unload_model", "load_lora_adapter",
                           "unload_lora_adapter", "set_role"}) {
    http.Post(std::string("/v1/") + kind,
              [this, kind](const Request& request, Response& response) {
                this->HandleOrder(kind, request, response);
              });
  }
}

void EngineStandIn::RecordReceived(const httplib::Request& request) {
  absl::MutexLock lock(&this->mutex);
  this->received_text += request.target + "\n";
  for (const auto& [name, value] : request.headers) {
    this->received_text += name + ": " + value + "\n";
  }
  this->received_text += request.body + "\n";
}

void EngineStandIn::HandleCompletion(const httplib::Request& request,
                                     httplib::Response& response) {
  this->RecordReceived(request);
  const json body = json::parse(request.body);
  const std::string model = body.at("model");
  const int tokens = body.at("max_tokens");
  auto stream = std::make_shared<Stream>();
  stream->request_id = request.get_header_value("X-Request-Id");
  stream->priority = body.value("priority", 0);
  const std::string prompt = PromptOf(body);
  {
    absl::MutexLock lock(&this->mutex);
    if (this->refusing) {
      response.status = 503;
      response.set_content("{\"error\":\"refusing\"}", kJson);
      return;
    }
    if (this->loaded.count(model) == 0) {
      response.status = 404;
      response.set_content("{\"error\":\"not loaded\"}", kJson);
      return;
    }
    ++this->started;
    this->streams[stream->request_id] = stream;
    this->queued_tokens += tokens;
    const std::uint64_t prefix =
        StableHash(prompt.substr(0, kCachedPrefixBytes));
    this->cache_events.push_back(
        {{"sequence", this->cache_events.size() + 1}, {"prefix", prefix}});
  }
  const bool is_chat = body.contains("messages");
  const json reported_model =
      this->behaviour.reports_numeric_model ? json(7) : json(model);
  for (int i = 0; i < tokens; ++i) {
    // Each token names the prompt, so that a response sent to the wrong request
    // is noticed.
    const std::string word =
        fmt::format("{}-{} ", StableHash(prompt) % 100000, i);
    json choice = {{"index", 0}};
    if (is_chat) {
      choice["delta"] = {{"content", word}};
    } else {
      choice["text"] = word;
    }
    stream->events.push_back(
        json({{"model", reported_model}, {"choices", json::array({choice})}})
            .dump());
  }
  this->SendStream(stream, 0, response);
}

bool EngineStandIn::BreaksStream(std::size_t sent_events) {
  absl::MutexLock lock(&this->mutex);
  if (this->remaining_breaks == 0 || this->break_after == 0) return false;
  if (sent_events < static_cast<std::size_t>(this->break_after)) return false;
  --this->remaining_breaks;
  return true;
}

void EngineStandIn::SendStream(const std::shared_ptr<Stream>& stream,
                               std::size_t from, httplib::Response& response) {
  {
    absl::MutexLock lock(&this->mutex);
    const std::string& id =
        this->echoed_id.empty() ? stream->request_id : this->echoed_id;
    response.set_header("X-Request-Id", id);
  }
  auto position = std::make_shared<std::size_t>(from);
  auto in_batch = std::make_shared<bool>(false);
  response.set_chunked_content_provider(
      "text/event-stream",
      [this, stream, position, in_batch, from](std::size_t,
                                               httplib::DataSink& sink) {
        {
          absl::MutexLock lock(&this->mutex);
          QueuePosition position_in_queue;
          if (!*in_batch) {
            position_in_queue = {stream->priority, this->next_queue_number++};
            this->waiting.insert(position_in_queue);
          }
          const auto may_run =
              [this, in_batch, position_in_queue]()
                  ABSL_SHARED_LOCKS_REQUIRED(mutex) {
                    if (this->stopping || *in_batch) return !this->unresponsive;
                    const bool is_next =
                        *this->waiting.begin() == position_in_queue;
                    return !this->unresponsive && is_next &&
                           this->running < this->behaviour.batch;
                  };
          const auto may_proceed = [this, &may_run]()
                                       ABSL_SHARED_LOCKS_REQUIRED(mutex) {
                                         return this->stopping || may_run();
                                       };
          this->mutex.Await(absl::Condition(&may_proceed));
          this->waiting.erase(position_in_queue);
          if (this->stopping) return false;
          if (!*in_batch) ++this->running;
          *in_batch = true;
        }
        absl::SleepFor(this->behaviour.token_delay);
        if (this->BreaksStream(*position - from)) return false;
        const bool ended = *position == stream->events.size();
        const std::string text =
            "data: " + (ended ? "[DONE]" : stream->events[*position]) + "\n\n";
        if (!sink.write(text.data(), text.size())) return false;
        if (ended) {
          sink.done();
        } else {
          ++*position;
          absl::MutexLock lock(&this->mutex);
          this->queued_tokens -= 1;
        }
        return true;
      },
      [this, stream, position, in_batch](bool) {
        absl::MutexLock lock(&this->mutex);
        if (*in_batch) --this->running;
        this->queued_tokens -=
            static_cast<double>(stream->events.size() - *position);
        ++this->served;
      });
}

void EngineStandIn::HandleResume(const httplib::Request& request,
                                 httplib::Response& response) {
  const std::string id = request.matches[1];
  const std::size_t after = std::stoul(request.get_param_value("after"));
  std::shared_ptr<Stream> stream;
  {
    absl::MutexLock lock(&this->mutex);
    const auto found = this->streams.find(id);
    if (found != this->streams.end()) stream = found->second;
    if (stream != nullptr && after <= stream->events.size()) {
      this->queued_tokens += static_cast<double>(stream->events.size() - after);
    }
  }
  if (stream == nullptr || after > stream->events.size()) {
    response.status = 404;
    response.set_content("{\"error\":\"no such stream\"}", kJson);
    return;
  }
  this->SendStream(stream, after, response);
}

json EngineStandIn::LoadReportJson() {
  absl::MutexLock lock(&this->mutex);
  json resident = json::array();
  for (const auto& [name, bytes] : this->loaded) resident.push_back(name);
  json report = {{"queued_tokens", std::max(0.0, this->queued_tokens)},
                 {"running", this->running},
                 {"waiting", this->waiting.size()},
                 {"slots", this->behaviour.batch},
                 {"boot_id", fmt::format("boot-{}", this->boot)},
                 {"resident", resident},
                 {"role", this->role},
                 {"leaving", this->leaving}};
  const absl::Time now = absl::Now();
  this->report_history.emplace_back(now, report);
  const absl::Time until = now - this->behaviour.report_lag;
  while (this->report_history.size() > 1 &&
         this->report_history[1].first <= until) {
    this->report_history.pop_front();
  }
  json lagged_report = this->report_history.front().second;
  lagged_report["age_ms"] =
      absl::ToInt64Milliseconds(now - this->report_history.front().first);
  return lagged_report;
}

// Executes an order. Returns the reason if it is refused, else an empty text.
std::string EngineStandIn::Execute(const std::string& kind, const json& body) {
  absl::MutexLock lock(&this->mutex);
  if (kind == "set_role") {
    this->role = body.at("role").get<std::string>();
    return {};
  }
  const std::string name = body.contains("model")
                               ? body.at("model").get<std::string>()
                               : body.at("lora_name").get<std::string>();
  if (kind == "unload_model" || kind == "unload_lora_adapter") {
    this->loaded.erase(name);
    return {};
  }
  const std::int64_t bytes = body.at("bytes");
  std::int64_t used = bytes;
  for (const auto& [other, size] : this->loaded) {
    if (other != name) used += size;
  }
  // An order that does not fit is counted as well: instances must not send one.
  this->peak_bytes = std::max(this->peak_bytes, used);
  if (used > this->behaviour.memory_bytes) return "out of memory";
  this->loaded[name] = bytes;
  return {};
}

void EngineStandIn::HandleOrder(const std::string& kind,
                                const httplib::Request& request,
                                httplib::Response& response) {
  this->RecordReceived(request);
  const json body = json::parse(request.body);
  const std::int64_t fence = std::stoll(request.get_header_value("X-Fence"));
  std::string boot_id;
  {
    absl::MutexLock lock(&this->mutex);
    boot_id = fmt::format("boot-{}", this->boot);
    if (this->behaviour.fenced && fence < this->highest_fence) {
      response.status = 409;
      response.set_content(
          json({{"error", "old fence"}, {"boot_id", boot_id}}).dump(), kJson);
      return;
    }
    this->highest_fence = std::max(this->highest_fence, fence);
    if (this->orders_to_hold > 0) {
      --this->orders_to_hold;
      this->held_orders.push_back(HeldOrder{kind, body});
      return DropResponse(response);
    }
  }
  if (kind == "load_model") absl::SleepFor(this->behaviour.load_delay);
  const std::string problem = this->Execute(kind, body);
  {
    absl::MutexLock lock(&this->mutex);
    if (this->order_responses_to_drop > 0) {
      --this->order_responses_to_drop;
      return DropResponse(response);
    }
  }
  json response_body = {{"boot_id", boot_id}};
  if (!problem.empty()) {
    response.status = 507;
    response_body["error"] = problem;
  }
  response.set_content(response_body.dump(), kJson);
}

void EngineStandIn::BreakStreamsAfter(int events, int times) {
  absl::MutexLock lock(&this->mutex);
  this->break_after = events;
  this->remaining_breaks = times;
}

void EngineStandIn::SetUnresponsive(bool unresponsive) {
  absl::MutexLock lock(&this->mutex);
  this->unresponsive = unresponsive;
}

void EngineStandIn::SetRefusing(bool refusing) {
  absl::MutexLock lock(&this->mutex);
  this->refusing = refusing;
}

void EngineStandIn::SetLeaving(bool leaving) {
  absl::MutexLock lock(&this->mutex);
  this->leaving = leaving;
}

void EngineStandIn::SetEchoedId(const std::string& id) {
  absl::MutexLock lock(&this->mutex);
  this->echoed_id = id;
}

void EngineStandIn::DropOrderResponses(int count) {
  absl::MutexLock lock(&this->mutex);
  this->order_responses_to_drop = count;
}

void EngineStandIn::HoldOrders(int count) {
  absl::MutexLock lock(&this->mutex);
  this->orders_to_hold = count;
}

void EngineStandIn::ReleaseOrders() {
  std::deque<HeldOrder> released;
  {
    absl::MutexLock lock(&this->mutex);
    released.swap(this->held_orders);
  }
  for (const HeldOrder& order : released) this->Execute(order.kind, order.body);
}

void EngineStandIn::Preload(const std::string& name, std::int64_t bytes) {
  absl::MutexLock lock(&this->mutex);
  this->loaded[name] = bytes;
}

void EngineStandIn::Restart() {
  absl::MutexLock lock(&this->mutex);
  ++this->boot;
  this->loaded.clear();
  this->streams.clear();
  this->report_history.clear();
}

std::int64_t EngineStandIn::PeakMemoryBytes() const {
  absl::MutexLock lock(&this->mutex);
  return this->peak_bytes;
}

std::set<std::string> EngineStandIn::Resident() const {
  absl::MutexLock lock(&this->mutex);
  std::set<std::string> names;
  for (const auto& [name, bytes] : this->loaded) names.insert(name);
  return names;
}

int EngineStandIn::EndedStreams() const {
  absl::MutexLock lock(&this->mutex);
  return this->served;
}

int EngineStandIn::StartedCompletions() const {
  absl::MutexLock lock(&this->mutex);
  return this->started;
}

std::string EngineStandIn::ReceivedRequests() const {
  absl::MutexLock lock(&this->mutex);
  return this->received_text;
}

}  // namespace dragonflyglade
