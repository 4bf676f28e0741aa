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

/// The records in force, by kind and name. Immutable once built, so that one
/// request sees one configuration from beginning to end.
///
/// Of several schema versions of one record the newest that is understood and
/// not retired counts; if that one is deleted, the record is.
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

/// Builds catalogs, and reads only the records that changed since the last
/// one. Not synchronised.
class CatalogBuilder {
 public:
  /// The catalog of the good record versions.
  /// Complexity: O(n log n) in the records, with a small constant for those
  /// that were read before.
  std::shared_ptr<const Catalog> Build(std::int64_t revision,
                                       absl::Span<const RecordVersion> good);

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
      absl::Span<const RecordVersion> good);

  std::map<std::string, Parsed, std::less<>> parsed;
};

/// Builds one catalog of the good record versions.
std::shared_ptr<const Catalog> BuildCatalog(
    std::int64_t revision, absl::Span<const RecordVersion> good);

/// A record by name, or null.
template <typename T>
const T* FindRecord(const Catalog::ByName<T>& records, std::string_view name) {
  const auto found = records.find(name);
  return found == records.end() ? nullptr : &found->second;
}

/// The catalog in force, which any thread may read and one replaces.
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
