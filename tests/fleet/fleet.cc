#include "tests/fleet/fleet.h"

#include <fmt/format.h>
#include <signal.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "absl/time/clock.h"
#include "dragonflyglade/net/http_call.h"
#include "dragonflyglade/operator/status_server.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr absl::Duration kPollInterval = absl::Milliseconds(20);
constexpr const char* kEnginePool = "drafting";
constexpr const char* kLedgerPool = "ledger";
constexpr std::int64_t kModelBytes = 300'000;

std::string MakeFolder() {
  std::string name = std::filesystem::temp_directory_path() / "glade-XXXXXX";
  if (mkdtemp(name.data()) == nullptr)
    throw std::runtime_error("cannot create a temporary folder");
  return name;
}

json Record(const char* kind, int schema, const char* name, json value) {
  return {{"kind", kind},
          {"schema", schema},
          {"name", name},
          {"value", std::move(value)}};
}

// The configuration records that every test starts with.
json BaseRecords(const FleetOptions& options) {
  const json routes = json::array(
      {{{"method", "GET"}, {"path", "/balance/*"}, {"repeatable", true}},
       {{"method", "POST"}, {"path", "/payouts"}, {"repeatable", false}}});
  const json rate = {{"tokens_per_second", options.rate},
                     {"burst_tokens", options.burst}};
  return json::array(
      {Record("pool", 1, kEnginePool,
              {{"kind", "engine"},
               {"memory_bytes", options.engine.memory_bytes},
               {"fenced", options.engine.fenced}}),
       Record("pool", 1, kLedgerPool, {{"kind", "service"}}),
       Record("model", 1, "letters",
              {{"pool", kEnginePool},
               {"version", "1"},
               {"bytes", kModelBytes},
               {"max_output_tokens", 50}}),
       Record("placement", 1, "letters", {{"copies", options.engines}}),
       Record("service", 1, "ledger",
              {{"pool", kLedgerPool},
               {"class", "urgent"},
               {"cost_tokens", 10},
               {"routes", routes}}),
       Record("workspace", 1, "gallery", json::object()),
       Record("workspace", 1, "finance", json::object()),
       Record("rate", 1, "gallery", rate), Record("rate", 1, "finance", rate)});
}

}  // namespace

std::string ProgramPath() {
  const char* path = std::getenv("DRAGONFLYGLADE_PROGRAM");
  if (path == nullptr) {
    throw std::runtime_error("DRAGONFLYGLADE_PROGRAM is not set");
  }
  return path;
}

bool WaitUntil(const std::function<bool()>& condition, absl::Duration limit) {
  const absl::Time deadline = absl::Now() + limit;
  while (!condition()) {
    if (absl::Now() > deadline) return false;
    absl::SleepFor(kPollInterval);
  }
  return true;
}

Fleet::Fleet(FleetOptions options) : options(options), folder(MakeFolder()) {
  this->kv_endpoint = this->kv.Start();
  this->list_endpoint = this->list.Start();
  KvOptions kv_options;
  kv_options.endpoints = {this->kv_endpoint};
  this->kv_client = std::make_unique<KvClient>(kv_options);
  for (int i = 1; i <= options.engines; ++i) {
    this->engines.push_back(std::make_unique<EngineStandIn>(options.engine));
    if (options.preloaded_bytes > 0) {
      this->engines.back()->Preload("unknown", options.preloaded_bytes);
    }
    this->AddTarget(fmt::format("engine-{}", i), kEnginePool,
                    this->engines.back()->Start());
  }
  for (int i = 1; i <= options.ledgers; ++i) {
    this->ledgers.push_back(std::make_unique<LedgerStandIn>());
    this->AddTarget(fmt::format("ledger-{}", i), kLedgerPool,
                    this->ledgers.back()->Start());
  }
  this->Apply(BaseRecords(options).dump());
  for (int i = 1; i <= options.instances; ++i) this->StartInstance(i);
}

