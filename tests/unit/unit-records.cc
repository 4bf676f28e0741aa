#include <cppunit/extensions/HelperMacros.h>

#include "dragonflyglade/decision/record_store.h"
#include "dragonflyglade/instance/catalog_publisher.h"
#include "dragonflyglade/operator/catalog.h"
#include "dragonflyglade/operator/config_editor.h"
#include "dragonflyglade/operator/records.h"

namespace dragonflyglade {
namespace {

struct ParseCase {
  const char* key;
  const char* value;
  const char* expected_text;  ///< part of the reason; empty for a valid record
};

RecordVersion Version(const char* key, std::int64_t revision,
                      const char* value) {
  return RecordVersion{key, revision, value, false};
}

constexpr const char* kRateV1 = "config/rate/v1/w";
constexpr const char* kRateV2 = "config/rate/v2/w";
constexpr const char* kValidV1 =
    R"({"tokens_per_second": 10, "burst_tokens": 20})";
constexpr const char* kValidV2 =
    R"({"tokens": 600, "per_seconds": 60, "burst_tokens": 30})";

struct ApplyCase {
  const char* name;
  std::vector<RecordVersion> versions;
  std::vector<ApplyResult> results;
  double burst;  ///< of the rate in force in the end; 0 for no rate
};

class RecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordsTest);
  CPPUNIT_TEST(NamesTheInvalidField);
  CPPUNIT_TEST(KeepsTheNewestValidVersion);
  CPPUNIT_TEST(PublishesBeforeItMarksAsComplete);
  CPPUNIT_TEST(IgnoresRetiredSchemas);
  CPPUNIT_TEST(RejectsInvalidDrafts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NamesTheInvalidField() {
    const std::vector<ParseCase> cases = {
        {kRateV1, kValidV1, ""},
        {kRateV2, kValidV2, ""},
        {kRateV1, R"({"tokens_per_second": 10})", "burst_tokens"},
        {kRateV1, R"({"tokens_per_second": "ten", "burst_tokens": 20})",
         "tokens_per_second: expected number"},
        {kRateV1, R"({"tokens_per_second": 0, "burst_tokens": 20})", "above 0"},
        {kRateV1, R"({"tokens_per_second": 1, "burst_tokens": 2, "extra": 3})",
         "extra"},
        {kRateV1, "{", "not JSON"},
        {kRateV1, "", "not JSON"},
        {kRateV1, "[]", "expected object"},
        {"config/rate/v3/w", kValidV2, "newest is v2"},
        {"config/colour/v1/w", "{}", "unknown kind"},
        {"config/rate/one/w", kValidV1, "expected v1"},
        {"config/rate/v1/a b", kValidV1, "expected a name"},
        {"config/rate/v1", kValidV1, "expected config/"},
        {"config/pool/v1/p", R"({"kind": "cloud"})", "one of"},
        {"config/service/v1/s",
         R"({"pool": "p", "class": "urgent", "routes": []})", "routes"},
    };
    for (const ParseCase& item : cases) {
      const auto reason = WhyInvalid(Version(item.key, 1, item.value));
      const std::string text = reason.value_or("");
      const std::string name =
          std::string(item.key) + " " + item.value + ": " + text;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, *item.expected_text != '\0',
                                   reason.has_value());
      CPPUNIT_ASSERT_MESSAGE(
          name, text.find(item.expected_text) != std::string::npos);
    }
  }

