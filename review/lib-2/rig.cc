#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

namespace rig {

using nlohmann::json;

#include "names.inc"

namespace {

using SteadyClock = std::chrono::steady_clock;
const SteadyClock::time_point kStart = SteadyClock::now();

std::mt19937& Random() {
  thread_local std::mt19937 random{std::random_device{}()};
  return random;
}

bool Equal(const std::string& one, const std::string& other) {
  return one.size() == other.size() &&
         strcasecmp(one.c_str(), other.c_str()) == 0;
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Encode64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t left = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8;
      if (k < left) group |= static_cast<unsigned char>(bytes[i + k]);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += k <= left ? kDigits[(group >> (18 - 6 * k)) & 63] : '=';
    }
  }
  return text;
}

std::string Decode64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char digit : text) {
    int value = -1;
    if (digit >= 'A' && digit <= 'Z') value = digit - 'A';
    if (digit >= 'a' && digit <= 'z') value = digit - 'a' + 26;
    if (digit >= '0' && digit <= '9') value = digit - '0' + 52;
    if (digit == '+') value = 62;
    if (digit == '/') value = 63;
    if (value < 0) continue;
    group = group << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>(group >> bits & 255);
  }
  return bytes;
}

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string ReasonOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 404:
      return "Not Found";
    case 412:
      return "Precondition Failed";
    default:
      return "Status";
  }
}

// The gateways that run; they end with the script, also if it is ended.
constexpr int kMaxProcesses = 64;
std::atomic<pid_t> processes[kMaxProcesses];

void EndAll() {
  for (std::atomic<pid_t>& process : processes) {
    const pid_t pid = process.exchange(0);
    if (pid > 0) kill(pid, SIGKILL);
  }
}

void EndBySignal(int) {
  EndAll();
  _exit(kCouldNotRun);
}

// A script runs for 120 seconds at most.
void WatchOnce() {
  static std::once_flag once;
  std::call_once(once, [] {
    signal(SIGTERM, EndBySignal);
    signal(SIGINT, EndBySignal);
    std::thread([] {
      SleepFor(117 - Now());
      EndBySignal(0);
    }).detach();
  });
}

void Remember(pid_t pid) {
  for (std::atomic<pid_t>& process : processes) {
    pid_t none = 0;
    if (process.compare_exchange_strong(none, pid)) return;
  }
}

void Forget(pid_t pid) {
  for (std::atomic<pid_t>& process : processes) {
    pid_t known = pid;
    if (process.compare_exchange_strong(known, 0)) return;
  }
}

std::string TemporaryFolder() {
  const char* folder = std::getenv("TMPDIR");
  return folder == nullptr ? "/tmp" : folder;
}

int Listen(const std::string& ip, std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in self{};
  self.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &self.sin_addr);
  socklen_t size = sizeof self;
  if (bind(fd, reinterpret_cast<sockaddr*>(&self), sizeof self) != 0 ||
      listen(fd, 512) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&self), &size) != 0) {
    std::perror("listen");
    std::exit(kCouldNotRun);
  }
  address = ip + ":" + std::to_string(ntohs(self.sin_port));
  return fd;
}

