#include "dragonflyglade/store/discovery_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "dragonflyglade/decision/json_text.h"
#include "dragonflyglade/net/http_call.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr const char* kDiscoveryPeer = "platform discovery";
constexpr int kHttpOk = 200;
constexpr const char* kLeavingState = "leaving";

ListedInstance DecodeInstance(const json& item) {
  ListedInstance listed;
  listed.info.name = item.at("name").get<std::string>();
  listed.info.address = item.at("address").get<std::string>();
  listed.info.peer_port = item.at("peer_port").get<int>();
  listed.info.caller_port = item.at("caller_port").get<int>();
  listed.info.zone = item.at("zone").get<std::string>();
  listed.leaving = item.value("state", std::string()) == kLeavingState;
  return listed;
}

ListedTarget DecodeTarget(const json& item) {
  ListedTarget listed;
  listed.name = item.at("name").get<std::string>();
  listed.address = item.at("address").get<std::string>();
  listed.port = item.at("port").get<int>();
  listed.zone = item.at("zone").get<std::string>();
  listed.pool = item.at("pool").get<std::string>();
  listed.leaving = item.value("state", std::string()) == kLeavingState;
  return listed;
}

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

Result<InstanceList> DiscoveryClient::FetchInstances() const {
  const Result<std::string> text = this->Get("/instances");
  if (!text.Ok()) return text.Error();
  try {
    const json document = ParseJson(text.Value());
    InstanceList list;
    list.version = document.at("version").get<std::int64_t>();
    for (const json& item : document.at("instances")) {
      list.instances.push_back(DecodeInstance(item));
    }
    return list;
  } catch (const json::exception& error) {
    return MakeFailure(Errc::kMalformedResponse, "read instances",
                       kDiscoveryPeer, error.what());
  }
}

Result<DiscoveredTargets> DiscoveryClient::FetchTargets() const {
  const Result<std::string> text = this->Get("/targets");
  if (!text.Ok()) return text.Error();
  try {
    const json document = ParseJson(text.Value());
    DiscoveredTargets list;
    list.version = document.at("version").get<std::int64_t>();
    for (const json& item : document.at("targets")) {
      list.targets.push_back(DecodeTarget(item));
    }
    return list;
  } catch (const json::exception& error) {
    return MakeFailure(Errc::kMalformedResponse, "read targets", kDiscoveryPeer,
                       error.what());
  }
}

}  // namespace dragonflyglade
