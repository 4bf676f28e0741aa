#include "dragonflyglade/store/kv_client.h"

#include <utility>

#include "dragonflyglade/net/http_call.h"
#include "dragonflyglade/store/kv_codec.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr const char* kPeer = "kv";
constexpr int kHttpOk = 200;

template <typename Decode>
auto Decoded(std::string_view step, const Result<std::string>& text,
             Decode decode) -> Result<decltype(decode(json()))> {
  if (!text.Ok()) return text.Error();
  try {
    return decode(json::parse(text.Value()));
  } catch (const json::exception& error) {
    return MakeFailure(Errc::kMalformedResponse, step, kPeer, error.what());
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
  Failure last = MakeFailure(Errc::kUnavailable, step, kPeer, "no endpoint");
  const std::size_t count = this->options.endpoints.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (this->preferred + i) % count;
    ++this->calls;
    HttpCall call(this->options.endpoints[index], http, kPeer);
    Result<HttpResponse> reply = call.Run(request);
    if (reply.Ok() && reply.Value().head.status == kHttpOk) {
      this->preferred = index;
      return std::move(reply.Value().body);
    }
    const std::string detail =
        reply.Ok() ? "status " + std::to_string(reply.Value().head.status)
                   : reply.Error().ToString();
    const bool connected =
        reply.Ok() || reply.Error().code != Errc::kConnectFailed;
    // Failure: the answer to a write is lost after it took effect, and a
    // second write at the next endpoint would compare against its own first
    // one. Once a write may have arrived, its outcome is reported as unknown.
    if (connected && writes) {
      return MakeFailure(Errc::kOutcomeUnknown, step, kPeer, detail);
    }
    last = MakeFailure(Errc::kUnavailable, step, kPeer, detail);
  }
  return last;
}

Result<KvRange> KvClient::Range(const KvQuery& query) const {
  return Decoded(
      "range",
      this->Call("range", "/v3/kv/range", EncodeRange(query).dump(), false),
      DecodeRange);
}

Result<KvTxnResult> KvClient::Txn(absl::Span<const KvCondition> expects,
                                  absl::Span<const KvWrite> writes) const {
  Result<KvTxnResult> reply = Decoded(
      "txn",
      this->Call("txn", "/v3/kv/txn", EncodeTxn(expects, writes).dump(), true),
      DecodeTxn);
  // A malformed answer to a write says nothing of its outcome either.
  if (!reply.Ok() && reply.Error().code == Errc::kMalformedResponse) {
    return MakeFailure(Errc::kOutcomeUnknown, "txn", kPeer,
                       reply.Error().detail);
  }
  return reply;
}

Result<std::int64_t> KvClient::GrantLease(absl::Duration ttl) const {
  const json message = {{"TTL", std::to_string(absl::ToInt64Seconds(ttl))},
                        {"ID", "0"}};
  return Decoded(
      "grant lease",
      this->Call("grant lease", "/v3/lease/grant", message.dump(), true),
      [](const json& object) { return DecodeNumber(object, "ID"); });
}

Status KvClient::KeepAlive(std::int64_t lease) const {
  const json message = {{"ID", std::to_string(lease)}};
  const Result<std::int64_t> ttl = Decoded(
      "keep lease",
      this->Call("keep lease", "/v3/lease/keepalive", message.dump(), false),
      [](const json& object) {
        return DecodeNumber(object.at("result"), "TTL");
      });
  if (!ttl.Ok()) return ttl.Error();
  if (ttl.Value() > 0) return Done{};
  return MakeFailure(Errc::kNotHeld, "keep lease", kPeer, "lapsed");
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
  // Progress notices come even when nothing changes, so a longer silence
  // means that the connection is dead, although it looks open.
  http.read_timeout = this->options.watch_read_timeout;
  const std::size_t index = this->preferred % this->options.endpoints.size();
  auto call =
      std::make_shared<HttpCall>(this->options.endpoints[index], http, kPeer);
  on_start(std::make_shared<WatchHandle>(call));
  ++this->calls;

  HttpRequest request;
  request.method = "POST";
  request.path = "/v3/watch";
  request.body = EncodeWatch(prefix, from_revision).dump();
  std::string buffer;
  std::string malformed;
  const auto on_line = [&](const std::string& line) {
    try {
      const json result = json::parse(line).at("result");
      const std::int64_t revision =
          DecodeNumber(result.at("header"), "revision");
      const std::vector<KvEvent> events = DecodeEvents(result);
      on_events(events, revision);
      if (!result.value("canceled", false)) return true;
      malformed = "cancelled by the service";
    } catch (const json::exception& error) {
      malformed = error.what();
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
  if (!malformed.empty()) {
    return MakeFailure(Errc::kMalformedResponse, "watch", kPeer, malformed);
  }
  if (status.Ok()) {
    return MakeFailure(Errc::kConnectionLost, "watch", kPeer, "ended");
  }
  // The next attempt, of any kind, goes to the next endpoint.
  if (status.Error().code != Errc::kCancelled) {
    this->preferred = (index + 1) % this->options.endpoints.size();
  }
  return status.Error();
}

}  // namespace dragonflyglade
