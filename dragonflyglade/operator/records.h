#ifndef DRAGONFLYGLADE_OPERATOR_RECORDS_H_
#define DRAGONFLYGLADE_OPERATOR_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dragonflyglade/decision/allotment.h"
#include "dragonflyglade/decision/distributed_rate_limiter.h"
#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/decision/record_store.h"
#include "dragonflyglade/decision/request_class.h"

namespace dragonflyglade {

/// The key prefix of all configuration records.
inline constexpr std::string_view kConfigPrefix = "config/";

/// A record's key in the key-value service: "config/<kind>/v<schema>/<name>".
struct RecordKey {
  std::string kind;
  int schema = 0;
  std::string name;

  std::string ToString() const;
};

/// Parses a record's key. Errors: kInvalidRecord.
Result<RecordKey> ParseRecordKey(std::string_view text);

/// A workspace, which is a tenant of the platform.
struct WorkspaceRecord {
  std::string name;
  std::string description;
  std::vector<std::string> models;  ///< those it may use; empty for all
};

/// A caller's key; the secret itself is stored nowhere.
struct KeyRecord {
  std::string id;
  std::string workspace;
  std::string salt;    ///< hex
  std::string digest;  ///< hex of SHA-256 over salt and secret
  bool withdrawn = false;
};

/// A workspace's rate limit over the whole fleet.
struct RateRecord {
  std::string workspace;
  RateLimit limit;
};

/// The kind of targets in a pool.
enum class PoolKind { kEngine, kService };

/// A set of interchangeable targets.
struct PoolRecord {
  std::string name;
  PoolKind kind = PoolKind::kEngine;
  std::int64_t memory_bytes = 0;  ///< accelerator memory of one target
  bool fenced = false;  ///< targets refuse orders with an old fencing token
  std::string role;     ///< set on its engines; empty to leave them unchanged
};

/// A model that engines can load.
struct ModelRecord {
  std::string name;
  std::string pool;
  std::string version;
  std::int64_t bytes = 0;
  int max_output_tokens = 0;  ///< the default limit of a request
};

/// An adapter of a model.
struct AdapterRecord {
  std::string name;
  std::string model;
  std::int64_t bytes = 0;
};

/// The desired number of replicas of a model.
struct PlacementRecord {
  std::string model;
  int copies = 1;
};

/// One route of a plain service.
struct ServiceRoute {
  std::string method;
  std::string path;  ///< exact, or a prefix when it ends with '*'
  bool repeatable = false;
};

/// A plain service, whose targets run no models.
struct ServiceRecord {
  std::string name;
  std::string pool;
  RequestClass request_class = RequestClass::kUrgent;
  double cost_tokens = 1;  ///< charged for each call
  std::vector<ServiceRoute> routes;
};

/// The retired schema versions of a kind: all up to a number.
struct RetirementRecord {
  std::string kind;
  int retired_up_to = 0;
};

using Record = std::variant<WorkspaceRecord, KeyRecord, RateRecord, PoolRecord,
                            ModelRecord, AdapterRecord, PlacementRecord,
                            ServiceRecord, RetirementRecord, Allotment>;

/// The kinds of records that operators write.
std::vector<std::string> RecordKinds();

/// The kind of the records of quota shares. Instances write these themselves
/// and distribute them like the operators' records.
inline constexpr std::string_view kAllotmentKind = "allotment";

/// The key of a workspace's allotment record.
std::string AllotmentKey(std::string_view workspace);

/// Encodes the value of an allotment record.
std::string EncodeAllotment(const Allotment& allotment);

/// The newest schema version of a kind that this program supports; 0 for an
/// unknown kind.
int NewestSchema(std::string_view kind);

/// Parses a record of any kind and schema version.
/// Errors: kInvalidRecord, with the path of the invalid field, what was
/// expected and what was found.
Result<Record> ParseRecord(const RecordKey& key, std::string_view value);

/// The reason why a record version is invalid; nothing if it is valid.
std::optional<std::string> WhyInvalid(const RecordVersion& version);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_RECORDS_H_