  // Failure: an older or invalid version of a record replaces the newest valid
  // one. The versions reach an instance in any order, since they come from the
  // watch, a lagging re-read, a peer or a restart.
  void KeepsTheNewestValidVersion() {
    constexpr const char* kOther =
        R"({"tokens_per_second": 10, "burst_tokens": 99})";
    const std::vector<ApplyCase> cases = {
        {"an older version arrives late",
         {Version(kRateV1, 5, kValidV1), Version(kRateV1, 4, kOther)},
         {ApplyResult::kApplied, ApplyResult::kStale},
         20},
        {"a revision arrives twice",
         {Version(kRateV1, 5, kValidV1), Version(kRateV1, 5, kOther)},
         {ApplyResult::kApplied, ApplyResult::kStale},
         20},
        {"an invalid version changes nothing",
         {Version(kRateV1, 5, kValidV1), Version(kRateV1, 6, "{}")},
         {ApplyResult::kApplied, ApplyResult::kRejected},
         20},
        {"the last valid version arrives after an invalid one",
         {Version(kRateV1, 6, "{}"), Version(kRateV1, 5, kValidV1)},
         {ApplyResult::kRejected, ApplyResult::kApplied},
         20},
        {"an older version arrives after a deletion",
         {Version(kRateV1, 5, kValidV1),
          {kRateV1, 7, "", true},
          Version(kRateV1, 6, kOther)},
         {ApplyResult::kApplied, ApplyResult::kApplied, ApplyResult::kStale},
         0},
        {"the newer schema is in force",
         {Version(kRateV2, 5, kValidV2), Version(kRateV1, 6, kOther)},
         {ApplyResult::kApplied, ApplyResult::kApplied},
         30},
        {"a deletion in the newer schema also hides the older one",
         {Version(kRateV1, 5, kValidV1), {kRateV2, 6, "", true}},
         {ApplyResult::kApplied, ApplyResult::kApplied},
         0},
    };
    for (const ApplyCase& item : cases) {
      RecordStore store(WhyInvalid);
      for (std::size_t i = 0; i < item.versions.size(); ++i) {
        CPPUNIT_ASSERT_MESSAGE(
            item.name, store.ApplyVersion(item.versions[i]) == item.results[i]);
      }
      const auto catalog = BuildCatalog(9, store.ValidRecords());
      const RateRecord* rate = FindRecord(catalog->rates, "w");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.name, item.burst,
          rate == nullptr ? 0 : rate->limit.burst_tokens);
      // A store filled from this one ends in the same state.
      RecordStore replica(WhyInvalid);
      for (const RecordVersion& version : store.VersionsSince(0)) {
        replica.ApplyVersion(version);
      }
      const auto replica_catalog = BuildCatalog(9, replica.ValidRecords());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, catalog->rates.size(),
                                   replica_catalog->rates.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, store.RejectedRecords().size(),
                                   replica.RejectedRecords().size());
    }
  }

  // Failure: an instance states a revision as complete before the records are
  // in force. It then takes itself for current and refuses keys that it has
  // received. Versions that another thread applied count, too.
  void PublishesBeforeItMarksAsComplete() {
    RecordStore store(WhyInvalid);
    CatalogHolder catalog;
    std::vector<std::int64_t> complete;
    CatalogPublisher publisher(
        store, catalog, [&](const std::shared_ptr<const Catalog>& built) {
          CPPUNIT_ASSERT(catalog.Get() == built);
          complete.push_back(store.CompleteRevision());
        });
    publisher.Apply({Version(kRateV1, 5, kValidV1)});
    CPPUNIT_ASSERT(publisher.Apply({Version(kRateV1, 5, kValidV1)}).empty());
    publisher.Publish(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, catalog.Get()->rates.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, store.CompleteRevision());
    publisher.Publish(6);
    publisher.Apply({RecordVersion{kRateV1, 7, "", true}});
    publisher.Publish(7);
    CPPUNIT_ASSERT(catalog.Get()->rates.empty());
    CPPUNIT_ASSERT(complete == (std::vector<std::int64_t>{0, 6}));
  }

  void IgnoresRetiredSchemas() {
    RecordStore store(WhyInvalid);
    store.ApplyVersion(Version(kRateV1, 5, kValidV1));
    store.ApplyVersion(
        Version("config/retirement/v1/rate", 6, R"({"retired_up_to": 1})"));
    CPPUNIT_ASSERT(BuildCatalog(6, store.ValidRecords())->rates.empty());
    store.ApplyVersion(Version(kRateV2, 7, kValidV2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         BuildCatalog(7, store.ValidRecords())->rates.size());
  }

  void RejectsInvalidDrafts() {
    const std::vector<std::pair<const char*, const char*>> cases = {
        {"{", "expected JSON"},
        {"[]", "at least one"},
        {"[3]", "record 1: expected an object"},
        {R"([{"kind":"rate"}])", "record 1: expected kind and name"},
        {R"([{"kind":"allotment","schema":1,"name":"w","value":{}}])",
         "record 1.kind"},
        {R"([{"kind":"rate","schema":1,"name":"w","value":{}}])",
         "record 1 (config/rate/v1/w)"},
        {R"([{"kind":"rate","schema":1,"name":"w","value":null,"x":1}])",
         "record 1.x"},
    };
    for (const auto& [text, expected_text] : cases) {
      const auto drafts = ParseDrafts(text);
      CPPUNIT_ASSERT_MESSAGE(text, !drafts.Ok());
      CPPUNIT_ASSERT_MESSAGE(
          drafts.Error().ToString(),
          drafts.Error().detail.find(expected_text) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RecordsTest, "unit-records");

}  // namespace
}  // namespace dragonflyglade
