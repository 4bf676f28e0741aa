#include "dragonflyglade/operator/status_server.h"

#include <fmt/format.h>
#include <httplib.h>

#include <utility>

#include "dragonflyglade/decision/json_text.h"
#include "dragonflyglade/net/http_call.h"
#include "dragonflyglade/net/http_server.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr int kThreads = 4;

}  // namespace

struct StatusServer::Impl {
  Impl(Endpoint listen, Read read)
      : read(std::move(read)), server(std::move(listen), kThreads) {}

  Read read;
  HttpServer server;
};

StatusServer::StatusServer(Endpoint listen, Read read)
    : impl(std::make_unique<Impl>(std::move(listen), std::move(read))) {
  this->impl->server.HttplibServer().Get(
      "/status", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(this->impl->read().dump(2), "application/json");
      });
}

StatusServer::~StatusServer() { this->Stop(); }

Result<int> StatusServer::Start() {
  return this->impl->server.Start("listen for operators");
}

void StatusServer::Stop() { this->impl->server.Stop(); }

Result<json> FetchStatus(const Endpoint& instance) {
  HttpCall call(instance, HttpOptions{}, "instance");
  HttpRequest request;
  request.path = "/status";
  const Result<HttpResponse> reply = call.Run(request);
  if (!reply.Ok()) return reply.Error();
  const json document = ParseJsonOrDiscard(reply.Value().body);
  if (document.is_object()) return document;
  return MakeFailure(Errc::kMalformedResponse, "read status",
                     "instance " + instance.ToString(), "not a JSON object");
}

std::string StatusText(const json& status) {
  std::string text = fmt::format("instance {} (incarnation {}), {}\n",
                                 status.at("instance").get<std::string>(),
                                 status.at("incarnation").get<std::int64_t>(),
                                 status.at("state").get<std::string>());
  const json& config = status.at("configuration");
  text += fmt::format("configuration revision {}, age {} ms, {}{}\n",
                      config.at("revision").get<std::int64_t>(),
                      config.at("age_ms").get<std::int64_t>(),
                      config.at("right").get<std::string>(),
                      config.at("relay").get<bool>() ? ", relay" : "");
  for (const json& rejection : config.at("rejected")) {
    text += fmt::format("  rejected {} at {}: {}\n",
                        rejection.at("key").get<std::string>(),
                        rejection.at("revision").get<std::int64_t>(),
                        rejection.at("reason").get<std::string>());
  }
  text += "members\n";
  for (const json& member : status.at("members")) {
    text += fmt::format("  {} {} {}:{} load {}\n",
                        member.at("name").get<std::string>(),
                        member.at("state").get<std::string>(),
                        member.at("address").get<std::string>(),
                        member.at("caller_port").get<int>(),
                        member.at("load_permille").get<int>());
  }
  text += "targets\n";
  for (const json& target : status.at("targets")) {
    text += fmt::format("  {} of {} {} in flight {}, loaded: {}\n",
                        target.at("name").get<std::string>(),
                        target.at("pool").get<std::string>(),
                        target.at("state").get<std::string>(),
                        target.at("in_flight").get<int>(),
                        target.at("resident").dump());
  }
  text += "workspaces\n";
  for (const json& workspace : status.at("workspaces")) {
    text += fmt::format("  {} epoch {} bucket {} of {} holders {}\n",
                        workspace.at("name").get<std::string>(),
                        workspace.at("epoch").get<std::int64_t>(),
                        workspace.at("bucket_level").get<std::int64_t>(),
                        workspace.at("bucket_cap").get<std::int64_t>(),
                        workspace.at("holders").dump());
  }
  text += "refusals " + status.at("refusals").dump() + "\n";
  return text;
}

}  // namespace dragonflyglade
