#include "tests/soak/world.h"

#include <signal.h>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "absl/time/clock.h"
#include "tests/fleet/free_ports.h"
#include "tests/soak/connection.h"

namespace dragonflyglade::soak {
namespace {

using nlohmann::json;

constexpr int kTargets = 3;
constexpr int kPortsPerInstance = 5;
// The limits of a configuration version, as multiples of the lowest limits.
constexpr int kLimitFactors[] = {1, 3, 1, 2};
constexpr int kRouteTimeoutsMs[] = {3000, 2000, 2500};

std::string ResponseHead(const RawRequest& request, const std::string& status,
                         const std::string& extra_fields) {
  return "HTTP/1.1 " + status + "\r\nX-Dragonflyglade-Attempt-Id: " +
         request.Field("X-Dragonflyglade-Attempt-Id") + "\r\n" + extra_fields +
         "\r\n";
}

std::string CompleteResponse(const RawRequest& request,
                             const std::string& status, const std::string& body,
                             const std::string& extra_fields) {
  return ResponseHead(request, status,
                      extra_fields + "Content-Length: " +
                          std::to_string(body.size()) + "\r\n") +
         body;
}

constexpr const char* kSigned = "X-Dragonflyglade-Server-Signature: s\r\n";

constexpr const char* kNotExecuted = "X-Dragonflyglade-Not-Executed: 1\r\n";

// How long after a response another one follows that answers no request.
constexpr absl::Duration kExtraPauses[] = {
    absl::ZeroDuration(),    absl::Milliseconds(1),  absl::Milliseconds(5),
    absl::Milliseconds(20),  absl::Milliseconds(60), absl::Milliseconds(150),
    absl::Milliseconds(500),
};

// A response that does not say which request it answers.
std::string UnnamedResponse(const std::string& status,
                            const std::string& extra_fields) {
  return "HTTP/1.1 " + status + "\r\n" + extra_fields +
         "Content-Length: 0\r\n\r\n";
}

PlatformTargetStandIn::Script ResetConnection() {
  PlatformTargetStandIn::Script script;
  script.reset = true;
  return script;
}

std::string Chunk(const std::string& text) {
  char size[16];
  snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

std::string CorrectResponse(const RawRequest& request) {
  const std::string id = request.Field("X-Dragonflyglade-Attempt-Id");
  const std::string line = request.Line();
  if (line.find(" /once/") != std::string::npos ||
      line.find(" /any/") != std::string::npos) {
    return CompleteResponse(request, "200 OK",
                            BodyOf(id, RequestKind::kNonIdempotent), kSigned);
  }
  const std::string after = request.Field("Last-Event-Id");
  std::string bytes = ResponseHead(request, "200 OK",
                                   std::string(kSigned) +
                                       "Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n");
  const int first = after.empty() ? 1 : std::stoi(after) + 1;
  for (int i = first; i <= kEvents; ++i) bytes += Chunk(EventOf(id, i));
  return bytes + "0\r\n\r\n";
}

json Route(const std::string& name, const std::string& type, int attempts,
           bool resumable, int timeout_ms) {
  return {{"name", name},
          {"host", "soak.example"},
          {"prefix", "/" + name + "/"},
          {"type", type},
          {"timeout_ms", timeout_ms},
          {"target_latency_ms", 1000},
          {"service", "s"},
          {"max_attempts", attempts},
          {"resumable", resumable}};
}

}  // namespace

World::World(std::string program, std::string directory, unsigned seed,
             int instances, GuaranteeChecker& checker)
    : program(std::move(program)),
      directory(std::move(directory)),
      checker(checker),
      random(seed) {
  for (int i = 0; i < kTargets; ++i) {
    auto target = std::make_unique<Target>();
    Target* target_pointer = target.get();
    target->id = "i-" + std::to_string(i);
    target->stand_in = std::make_unique<PlatformTargetStandIn>(
        [this, target_pointer](const RawRequest& request) {
          return this->Respond(*target_pointer, request);
        });
    const Result<Endpoint> stand_in_endpoint =
        ParseEndpoint(target->stand_in->Address());
    target->proxy = std::make_unique<FaultyTcpProxy>(stand_in_endpoint.Value());
    target->address = target->proxy->Start();
    this->targets.push_back(std::move(target));
    this->PutTarget(i, "ready");
  }
  this->PutConfig();
  int port = FirstTestPort();
  for (int i = 0; i < instances; ++i) {
    auto instance = std::make_unique<Instance>();
    instance->name = "gateway-" + std::to_string(i);
    instance->first_port = FreePorts(kPortsPerInstance, port);
    instance->settings_file = this->directory + "/" + instance->name + ".json";
    instance->log_file = this->directory + "/" + instance->name + ".log";
    instance->store_proxy =
        std::make_unique<FaultyTcpProxy>(this->store.Address());
    instance->store = instance->store_proxy->Start();
    this->instances.push_back(std::move(instance));
    this->Start(i, true);
  }
}

World::~World() {
  for (int i = 0; i < this->Instances(); ++i) this->Kill(i);
}

void World::WriteSettings(const Instance& instance, bool first) {
  const auto address = [&](int offset) {
    return "127.0.0.1:" + std::to_string(instance.first_port + offset);
  };
  const json settings = {{"instance", instance.name},
                         {"zone", "z"},
                         {"first_start", first},
                         {"listen",
                          {{"callers", address(0)},
                           {"readiness", address(1)},
                           {"directory", address(2)},
                           {"metrics", address(3)},
                           {"peers", address(4)}}},
                         {"store", {{"address", instance.store.ToString()}}},
                         {"limits",
                          {{"lease_ttl_ms", 1000},
                           {"quiet_between_holders_ms", 500},
                           {"stop_within_s", 5},
                           {"retry_share", 1},
                           {"retry_slack", 500}}}};
  std::ofstream(instance.settings_file) << settings.dump();
}

void World::Start(int index, bool first) {
  Instance& instance = *this->instances[index];
  this->WriteSettings(instance, first);
  // Nobody reads the standard output of the first instance, as with a log
  // collector that hangs.
  const auto output =
      index == 0 ? Process::Output::kPipe : Process::Output::kLog;
  instance.process = std::make_unique<Process>(
      std::vector<std::string>{this->program, "gateway", "--settings",
                               instance.settings_file},
      instance.log_file, output);
  this->WaitUntilListening(instance);
  // An operator may send a signal as soon as the instance listens; a reload
  // must not terminate it.
  instance.process->Signal(SIGHUP);
  instance.ends += 1;
}

// Signals are sent only to a listening instance: one that comes before the
// process has installed its handlers terminates it, which is no fault.
void World::WaitUntilListening(const Instance& instance) const {
  constexpr absl::Duration kStartTimeout = absl::Seconds(10);
  const absl::Time deadline = absl::Now() + kStartTimeout;
  while (absl::Now() < deadline) {
    if (Connection(instance.Callers()).Open()) return;
    absl::SleepFor(absl::Milliseconds(5));
  }
  this->checker.AddViolation(instance.name + " did not listen after its start");
}

// Only signals that the soak test sends may end a process. Its last messages
// are in its log file, which also gets its standard error.
void World::CheckRunning(const Instance& instance) const {
  if (instance.process->Running()) return;
  this->checker.AddViolation(instance.name + " ended by itself, " +
                             instance.process->ExitDescription() + ", see " +
                             instance.log_file);
}

void World::Kill(int index) {
  Instance& instance = *this->instances[index];
  if (instance.process == nullptr) return;
  this->CheckRunning(instance);
  instance.ends += 1;
  instance.process->Signal(SIGKILL);
  instance.process->Wait();
  instance.process.reset();
}

void World::Restart(int index) {
  Instance& instance = *this->instances[index];
  const std::unique_ptr<Process>& process = instance.process;
  if (process == nullptr) return;
  this->CheckRunning(instance);
  instance.ends += 1;
  process->Signal(SIGCONT);
  process->Signal(SIGTERM);
  const int code = process->Wait();
  if (code != 0) {
    this->checker.AddViolation(
        instance.name + " was asked to stop and ended with " +
        process->ExitDescription() + ", see " + instance.log_file);
  }
  this->Start(index, false);
}

void World::Reload(int index) {
  this->instances[index]->process->Signal(SIGHUP);
}

void World::Pause(int index) {
  this->instances[index]->pauses += 1;
  this->instances[index]->process->Signal(SIGSTOP);
}

void World::Resume(int index) {
  this->instances[index]->process->Signal(SIGCONT);
  this->instances[index]->pauses += 1;
}

FaultCounts World::FaultCountsOf(int index) const {
  const Instance& instance = *this->instances[index];
  return {instance.ends, instance.pauses};
}

InstanceFault World::FaultSince(int index, const FaultCounts& before) const {
  const FaultCounts now = this->FaultCountsOf(index);
  const auto had_fault = [](int from, int to) {
    return from != to || to % 2 != 0;
  };
  if (had_fault(before.ends, now.ends)) return InstanceFault::kEnded;
  return had_fault(before.pauses, now.pauses) ? InstanceFault::kPaused
                                              : InstanceFault::kNone;
}

void World::PutTarget(int index, const std::string& state) {
  const Target& target = *this->targets[index];
  this->store.Put("servers/" + target.id,
                  json{{"service", "s"},
                       {"address", target.address.ToString()},
                       {"zone", "z"},
                       {"slots", 8},
                       {"state", state},
                       {"born", 1},
                       {"models", json::array()}}
                      .dump());
}

void World::RemoveTarget(int index) {
  this->store.Delete("servers/" + this->targets[index]->id);
}

void World::PutConfig() {
  absl::MutexLock lock(&this->config_mutex);
  this->version += 1;
  const auto version_index = static_cast<std::size_t>(this->version);
  const int timeout =
      kRouteTimeoutsMs[version_index % std::size(kRouteTimeoutsMs)];
  const int factor = kLimitFactors[version_index % std::size(kLimitFactors)];
  const std::string version_route = "v" + std::to_string(this->version);
  const json config = {
      {"version", this->version},
      {"routes",
       {Route("once", "non_idempotent", 1, false, timeout),
        Route("any", "idempotent", 3, false, timeout),
        Route("stream", "streaming", 1, false, timeout),
        Route("resumed", "streaming", 3, true, timeout),
        Route(version_route, "idempotent", 1, false, timeout)}},
      {"limits",
       {{"idle_timeout_ms",
         absl::ToInt64Milliseconds(factor * kMinIdleTimeout)},
        {"header_timeout_ms",
         absl::ToInt64Milliseconds(factor * kMinHeaderTimeout)}}},
      {"services", {{{"name", "s"}, {"max_connections", 60}}}},
      {"tenants", {{{"name", "t1"}, {"api_keys", {"secret-key-1"}}}}}};
  this->store.Put("op/config", config.dump());
}

double World::Draw() {
  absl::MutexLock lock(&this->mutex);
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

PlatformTargetStandIn::Script World::Respond(Target& target,
                                             const RawRequest& request) {
  PlatformTargetStandIn::Script script = this->RespondOnce(target, request);
  const bool goes_on = !script.close && !script.hang && !script.reset;
  if (goes_on && this->Draw() < target.extra_rate) {
    this->AddExtra(request, script);
  }
  return script;
}

// One to three copies of the response or of a refusal, some of which name no
// request, and some of which end within a head.
void World::AddExtra(const RawRequest& request,
                     PlatformTargetStandIn::Script& script) {
  const std::vector<std::string> extras = {
      script.bytes,
      CompleteResponse(request, "503 Full", "", kNotExecuted),
      UnnamedResponse("503 Full", kNotExecuted),
      UnnamedResponse("429 Full", kNotExecuted),
      UnnamedResponse("400 Bad Request", kNotExecuted),
      UnnamedResponse("421 Other", ""),
      UnnamedResponse("503 Unmarked", ""),
      UnnamedResponse("200 OK", kSigned),
  };
  absl::MutexLock lock(&this->mutex);
  const auto draw = [this](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      count - 1)(this->random);
  };
  const std::string& extra = extras[draw(extras.size())];
  const std::size_t copies = 1 + draw(3);
  for (std::size_t i = 0; i < copies; ++i) script.extra += extra;
  constexpr std::size_t kCutOneIn = 6;
  if (draw(kCutOneIn) == 0) script.extra.resize(draw(script.extra.size()));
  script.extra_pause = kExtraPauses[draw(std::size(kExtraPauses))];
}

PlatformTargetStandIn::Script World::RespondOnce(Target& target,
                                                 const RawRequest& request) {
  this->checker.RecordReached(request);
  const double fault_draw = this->Draw();
  const double fault_kind = this->Draw();
  if (request.Field("X-Dragonflyglade-Target-Instance") != target.id) {
    return {CompleteResponse(request, "421 Other", "", "")};
  }
  const bool correct = fault_draw >= target.failure_rate;
  const bool declines = this->Draw() < target.decline_rate;
  if (declines || (!correct && fault_kind < 0.25)) {
    return {CompleteResponse(request, "503 Full", "", kNotExecuted)};
  }
  this->checker.RecordRun(request);
  const std::string bytes = CorrectResponse(request);
  if (correct) return {bytes};
  if (fault_kind < 0.35) return {"", true};
  if (fault_kind < 0.4) return ResetConnection();
  if (fault_kind < 0.55) return {bytes.substr(0, bytes.size() - 3), true};
  if (fault_kind < 0.7)
    return {CompleteResponse(request, "500 Failed", "no", kSigned)};
  if (fault_kind < 0.8)
    return {CompleteResponse(request, "503 Unmarked", "", kSigned)};
  if (fault_kind < 0.9) return {"", false, true};
  return {bytes + CompleteResponse(request, "200 OK", "second", kSigned)};
}

}  // namespace dragonflyglade::soak