sockaddr_in ParseAddress(const std::string& address) {
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  const std::size_t colon = address.rfind(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
  peer.sin_port = htons(static_cast<std::uint16_t>(
      std::strtol(address.c_str() + colon + 1, nullptr, 10)));
  return peer;
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(SteadyClock::now() - kStart).count();
}

void SleepFor(double seconds) {
  if (seconds <= 0) return;
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void Record(const std::string& line) {
  static std::mutex mutex;
  static std::FILE* file = std::fopen("record.txt", "w");
  const std::lock_guard<std::mutex> lock(mutex);
  if (file == nullptr) return;
  std::fprintf(file, "%8.3f %s\n", Now(), line.c_str());
  std::fflush(file);
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

bool WaitUntil(const std::function<bool()>& holds, double seconds) {
  const double until = Now() + seconds;
  while (!holds()) {
    if (Now() >= until) return false;
    SleepFor(0.02);
  }
  return true;
}

int RandomBelow(int limit) {
  return std::uniform_int_distribution<int>(0, limit - 1)(Random());
}

double RandomPart() {
  return std::uniform_real_distribution<double>(0, 1)(Random());
}

std::string Message::Field(const std::string& name) const {
  for (const auto& [known, value] : this->fields) {
    if (Equal(known, name)) return value;
  }
  return "";
}

std::string Message::Method() const {
  return this->first.substr(0, this->first.find(' '));
}

std::string Message::Path() const {
  const std::size_t begin = this->first.find(' ') + 1;
  const std::string target =
      this->first.substr(begin, this->first.find(' ', begin) - begin);
  return target.substr(0, target.find('?'));
}

std::string Message::Query(const std::string& name) const {
  const std::size_t mark = this->first.find('?');
  if (mark == std::string::npos) return "";
  std::stringstream query(
      this->first.substr(mark + 1, this->first.rfind(' ') - mark - 1));
  std::string item;
  while (std::getline(query, item, '&')) {
    if (item.substr(0, item.find('=')) != name) continue;
    return DecodePercent(item.substr(item.find('=') + 1));
  }
  return "";
}

int Message::Status() const {
  if (this->first.size() < 12 || this->first.substr(0, 7) != "HTTP/1.")
    return 0;
  return static_cast<int>(
      std::strtol(this->first.substr(9, 3).c_str(), nullptr, 10));
}

Wire::~Wire() { close(this->fd); }

std::shared_ptr<Wire> Wire::Connect(const std::string& address,
                                    double seconds) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto wire = std::make_shared<Wire>(fd);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  const sockaddr_in peer = ParseAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0 &&
      errno != EINPROGRESS) {
    return nullptr;
  }
  pollfd ready{fd, POLLOUT, 0};
  if (poll(&ready, 1, static_cast<int>(seconds * 1000)) <= 0) return nullptr;
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return nullptr;
  fcntl(fd, F_SETFL, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return wire;
}

bool Wire::Write(const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(this->fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Wire::Fill(double until) {
  const double left = until - Now();
  if (left <= 0) return false;
  pollfd ready{this->fd, POLLIN, 0};
  if (poll(&ready, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
  char bytes[16384];
  const ssize_t count = recv(this->fd, bytes, sizeof bytes, 0);
  if (count <= 0) return false;
  this->buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool Wire::ReadLine(std::string& line, double until) {
  std::size_t end = this->buffer.find('\n');
  while (end == std::string::npos) {
    if (!this->Fill(until)) return false;
    end = this->buffer.find('\n');
  }
  line = this->buffer.substr(0, end);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  this->buffer.erase(0, end + 1);
  return true;
}

bool Wire::ReadBytes(std::size_t count, std::string& bytes, double until) {
  while (this->buffer.size() < count) {
    if (!this->Fill(until)) return false;
  }
  bytes.append(this->buffer, 0, count);
  this->buffer.erase(0, count);
  return true;
}

bool Wire::ReadHead(Message& message, double until) {
  message = Message();
  if (!this->ReadLine(message.first, until)) return false;
  std::string line;
  while (this->ReadLine(line, until)) {
    if (line.empty()) return true;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    message.fields.emplace_back(line.substr(0, colon), line.substr(value));
  }
  return false;
}

bool Wire::ReadRequest(Message& message, double until) {
  if (!this->ReadHead(message, until)) return false;
  const std::string length = message.Field("Content-Length");
  const std::size_t size =
      length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
  message.is_whole = this->ReadBytes(size, message.body, until);
  return message.is_whole;
}

bool Wire::ReadResponse(Message& message, double until, bool head_only) {
  if (!this->ReadHead(message, until)) return false;
  if (head_only) return message.is_whole = true;
  if (message.Field("Transfer-Encoding").empty()) {
    const std::string length = message.Field("Content-Length");
    const std::size_t size =
        length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    message.is_whole = this->ReadBytes(size, message.body, until);
    return message.is_whole;
  }
  std::string line;
  while (this->ReadLine(line, until)) {
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (!this->ReadBytes(size, message.body, until)) return false;
    if (!this->ReadLine(line, until)) return false;
    if (size == 0) return message.is_whole = true;
  }
  return false;
}

bool Wire::IsClosedByPeer() {
  char byte = 0;
  const ssize_t count = recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string Wire::Unread(double seconds) {
  const double until = Now() + seconds;
  while (Now() < until && this->Fill(until)) {
  }
  std::string bytes;
  bytes.swap(this->buffer);
  return bytes;
}

void Wire::Shutdown() { shutdown(this->fd, SHUT_RDWR); }

void Wire::Reset() {
  const linger now{1, 0};
  setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

Server::Server(const std::string& ip, Handler handler)
    : handler(std::move(handler)) {
  this->listener = Listen(ip, this->address);
  this->accept_thread = std::thread([this] { this->Accept(); });
}

void Server::Accept() {
  while (true) {
    const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (this->stopping) {
      if (fd >= 0) close(fd);
      return;
    }
    if (fd < 0) continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto wire = std::make_shared<Wire>(fd);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->wires.push_back(wire);
    this->threads.emplace_back([this, wire = std::move(wire)]() mutable {
      this->handler(*wire);
      wire->Shutdown();
      wire.reset();
    });
  }
}

void Server::Stop() {
  if (this->stopping.exchange(true)) return;
  shutdown(this->listener, SHUT_RDWR);
  this->accept_thread.join();
  close(this->listener);
  std::vector<std::thread> ending;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& each : this->wires) {
      const std::shared_ptr<Wire> wire = each.lock();
      if (wire != nullptr) wire->Shutdown();
    }
    ending.swap(this->threads);
  }
  for (std::thread& thread : ending) {
    if (thread.get_id() == std::this_thread::get_id()) {
      thread.detach();
    } else {
      thread.join();
    }
  }
}

Store::Store() {
  this->server = std::make_unique<Server>(
      "127.0.0.1", [this](Wire& wire) { this->Serve(wire); });
}

json Store::Encode(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", Encode64(item.value)},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

void Store::PutLocked(const std::string& key, const std::string& value,
                      std::uint64_t lease) {
  Item& item = this->items[key];
  if (item.created == 0) item.created = this->revision;
  item.value = value;
  item.revision = this->revision;
  item.lease = lease;
  this->changes.push_back({key, item, false});
}

void Store::DeleteLocked(const std::string& key) {
  if (this->items.erase(key) == 0) return;
  Item item;
  item.revision = this->revision;
  this->changes.push_back({key, item, true});
}

void Store::ExpireLocked() {
  for (auto lease = this->leases.begin(); lease != this->leases.end();) {
    if (lease->second.end > Now()) {
      ++lease;
      continue;
    }
    const std::uint64_t ended = lease->first;
    lease = this->leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == ended) keys.push_back(key);
    }
    if (keys.empty()) continue;
    this->revision += 1;
    for (const std::string& key : keys) this->DeleteLocked(key);
  }
}

void Store::Put(const std::string& key, const std::string& value,
                std::uint64_t lease) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->revision += 1;
  this->PutLocked(key, value, lease);
}

void Store::Delete(const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->revision += 1;
  this->DeleteLocked(key);
}

std::string Store::Get(const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->items.find(key);
  return found == this->items.end() ? "" : found->second.value;
}

std::vector<std::string> Store::Keys(const std::string& prefix) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> keys;
  for (const auto& [key, item] : this->items) {
    if (key.compare(0, prefix.size(), prefix) == 0) keys.push_back(key);
  }
  return keys;
}

std::pair<int, std::string> Store::Transact(const json& call) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->ExpireLocked();
  json current = json::array();
  bool holds = true;
  for (const json& row : call.value("expected", json::array())) {
    const std::string key = row.at("key");
    const auto found = this->items.find(key);
    const std::uint64_t known =
        found == this->items.end() ? 0 : found->second.revision;
    holds = holds && known == row.at("revision").get<std::uint64_t>();
    if (found != this->items.end())
      current.push_back(Encode(key, found->second));
  }
  if (!holds) return {412, json{{"items", current}}.dump()};
  const json puts = call.value("puts", json::array());
  for (const json& put : puts) {
    const std::uint64_t lease = put.value("lease", std::uint64_t{0});
    if (lease != 0 && this->leases.count(lease) == 0) return {404, "{}"};
  }
  this->revision += 1;
  for (const json& put : puts) {
    this->PutLocked(put.at("key"), Decode64(put.at("value")),
                    put.value("lease", std::uint64_t{0}));
  }
  for (const json& key : call.value("deletes", json::array())) {
    this->DeleteLocked(key);
  }
  return {200, json{{"revision", this->revision}}.dump()};
}

std::pair<int, std::string> Store::Watch(const Message& request) {
  const std::string prefix = request.Query("prefix");
  const std::uint64_t after =
      std::strtoull(request.Query("after").c_str(), nullptr, 10);
  const double until =
      Now() + std::strtod(request.Query("wait_ms").c_str(), nullptr) / 1000;
  while (true) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->ExpireLocked();
      json events = json::array();
      const auto first =
          std::upper_bound(this->changes.begin(), this->changes.end(), after,
                           [](std::uint64_t revision, const Change& change) {
                             return revision < change.item.revision;
                           });
      for (auto change = first; change != this->changes.end(); ++change) {
        if (change->key.compare(0, prefix.size(), prefix) != 0) continue;
        if (change->deleted) {
          events.push_back({{"key", change->key},
                            {"revision", change->item.revision},
                            {"deleted", true}});
        } else {
          events.push_back(Encode(change->key, change->item));
        }
      }
      if (!events.empty() || Now() >= until) {
        return {
            200,
            json{{"events", events}, {"current_rev", this->revision}}.dump()};
      }
    }
    SleepFor(0.003);
  }
}

std::pair<int, std::string> Store::Answer(const Message& request) {
  const std::string path = request.Path();
  if (path == kWatchPath) return this->Watch(request);
  if (path == kTxnPath) return this->Transact(json::parse(request.body));
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->ExpireLocked();
  if (path == kRangePath) {
    const std::string prefix = request.Query("prefix");
    const std::string after = request.Query("after");
    json listed = json::array();
    bool truncated = false;
    for (const auto& [key, item] : this->items) {
      if (key.compare(0, prefix.size(), prefix) != 0 || key <= after) continue;
      truncated = listed.size() >= 500;
      if (truncated) break;
      listed.push_back(Encode(key, item));
    }
    return {200, json{{"items", listed},
                      {"truncated", truncated},
                      {"current_rev", this->revision}}
                     .dump()};
  }
  if (path == kKeyPath) {
    const auto found = this->items.find(request.Query("key"));
    if (found == this->items.end()) return {404, "{}"};
    json item = Encode(found->first, found->second);
    item["current_rev"] = this->revision;
    return {200, item.dump()};
  }
  if (path == kLeasePath) {
    const double ttl_ms =
        std::max(1000.0, json::parse(request.body).at("ttl_ms").get<double>());
    this->leases[++this->last_lease] = {ttl_ms / 1000, Now() + ttl_ms / 1000};
    return {200, json{{"lease", this->last_lease},
                      {"ttl_ms", static_cast<std::int64_t>(ttl_ms)}}
                     .dump()};
  }
  const std::string number = path.substr(path.rfind('/') + 1);
  const auto lease =
      this->leases.find(std::strtoull(number.c_str(), nullptr, 10));
  if (lease == this->leases.end()) return {404, "{}"};
  if (path.compare(0, std::strlen(kKeepPath), kKeepPath) == 0) {
    lease->second.end = Now() + lease->second.ttl_s;
    return {200, json{{"lease", lease->first},
                      {"ttl_ms",
                       static_cast<std::int64_t>(lease->second.ttl_s * 1000)}}
                     .dump()};
  }
  if (path.compare(0, std::strlen(kLeaseEndPath), kLeaseEndPath) == 0) {
    lease->second.end = 0;
    this->ExpireLocked();
    return {200, json{{"lease", 0}, {"ttl_ms", 0}}.dump()};
  }
  return {404, "{}"};
}

void Store::Serve(Wire& wire) {
  Message request;
  while (wire.ReadRequest(request, Now() + 3600)) {
    const auto [status, body] = this->Answer(request);
    const std::string head =
        "HTTP/1.1 " + std::to_string(status) + " " + ReasonOf(status) +
        "\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n";
    if (!wire.Write(head + body)) return;
  }
}

Replica::Replica(Store& store, Spec spec, Handler handler)
    : store(store), spec(std::move(spec)), handler(std::move(handler)) {
  this->Start();
  this->life = std::thread([this] { this->Live(); });
}

Replica::~Replica() {
  this->ending = true;
  this->life.join();
  this->up = false;
  this->server->Stop();
}

std::string Replica::Id() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->id;
}

