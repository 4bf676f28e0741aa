#include "dragonflyglade/operator/catalog.h"

#include <utility>

namespace dragonflyglade {
namespace {

struct Candidate {
  RecordKey key;
  const RecordVersion* version = nullptr;
};

using Newest = std::map<std::string, Candidate, std::less<>>;

std::map<std::string, int> RetiredVersions(
    absl::Span<const RecordVersion> good) {
  std::map<std::string, int> retired;
  for (const RecordVersion& version : good) {
    const Result<RecordKey> key = ParseRecordKey(version.key);
    if (version.deleted || !key.Ok()) continue;
    if (key.Value().kind != "retirement") continue;
    const Result<Record> record = ParseRecord(key.Value(), version.value);
    if (!record.Ok()) continue;
    retired[key.Value().name] =
        std::get<RetirementRecord>(record.Value()).retired_up_to;
  }
  return retired;
}

Newest NewestVersions(absl::Span<const RecordVersion> good) {
  const std::map<std::string, int> retired = RetiredVersions(good);
  Newest newest;
  for (const RecordVersion& version : good) {
    const Result<RecordKey> key = ParseRecordKey(version.key);
    if (!key.Ok()) continue;
    const auto limit = retired.find(key.Value().kind);
    if (limit != retired.end() && key.Value().schema <= limit->second) continue;
    Candidate& candidate = newest[key.Value().kind + "/" + key.Value().name];
    if (candidate.key.schema >= key.Value().schema) continue;
    candidate = Candidate{key.Value(), &version};
  }
  return newest;
}

struct AddTo {
  Catalog& catalog;
  const std::string& name;

  void operator()(WorkspaceRecord record) const {
    this->catalog.workspaces.emplace(this->name, std::move(record));
  }
  void operator()(KeyRecord record) const {
    this->catalog.keys.emplace(this->name, std::move(record));
  }
  void operator()(RateRecord record) const {
    this->catalog.rates.emplace(this->name, std::move(record));
  }
  void operator()(PoolRecord record) const {
    this->catalog.pools.emplace(this->name, std::move(record));
  }
  void operator()(ModelRecord record) const {
    this->catalog.models.emplace(this->name, std::move(record));
  }
  void operator()(AdapterRecord record) const {
    this->catalog.adapters.emplace(this->name, std::move(record));
  }
  void operator()(PlacementRecord record) const {
    this->catalog.placements.emplace(this->name, std::move(record));
  }
  void operator()(ServiceRecord record) const {
    this->catalog.services.emplace(this->name, std::move(record));
  }
  void operator()(RetirementRecord record) const {
    this->catalog.retirements.emplace(this->name, std::move(record));
  }
  void operator()(Allotment record) const {
    this->catalog.allotments.emplace(this->name, std::move(record));
  }
};

}  // namespace

std::shared_ptr<const Catalog> BuildCatalog(
    std::int64_t revision, absl::Span<const RecordVersion> good) {
  auto catalog = std::make_shared<Catalog>();
  catalog->revision = revision;
  for (const auto& [path, candidate] : NewestVersions(good)) {
    if (candidate.version->deleted) continue;
    Result<Record> record =
        ParseRecord(candidate.key, candidate.version->value);
    if (!record.Ok()) continue;
    std::visit(AddTo{*catalog, candidate.key.name}, std::move(record.Value()));
    catalog->schema_in_use[path] = candidate.key.schema;
  }
  return catalog;
}

std::shared_ptr<const Catalog> CatalogHolder::Get() const {
  absl::MutexLock lock(&this->mutex);
  return this->catalog;
}

void CatalogHolder::Set(std::shared_ptr<const Catalog> catalog) {
  absl::MutexLock lock(&this->mutex);
  this->catalog = std::move(catalog);
}

}  // namespace dragonflyglade
