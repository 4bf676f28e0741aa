#include "dragonflyglade/target/engine_client.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "dragonflyglade/decision/json_text.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;

const char* OrderPath(OrderKind kind) {
  switch (kind) {
    case OrderKind::kLoadModel:
      return "/v1/load_model";
    case OrderKind::kUnloadModel:
      return "/v1/unload_model";
    case OrderKind::kLoadAdapter:
      return "/v1/load_lora_adapter";
    case OrderKind::kUnloadAdapter:
      return "/v1/unload_lora_adapter";
    case OrderKind::kSetRole:
      return "/v1/set_role";
  }
  return "";
}

bool IsAdapterOrder(OrderKind kind) {
  return kind == OrderKind::kLoadAdapter || kind == OrderKind::kUnloadAdapter;
}

json OrderBody(const EngineOrder& order) {
  if (order.kind == OrderKind::kSetRole) return {{"role", order.name}};
  if (IsAdapterOrder(order.kind)) {
    return {{"lora_name", order.name},
            {"lora_path", order.name},
            {"bytes", order.bytes}};
  }
  return {{"model", order.name},
          {"version", order.version},
          {"bytes", order.bytes}};
}

EngineReport DecodeReport(const json& document) {
  EngineReport report;
  report.load.queued_tokens = document.at("queued_tokens").get<double>();
  report.load.running =
      document.at("running").get<int>() + document.value("waiting", 0);
  report.load.slots = document.value("slots", 0);
  report.load.boot_id = document.at("boot_id").get<std::string>();
  report.load.resident = document.at("resident").get<std::set<std::string>>();
  report.load.lag = absl::Milliseconds(document.value("age_ms", 0));
  report.load.role = document.value("role", std::string());
  report.leaving = document.value("leaving", false);
  return report;
}

}  // namespace

EngineClient::EngineClient(Endpoint endpoint, std::string_view name,
                           TargetCallOptions options)
    : endpoint(std::move(endpoint)),
      peer("target " + std::string(name)),
      options(options) {}

std::shared_ptr<HttpCall> EngineClient::NewCall() const {
  HttpOptions http;
  http.connect_timeout = this->options.connect_timeout;
  http.read_timeout = this->options.read_timeout;
  http.max_body = this->options.max_body;
  return std::make_shared<HttpCall>(this->endpoint, http, this->peer);
}

HttpRequest EngineClient::MakeCompletionRequest(const EngineRequest& request) {
  HttpRequest http;
  http.method = "POST";
  http.path = request.path;
  http.body = request.body;
  http.headers = {{"X-Request-Id", request.request_id}};
  return http;
}

HttpRequest EngineClient::MakeResumeRequest(std::string_view request_id,
                                            int after_events) {
  HttpRequest http;
  http.path = fmt::format("/v1/streams/{}?after={}", request_id, after_events);
  http.headers = {{"X-Request-Id", std::string(request_id)}};
  return http;
}

Result<HttpResponse> EngineClient::Run(const HttpRequest& request,
                                       absl::Duration timeout) const {
  HttpOptions http;
  http.connect_timeout = this->options.connect_timeout;
  http.read_timeout = timeout;
  http.max_body = this->options.max_body;
  HttpCall call(this->endpoint, http, this->peer);
  return call.Run(request);
}

Result<EngineReport> EngineClient::FetchReport() const {
  HttpRequest request;
  request.path = "/load";
  const Result<HttpResponse> reply =
      this->Run(request, this->options.report_timeout);
  if (!reply.Ok()) return reply.Error();
  try {
    return DecodeReport(ParseJson(reply.Value().body));
  } catch (const json::exception& error) {
    return MakeFailure(Errc::kMalformedResponse, "read load report", this->peer,
                       error.what());
  }
}

Result<std::vector<CacheEvent>> EngineClient::FetchCacheEvents(
    std::int64_t after) const {
  HttpRequest request;
  request.path = fmt::format("/cache_events?after={}", after);
  const Result<HttpResponse> reply =
      this->Run(request, this->options.report_timeout);
  if (!reply.Ok()) return reply.Error();
  try {
    std::vector<CacheEvent> events;
    const json document = ParseJson(reply.Value().body);
    for (const json& item : document.at("events")) {
      events.push_back(CacheEvent{item.at("sequence"), item.at("prefix"),
                                  item.value("stored", true)});
    }
    return events;
  } catch (const json::exception& error) {
    return MakeFailure(Errc::kMalformedResponse, "read cache events",
                       this->peer, error.what());
  }
}

Result<OrderResult> EngineClient::SendOrder(const EngineOrder& order) const {
  HttpRequest request;
  request.method = "POST";
  request.path = OrderPath(order.kind);
  request.body = OrderBody(order).dump();
  request.headers = {{"X-Order-Id", order.id},
                     {"X-Fence", std::to_string(order.fence_token)}};
  const Result<HttpResponse> reply =
      this->Run(request, this->options.order_timeout);
  if (!reply.Ok()) {
    if (reply.Error().code == Errc::kConnectFailed) return reply.Error();
    return MakeFailure(Errc::kOutcomeUnknown, "order", this->peer,
                       reply.Error().ToString());
  }
  try {
    const json document = ParseJson(reply.Value().body);
    OrderResult result;
    result.done = reply.Value().head.status == kHttpOk;
    result.boot_id = document.value("boot_id", std::string());
    result.explanation = document.value("error", std::string());
    return result;
  } catch (const json::exception& error) {
    return MakeFailure(Errc::kOutcomeUnknown, "order", this->peer,
                       error.what());
  }
}

}  // namespace dragonflyglade
