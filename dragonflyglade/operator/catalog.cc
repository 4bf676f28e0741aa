#include "dragonflyglade/operator/catalog.h"

#include <utility>

namespace dragonflyglade {
namespace {

struct CatalogInserter {
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

const CatalogBuilder::Parsed* CatalogBuilder::Read(
    const RecordVersion& version) {
  Parsed& cached = this->parsed[version.key];
  if (cached.revision == version.revision) return &cached;
  const Result<RecordKey> key = ParseRecordKey(version.key);
  if (!key.Ok()) return nullptr;
  cached.revision = version.revision;
  cached.key = key.Value();
  cached.record.reset();
  if (version.deleted) return &cached;
  Result<Record> record = ParseRecord(cached.key, version.value);
  if (record.Ok()) cached.record = std::move(record.Value());
  return &cached;
}

std::map<std::string, int> CatalogBuilder::RetiredSchemas(
    absl::Span<const RecordVersion> valid_versions) {
  std::map<std::string, int> retired;
  for (const RecordVersion& version : valid_versions) {
    const Parsed* cached = this->Read(version);
    if (cached == nullptr || !cached->record.has_value()) continue;
    const auto* record = std::get_if<RetirementRecord>(&*cached->record);
    if (record != nullptr) retired[record->kind] = record->retired_up_to;
  }
  return retired;
}

std::shared_ptr<const Catalog> CatalogBuilder::Build(
    std::int64_t revision, absl::Span<const RecordVersion> valid_versions) {
  const std::map<std::string, int> retired =
      this->RetiredSchemas(valid_versions);
  std::map<std::string, Candidate> newest;
  for (const RecordVersion& version : valid_versions) {
    const Parsed* cached = this->Read(version);
    if (cached == nullptr) continue;
    const RecordKey& key = cached->key;
    const auto limit = retired.find(key.kind);
    if (limit != retired.end() && key.schema <= limit->second) continue;
    Candidate& candidate = newest[key.kind + "/" + key.name];
    if (candidate.schema >= key.schema) continue;
    candidate = Candidate{cached, key.schema};
  }
  auto catalog = std::make_shared<Catalog>();
  catalog->revision = revision;
  for (const auto& [path, candidate] : newest) {
    if (candidate.parsed == nullptr) continue;
    if (!candidate.parsed->record.has_value()) continue;
    std::visit(CatalogInserter{*catalog, candidate.parsed->key.name},
               *candidate.parsed->record);
    catalog->schema_in_use[path] = candidate.schema;
  }
  return catalog;
}

std::shared_ptr<const Catalog> BuildCatalog(
    std::int64_t revision, absl::Span<const RecordVersion> valid_versions) {
  return CatalogBuilder().Build(revision, valid_versions);
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
