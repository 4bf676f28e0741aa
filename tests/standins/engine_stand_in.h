#ifndef DRAGONFLYGLADE_TESTS_STANDINS_ENGINE_STAND_IN_H_
#define DRAGONFLYGLADE_TESTS_STANDINS_ENGINE_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/net/http_server.h"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace dragonflyglade {

/// How an engine stand-in behaves.
struct EngineBehaviour {
  std::int64_t memory_bytes = 1'000'000;
  bool fenced = false;
  int batch = 8;  ///< requests that generate at once
  absl::Duration token_delay;
  absl::Duration load_delay;  ///< of a model order
  absl::Duration report_lag;
  bool reports_numeric_model = false;  ///< events name their model by a number
};

/// A model engine with finite memory, batches, orders and a boot id, which
/// misbehaves on command. Each token is one event.
class EngineStandIn {
 public:
  explicit EngineStandIn(EngineBehaviour behaviour);
  ~EngineStandIn();

  Endpoint Start();

  /// Streams of requests to come break after so many events; 0 for never.
  void BreakStreamsAfter(int events, int times);
  /// Requests get no answer for this long, then none at all.
  void SetUnresponsive(bool silent);
  void SetRefusing(bool refusing);
  void SetLeaving(bool leaving);
  /// Answers carry this id in place of the request's; empty for the own one.
  void SetEchoedId(const std::string& id);
  /// The answers of the next orders are lost, after they are carried out.
  void DropOrderResponses(int count);
  /// The next orders are carried out only when ReleaseOrders is called.
  void HoldOrders(int count);
  void ReleaseOrders();
  /// Loads something without an order, to begin with.
  void Preload(const std::string& name, std::int64_t bytes);
  /// Loses all memory and changes the boot id.
  void Restart();

  /// The most memory that was ever asked of it at once.
  std::int64_t PeakMemoryBytes() const;
  std::set<std::string> Resident() const;
  int Served() const;
  /// Completions that began.
  int Started() const;
  /// Everything that was received: paths, headers and bodies.
  std::string Received() const;

 private:
  struct Stream {
    std::vector<std::string> events;
    std::string request_id;
    int priority = 0;
  };
  /// A request's priority, and its place among those of the same.
  using Turn = std::pair<int, std::uint64_t>;
  struct HeldOrder {
    std::string kind;
    nlohmann::json body;
  };

  void Route();
  void Complete(const httplib::Request& request, httplib::Response& response);
  void Resume(const httplib::Request& request, httplib::Response& response);
  void Order(const std::string& kind, const httplib::Request& request,
             httplib::Response& response);
  void Play(const std::shared_ptr<Stream>& stream, std::size_t from,
            httplib::Response& response);
  std::string Execute(const std::string& kind, const nlohmann::json& body);
  nlohmann::json Report();
  void Note(const httplib::Request& request);
  bool Cuts(std::size_t played);

  const EngineBehaviour behaviour;
  HttpServer server;
  mutable absl::Mutex mutex;
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  bool silent ABSL_GUARDED_BY(mutex) = false;
  bool refusing ABSL_GUARDED_BY(mutex) = false;
  bool leaving ABSL_GUARDED_BY(mutex) = false;
  std::string role ABSL_GUARDED_BY(mutex) = "mixed";
  std::string echoed_id ABSL_GUARDED_BY(mutex);
  int cut_after ABSL_GUARDED_BY(mutex) = 0;
  int cut_times ABSL_GUARDED_BY(mutex) = 0;
  int lose_orders ABSL_GUARDED_BY(mutex) = 0;
  int hold_orders ABSL_GUARDED_BY(mutex) = 0;
  std::deque<HeldOrder> held ABSL_GUARDED_BY(mutex);
  int boot ABSL_GUARDED_BY(mutex) = 1;
  std::int64_t highest_fence ABSL_GUARDED_BY(mutex) = 0;
  std::map<std::string, std::int64_t> loaded ABSL_GUARDED_BY(mutex);
  std::int64_t peak ABSL_GUARDED_BY(mutex) = 0;
  int running ABSL_GUARDED_BY(mutex) = 0;
  std::set<Turn> waiting ABSL_GUARDED_BY(mutex);
  std::uint64_t next_turn ABSL_GUARDED_BY(mutex) = 1;
  double queued_tokens ABSL_GUARDED_BY(mutex) = 0;
  int served ABSL_GUARDED_BY(mutex) = 0;
  int started ABSL_GUARDED_BY(mutex) = 0;
  std::string received ABSL_GUARDED_BY(mutex);
  std::map<std::string, std::shared_ptr<Stream>> streams ABSL_GUARDED_BY(mutex);
  std::deque<std::pair<absl::Time, nlohmann::json>> reports
      ABSL_GUARDED_BY(mutex);
  std::vector<nlohmann::json> cache_events ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_STANDINS_ENGINE_STAND_IN_H_
