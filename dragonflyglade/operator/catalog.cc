#include "dragonflyglade/operator/catalog.h"

#include <utility>

namespace dragonflyglade {
namespace {

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

const CatalogBuilder::Parsed* CatalogBuilder::Read(
    const RecordVersion& version) {
  Parsed& known = this->parsed[version.key];
  if (known.revision == version.revision) return &known;
  const Result<RecordKey> key = ParseRecordKey(version.key);
  if (!key.Ok()) return nullptr;
  known.revision = version.revision;
  known.key = key.Value();
  known.record.reset();
  if (version.deleted) return &known;
  Result<Record> record = ParseRecord(known.key, version.value);
  if (record.Ok()) known.record = std::move(record.Value());
  return &known;
}

std::map<std::string, int> CatalogBuilder::RetiredSchemas(
    absl::Span<const RecordVersion> good) {
  std::map<std::string, int> retired;
  for (const RecordVersion& version : good) {
    const Parsed* known = this->Read(version);
    if (known == nullptr || !known->record.has_value()) continue;
    const auto* record = std::get_if<RetirementRecord>(&*known->record);
    if (record != nullptr) retired[record->kind] = record->retired_up_to;
  }
  return retired;
}

std::shared_ptr<const Catalog> CatalogBuilder::Build(
    std::int64_t revision, absl::Span<const RecordVersion> good) {
  const std::map<std::string, int> retired = this->RetiredSchemas(good);
  std::map<std::string, Candidate> newest;
  for (const RecordVersion& version : good) {
    const Parsed* known = this->Read(version);
    if (known == nullptr) continue;
    const RecordKey& key = known->key;
    const auto limit = retired.find(key.kind);
    if (limit != retired.end() && key.schema <= limit->second) continue;
    Candidate& candidate = newest[key.kind + "/" + key.name];
    if (candidate.schema >= key.schema) continue;
    candidate = Candidate{known, key.schema};
  }
  auto catalog = std::make_shared<Catalog>();
  catalog->revision = revision;
  for (const auto& [path, candidate] : newest) {
    if (candidate.parsed == nullptr) continue;
    if (!candidate.parsed->record.has_value()) continue;
    std::visit(AddTo{*catalog, candidate.parsed->key.name},
               *candidate.parsed->record);
    catalog->schema_in_use[path] = candidate.schema;
  }
  return catalog;
}

std::shared_ptr<const Catalog> BuildCatalog(
    std::int64_t revision, absl::Span<const RecordVersion> good) {
  return CatalogBuilder().Build(revision, good);
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
