#ifndef DRAGONFLYGLADE_OPERATOR_CATALOG_H_
#define DRAGONFLYGLADE_OPERATOR_CATALOG_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/synchronization/mutex.h"
#include "absl/types/span.h"
#include "dragonflyglade/operator/records.h"

namespace dragonflyglade {

/// The configuration records in force, by kind and name. A catalog is not
/// changed after it is built, so a request sees one configuration from
/// beginning to end.
///
/// If a record exists in several schema versions, the newest that is supported
/// and not retired is in force; if that one is deleted, the record is deleted.
struct Catalog {
  template <typename T>
  using ByName = std::map<std::string, T, std::less<>>;

  std::int64_t revision = 0;
  ByName<WorkspaceRecord> workspaces;
  ByName<KeyRecord> keys;
  ByName<RateRecord> rates;
  ByName<PoolRecord> pools;
  ByName<ModelRecord> models;
  ByName<AdapterRecord> adapters;
  ByName<PlacementRecord> placements;
  ByName<ServiceRecord> services;
  ByName<RetirementRecord> retirements;
  ByName<Allotment> allotments;
  ByName<int> schema_in_use;  ///< "kind/name" to schema version
};

/// Builds catalogs, and parses only the records that changed since the previous
/// one. Not thread-safe.
class CatalogBuilder {
 public:
  /// Builds the catalog of valid record versions.
  /// Complexity: O(n log n) in the records, with a small constant for those
  /// that are parsed already.
  std::shared_ptr<const Catalog> Build(
      std::int64_t revision, absl::Span<const RecordVersion> valid_versions);

 private:
  struct Parsed {
    std::int64_t revision = 0;
    RecordKey key;
    std::optional<Record> record;  ///< nothing if deleted
  };
  struct Candidate {
    const Parsed* parsed = nullptr;
    int schema = 0;
  };

  const Parsed* Read(const RecordVersion& version);
  std::map<std::string, int> RetiredSchemas(
      absl::Span<const RecordVersion> valid_versions);

  std::map<std::string, Parsed, std::less<>> parsed;
};

/// Builds a single catalog of valid record versions.
std::shared_ptr<const Catalog> BuildCatalog(
    std::int64_t revision, absl::Span<const RecordVersion> valid_versions);

/// Finds a record by name; null if there is none.
template <typename T>
const T* FindRecord(const Catalog::ByName<T>& records, std::string_view name) {
  const auto found = records.find(name);
  return found == records.end() ? nullptr : &found->second;
}

/// Shares the catalog in force between threads. Thread-safe.
class CatalogHolder {
 public:
  std::shared_ptr<const Catalog> Get() const;
  void Set(std::shared_ptr<const Catalog> catalog);

 private:
  mutable absl::Mutex mutex;
  std::shared_ptr<const Catalog> catalog ABSL_GUARDED_BY(mutex) =
      std::make_shared<const Catalog>();
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_CATALOG_H_
