#include "dragonflyglade/caller/caller_server.h"

#include <httplib.h>

#include <atomic>
#include <cmath>
#include <string>
#include <thread>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "dragonflyglade/caller/sse.h"
#include "dragonflyglade/net/http_server.h"
#include "dragonflyglade/net/log.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kStreamCommentInterval = absl::Seconds(2);
constexpr const char* kJson = "application/json";

CallerRequest ToCallerRequest(const httplib::Request& library_request) {
  CallerRequest request;
  request.method = library_request.method;
  request.path = library_request.path;
  const std::size_t query_start = library_request.target.find('?');
  if (query_start != std::string::npos) {
    request.query = library_request.target.substr(query_start + 1);
  }
  request.authorization = library_request.get_header_value("Authorization");
  request.idempotency_key = library_request.get_header_value("Idempotency-Key");
  request.request_class = library_request.get_header_value("X-Request-Class");
  request.content_type = library_request.get_header_value("Content-Type");
  request.accept = library_request.get_header_value("Accept");
  request.body = library_request.body;
  return request;
}

void WriteRefusal(const Refusal& refusal, const std::string& request_id,
                  httplib::Response& response) {
  const RefusalRule& rule = RefusalRuleFor(refusal.code);
  response.status = rule.http_status;
  response.set_content(RefusalBody(refusal, request_id), kJson);
  if (!rule.retry_later) return;
  const double seconds = std::ceil(absl::ToDoubleSeconds(refusal.retry_after));
  response.set_header("Retry-After",
                      std::to_string(std::max(1, static_cast<int>(seconds))));
}

// Writes the next part of a stream, or a comment if there is none in time.
// Returns false if the connection is broken.
bool WriteNextPart(EventStream& stream, const std::string& request_id,
                   httplib::DataSink& sink) {
  const StreamPart part = stream.Next(kStreamCommentInterval);
  const auto write = [&sink](const std::string& text) {
    return sink.write(text.data(), text.size());
  };
  if (const auto* data = std::get_if<StreamData>(&part)) {
    return write(SseEvent(data->text));
  }
  // Comments keep the connection active, so that both ends notice when it
  // breaks.
  if (std::holds_alternative<StreamTimeout>(part)) return write(": wait\n\n");
  if (const auto* refusal = std::get_if<Refusal>(&part)) {
    write(SseErrorEvent(RefusalBody(*refusal, request_id)));
  }
  sink.done();
  return true;
}

}  // namespace

struct CallerServer::Impl {
  Impl(Endpoint listen, RequestHandler& handler, const Metrics& metrics,
       int threads)
      : handler(handler),
        metrics(metrics),
        server(std::move(listen), threads) {}

  void SetRoutes();
  void Respond(const httplib::Request& library_request,
               httplib::Response& response);
  void RespondWithStream(const std::shared_ptr<EventStream>& stream,
                         const std::string& request_id,
                         httplib::Response& response);

  RequestHandler& handler;
  const Metrics& metrics;
  HttpServer server;
  std::atomic<int> active{0};
  std::atomic<bool> closing{false};
};

void CallerServer::Impl::RespondWithStream(
    const std::shared_ptr<EventStream>& stream, const std::string& request_id,
    httplib::Response& response) {
  ++this->active;
  response.set_header("Cache-Control", "no-store");
  response.set_chunked_content_provider(
      "text/event-stream",
      [stream, request_id](std::size_t, httplib::DataSink& sink) {
        return WriteNextPart(*stream, request_id, sink);
      },
      [stream, this](bool) {
        // Called at the end of the stream and when the caller disconnects; in
        // both cases nobody reads the stream any more.
        stream->Cancel();
        --this->active;
      });
}

void CallerServer::Impl::Respond(const httplib::Request& library_request,
                                 httplib::Response& response) {
  ++this->active;
  const absl::Cleanup ended = [this] { --this->active; };
  const IdentifiedResponse reply =
      this->handler.Handle(ToCallerRequest(library_request));
  response.set_header("X-Request-Id", reply.request_id);
  if (this->closing) response.set_header("Connection", "close");
  if (const auto* refusal = std::get_if<Refusal>(&reply.response)) {
    WriteRefusal(*refusal, reply.request_id, response);
  } else if (const auto* stream =
                 std::get_if<StreamResponse>(&reply.response)) {
    this->RespondWithStream(stream->stream, reply.request_id, response);
  } else {
    const auto& complete = std::get<CompleteResponse>(reply.response);
    response.status = complete.status;
    response.set_content(complete.body, complete.content_type);
  }
}

void CallerServer::Impl::SetRoutes() {
  httplib::Server& http = this->server.HttplibServer();
  http.set_payload_max_length(this->handler.Limits().max_body);
  http.Get("/healthz", [](const httplib::Request&, httplib::Response& r) {
    r.set_content("{\"status\":\"ok\"}", kJson);
  });
  http.Get("/readyz", [this](const httplib::Request&, httplib::Response& r) {
    const auto readiness = this->handler.Readiness();
    if (const auto* refusal = std::get_if<Refusal>(&readiness)) {
      WriteRefusal(*refusal, "", r);
      return;
    }
    if (std::get<ServingState>(readiness) == ServingState::kDraining) {
      WriteRefusal(Refusal{RefusalCode::kDraining, "leaving"}, "", r);
      return;
    }
    r.set_content("{\"status\":\"ready\"}", kJson);
  });
  http.Get("/metrics", [this](const httplib::Request&, httplib::Response& r) {
    r.set_content(this->metrics.Text(), "text/plain; version=0.0.4");
  });
  const auto respond = [this](const httplib::Request& library_request,
                              httplib::Response& response) {
    this->Respond(library_request, response);
  };
  http.Get(".*", respond);
  http.Post(".*", respond);
  http.Put(".*", respond);
  http.Patch(".*", respond);
  http.Delete(".*", respond);
  // The library responds to a malformed request without a body.
  http.set_error_handler([](const httplib::Request&,
                            httplib::Response& response) {
    if (!response.body.empty()) return;
    const bool too_large = response.status == 413;
    const bool is_server_fault = response.status >= 500;
    const RefusalCode code = too_large         ? RefusalCode::kBodyTooLarge
                             : is_server_fault ? RefusalCode::kInternal
                                               : RefusalCode::kBadRequest;
    const int status = response.status;
    WriteRefusal(Refusal{code, "the request could not be read"}, "", response);
    response.status = status;
  });
  http.set_exception_handler([](const httplib::Request&,
                                httplib::Response& response,
                                std::exception_ptr exception) {
    try {
      std::rethrow_exception(std::move(exception));
    } catch (const std::exception& error) {
      LogFor(LogPart::kCaller).error("Request failed: {}.", error.what());
    }
    WriteRefusal(Refusal{RefusalCode::kInternal, "the request failed here"}, "",
                 response);
  });
}

CallerServer::CallerServer(Endpoint listen, RequestHandler& handler,
                           const Metrics& metrics, int threads)
    : impl(std::make_unique<Impl>(std::move(listen), handler, metrics,
                                  threads)) {
  this->impl->SetRoutes();
}

CallerServer::~CallerServer() { this->Stop(); }

Result<int> CallerServer::Start() {
  return this->impl->server.Start("listen for callers");
}

void CallerServer::CloseAfterResponses() { this->impl->closing = true; }

void CallerServer::Stop() { this->impl->server.Stop(); }

int CallerServer::Active() const { return this->impl->active; }

}  // namespace dragonflyglade
