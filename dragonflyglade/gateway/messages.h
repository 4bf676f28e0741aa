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
#include "dragonflyglade/decision/slow_start.h"
#include "dragonflyglade/decision/stream_versions.h"

namespace dragonflyglade::gateway {

/// Header fields in the order of the message.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// A part of a prompt that engines may hold in their KV cache.
struct PromptPart {
  std::string id;
  double tokens = 0;
};

/// The model that a request needs, and the tokens that it processes there.
struct ModelUse {
  std::string model;
  std::string adapter;  ///< empty: the base model
  double prompt_tokens = 0;
  double output_tokens = 0;  ///< upper bound
  /// The caller's estimate, at most the upper bound if one is stated.
  std::optional<double> length_hint;
  std::vector<PromptPart> parts;

  double ExpectedOutputTokens() const {
    return this->length_hint.value_or(this->output_tokens);
  }

  double Tokens() const { return this->prompt_tokens + this->output_tokens; }
};

/// A decoded request of a caller.
struct CallerRequest {
  std::string id;  ///< unique for each attempt of the caller
  std::string method;
  std::string path_and_query;
  std::string host;
  std::string key;  ///< API key; empty if the request has none
  std::optional<absl::Duration> deadline;  ///< time that the caller waits
  ModelUse use;
  std::optional<std::string> resume_after;  ///< id of the last event received
  /// Id of the caller's attempt that brought the first event of the stream that
  /// this request takes up; empty if it names none.
  std::string taken_up_stream;
  /// End-to-end fields, without those that the gateway sets.
  HeaderFields forwarded_fields;
  std::shared_ptr<const std::string> body;  ///< null if there is none
  bool keep_alive = true;
};

/// The values that the gateway adds to a request which it forwards.
struct ForwardingContext {
  std::string target;           ///< id of the target that must respond
  std::string workspace;        ///< empty on routes without keys
  absl::Duration time_left;     ///< until the request's deadline
  std::optional<int> priority;  ///< 0 is the most urgent
  std::optional<std::string> resume_after;
  /// Address of the engine that is to keep a copy of the run; empty: none.
  std::string backup;
  /// Address of the engine whose copy the run continues from; empty: none.
  std::string continue_from;
};

/// The load that a target states in a response.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /// How long work takes on its machine now; 1 is as usual.
  std::optional<double> slowness;
};

/// The head of a target's response.
struct ResponseHead {
  int status = 0;
  std::string request_id;     ///< empty if the response names no request
  bool not_executed = false;  ///< the target didn't run the request
  bool wrong_target = false;  ///< another target listens at this address
  bool is_signed = false;     ///< carries the target's signature field
  bool encoded = false;       ///< has a content encoding
  bool event_stream = false;
  bool closes = false;  ///< the connection ends after this response
  std::optional<absl::Duration> keep_alive;  ///< idle timeout of the target
  std::optional<LoadReport> load;
  /// The requests a second that the target takes from all instances together.
  std::optional<double> rate_limit;
  bool has_rate_limit_field = false;  ///< readable or not
  /// The requests a second that the target can decline without failing.
  std::optional<double> declines_per_second;
  bool has_brittle_field = false;  ///< readable or not
  /// For how long the target wants no requests from the instance that it
  /// answered.
  std::optional<absl::Duration> rest;
  std::string unreadable_rest;  ///< what it says instead of a time
  bool leaving = false;         ///< the target says that it leaves
  /// The names of the two fields as the target spelled them, for the log.
  std::string rate_limit_field;
  std::string brittle_field;
  HeaderFields forwarded_fields;  ///< end-to-end fields
};

/// A model that an engine serves.
struct ServedModel {
  std::string name;
  double memory_mb = 0;
  absl::Duration load_time = absl::Seconds(5);  ///< from the weight storage
  absl::Duration disk_load_time = absl::Seconds(5);
  absl::Duration memory_load_time = absl::Seconds(5);
  std::vector<std::string> adapters;  ///< names of all its adapters
  double adapter_mb = 0;
};