void Replica::Start() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->id = "i-" + NewId().substr(0, 8);
    this->born = UnixMs();
    this->server = std::make_unique<Server>(
        this->spec.ip, [this](Wire& wire) { this->Serve(wire); });
  }
  this->up = true;
  this->Register();
  Record("replica " + this->Id() + " (" + this->spec.version + ") starts at " +
         this->server->Address());
}

void Replica::Register() {
  json models = json::array();
  for (const std::string& model : this->spec.models) {
    models.push_back(
        {{"name", model}, {"version", 1}, {"adapters", json::array()}});
  }
  this->beats += 1;
  this->last_beat = Now();
  this->store.Put(kServersPrefix + this->Id(),
                  json{{"service", this->spec.service},
                       {"address", this->server->Address()},
                       {"zone", this->spec.zone},
                       {"version", this->spec.version},
                       {"slots", this->spec.slots},
                       {"state", "ready"},
                       {"cold_remaining_ms", 0},
                       {"stage", "prefill_decode"},
                       {"models", models},
                       {"born", this->born},
                       {"sequence", this->beats}}
                      .dump());
}

// The platform removes the entry after three heartbeats of silence.
void Replica::Live() {
  constexpr double kHeartbeat = 1.2;
  while (!this->ending) {
    SleepFor(0.002);
    if (this->up) {
      if (Now() - this->last_beat >= kHeartbeat) this->Register();
      continue;
    }
    this->server->Stop();
    const std::string key = kServersPrefix + this->Id();
    const bool is_back = Now() >= this->back_at;
    if (is_back || Now() - this->last_beat >= 3 * kHeartbeat) {
      if (!this->store.Get(key).empty()) this->store.Delete(key);
    }
    if (is_back) this->Start();
  }
}

