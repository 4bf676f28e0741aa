// Stand-ins for the platform, its replicas and its clients, and the gateways as
// processes, for the scripts of the review. Everything runs on loopback.
#ifndef REVIEW_LIB_2_RIG_H_
#define REVIEW_LIB_2_RIG_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

/// Exit codes of a script.
enum Exit : int { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

/// Seconds since the process started.
double Now();
void SleepFor(double seconds);
/// Writes a line to record.txt, with the time.
void Record(const std::string& line);
/// Reads TROUBLE: false if it is 0.
bool HasTrouble();
/// Waits until the condition holds.
bool WaitUntil(const std::function<bool()>& holds, double seconds);
int RandomBelow(int limit);
double RandomPart();

struct Message {
  std::string first;  ///< request line or status line; empty: none arrived
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool is_whole = false;
  std::string Field(const std::string& name) const;
  std::string Method() const;
  std::string Path() const;  ///< without the query
  std::string Query(const std::string& name) const;
  int Status() const;
};

/// A connection with a read buffer.
class Wire {
 public:
  explicit Wire(int fd) : fd(fd) {}
  ~Wire();
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;
  /// @return null if the connection was not established in time
  static std::shared_ptr<Wire> Connect(const std::string& address,
                                       double seconds = 1);
  bool Write(const std::string& text);
  /// Reads to the end of a line, without its end.
  bool ReadLine(std::string& line, double until);
  bool ReadBytes(std::size_t count, std::string& bytes, double until);
  bool ReadHead(Message& message, double until);
  /// Reads a request with its body.
  bool ReadRequest(Message& message, double until);
  /// Reads a response with its body; its head alone for a HEAD request.
  bool ReadResponse(Message& message, double until, bool head_only = false);
  /// Whether the peer has closed or reset the connection.
  bool IsClosedByPeer();
  /// Bytes that are there and not read, after waiting.
  std::string Unread(double seconds);
  void Shutdown();
  void Reset();

 private:
  bool Fill(double until);

  int fd;
  std::string buffer;
};

/// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(Wire&)>;
  Server(const std::string& ip, Handler handler);
  ~Server() { this->Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  std::string Address() const { return this->address; }
  /// Closes the listener and all connections, as a process's end does.
  void Stop();

 private:
  void Accept();

  int listener = -1;
  std::string address;
  const Handler handler;
  std::atomic<bool> stopping = false;
  std::mutex mutex;
  std::vector<std::weak_ptr<Wire>> wires;
  std::vector<std::thread> threads;
  std::thread accept_thread;
};

/// The platform's store.
class Store {
 public:
  Store();
  std::string Address() const { return this->server->Address(); }
  void Put(const std::string& key, const std::string& value,
           std::uint64_t lease = 0);
  void Delete(const std::string& key);
  std::string Get(const std::string& key);
  std::vector<std::string> Keys(const std::string& prefix);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    Item item;
    bool deleted = false;
  };
  struct Lease {
    double ttl_s = 0;
    double end = 0;
  };

  void Serve(Wire& wire);
  std::pair<int, std::string> Answer(const Message& request);
  std::pair<int, std::string> Transact(const nlohmann::json& call);
  std::pair<int, std::string> Watch(const Message& request);
  void PutLocked(const std::string& key, const std::string& value,
                 std::uint64_t lease);
  void DeleteLocked(const std::string& key);
  void ExpireLocked();
  static nlohmann::json Encode(const std::string& key, const Item& item);

  std::mutex mutex;
  std::uint64_t revision = 1;
  std::uint64_t last_lease = 0;
  std::map<std::string, Item> items;
  std::map<std::uint64_t, Lease> leases;
  std::vector<Change> changes;
  std::unique_ptr<Server> server;
};

/// A replica. It registers itself, answers inspections and orders, and leaves
/// requests to the script.
class Replica {
 public:
  struct Spec {
    std::string service;
    std::string zone;
    std::string version = "v1";
    std::string ip = "127.0.0.1";
    int slots = 64;
    std::vector<std::string> models;
  };
  using Handler = std::function<void(Replica&, Wire&, const Message& request)>;
  Replica(Store& store, Spec spec, Handler handler);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  const Spec& Description() const { return this->spec; }
  std::string Id() const;
  /// Ends like a process that crashes: its connections end, its entry stays
  /// until its heartbeats are missing. It is back later under a new id.
  void Crash(double back_after_s);
  bool IsUp() const { return this->up; }
  /// The head of an answer, up to the fields that frame it.
  std::string Head(const Message& request, const std::string& status) const;
  bool AnswerWhole(Wire& wire, const Message& request,
                   const std::string& status, const std::string& body,
                   const std::string& more = "") const;
  /// Sends events first to last, numbered, with a pause before each.
  /// @return the last event that was sent
  int Stream(Wire& wire, const Message& request, int first, int last,
             double first_pause, double pause) const;

 private:
  void Start();
  void Register();
  void Serve(Wire& wire);
  bool ServeInternal(Wire& wire, const Message& request);
  void Live();

  Store& store;
  const Spec spec;
  const Handler handler;
  mutable std::mutex mutex;
  std::string id;
  std::int64_t born = 0;
  std::int64_t beats = 0;
  std::unique_ptr<Server> server;
  std::atomic<bool> up = false;
  std::atomic<bool> ending = false;
  std::atomic<double> back_at = 0;
  double last_beat = 0;
  std::thread life;
};

/// A gateway's process.
class Gateway {
 public:
  Gateway(const Store& store, const std::string& name, const std::string& zone,
          const std::string& ip, bool first_start);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  std::string Name() const { return this->name; }
  std::string Callers() const { return this->ip + ":" + this->ports[0]; }
  void Start();
  void Signal(int number);
  /// Waits for the end of a process that was sent a signal.
  void Reap();
  bool IsRunning();
  bool IsReady() const;
  double StartedAt() const { return this->started_at; }

 private:
  void WriteSettings(bool first_start) const;

  const std::string store_address;
  const std::string name;
  const std::string zone;
  const std::string ip;
  std::vector<std::string> ports;
  std::string directory;
  bool first_start;
  std::atomic<double> started_at = 0;
  pid_t pid = -1;
};

/// Fields of a request as a client of the platform sends it.
struct Call {
  std::string method = "POST";
  std::string path;
  std::string host = "h.example";
  std::string id;
  std::string key;
  std::string model;
  std::string usage;
  std::string prefix;
  int deadline_ms = 0;
  std::string last_event;
  std::string resumes;
  std::string body;
  std::string Text(bool keep_alive = false) const;
};
std::string NewId();

/// The routes, services and tenants of a small deployment.
nlohmann::json Route(const std::string& name, const std::string& type,
                     const std::string& service, int timeout_ms, int aim_ms);

}  // namespace rig

#endif  // REVIEW_LIB_2_RIG_H_
