#include <cppunit/extensions/HelperMacros.h>

#include "dragonflyglade/decision/record_store.h"
#include "dragonflyglade/operator/catalog.h"
#include "dragonflyglade/operator/config_editor.h"
#include "dragonflyglade/operator/records.h"

namespace dragonflyglade {
namespace {

struct ParseCase {
  const char* key;
  const char* value;
  const char* problem;  ///< part of the reason; empty: valid
};

RecordVersion Version(const char* key, std::int64_t revision,
                      const char* value) {
  return RecordVersion{key, revision, value, false};
}

constexpr const char* kRateV1 = "config/rate/v1/w";
constexpr const char* kRateV2 = "config/rate/v2/w";
constexpr const char* kGoodV1 =
    R"({"tokens_per_second": 10, "burst_tokens": 20})";
constexpr const char* kGoodV2 =
    R"({"tokens": 600, "per_seconds": 60, "burst_tokens": 30})";

struct OfferCase {
  const char* name;
  std::vector<RecordVersion> offered;
  std::vector<ApplyResult> fates;
  double burst;  ///< in force in the end; 0: no rate
};

class RecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordsTest);
  CPPUNIT_TEST(SaysWhatIsWrong);
  CPPUNIT_TEST(NeverGoesBack);
  CPPUNIT_TEST(RetiredSchemasDoNotCount);
  CPPUNIT_TEST(DraftsAreCheckedWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SaysWhatIsWrong() {
    const std::vector<ParseCase> cases = {
        {kRateV1, kGoodV1, ""},
        {kRateV2, kGoodV2, ""},
        {kRateV1, R"({"tokens_per_second": 10})", "burst_tokens"},
        {kRateV1, R"({"tokens_per_second": "ten", "burst_tokens": 20})",
         "tokens_per_second: expected number"},
        {kRateV1, R"({"tokens_per_second": 0, "burst_tokens": 20})", "above 0"},
        {kRateV1, R"({"tokens_per_second": 1, "burst_tokens": 2, "extra": 3})",
         "extra"},
        {kRateV1, "{", "not JSON"},
        {kRateV1, "", "not JSON"},
        {kRateV1, "[]", "expected object"},
        {"config/rate/v3/w", kGoodV2, "newest is v2"},
        {"config/colour/v1/w", "{}", "unknown kind"},
        {"config/rate/one/w", kGoodV1, "expected v1"},
        {"config/rate/v1/a b", kGoodV1, "expected a name"},
        {"config/rate/v1", kGoodV1, "expected config/"},
        {"config/pool/v1/p", R"({"kind": "cloud"})", "one of"},
        {"config/service/v1/s",
         R"({"pool": "p", "class": "urgent", "routes": []})", "routes"},
    };
    for (const ParseCase& item : cases) {
      const auto why = WhyInvalid(Version(item.key, 1, item.value));
      const std::string text = why.value_or("");
      const std::string name =
          std::string(item.key) + " " + item.value + ": " + text;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, *item.problem != '\0',
                                   why.has_value());
      CPPUNIT_ASSERT_MESSAGE(name,
                             text.find(item.problem) != std::string::npos);
    }
  }

  // Versions of a record reach an instance in any order and by any way: by
  // the watch, a re-read that lags, a peer, a restart. What is in force only
  // ever gets newer, and an invalid version replaces nothing.
  void NeverGoesBack() {
    constexpr const char* kOther =
        R"({"tokens_per_second": 10, "burst_tokens": 99})";
    const std::vector<OfferCase> cases = {
        {"an older one comes late",
         {Version(kRateV1, 5, kGoodV1), Version(kRateV1, 4, kOther)},
         {ApplyResult::kApplied, ApplyResult::kStale},
         20},
        {"the same one comes twice",
         {Version(kRateV1, 5, kGoodV1), Version(kRateV1, 5, kOther)},
         {ApplyResult::kApplied, ApplyResult::kStale},
         20},
        {"an invalid one changes nothing",
         {Version(kRateV1, 5, kGoodV1), Version(kRateV1, 6, "{}")},
         {ApplyResult::kApplied, ApplyResult::kRejected},
         20},
        {"the last good one comes after the invalid one",
         {Version(kRateV1, 6, "{}"), Version(kRateV1, 5, kGoodV1)},
         {ApplyResult::kRejected, ApplyResult::kApplied},
         20},
        {"a deletion stays",
         {Version(kRateV1, 5, kGoodV1),
          {kRateV1, 7, "", true},
          Version(kRateV1, 6, kOther)},
         {ApplyResult::kApplied, ApplyResult::kApplied, ApplyResult::kStale},
         0},
        {"the newer schema counts",
         {Version(kRateV2, 5, kGoodV2), Version(kRateV1, 6, kOther)},
         {ApplyResult::kApplied, ApplyResult::kApplied},
         30},
        {"a deleted newer schema does not bring the older one back",
         {Version(kRateV1, 5, kGoodV1), {kRateV2, 6, "", true}},
         {ApplyResult::kApplied, ApplyResult::kApplied},
         0},
    };
    for (const OfferCase& item : cases) {
      RecordStore store(WhyInvalid);
      for (std::size_t i = 0; i < item.offered.size(); ++i) {
        CPPUNIT_ASSERT_MESSAGE(
            item.name, store.ApplyVersion(item.offered[i]) == item.fates[i]);
      }
      const auto catalog = BuildCatalog(9, store.ValidRecords());
      const RateRecord* rate = FindRecord(catalog->rates, "w");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.name, item.burst,
          rate == nullptr ? 0 : rate->limit.burst_tokens);
      // A follower that starts from this store ends in the same state.
      RecordStore follower(WhyInvalid);
      for (const RecordVersion& version : store.Since(0)) {
        follower.ApplyVersion(version);
      }
      const auto copy = BuildCatalog(9, follower.ValidRecords());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, catalog->rates.size(),
                                   copy->rates.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, store.RejectedRecords().size(),
                                   follower.RejectedRecords().size());
    }
  }

  void RetiredSchemasDoNotCount() {
    RecordStore store(WhyInvalid);
    store.ApplyVersion(Version(kRateV1, 5, kGoodV1));
    store.ApplyVersion(
        Version("config/retirement/v1/rate", 6, R"({"retired_up_to": 1})"));
    CPPUNIT_ASSERT(BuildCatalog(6, store.ValidRecords())->rates.empty());
    store.ApplyVersion(Version(kRateV2, 7, kGoodV2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         BuildCatalog(7, store.ValidRecords())->rates.size());
  }

  void DraftsAreCheckedWhole() {
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
    for (const auto& [text, problem] : cases) {
      const auto drafts = ParseDrafts(text);
      CPPUNIT_ASSERT_MESSAGE(text, !drafts.Ok());
      CPPUNIT_ASSERT_MESSAGE(
          drafts.Error().ToString(),
          drafts.Error().detail.find(problem) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RecordsTest, "unit-records");

}  // namespace
}  // namespace dragonflyglade
