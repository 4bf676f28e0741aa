#include "tests/platform/gateway_harness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace dragonflyglade {

using boost::asio::ip::tcp;
using boost::system::error_code;
using gateway::Gateway;
using gateway::GatewaySettings;
using nlohmann::json;

namespace {

// Timeout of each wait for a condition, which normally takes milliseconds.
constexpr absl::Duration kWaitTimeout = absl::Seconds(20);

json RouteConfig(const std::string& prefix, const std::string& type,
                 int attempts, bool resumable) {
  return {
      {"name", prefix}, {"host", "h.example"},      {"prefix", prefix},
      {"type", type},   {"timeout_ms", 5000},       {"target_latency_ms", 2000},
      {"service", "s"}, {"max_attempts", attempts}, {"resumable", resumable}};
}

json EngineConfig() {
  return {{"models", {{{"name", "m"}, {"weights_mb", 10}}}},
          {"weights_mb", 100},
          {"adapter_slots", 2},
          {"loads_per_s", 2}};
}

json WorkspacesConfig() {
  return {{{"name", "t1"}, {"api_keys", {"k1"}}},
          {{"name", "large"},
           {"api_keys", {"k3"}},
           {"rate_per_s", 10000},
           {"burst", 10000},
           {"unit", "token_stream"},
           {"plain_tokens", 100}},
          {{"name", "small"},
           {"api_keys", {"k2"}},
           {"rate_per_s", 1},
           {"burst", 1},
           {"unit", "token_stream"},
           {"plain_tokens", 1000}}};
}

}  // namespace

GatewayHarness::Options GatewayHarness::WithAnswer(
    PlatformTargetStandIn::Answer answer) {
  Options options;
  options.answer = std::move(answer);
  return options;
}

GatewayHarness::GatewayHarness(Options options)
    : options(std::move(options)),
      first(this->options.answer),
      second(this->options.answer, this->options.second_ip) {
  this->store.Put("op/config", this->Config(1, "plain").dump());
  this->PutTarget("i-1", this->first, "ready");
  if (this->options.before_start) this->options.before_start(this->store);
  this->reread = this->Settings();
  this->gateway = std::make_unique<Gateway>(
      this->Settings(), [this] { return this->reread; }, this->options.wire);
  this->thread = std::thread([this] { this->ran = this->gateway->Run(); });
  this->WaitFor([this] { return this->Call("GET", "/once/").status != 503; });
}

GatewayHarness::~GatewayHarness() {
  this->gateway->Context().stop();
  this->thread.join();
}

void GatewayHarness::AddSecond() {
  this->PutTarget("i-2", this->second, "ready");
  this->WaitFor([this] {
    return this->Read<std::size_t>([this] {
      return this->gateway->Fleet().Targets("s").size();
    }) == 2;
  });
}

void GatewayHarness::ScriptNextRequest(PlatformTargetStandIn::Answer once,
                                       PlatformTargetStandIn::Answer later) {
  const auto used = std::make_shared<std::atomic<bool>>(false);
  const auto answer = [=](const RawRequest& request) {
    return used->exchange(true) ? later(request) : once(request);
  };
  this->first.EnqueueAnswer(answer);
  this->second.EnqueueAnswer(answer);
}

std::size_t GatewayHarness::RequestCount() const {
  return this->first.Requests().size() + this->second.Requests().size();
}

GatewayHarness::Reply GatewayHarness::Call(const std::string& method,
                                           const std::string& path,
                                           const std::string& key,
                                           const std::string& more) {
  return this->Send(this->Text(method, path, key, more));
}

GatewayHarness::Reply GatewayHarness::CallModel(const std::string& model) {
  return this->Call("POST", "/once/", "k1",
                    "X-Dragonflyglade-Model: " + model +
                        "\r\nX-Dragonflyglade-Token-Usage: 10,10\r\n");
}

std::string GatewayHarness::Text(const std::string& method,
                                 const std::string& path,
                                 const std::string& key,
                                 const std::string& more) {
  const int call = ++this->calls;
  return absl::StrCat(method, " ", path,
                      " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
                      "X-Dragonflyglade-Attempt-Id: r",
                      call,
                      "\r\nX-Dragonflyglade-Deadline-Ms: 5000\r\n"
                      "Authorization: Bearer ",
                      key, "\r\n", more, "\r\n");
}

std::string GatewayHarness::KeepAliveRequestText(const std::string& method,
                                                 const std::string& path,
                                                 const std::string& more) {
  const int call = ++this->calls;
  return absl::StrCat(method, " ", path,
                      " HTTP/1.1\r\nHost: h.example\r\n"
                      "X-Dragonflyglade-Attempt-Id: r",
                      call, "\r\nAuthorization: Bearer k1\r\n", more, "\r\n");
}

GatewayHarness::Reply GatewayHarness::Send(const std::string& text) {
  return this->SendTo(this->gateway->Settings().callers, text);
}

