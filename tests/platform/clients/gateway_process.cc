#include "tests/platform/clients/gateway_process.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "tests/fleet/fleet.h"
#include "tests/fleet/free_ports.h"
#include "tests/platform/clients/process_usage.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr int kListeners = 5;
// The times that a caller sends a request; the sheets allow one retry.
constexpr int kTries = 2;

json RouteConfig(const std::string& name, const std::string& type) {
  return {{"name", name},
          {"host", "h.example"},
          {"prefix", absl::StrCat("/", name, "/")},
          {"type", type},
          {"timeout_ms", 30000},
          {"target_latency_ms", 2000},
          {"service", "s"},
          {"max_attempts", 1}};
}

std::string MakeDirectory() {
  std::string name = std::filesystem::temp_directory_path() / "glade-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot make a directory");
  }
  return name;
}

std::vector<std::string> Command(const std::string& settings_file,
                                 int descriptors) {
  std::vector<std::string> command;
  if (descriptors > 0) {
    command = {"/bin/sh", "-c",
               absl::StrCat("ulimit -n ", descriptors, "; exec \"$@\""), "sh"};
  }
  for (const std::string& word : {ProgramPath(), std::string("gateway"),
                                  std::string("--settings"), settings_file}) {
    command.push_back(word);
  }
  return command;
}

void AwaitReturn(const std::string& response) {
  const std::string seconds = RawRequest{response, ""}.Field("Retry-After");
  if (!seconds.empty()) absl::SleepFor(absl::Seconds(std::stod(seconds)));
}

}  // namespace

GatewayProcess::GatewayProcess(Options options)
    : target(options.answer), directory(MakeDirectory()) {
  this->store.Put("op/config", this->Config(options).dump());
  this->PutTarget(options.models);
  int port = FirstTestPort();
  this->first_port = FreePorts(kListeners, port);
  this->WriteSettings(options.limits);
  this->process = std::make_unique<Process>(
      Command(this->directory + "/settings.json", options.descriptors),
      this->directory + "/log",
      options.log_is_read ? Process::Output::kLog : Process::Output::kPipe);
  const bool serves =
      WaitUntil([this] { return StatusOf(this->CallAsOrdinary()) == 200; });
  if (!serves) throw std::runtime_error("the gateway does not serve");
}

json GatewayProcess::Config(const Options& options) const {
  json service = {{"name", "s"}, {"max_connections", 1000}};
  service.update(options.service);
  json workspace = {{"name", "t1"}, {"api_keys", {"k1"}}};
  workspace.update(options.quota);
  json config = {
      {"version", 1},
      {"routes",
       {RouteConfig("any", "idempotent"), RouteConfig("once", "non_idempotent"),
        RouteConfig("stream", "streaming")}},
      {"services", {service}},
      {"tenants", {workspace}}};
  if (!options.caller_limits.empty()) config["limits"] = options.caller_limits;
  return config;
}

GatewayProcess::~GatewayProcess() {
  this->process.reset();
  std::error_code ignored;
  std::filesystem::remove_all(this->directory, ignored);
}

void GatewayProcess::WriteSettings(const json& limits) const {
  const auto address = [this](Listener listener) {
    return this->At(listener).ToString();
  };
  json settings = {{"instance", "one"},
                   {"zone", "z"},
                   {"first_start", true},
                   {"listen",
                    {{"callers", address(Listener::kCallers)},
                     {"readiness", address(Listener::kReadiness)},
                     {"directory", address(Listener::kDirectory)},
                     {"metrics", address(Listener::kMetrics)},
                     {"peers", address(Listener::kPeers)}}},
                   {"store", {{"address", this->store.Address().ToString()}}},
                   {"limits", {{"quiet_between_holders_ms", 10}}}};
  settings["limits"].update(limits);
  std::ofstream(this->directory + "/settings.json") << settings.dump();
}

void GatewayProcess::PutTarget(const json& models) {
  this->store.Put("servers/i-1", json{{"service", "s"},
                                      {"address", this->target.Address()},
                                      {"zone", "z"},
                                      {"slots", 1000},
                                      {"state", "ready"},
                                      {"born", 1},
                                      {"models", models}}
                                     .dump());
}

Endpoint GatewayProcess::At(Listener listener) const {
  return {"127.0.0.1", this->first_port + static_cast<int>(listener)};
}

std::vector<std::unique_ptr<RawCaller>> GatewayProcess::ConnectCrowd(
    int callers, Listener listener) const {
  std::vector<std::unique_ptr<RawCaller>> crowd;
  crowd.reserve(static_cast<std::size_t>(callers));
  for (int i = 0; i < callers; ++i) {
    crowd.push_back(std::make_unique<RawCaller>(this->At(listener)));
  }
  return crowd;
}

std::string GatewayProcess::Head(std::string_view method, std::string_view path,
                                 std::string_view key, std::string_view more) {
  this->calls += 1;
  return absl::StrCat(
      std::string(method), " ", std::string(path),
      " HTTP/1.1\r\nHost: h.example\r\nX-Dragonflyglade-Attempt-Id: r",
      this->calls, "\r\nAuthorization: Bearer ", std::string(key), "\r\n",
      std::string(more), "\r\n");
}

std::string GatewayProcess::CallAsOrdinary(std::size_t body_bytes) {
  const std::string length =
      absl::StrCat("Content-Length: ", body_bytes, "\r\n");
  std::string response;
  for (int i = 0; i < kTries; ++i) {
    AwaitReturn(response);
    RawCaller caller(this->At(Listener::kCallers));
    caller.Send(this->Head("POST", "/any/", "k1", length) +
                std::string(body_bytes, 'q'));
    response = caller.ReadResponse();
    if (StatusOf(response) == 200) return response;
  }
  return response;
}

std::string GatewayProcess::AskReadiness() {
  RawCaller caller(this->At(Listener::kReadiness));
  caller.Send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
  return caller.ReadResponse();
}

std::size_t GatewayProcess::PeakMemory() const {
  return PeakMemoryOf(this->process->Pid());
}

int GatewayProcess::OpenDescriptors() const {
  return OpenDescriptorsOf(this->process->Pid());
}

}  // namespace dragonflyglade
