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

/// The fixed behaviour of an engine stand-in.
struct EngineBehaviour {
  std::int64_t memory_bytes = 1'000'000;
  bool fenced = false;  ///< rejects orders with an old fencing token
  int batch = 8;        ///< requests that generate tokens at the same time
  absl::Duration token_delay;
  absl::Duration load_delay;  ///< time that loading a model takes
  absl::Duration report_lag;  ///< age of the load reports that it sends
  bool reports_numeric_model = false;  ///< events name the model by a number
};

/// A model engine with finite memory, batches, orders and a boot id, which
/// misbehaves when a test tells it to. Each token is one event.
class EngineStandIn {
 public:
  explicit EngineStandIn(EngineBehaviour behaviour);
  ~EngineStandIn();

  Endpoint Start();

  /// Breaks the next streams, as many as times, after a number of events. No
  /// stream breaks if events is 0.
  void BreakStreamsAfter(int events, int times);
  /// While set, streams stall: no event is sent.
  void SetUnresponsive(bool unresponsive);
  /// While set, completions fail with status 503.
  void SetRefusing(bool refusing);
  void SetLeaving(bool leaving);
  /// Makes responses carry this id in place of the request's own; an empty one
  /// restores the request's own.
  void SetEchoedId(const std::string& id);
  /// Drops the responses to the next orders after executing them.
  void DropOrderResponses(int count);
  /// Delays the next orders until ReleaseOrders is called and drops their
  /// responses.
  void HoldOrders(int count);
  void ReleaseOrders();
  /// Loads a model or adapter without an order, before the test begins.
  void Preload(const std::string& name, std::int64_t bytes);
  /// Unloads everything and changes the boot id, as a restart does.
  void Restart();

  /// The largest amount of memory that orders ever required at the same time,
  /// including those refused for lack of memory.
  std::int64_t PeakMemoryBytes() const;
  std::set<std::string> Resident() const;
  /// The number of completion streams that ended.
  int EndedStreams() const;
  /// The number of completions that were accepted.
  int StartedCompletions() const;
  /// The paths, headers and bodies of all received requests.
  std::string ReceivedRequests() const;

 private:
  struct Stream {
    std::vector<std::string> events;
    std::string request_id;
    int priority = 0;
  };
  /// The priority of a waiting request, and its number in the order of arrival.
  using QueuePosition = std::pair<int, std::uint64_t>;
  struct HeldOrder {
    std::string kind;
    nlohmann::json body;
  };

  void SetRoutes();
  void HandleCompletion(const httplib::Request& request,
                        httplib::Response& response);
  void HandleResume(const httplib::Request& request,
                    httplib::Response& response);
  void HandleOrder(const std::string& kind, const httplib::Request& request,
                   httplib::Response& response);
  void SendStream(const std::shared_ptr<Stream>& stream, std::size_t from,
                  httplib::Response& response);
  std::string Execute(const std::string& kind, const nlohmann::json& body);
  nlohmann::json LoadReportJson();
  void RecordReceived(const httplib::Request& request);
  bool BreaksStream(std::size_t sent_events);

  const EngineBehaviour behaviour;
  HttpServer server;
  mutable absl::Mutex mutex;
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  bool unresponsive ABSL_GUARDED_BY(mutex) = false;
  bool refusing ABSL_GUARDED_BY(mutex) = false;
  bool leaving ABSL_GUARDED_BY(mutex) = false;
  std::string role ABSL_GUARDED_BY(mutex) = "mixed";
  std::string echoed_id ABSL_GUARDED_BY(mutex);
  int break_after ABSL_GUARDED_BY(mutex) = 0;
  int remaining_breaks ABSL_GUARDED_BY(mutex) = 0;
  int order_responses_to_drop ABSL_GUARDED_BY(mutex) = 0;
  int orders_to_hold ABSL_GUARDED_BY(mutex) = 0;
  std::deque<HeldOrder> held_orders ABSL_GUARDED_BY(mutex);
  int boot ABSL_GUARDED_BY(mutex) = 1;
  std::int64_t highest_fence ABSL_GUARDED_BY(mutex) = 0;
  std::map<std::string, std::int64_t> loaded ABSL_GUARDED_BY(mutex);
  std::int64_t peak_bytes ABSL_GUARDED_BY(mutex) = 0;
  int running ABSL_GUARDED_BY(mutex) = 0;
  std::set<QueuePosition> waiting ABSL_GUARDED_BY(mutex);
  std::uint64_t next_queue_number ABSL_GUARDED_BY(mutex) = 1;
  double queued_tokens ABSL_GUARDED_BY(mutex) = 0;
  int served ABSL_GUARDED_BY(mutex) = 0;
  int started ABSL_GUARDED_BY(mutex) = 0;
  std::string received_text ABSL_GUARDED_BY(mutex);
  std::map<std::string, std::shared_ptr<Stream>> streams ABSL_GUARDED_BY(mutex);
  std::deque<std::pair<absl::Time, nlohmann::json>> report_history
      ABSL_GUARDED_BY(mutex);
  std::vector<nlohmann::json> cache_events ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_STANDINS_ENGINE_STAND_IN_H_