/// The limits and models that all engines of a service share.
struct EngineLimits {
  /// Whether an engine can be asked to load this model, and this adapter of it
  /// unless that is empty. Adapters need not be listed.
  bool MayLoad(std::string_view model, std::string_view adapter) const;

  std::vector<ServedModel> models;
  double memory_mb = 0;
  int adapter_slots = 0;
  double loads_per_second = 1;  ///< from the weight storage, by all targets
  // Not known, and not limited, if there is no value.
  std::optional<int> slots;  ///< requests that an engine runs at the same time
  std::optional<double> kv_capacity_tokens;  ///< of prompts and output
  std::optional<int> stride;                 ///< tokens in an event of a stream
  bool backups = false;  ///< engines keep copies of each other's runs
  double kv_bytes = 0;   ///< of a token in a copy; 0: not known
  double link_mbps = 0;  ///< between two engines, in Mbit/s; 0: not known
  /// How long a copy is kept after its last part; zero: not known.
  absl::Duration handle_time;
};

/// A service of the configuration.
struct ServiceSpec {
  std::string name;
  int max_connections = 64;  ///< to one target, from all instances
  std::optional<EngineLimits> engine;
  /// Without the overage and slack, which are in the settings.
  SlowStartLimit slow_start;
};

/// A workspace of the configuration.
struct WorkspaceSpec {
  std::string name;
  std::optional<int> priority;  ///< overrides the route's priority
  QuotaLimit quota;
  bool counts_tokens = false;  ///< the quota counts tokens, else requests
  double default_tokens = 1;   ///< cost of a request that states no tokens
};

/// Size and time limits of callers' requests and connections.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 4194304;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
};

/// One version of the configuration; immutable.
struct GatewayConfig {
  std::uint64_t version = 0;
  RouteTable routes;
  std::map<std::string, ServiceSpec, std::less<>> services;
  std::map<std::string, WorkspaceSpec, std::less<>> workspaces;
  std::map<std::string, std::string, std::less<>> workspace_of_key;
  bool requires_keys = false;
  CallerLimits limits;
};

/// A model in a target's memory, with its resident adapters.
struct ResidentModel {
  std::string name;
  std::vector<std::string> adapters;
};

/// The models whose weights a target caches without serving them. Only loads
/// change it.
struct CachedWeights {
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
};

/// A target's record in the store, written by the target.
struct TargetRecord {
  std::string id;
  std::string service;
  std::string address;  ///< IP address and port
  std::string zone;
  SoftwareVersion version;
  int slots = 1;
  bool leaving = false;
  std::int64_t born_ms = 0;  ///< start time; a change means a restart
  /// How long the target goes on warming up; see SlowStart.
  absl::Duration warm_up_remaining;
  std::vector<ResidentModel> models;
  CachedWeights cached;
};

/// An engine's response to a report call.
struct EngineReport {
  std::int64_t orders_taken = 0;  ///< since the engine's start
  std::int64_t born_ms = 0;       ///< start time of the engine
  bool busy = false;              ///< an order is in progress
  std::vector<ResidentModel> models;
  CachedWeights cached;
  std::vector<std::string> pending_adapters;  ///< "model/adapter"
};

/// An order to an engine to load or unload a model or an adapter.
struct EngineOrder {
  bool load = true;
  std::string model;
  std::string adapter;  ///< empty: the base model
  /// Orders that the engine has taken so far. The engine rejects the order if
  /// its own count differs.
  std::int64_t orders_taken = 0;
  std::string holder;       ///< name of the leader
  std::uint64_t fence = 0;  ///< fencing token of the leader lease
};

/// An engine's response to an order.
enum class OrderResponse {
  kAccepted,        ///< the order is in progress
  kAlreadyApplied,  ///< the engine has nothing to do
  kConflict,        ///< another order is in progress, or the count differs
  kFenced,          ///< the engine has seen a higher fencing token
  kInvalid,
  kWrongTarget,
};

/// A caller's query for the addresses of instances.
struct DirectoryQuery {
  std::string host;
  std::string zone;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_MESSAGES_H_
