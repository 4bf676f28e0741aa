#ifndef DRAGONFLYGLADE_INSTANCE_CATALOG_PUBLISHER_H_
#define DRAGONFLYGLADE_INSTANCE_CATALOG_PUBLISHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/record_store.h"
#include "dragonflyglade/operator/catalog.h"

namespace dragonflyglade {

/// Applies versions of configuration records, and puts the catalog that follows
/// from them in force. Thread-safe.
class CatalogPublisher {
 public:
  /// Called with each new catalog, on one thread at a time.
  using OnChange = std::function<void(const std::shared_ptr<const Catalog>&)>;

  CatalogPublisher(RecordStore& records, CatalogHolder& catalog,
                   OnChange on_change);

  /// Applies versions, which take effect with the next Publish.
  /// @return the versions that were rejected as invalid
  std::vector<RecordVersion> Apply(absl::Span<const RecordVersion> versions);

  /// Puts all applied versions in force, then marks the records as complete
  /// through a revision.
  void Publish(std::int64_t revision);

 private:
  RecordStore& records;
  CatalogHolder& catalog;
  const OnChange on_change;
  absl::Mutex mutex;
  CatalogBuilder builder ABSL_GUARDED_BY(mutex);
  bool has_unpublished ABSL_GUARDED_BY(mutex) = false;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_CATALOG_PUBLISHER_H_