// The thread of its life closes what the process had open.
void Replica::Crash(double back_after_s) {
  this->back_at = Now() + back_after_s;
  if (!this->up.exchange(false)) return;
  Record("replica " + this->Id() + " crashes");
}

std::string Replica::Head(const Message& request,
                          const std::string& status) const {
  return "HTTP/1.1 " + status + "\r\n" + kAttemptId + ": " +
         request.Field(kAttemptId) + "\r\n";
}

bool Replica::AnswerWhole(Wire& wire, const Message& request,
                          const std::string& status, const std::string& body,
                          const std::string& more) const {
  const std::string sent = request.Method() == "HEAD" ? "" : body;
  return wire.Write(this->Head(request, status) + kSignature + ": s." +
                    this->Id() + "\r\n" + more + "Content-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + sent);
}

int Replica::Stream(Wire& wire, const Message& request, int first, int last,
                    double first_pause, double pause) const {
  const auto send = [&](const std::string& bytes) {
    std::ostringstream chunk;
    chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return wire.Write(chunk.str());
  };
  SleepFor(first_pause);
  if (wire.IsClosedByPeer() || !this->up) return 0;
  const std::string head = this->Head(request, "200 OK") + kSignature + ": s." +
                           this->Id() +
                           "\r\nContent-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  if (!wire.Write(head)) return 0;
  for (int event = first; event <= last; ++event) {
    if (event > first) SleepFor(pause);
    if (wire.IsClosedByPeer() || !this->up) return event - 1;
    if (!send("id: " + std::to_string(event) + "\ndata: " + this->spec.version +
              "\n\n")) {
      return event - 1;
    }
  }
  wire.Write("0\r\n\r\n");
  return last;
}

bool Replica::ServeInternal(Wire& wire, const Message& request) {
  const auto answer = [&](const std::string& status, const std::string& body) {
    wire.Write("HTTP/1.1 " + status +
               "\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
  };
  const std::string target = request.Field(kTarget);
  if (!target.empty() && target != this->Id()) {
    wire.Write(std::string("HTTP/1.1 421 Misdirected Request\r\n") +
               kAttemptId + ": " + request.Field(kAttemptId) + "\r\n" +
               kInstanceId + ": " + this->Id() +
               "\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
  if (request.Path() == kReportPath) {
    json models = json::array();
    for (const std::string& model : this->spec.models) {
      models.push_back(
          {{"name", model}, {"version", 1}, {"adapters", json::array()}});
    }
    answer("200 OK", json{{"stage", "prefill_decode"},
                          {"models", models},
                          {"busy", false},
                          {"sequence", 0},
                          {"waiting", 0},
                          {"running", 0},
                          {"kv_used", 0},
                          {"kv_total", 232000},
                          {"handles", 0},
                          {"born", this->born}}
                         .dump());
    return true;
  }
  if (request.Path() == kOrderPath) {
    Record("order to " + this->Id() + ": " + request.body);
    answer("409 Conflict", "{}");
    return true;
  }
  if (request.Field(kAttemptId).empty()) {
    wire.Write(std::string("HTTP/1.1 400 Bad Request\r\n") + kNotExecuted +
               ": 1\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
  return false;
}

void Replica::Serve(Wire& wire) {
  Message request;
  while (wire.ReadRequest(request, Now() + 3600)) {
    if (!this->up) return;
    if (this->ServeInternal(wire, request)) continue;
    this->handler(*this, wire, request);
  }
}

Gateway::Gateway(const Store& store, const std::string& name,
                 const std::string& zone, const std::string& ip,
                 bool first_start)
    : store_address(store.Address()),
      name(name),
      zone(zone),
      ip(ip),
      first_start(first_start) {
  std::vector<int> held;
  for (int i = 0; i < 5; ++i) {
    std::string address;
    held.push_back(Listen(ip, address));
    this->ports.push_back(address.substr(address.rfind(':') + 1));
  }
  for (const int fd : held) close(fd);
  std::string made = TemporaryFolder() + "/review-XXXXXX";
  if (mkdtemp(made.data()) == nullptr) std::exit(kCouldNotRun);
  this->directory = made;
}

Gateway::~Gateway() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    this->Reap();
  }
  std::remove((this->directory + "/settings.json").c_str());
  rmdir(this->directory.c_str());
}

// As the platform fills the template in, for a machine of a small deployment.
void Gateway::WriteSettings(bool first) const {
  const auto at = [this](int index) {
    return this->ip + ":" + this->ports[static_cast<std::size_t>(index)];
  };
  const json settings = {
      {"instance", this->name},
      {"zone", this->zone},
      {"first_start", first},
      {"listen",
       {{"callers", at(0)},
        {"readiness", at(1)},
        {"directory", at(2)},
        {"metrics", at(3)},
        {"peers", at(4)}}},
      {"machine",
       {{"cores", 0.25}, {"descriptors", 4100}, {"link_mbps", 1000.0}}},
      {"store", {{"address", this->store_address}}},
      {"limits",
       {{"quiet_between_holders_ms", 3000},
        {"stop_within_s", 8},
        {"config_bound_ms", 2000},
        {"quota_window_s", 8},
        {"quota_overage", 0.1},
        {"quota_slack", 110000},
        {"retry_share", 0.2},
        {"retry_slack", 54},
        {"load_window_s", 5},
        {"load_overage", 1.1}}}};
  std::ofstream(this->directory + "/settings.json") << settings.dump();
}

void Gateway::Start() {
  this->WriteSettings(this->first_start);
  this->first_start = false;
  const char* program = std::getenv("PROGRAM");
  if (program == nullptr || access(program, X_OK) != 0) {
    std::fprintf(stderr, "no program\n");
    std::exit(kCouldNotRun);
  }
  const std::string settings = this->directory + "/settings.json";
  const char* logs = std::getenv("KEEP_LOGS");
  const std::string log = logs == nullptr
                              ? "/dev/null"
                              : std::string(logs) + "/" + this->name + ".log";
  WatchOnce();
  this->pid = fork();
  if (this->pid == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    execl(program, program, "gateway", "--settings", settings.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  Remember(this->pid);
  this->started_at = Now();
  Record("gateway " + this->name + " starts");
}

void Gateway::Signal(int number) {
  Record("gateway " + this->name + " gets signal " + std::to_string(number));
  if (this->pid > 0) kill(this->pid, number);
}

void Gateway::Reap() {
  if (this->pid <= 0) return;
  waitpid(this->pid, nullptr, 0);
  Forget(this->pid);
  this->pid = -1;
}

bool Gateway::IsRunning() {
  if (this->pid <= 0) return false;
  if (waitpid(this->pid, nullptr, WNOHANG) != this->pid) return true;
  Forget(this->pid);
  this->pid = -1;
  return false;
}

bool Gateway::IsReady() const {
  const auto wire = Wire::Connect(this->ip + ":" + this->ports[1]);
  if (wire == nullptr) return false;
  wire->Write(std::string("GET ") + kReadyPath +
              " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  Message answer;
  return wire->ReadResponse(answer, Now() + 1) && answer.Status() == 200;
}

std::string NewId() {
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x",
                static_cast<unsigned>(Random()()),
                static_cast<unsigned>(Random()()));
  return text;
}

std::string Call::Text(bool keep_alive) const {
  std::string text = this->method + " " + this->path +
                     " HTTP/1.1\r\nHost: " + this->host + "\r\n" + kAttemptId +
                     ": " + this->id + "\r\n";
  const auto add = [&text](const char* name, const std::string& value) {
    if (!value.empty()) text += std::string(name) + ": " + value + "\r\n";
  };
  add(kModel, this->model);
  add(kUsage, this->usage);
  add(kPrefix, this->prefix);
  if (this->deadline_ms > 0)
    add(kDeadlineMs, std::to_string(this->deadline_ms));
  add(kLastEventId, this->last_event);
  add(kResumes, this->resumes);
  if (!this->key.empty()) add("Authorization", "Bearer " + this->key);
  if (!keep_alive) add("Connection", "close");
  if (this->method == "POST") {
    add("Content-Length", std::to_string(this->body.size()));
  }
  return text + "\r\n" + this->body;
}

json Route(const std::string& name, const std::string& type,
           const std::string& service, int timeout_ms, int aim_ms) {
  return {{"name", name},
          {"host", "h.example"},
          {"prefix", "/" + name + "/"},
          {"type", type},
          {"timeout_ms", timeout_ms},
          {"target_latency_ms", aim_ms},
          {"priority", 1},
          {"service", service},
          {"max_attempts", 1}};
}

}  // namespace rig
