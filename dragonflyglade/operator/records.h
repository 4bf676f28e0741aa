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

/// The prefix of all records of the configuration.
inline constexpr std::string_view kConfigPrefix = "config/";

/// Where a record stands: "config/<kind>/v<schema>/<name>".
struct RecordKey {
  std::string kind;
  int schema = 0;
  std::string name;

  std::string ToString() const;
};

/// Reads a record's key. Errors: kInvalidRecord.
Result<RecordKey> ParseRecordKey(std::string_view text);

/// A tenant.
struct WorkspaceRecord {
  std::string name;
  std::string description;
  std::vector<std::string> models;  ///< the only ones it may use; empty: all
};

/// A caller's key; the secret itself is nowhere kept.
struct KeyRecord {
  std::string id;
  std::string workspace;
  std::string salt;    ///< hex
  std::string digest;  ///< hex of SHA-256 over salt and secret
  bool withdrawn = false;
};

/// A workspace's rate over the whole fleet.
struct RateRecord {
  std::string workspace;
  RateLimit limit;
};

/// What kind of targets a pool has.
enum class PoolKind { kEngine, kService };

/// A set of targets that can stand in for each other.
struct PoolRecord {
  std::string name;
  PoolKind kind = PoolKind::kEngine;
  std::int64_t memory_bytes = 0;  ///< accelerator memory of one target
  bool fenced = false;            ///< targets refuse orders with an old fence
  std::string role;  ///< that its engines should have; empty: as they are
};

/// A model that engines can load.
struct ModelRecord {
  std::string name;
  std::string pool;
  std::string version;
  std::int64_t bytes = 0;
  int max_output_tokens = 0;  ///< assumed when a request names none
};

/// An adapter on a model.
struct AdapterRecord {
  std::string name;
  std::string model;
  std::int64_t bytes = 0;
};

/// How many copies of a model are wanted.
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

/// A plain service.
struct ServiceRecord {
  std::string name;
  std::string pool;
  RequestClass request_class = RequestClass::kUrgent;
  double cost_tokens = 1;  ///< charged for each call
  std::vector<ServiceRoute> routes;
};

/// Schemas of a kind up to this number are out of use.
struct RetirementRecord {
  std::string kind;
  int retired_up_to = 0;
};

using Record = std::variant<WorkspaceRecord, KeyRecord, RateRecord, PoolRecord,
                            ModelRecord, AdapterRecord, PlacementRecord,
                            ServiceRecord, RetirementRecord, Allotment>;

/// The kinds of records that operators write.
std::vector<std::string> RecordKinds();

/// The kind of the fleet's own records of shares, which travel the same way.
inline constexpr std::string_view kAllotmentKind = "allotment";

/// Where a workspace's allotment stands.
std::string AllotmentKey(std::string_view workspace);

/// The value of an allotment's record.
std::string EncodeAllotment(const Allotment& allotment);

/// The newest schema of a kind that is understood here; 0 for unknown kinds.
int NewestSchema(std::string_view kind);

/// Reads a record of any kind and schema.
/// Errors: kInvalidRecord, with the path, what was expected and found.
Result<Record> ParseRecord(const RecordKey& key, std::string_view value);

/// Why a record version cannot be taken, or nothing if it can.
std::optional<std::string> WhyInvalid(const RecordVersion& version);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_RECORDS_H_
