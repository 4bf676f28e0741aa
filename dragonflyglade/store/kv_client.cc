#include "dragonflyglade/store/kv_client.h"

#include <utility>

#include "dragonflyglade/decision/json_text.h"
#include "dragonflyglade/net/http_call.h"
#include "dragonflyglade/store/kv_codec.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr const char* kServicePeer = "kv";
constexpr int kHttpOk = 200;

template <typename Decode>
auto DecodeResponse(std::string_view step, const Result<std::string>& text,
                    Decode decode) -> Result<decltype(decode(json()))> {
  if (!text.Ok()) return text.Error();
  try {
    return decode(ParseJson(text.Value()));
  } catch (const json::exception& error) {
    return MakeFailure(Errc::kMalformedResponse, step, kServicePeer,
                       error.what());
  }
}

class WatchHandle : public KvWatchHandle {
 public:
  explicit WatchHandle(std::shared_ptr<HttpCall> call)
      : call(std::move(call)) {}
  void Stop() override { this->call->Cancel(); }

 private:
  std::shared_ptr<HttpCall> call;
};

}  // namespace

KvClient::KvClient(KvOptions options) : options(std::move(options)) {}

Result<std::string> KvClient::Call(std::string_view step, std::string_view path,
                                   const std::string& body, bool writes) const {
  HttpOptions http;
  http.connect_timeout = this->options.connect_timeout;
  http.read_timeout = this->options.call_timeout;
  http.write_timeout = this->options.call_timeout;
  HttpRequest request;
  request.method = "POST";
  request.path = std::string(path);
  request.body = body;
  Failure last_failure = MakeFailure(Errc::kUnavailable, step, kServicePeer,
                                     "no endpoint is configured");
  const std::size_t count = this->options.endpoints.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (this->preferred + i) % count;
    ++this->calls;
    HttpCall call(this->options.endpoints[index], http, kServicePeer);
    Result<HttpResponse> reply = call.Run(request);
    if (reply.Ok() && reply.Value().head.status == kHttpOk) {
      this->preferred = index;
      return std::move(reply.Value().body);
    }
    const std::string detail =
        reply.Ok() ? "status " + std::to_string(reply.Value().head.status)
                   : reply.Error().ToString();
    const bool may_have_arrived =
        reply.Ok() || reply.Error().code != Errc::kConnectFailed;
    // Failure: the response to a write is lost after the write took effect. If
    // the write were repeated at the next endpoint, its comparison would fail
    // because of the first attempt. So once a write may have reached the
    // service, its outcome is reported as unknown and it is not repeated.
    if (may_have_arrived && writes) {
      return MakeFailure(Errc::kOutcomeUnknown, step, kServicePeer, detail);
    }
    last_failure = MakeFailure(Errc::kUnavailable, step, kServicePeer, detail);
  }
  return last_failure;
}

Result<KvRange> KvClient::Range(const KvQuery& query) const {
  return DecodeResponse(
      "range",
      this->Call("range", "/v3/kv/range", EncodeRange(query).dump(), false),
      DecodeRange);
}

Result<KvTxnResult> KvClient::Txn(absl::Span<const KvCondition> conditions,
                                  absl::Span<const KvWrite> writes) const {
  Result<KvTxnResult> reply =
      DecodeResponse("txn",
                     this->Call("txn", "/v3/kv/txn",
                                EncodeTxn(conditions, writes).dump(), true),
                     DecodeTxn);
  // After a malformed response it is not known whether the write took
  // effect.
  if (!reply.Ok() && reply.Error().code == Errc::kMalformedResponse) {
    return MakeFailure(Errc::kOutcomeUnknown, "txn", kServicePeer,
                       reply.Error().detail);
  }
  return reply;
}

Result<std::int64_t> KvClient::GrantLease(absl::Duration ttl) const {
  const json message = {{"TTL", std::to_string(absl::ToInt64Seconds(ttl))},
                        {"ID", "0"}};
  return DecodeResponse(
      "grant lease",
      this->Call("grant lease", "/v3/lease/grant", message.dump(), true),
      [](const json& object) { return DecodeNumber(object, "ID"); });
}

Status KvClient::KeepAlive(std::int64_t lease) const {
  const json message = {{"ID", std::to_string(lease)}};
  const Result<std::int64_t> ttl = DecodeResponse(
      "renew lease",
      this->Call("renew lease", "/v3/lease/keepalive", message.dump(), false),
      [](const json& object) {
        return DecodeNumber(object.at("result"), "TTL");
      });
  if (!ttl.Ok()) return ttl.Error();
  if (ttl.Value() > 0) return Done{};
  return MakeFailure(Errc::kNotHeld, "renew lease", kServicePeer, "lapsed");
}

Status KvClient::RevokeLease(std::int64_t lease) const {
  const json message = {{"ID", std::to_string(lease)}};
  const Result<std::string> reply =
      this->Call("revoke lease", "/v3/lease/revoke", message.dump(), true);
  if (!reply.Ok()) return reply.Error();
  return Done{};
}

Failure KvClient::Watch(
    std::string_view prefix, std::int64_t from_revision,
    const std::function<void(std::shared_ptr<KvWatchHandle>)>& on_start,
    const OnEvents& on_events) const {
  HttpOptions http;
  http.connect_timeout = this->options.connect_timeout;
  // The service sends progress notifications even when nothing changes. If
  // none arrives in this time, the connection is broken, although the socket
  // still looks open.
  http.read_timeout = this->options.watch_read_timeout;
  const std::size_t index = this->preferred % this->options.endpoints.size();
  auto call = std::make_shared<HttpCall>(this->options.endpoints[index], http,
                                         kServicePeer);
  on_start(std::make_shared<WatchHandle>(call));
  ++this->calls;

  HttpRequest request;
  request.method = "POST";
  request.path = "/v3/watch";
  request.body = EncodeWatch(prefix, from_revision).dump();
  std::string buffer;
  std::string stream_error;
  const auto on_line = [&](const std::string& line) {
    try {
      const json result = ParseJson(line).at("result");
      const std::int64_t revision =
          DecodeNumber(result.at("header"), "revision");
      const std::vector<KvEvent> events = DecodeEvents(result);
      on_events(events, revision);
      if (!result.value("canceled", false)) return true;
      stream_error = "cancelled by the service";
    } catch (const json::exception& error) {
      stream_error = error.what();
    }
    return false;
  };
  const auto on_data = [&](std::string_view data) {
    buffer.append(data);
    std::size_t end = 0;
    while ((end = buffer.find('\n')) != std::string::npos) {
      const std::string line = buffer.substr(0, end);
      buffer.erase(0, end + 1);
      if (!line.empty() && !on_line(line)) return false;
    }
    return true;
  };
  const auto on_head = [](const HttpResponseHead& head) {
    return head.status == kHttpOk;
  };
  const Status status = call->Stream(request, on_head, on_data);
  if (!stream_error.empty()) {
    return MakeFailure(Errc::kMalformedResponse, "watch", kServicePeer,
                       stream_error);
  }
  if (status.Ok()) {
    return MakeFailure(Errc::kConnectionLost, "watch", kServicePeer, "ended");
  }
  // The next call, whether a watch or not, starts with the next endpoint.
  if (status.Error().code != Errc::kCancelled) {
    this->preferred = (index + 1) % this->options.endpoints.size();
  }
  return status.Error();
}

}  // namespace dragonflyglade
