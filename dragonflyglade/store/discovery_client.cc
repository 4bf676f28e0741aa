#include "dragonflyglade/store/discovery_client.h"

#include <utility>

#include "dragonflyglade/net/http_call.h"
#include "dragonflyglade/net/log.h"

namespace dragonflyglade {
namespace {

constexpr const char* kDiscoveryPeer = "platform discovery";
constexpr int kHttpOk = 200;

}  // namespace

DiscoveryClient::DiscoveryClient(Endpoint endpoint, absl::Duration timeout)
    : endpoint(std::move(endpoint)), timeout(timeout) {}

Result<std::string> DiscoveryClient::Get(const std::string& path) const {
  HttpOptions options;
  options.connect_timeout = this->timeout;
  options.read_timeout = this->timeout;
  HttpCall call(this->endpoint, options, kDiscoveryPeer);
  HttpRequest request;
  request.path = path;
  Result<HttpResponse> reply = call.Run(request);
  if (!reply.Ok()) {
    return MakeFailure(Errc::kUnavailable, "read " + path, kDiscoveryPeer,
                       reply.Error().ToString());
  }
  if (reply.Value().head.status != kHttpOk) {
    return MakeFailure(Errc::kUnavailable, "read " + path, kDiscoveryPeer,
                       std::to_string(reply.Value().head.status));
  }
  return std::move(reply.Value().body);
}

// An entry stays in the list for long; the log tells of it once.
void DiscoveryClient::LogLeftOut(const std::set<std::string>& now,
                                 std::set<std::string>& logged) const {
  absl::MutexLock lock(&this->mutex);
  for (const std::string& entry : now) {
    if (logged.count(entry) > 0) continue;
    LogFor(LogPart::kStore).warn("Left out of the list: {}.", entry);
  }
  logged = now;
}

Result<InstanceList> DiscoveryClient::FetchInstances() const {
  const Result<std::string> text = this->Get("/instances");
  if (!text.Ok()) return text.Error();
  Result<DecodedList<InstanceList>> decoded = DecodeInstanceList(text.Value());
  if (!decoded.Ok()) return decoded.Error();
  this->LogLeftOut(decoded.Value().left_out, this->logged_instances);
  return std::move(decoded.Value().list);
}

Result<DiscoveredTargets> DiscoveryClient::FetchTargets() const {
  const Result<std::string> text = this->Get("/targets");
  if (!text.Ok()) return text.Error();
  Result<DecodedList<DiscoveredTargets>> decoded =
      DecodeTargetList(text.Value());
  if (!decoded.Ok()) return decoded.Error();
  this->LogLeftOut(decoded.Value().left_out, this->logged_targets);
  return std::move(decoded.Value().list);
}

}  // namespace dragonflyglade