GatewayHarness::Reply GatewayHarness::SendTo(const Endpoint& endpoint,
                                             const std::string& text,
                                             const std::string& later) {
  const auto socket = this->Connect(endpoint);
  error_code error;
  boost::asio::write(*socket, boost::asio::buffer(text), error);
  Reply reply;
  char buffer[4096];
  if (!later.empty()) {
    reply.text.append(buffer,
                      socket->read_some(boost::asio::buffer(buffer), error));
    // A peer may answer and end the connection before it has read all.
    error_code ignored;
    boost::asio::write(*socket, boost::asio::buffer(later), ignored);
  }
  while (!error) {
    reply.text.append(buffer,
                      socket->read_some(boost::asio::buffer(buffer), error));
  }
  if (reply.text.size() > 12) reply.status = std::stoi(reply.text.substr(9));
  const bool chunked =
      absl::StrContains(reply.text, "Transfer-Encoding: chunked");
  reply.ended_whole = !chunked || absl::EndsWith(reply.text, "\r\n0\r\n\r\n");
  return reply;
}

GatewayHarness::Reply GatewayHarness::Ask(const Endpoint& endpoint,
                                          const std::string& path) {
  return this->SendTo(endpoint, "GET " + path +
                                    " HTTP/1.1\r\nHost: x\r\n"
                                    "Connection: close\r\n\r\n");
}

std::unique_ptr<tcp::socket> GatewayHarness::Connect(const Endpoint& endpoint) {
  auto socket = std::make_unique<tcp::socket>(this->client);
  socket->connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                                static_cast<unsigned short>(endpoint.port)));
  return socket;
}

void GatewayHarness::WaitFor(const std::function<bool()>& condition) {
  const absl::Time end = absl::Now() + kWaitTimeout;
  while (!condition()) {
    CPPUNIT_ASSERT_MESSAGE("timeout while waiting for a condition",
                           absl::Now() < end);
    absl::SleepFor(absl::Milliseconds(10));
  }
}

bool GatewayHarness::HoldsLeaderLease() {
  return this->Read<bool>([this] { return this->gateway->HoldsLeaderLease(); });
}

void GatewayHarness::PutTarget(const std::string& id,
                               const PlatformTargetStandIn& target,
                               const std::string& state, json models) {
  this->store.Put("servers/" + id, json{{"service", "s"},
                                        {"address", target.Address()},
                                        {"zone", "z"},
                                        {"slots", 4},
                                        {"state", state},
                                        {"born", 1},
                                        {"models", models}}
                                       .dump());
}

json GatewayHarness::Config(int version, const std::string& last_route) const {
  json config = {
      {"version", version},
      {"routes",
       {RouteConfig("/once/", "non_idempotent", 1, false),
        RouteConfig("/any/", "idempotent", 2, false),
        RouteConfig("/cut/", "streaming", 1, false),
        RouteConfig("/resumed/", "streaming", 2, true),
        RouteConfig("/" + last_route + "/", "idempotent", 1, false)}},
      {"services",
       {{{"name", "s"}, {"max_connections", 50}, {"engine", EngineConfig()}}}},
      {"tenants", WorkspacesConfig()}};
  config["services"][0]["engine"].update(this->options.engine);
  if (!this->options.limits.empty()) config["limits"] = this->options.limits;
  return config;
}

void GatewayHarness::PutConfig(const json& config) {
  this->store.Put("op/config", config.dump());
  const auto version = config.at("version").get<std::uint64_t>();
  this->WaitFor([&] {
    return this->Read<bool>(
        [&] { return this->gateway->Fleet().Config()->version == version; });
  });
}

GatewaySettings GatewayHarness::Settings(const std::string& instance) const {
  GatewaySettings settings;
  settings.instance = instance;
  settings.zone = "z";
  for (Endpoint* endpoint :
       {&settings.callers, &settings.readiness, &settings.directory,
        &settings.metrics, &settings.peers}) {
    *endpoint = {"127.0.0.1", 0};
  }
  settings.store = this->store.Address();
  settings.leader_handover_delay = this->options.leader_handover_delay;
  settings.retry_share = 1;
  settings.retry_slack = 100;
  settings.caller_buffers = this->options.caller_buffers;
  settings.request_bodies_bytes = this->options.request_bodies_bytes;
  settings.run_backups = this->options.run_backups;
  settings.prompt_cache = this->options.prompt_cache;
  settings.prompt_cache_events = this->options.prompt_cache_events;
  return settings;
}

LoopBlocker::LoopBlocker(GatewayHarness& harness) {
  const auto held = std::make_shared<absl::Notification>();
  boost::asio::post(harness.gateway->Context(),
                    [held, release = this->release] {
                      held->Notify();
                      release->WaitForNotification();
                    });
  held->WaitForNotification();
}

LoopBlocker::~LoopBlocker() { this->release->Notify(); }

}  // namespace dragonflyglade
