#include "dragonflyglade/instance/catalog_publisher.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade {

CatalogPublisher::CatalogPublisher(RecordStore& records, CatalogHolder& catalog,
                                   OnChange on_change)
    : records(records), catalog(catalog), on_change(std::move(on_change)) {}

std::vector<RecordVersion> CatalogPublisher::Apply(
    absl::Span<const RecordVersion> versions) {
  std::vector<RecordVersion> rejected;
  absl::MutexLock lock(&this->mutex);
  for (const RecordVersion& version : versions) {
    const ApplyResult result = this->records.ApplyVersion(version);
    if (result == ApplyResult::kApplied) this->has_unpublished = true;
    if (result == ApplyResult::kRejected) rejected.push_back(version);
  }
  return rejected;
}

// Failure: an instance that has just started marks its records as complete
// before their catalog is in force. A heartbeat that arrives in between
// confirms them as current, and the instance refuses requests because it does
// not know their keys.
void CatalogPublisher::Publish(std::int64_t revision) {
  absl::MutexLock lock(&this->mutex);
  if (this->has_unpublished || this->catalog.Get()->revision == 0) {
    const std::int64_t newest =
        std::max(revision, this->records.CompleteRevision());
    const std::shared_ptr<const Catalog> built =
        this->builder.Build(newest, this->records.ValidRecords());
    this->catalog.Set(built);
    this->has_unpublished = false;
    this->on_change(built);
  }
  this->records.MarkCompleteThrough(revision);
}

}  // namespace dragonflyglade