Fleet::~Fleet() {
  this->processes.clear();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

std::string Fleet::NameOf(int number) const {
  return fmt::format("entry-{}", number);
}

void Fleet::AddTarget(const std::string& name, const std::string& pool,
                      const Endpoint& at) {
  auto proxy = std::make_unique<FaultyTcpProxy>(at);
  const Endpoint proxy_endpoint = proxy->Start();
  this->target_links[name] = std::move(proxy);
  this->list.PutTarget(ListedTarget{name, proxy_endpoint.address,
                                    proxy_endpoint.port, "zone-a", pool,
                                    false});
}

std::string Fleet::WriteSettings(int number, const Endpoint& kv_endpoint) {
  const json listen = {{"address", "127.0.0.1"}, {"port", 0}};
  json settings = {
      {"name", this->NameOf(number)},
      {"availability_zone", number % 2 == 0 ? "zone-b" : "zone-a"},
      {"listen", {{"caller", listen}, {"peer", listen}, {"operator", listen}}},
      {"kv", {{"endpoints", {kv_endpoint.ToString()}}}},
      {"lists", {{"endpoint", this->list_endpoint.ToString()}}},
      {"limits", {{"threads", 64}}},
      {"timeouts",
       {{"kv_ms", 500},
        {"kv_watch_silence_ms", 2000},
        {"suspicion_ms", 600},
        {"config_fresh_ms", this->options.fresh_bound_ms},
        {"target_read_ms", 1500},
        {"ejection_ms", 500},
        {"slow_return_ms", 500},
        {"answer_keep_s", this->options.keep_seconds},
        {"drain_s", 60}}},
      {"periods",
       {{"heartbeat_ms", 50},
        {"config_reread_ms", 200},
        {"lists_ms", 100},
        {"reports_ms", 100},
        {"allotments_ms", 100}}},
      {"placement",
       {{"period_ms", 100},
        {"lease_ms", 2000},
        {"settle_ms", 1500},
        {"loads_per_second", 50}}},
      {"log", {{"level", "debug"}}}};
  if (this->options.default_periods) settings.erase("periods");
  const std::string path =
      fmt::format("{}/settings-{}.json", this->folder, number);
  std::ofstream(path) << settings.dump(2);
  return path;
}

void Fleet::StartInstance(int number) {
  auto proxy = std::make_unique<FaultyTcpProxy>(this->kv_endpoint);
  const Endpoint proxy_endpoint = proxy->Start();
  this->kv_links[number] = std::move(proxy);
  auto process = std::make_unique<Process>(
      std::vector<std::string>{ProgramPath(), "serve", "--settings",
                               this->WriteSettings(number, proxy_endpoint)},
      fmt::format("{}/instance-{}.log", this->folder, number));
  const std::string line = process->ReadLine();
  Ports bound_ports;
  if (std::sscanf(line.c_str(), "serving callers=%d peers=%d operators=%d",
                  &bound_ports.caller, &bound_ports.peer,
                  &bound_ports.operators) != 3) {
    throw std::runtime_error("instance did not start: " + line);
  }
  this->ports[number] = bound_ports;
  this->processes[number] = std::move(process);
  ListedInstance listed;
  listed.info =
      MemberInfo{this->NameOf(number), "127.0.0.1", bound_ports.peer,
                 bound_ports.caller, number % 2 == 0 ? "zone-b" : "zone-a"};
  this->list.PutInstance(listed);
}

void Fleet::WaitReady() {
  const auto is_ready = [this](int number) {
    const json status = this->Status(number);
    if (!status.is_object()) return false;
    std::size_t alive = 0;
    for (const json& member : status.at("members")) {
      if (member.at("state") == "alive") ++alive;
    }
    if (alive < this->Running().size()) return false;
    for (const json& workspace : status.at("workspaces")) {
      if (workspace.at("holders").empty()) return false;
    }
    std::size_t loaded = 0;
    for (const json& target : status.at("targets")) {
      if (target.at("resident").dump().find("letters") != std::string::npos) {
        ++loaded;
      }
    }
    return status.at("workspaces").size() >= 2 &&
           loaded >= this->engines.size();
  };
  for (const int number : this->Running()) {
    if (!WaitUntil([&] { return is_ready(number); })) {
      throw std::runtime_error("instance did not become ready: " +
                               this->Status(number).dump(2));
    }
  }
}

Process& Fleet::Instance(int number) { return *this->processes.at(number); }

void Fleet::Kill(int number) {
  this->Instance(number).Signal(SIGKILL);
  this->Instance(number).Wait();
}

void Fleet::Unlist(int number) {
  this->list.RemoveInstance(this->NameOf(number));
}

Endpoint Fleet::CallerEndpoint(int number) const {
  return Endpoint{"127.0.0.1", this->ports.at(number).caller};
}

std::vector<int> Fleet::Running() {
  std::vector<int> running;
  for (auto& [number, process] : this->processes) {
    if (process->Running()) running.push_back(number);
  }
  return running;
}

json Fleet::Status(int number) const {
  const Result<json> status =
      FetchStatus(Endpoint{"127.0.0.1", this->ports.at(number).operators});
  return status.Ok() ? status.Value() : json();
}

CallerKey Fleet::Grant(const std::string& workspace) {
  ConfigEditor editor(*this->kv_client, "tester");
  const Result<GrantedKey> granted = editor.GrantKey(workspace);
  if (!granted.Ok()) throw std::runtime_error(granted.Error().ToString());
  return granted.Value().key;
}

void Fleet::Withdraw(const CallerKey& key) {
  ConfigEditor editor(*this->kv_client, "tester");
  const Result<std::int64_t> result = editor.WithdrawKey(key.id);
  if (!result.Ok()) throw std::runtime_error(result.Error().ToString());
}

void Fleet::Apply(const std::string& records) {
  const auto drafts = ParseDrafts(records);
  if (!drafts.Ok()) throw std::runtime_error(drafts.Error().ToString());
  ConfigEditor editor(*this->kv_client, "tester");
  const auto result = editor.Apply(drafts.Value(), "config apply");
  if (!result.Ok()) throw std::runtime_error(result.Error().ToString());
}

std::string Fleet::Logs() const {
  std::ostringstream all;
  for (const auto& entry : std::filesystem::directory_iterator(this->folder)) {
    if (entry.path().extension() != ".log") continue;
    all << std::ifstream(entry.path()).rdbuf();
  }
  return all.str();
}

std::string Fleet::KvText() const {
  std::string all;
  for (const KvEntry& entry : this->kv.Entries("")) {
    all += entry.key + "\n" + entry.value + "\n";
  }
  return all;
}

void Fleet::AddPeakMemoryEvents(std::vector<HistoryEvent>& events) const {
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    events.emplace_back(MemoryEvent{fmt::format("engine-{}", i + 1),
                                    this->engines[i]->PeakMemoryBytes(),
                                    this->options.engine.memory_bytes});
  }
}

std::string Fleet::ReceivedRequests() const {
  std::string all;
  for (const auto& engine : this->engines) all += engine->ReceivedRequests();
  for (const auto& ledger : this->ledgers) all += ledger->ReceivedRequests();
  return all;
}

}  // namespace dragonflyglade
