#ifndef DRAGONFLYGLADE_GATEWAY_MESSAGES_H_
#define DRAGONFLYGLADE_GATEWAY_MESSAGES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/quota_windows.h"
#include "dragonflyglade/decision/route_table.h"

namespace dragonflyglade::gateway {

/// Header fields in order, as received.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// A part of a prompt that engines may have kept.
struct PromptPart {
  std::string id;
  double tokens = 0;
};

/// What a request asks of a model.
struct ModelUse {
  std::string model;
  std::string adapter;  ///< empty: the model itself
  double prompt_tokens = 0;
  double output_tokens = 0;  ///< at most
  std::vector<PromptPart> parts;

  double Tokens() const { return this->prompt_tokens + this->output_tokens; }
};

/// A request as it came from a caller.
struct CallerRequest {
  std::string id;  ///< one for each try of the caller
  std::string method;
  std::string path_and_query;
  std::string host;
  std::string key;                         ///< empty: none was shown
  std::optional<absl::Duration> deadline;  ///< how long the caller waits
  ModelUse use;
  std::optional<std::string> resume_after;  ///< the last event it has
  HeaderFields forwarded_fields;  ///< end-to-end fields, without those set here
  std::string body;
  bool keep_alive = true;
};

/// What this system adds to a request for a target.
struct ForwardingContext {
  std::string target;           ///< the instance that must answer
  std::string workspace;        ///< empty on open routes
  absl::Duration time_left;     ///< what is left of the deadline
  std::optional<int> priority;  ///< 0 first
  std::optional<std::string> resume_after;
};

/// What a target says of its load with an answer.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/// The head of a target's answer.
struct ResponseHead {
  int status = 0;
  std::string request_id;     ///< empty if it names none
  bool not_executed = false;  ///< the target says it did not run it
  bool wrong_target = false;  ///< another target has this address
  bool is_signed = false;     ///< carries the target's mark on its bytes
  bool encoded = false;       ///< not the bytes that the target made
  bool event_stream = false;
  bool closes = false;  ///< the connection ends with this answer
  std::optional<absl::Duration> keep_alive;  ///< idle life that it states
  std::optional<LoadReport> load;
  HeaderFields forwarded_fields;  ///< end-to-end fields
};

/// A model that an engine serves.
struct ServedModel {
  std::string name;
  double memory_mb = 0;
  absl::Duration load_time = absl::Seconds(5);  ///< from the weight store
  absl::Duration disk_load_time = absl::Seconds(5);
  absl::Duration memory_load_time = absl::Seconds(5);
  int adapters = 0;
  double adapter_mb = 0;
};

/// What the engines of a service have in common.
struct EngineLimits {
  std::vector<ServedModel> models;
  double memory_mb = 0;
  int adapter_slots = 0;
  double loads_per_second = 1;  ///< of the weight store, over all targets
};

/// A service of the configuration.
struct ServiceSpec {
  std::string name;
  int max_connections = 64;  ///< of one target, from all callers
  std::optional<EngineLimits> engine;
};

/// A workspace of the configuration.
struct WorkspaceSpec {
  std::string name;
  std::optional<int> priority;  ///< goes before the route's
  QuotaLimit quota;
  bool counts_tokens = false;  ///< the quota; else it counts requests
  double default_tokens = 1;   ///< of a request that states none
};

/// How long and large callers' requests may be.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 4194304;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
};

/// One version of the configuration. Never changed once made.
struct GatewayConfig {
  std::uint64_t version = 0;
  RouteTable routes;
  std::map<std::string, ServiceSpec, std::less<>> services;
  std::map<std::string, WorkspaceSpec, std::less<>> workspaces;
  std::map<std::string, std::string, std::less<>> workspace_of_key;
  bool requires_keys = false;
  CallerLimits limits;
};

/// A model at a target with its adapters.
struct ResidentModel {
  std::string name;
  std::vector<std::string> adapters;
};

/// What a target says of itself in the store.
struct TargetRecord {
  std::string id;
  std::string service;
  std::string address;  ///< IP number and port
  std::string zone;
  int slots = 1;
  bool leaving = false;
  std::int64_t born_ms = 0;  ///< of its start; another one forgot everything
  std::vector<ResidentModel> models;
  /// Models whose weights it keeps beside what it serves.
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
};

/// What an engine reports when asked.
struct EngineReport {
  std::int64_t orders_taken = 0;  ///< since its start
  std::int64_t born_ms = 0;
  bool busy = false;  ///< an order is being carried out
  std::vector<ResidentModel> models;
  std::vector<std::string> pending_adapters;  ///< "model/adapter"
};

/// An order to an engine.
struct EngineOrder {
  bool load = true;
  std::string model;
  std::string adapter;  ///< empty: the model itself
  /// How many the engine took before; with another count it does nothing.
  std::int64_t orders_taken = 0;
  std::string holder;
  std::uint64_t fence = 0;
};

/// What an engine said to an order.
enum class OrderResponse {
  kAccepted,        ///< it is being carried out
  kAlreadyApplied,  ///< nothing to do
  kConflict,        ///< another order is open, or the sequence differs
  kFenced,          ///< a newer holder was here
  kInvalid,
  kWrongTarget,
};

/// A question for the addresses of instances.
struct DirectoryQuery {
  std::string host;
  std::string zone;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_MESSAGES_H_
