#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/decision/stream_versions.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kLifetime = absl::Seconds(20);

std::string Describe(const ContinuationDecision& decision) {
  if (std::holds_alternative<UnknownVersion>(decision)) return "unknown";
  return std::get<OnlyVersion>(decision).origin.version.value_or("none");
}

// Instances that tell and ask each other without losses. Each one has its own
// view of which instances there are.
class StreamFleet {
 public:
  explicit StreamFleet(int instances) {
    for (int i = 0; i < instances; ++i) {
      this->all.push_back({absl::StrCat("i", i), absl::StrCat("z", i % 3)});
      this->memories.emplace(this->all.back().name,
                             StreamVersions(Clock(&this->clock)));
    }
  }

  // One instance begins a stream at a version and tells its owners.
  void Begin(const std::string& stream, const std::string& version, int at) {
    const StreamOrigin origin{version, 1};
    this->memories.at(this->all[at].name).Record(stream, origin, kLifetime);
    for (const std::size_t owner : StreamOwners(stream, this->all)) {
      this->memories.at(this->all[owner].name)
          .Record(stream, origin, kLifetime);
    }
  }

  void Kill(int instance) { this->dead.insert(this->all[instance].name); }

  // What an instance finds out about a stream.
  // @param knows_dead whether its view still has the dead instances
  ContinuationDecision TakeUp(const std::string& stream, int at,
                              bool knows_dead) {
    ContinuationFacts facts;
    facts.several_versions = true;
    facts.origin = this->memories.at(this->all[at].name).Find(stream);
    std::vector<StreamOwnerCandidate> view;
    for (const StreamOwnerCandidate& one : this->all) {
      if (knows_dead || this->dead.count(one.name) == 0) view.push_back(one);
    }
    for (const std::size_t asked : AskedStreamOwners(stream, view)) {
      const std::string& name = view[asked].name;
      if (facts.origin.has_value() || this->dead.count(name) > 0) continue;
      facts.origin = this->memories.at(name).Find(stream);
      facts.answers += 1;
    }
    return DecideContinuation(facts);
  }

  ManualClock clock;

 private:
  std::vector<StreamOwnerCandidate> all;
  std::map<std::string, StreamVersions> memories;
  std::set<std::string> dead;
};

class StreamVersionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamVersionsTest);
  CPPUNIT_TEST(Decides);
  CPPUNIT_TEST(RemembersTheLastAttempt);
  CPPUNIT_TEST(ForgetsOldStreams);
  CPPUNIT_TEST(KnowsForHowLongOneVersionServed);
  CPPUNIT_TEST(KnowsWhatServedEarlier);
  CPPUNIT_TEST(ChoosesOwnersInTwoZones);
  CPPUNIT_TEST(FindsStreamsWhenInstancesDie);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Decides() {
    struct Case {
      std::string name;
      ContinuationFacts facts;
      std::string expected;
    };
    const SoftwareVersion only = "v1";
    const std::vector<Case> cases = {
        {"known", {StreamOrigin{"v1", 1}, 0, true, {}, true}, "v1"},
        {"known without a version",
         {StreamOrigin{std::nullopt, 1}, 0, true, {}, true},
         "none"},
        {"known while cut off",
         {StreamOrigin{"v1", 1}, 0, true, {}, false},
         "v1"},
        {"known, another version serves",
         {StreamOrigin{"v1", 1}, 5, false, SoftwareVersion("v2"), true},
         "v1"},
        {"unknown beside two versions", {{}, 5, true, {}, true}, "unknown"},
        {"two versions at another instance",
         {{}, 5, true, only, true},
         "unknown"},
        {"no version is known", {{}, 5, false, {}, true}, "unknown"},
        {"one version", {{}, 5, false, only, true}, "v1"},
        {"one version, nobody answers", {{}, 0, false, only, true}, "v1"},
        {"cut off from the store", {{}, 3, false, only, false}, "v1"},
        {"cut off from all", {{}, 0, false, only, false}, "unknown"},
    };
    for (const Case& item : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.expected,
                                   Describe(DecideContinuation(item.facts)));
    }
  }

  // Guards against the version of a target that broke off before the stream's
  // first event, also if its note arrives last.
  void RemembersTheLastAttempt() {
    ManualClock clock;
    StreamVersions streams{Clock(&clock)};
    streams.Record("s", {"v1", 1}, kLifetime);
    streams.Record("s", {"v2", 2}, kLifetime);
    streams.Record("s", {"v1", 1}, kLifetime);
    CPPUNIT_ASSERT(streams.Find("s")->version == "v2");
    CPPUNIT_ASSERT(!streams.Find("").has_value());
  }

  // Guards against memory that grows with the requests.
  void ForgetsOldStreams() {
    constexpr int kStreams = 100000;
    ManualClock clock;
    StreamVersions streams{Clock(&clock)};
    streams.Record("long", {"v1", 1}, absl::Hours(1));
    for (int i = 0; i < kStreams; ++i) {
      streams.Record(absl::StrCat("s", i), {"v1", 1}, kLifetime);
    }
    int remembered = 0;
    const auto count = [&](std::string_view, const StreamOrigin&,
                           absl::Duration) { remembered += 1; };
    streams.ForEach(count);
    CPPUNIT_ASSERT(remembered > 10000 && remembered < 50000);
    clock.Advance(2 * kMaxStreamLifetime);
    CPPUNIT_ASSERT(!streams.Find(absl::StrCat("s", kStreams - 1)).has_value());
    remembered = 0;
    streams.ForEach(count);
    CPPUNIT_ASSERT_EQUAL(0, remembered);
  }

  void KnowsForHowLongOneVersionServed() {
    ManualClock manual;
    const Clock clock(&manual);
    ServedVersions served(clock.Now());
    CPPUNIT_ASSERT(!served.Record("v1", clock.Now()));
    manual.Advance(absl::Seconds(30));
    CPPUNIT_ASSERT(served.SingleFor(clock.Now()) == absl::Seconds(30));
    CPPUNIT_ASSERT(served.Record("v2", clock.Now()));
    CPPUNIT_ASSERT(!served.Record("v1", clock.Now()));
    CPPUNIT_ASSERT(served.SingleFor(clock.Now()) == absl::ZeroDuration());
    // A target without a version and one with an empty version differ.
    CPPUNIT_ASSERT(served.Record("", clock.Now()));
    CPPUNIT_ASSERT(served.Record(std::nullopt, clock.Now()));
    manual.Advance(absl::Seconds(5));
    served.Record("v2", clock.Now());
    CPPUNIT_ASSERT(served.SingleFor(clock.Now()) == absl::Seconds(5));
    CPPUNIT_ASSERT(served.Latest() == SoftwareVersion("v2"));
    manual.Advance(2 * kMaxStreamLifetime);
    served.Record("v2", clock.Now());
    CPPUNIT_ASSERT(served.SingleFor(clock.Now()) >= 2 * kMaxStreamLifetime);
  }

  // Guards against a version that goes on with the streams of the one before,
  // whose targets had left when all instances were killed.
  void KnowsWhatServedEarlier() {
    struct Case {
      std::string name;
      std::vector<SoftwareVersion> before;  ///< seen before it is known
      std::vector<SoftwareVersion> after;   ///< and 5 s later
      std::optional<SoftwareVersion> sole_at_once;
      std::optional<SoftwareVersion> sole_later;
    };
    const SoftwareVersion v1 = "v1";
    const SoftwareVersion v2 = "v2";
    const std::vector<Case> cases = {
        {"the same one", {v1}, {v1}, v1, v1},
        {"the same one, late", {}, {v1}, v1, v1},
        {"none", {}, {}, v1, v1},
        {"another one", {v2}, {v2}, {}, {}},
        {"another one, late", {}, {v2}, v1, {}},
        {"another one too", {v1, v2}, {v1}, {}, {}},
        {"one without a version", {std::nullopt}, {std::nullopt}, {}, {}},
    };
    for (const Case& item : cases) {
      ManualClock manual;
      const Clock clock(&manual);
      ServedVersions served(clock.Now());
      for (const SoftwareVersion& version : item.before) {
        served.Record(version, clock.Now());
      }
      served.RecordEarlier(v1, clock.Now() - absl::Hours(1), clock.Now());
      CPPUNIT_ASSERT_MESSAGE(
          item.name,
          served.SoleFor(kLifetime, clock.Now()) == item.sole_at_once);
      manual.Advance(absl::Seconds(5));
      for (const SoftwareVersion& version : item.after) {
        served.Record(version, clock.Now());
      }
      CPPUNIT_ASSERT_MESSAGE(
          item.name, served.SoleFor(kLifetime, clock.Now()) == item.sole_later);
      manual.Advance(kLifetime);
      for (const SoftwareVersion& version : item.after) {
        served.Record(version, clock.Now());
      }
      if (item.after.empty()) continue;
      CPPUNIT_ASSERT_MESSAGE(
          item.name,
          served.SoleFor(kLifetime, clock.Now()) ==
              std::make_optional<SoftwareVersion>(item.after.front()));
    }
  }

  void ChoosesOwnersInTwoZones() {
    for (const int instances : {0, 1, 2, 3, 6, 82, 300}) {
      std::vector<StreamOwnerCandidate> candidates;
      candidates.reserve(static_cast<std::size_t>(instances));
      for (int i = 0; i < instances; ++i) {
        candidates.push_back({absl::StrCat("i", i), absl::StrCat("z", i % 3)});
      }
      int one_zone = 0;
      for (int i = 0; i < 1000; ++i) {
        const std::string stream = absl::StrCat("s", i);
        const auto owners = StreamOwners(stream, candidates);
        const auto asked = AskedStreamOwners(stream, candidates);
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(std::min(2, instances)),
                             owners.size());
        for (const std::size_t owner : owners) {
          CPPUNIT_ASSERT(std::count(asked.begin(), asked.end(), owner) == 1);
        }
        if (instances < 3) continue;
        CPPUNIT_ASSERT(owners[0] != owners[1]);
        if (candidates[owners[0]].zone == candidates[owners[1]].zone)
          one_zone += 1;
      }
      // The four candidates of highest weight may lie in one zone.
      CPPUNIT_ASSERT(one_zone < 100);
    }
  }

  // Guards against streams that are lost, or joined, when the instances that
  // know them die.
  void FindsStreamsWhenInstancesDie() {
    struct Case {
      int instances;
      int killed;
      double least_found;
    };
    // Of a stream whose instance and both owners die, nobody knows.
    const std::vector<Case> cases = {{6, 0, 1}, {82, 0, 1},    {300, 0, 1},
                                     {6, 1, 1}, {82, 8, 0.98}, {300, 30, 0.98},
                                     {6, 6, 0}, {82, 82, 0}};
    constexpr int kStreams = 3000;
    for (const Case& item : cases) {
      for (const bool knows_dead : {false, true}) {
        std::mt19937 random(7);
        StreamFleet fleet(item.instances);
        std::vector<std::string> versions;
        for (int i = 0; i < kStreams; ++i) {
          versions.push_back(absl::StrCat("v", random() % 2));
          fleet.Begin(absl::StrCat("s", i), versions.back(),
                      static_cast<int>(random() % item.instances));
        }
        for (int i = 0; i < item.killed; ++i) fleet.Kill(i);
        int found = 0;
        for (int i = 0; i < kStreams; ++i) {
          // If all died, they are back and know nothing.
          if (item.killed == item.instances) break;
          const int at =
              item.killed +
              static_cast<int>(random() % (item.instances - item.killed));
          const std::string decision =
              Describe(fleet.TakeUp(absl::StrCat("s", i), at, knows_dead));
          if (decision == "unknown") continue;
          CPPUNIT_ASSERT_EQUAL(versions[i], decision);
          found += 1;
        }
        CPPUNIT_ASSERT_MESSAGE(
            absl::StrCat(item.instances, " instances, ", item.killed,
                         " killed: found ", found),
            found >= item.least_found * kStreams);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StreamVersionsTest,
                                      "unit-stream-versions");

}  // namespace
}  // namespace dragonflyglade
