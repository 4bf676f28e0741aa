#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dragonflyglade/gateway/recent_changes.h"
#include "dragonflyglade/gateway/versioned_holdings.h"

namespace dragonflyglade::gateway {
namespace {

StoreEvent Change(const std::string& key, std::uint64_t revision,
                  std::size_t bytes = 10) {
  return {{key, std::string(bytes, 'x'), revision, 0}, false};
}

wire::TargetHoldings MakeHoldings(const std::string& target,
                                  std::vector<std::string> adapters) {
  wire::TargetHoldings holdings;
  holdings.target = target;
  holdings.adapters = std::move(adapters);
  return holdings;
}

class FleetChangesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetChangesTest);
  CPPUNIT_TEST(ReturnsChangesOnlyIfNoneIsMissing);
  CPPUNIT_TEST(ClaimsNothingInsideOfAGap);
  CPPUNIT_TEST(OmitsOverwrittenChanges);
  CPPUNIT_TEST(ReturnsOnlyChangedHoldings);
  CPPUNIT_TEST_SUITE_END();

  // Failure: an instance goes on serving a withdrawn caller key. It learns of
  // the withdrawal from the leader instead of the store; if the leader's
  // changes have a gap, the instance takes itself for up to date without the
  // withdrawal. RecentChanges must return either all changes after the
  // requested revision or nothing.
  void ReturnsChangesOnlyIfNoneIsMissing() {
    struct Case {
      std::string name;
      std::optional<std::uint64_t> listed_at;
      std::vector<StoreEvent> changes;
      std::uint64_t known;
      std::optional<std::size_t> expected;
    };
    const std::vector<Case> cases = {
        {"nothing listed yet", std::nullopt, {Change("a", 11)}, 10, {}},
        {"behind the first listing", 10, {Change("a", 11)}, 9, {}},
        {"at the first listing", 10, {Change("a", 11)}, 10, 1},
        {"up to date", 10, {Change("a", 11)}, 11, 0},
        {"between two changes", 10, {Change("a", 11), Change("b", 13)}, 12, 1},
        {"a large change", 10, {Change("a", 11, 300000)}, 10, 1},
        {"a large change that is known", 10, {Change("a", 11, 300000)}, 11, 0},
        {"the oldest changes were evicted",
         10,
         {Change("a", 11, 3000000), Change("b", 12, 3000000), Change("c", 13)},
         10,
         {}},
        {"after the evicted changes",
         10,
         {Change("a", 11, 3000000), Change("b", 12, 3000000), Change("c", 13)},
         12,
         1},
        {"versions of a large configuration evict nothing else",
         10,
         {Change("a", 11), Change("b", 12, 1000000), Change("b", 13, 1000000),
          Change("b", 14, 1000000), Change("b", 15, 1000000),
          Change("b", 16, 1000000)},
         10,
         2},
    };
    for (const Case& item : cases) {
      RecentChanges recent;
      if (item.listed_at.has_value()) recent.CompleteAfter(*item.listed_at);
      for (const StoreEvent& change : item.changes) recent.Add(change);
      const auto changes = recent.Since(item.known);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.expected.has_value(),
                                   changes.has_value());
      if (!changes.has_value()) continue;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, *item.expected, changes->size());
    }
  }

  // Guards against targets that others keep for ever, since this instance
  // listed the store again and never saw that they appeared and left.
  void ClaimsNothingInsideOfAGap() {
    RecentChanges recent;
    recent.CompleteAfter(2);
    recent.Add(Change("a", 3));
    recent.AddGap(4, 9);
    recent.Add(Change("b", 10));
    CPPUNIT_ASSERT(!recent.Since(5).has_value());
    CPPUNIT_ASSERT(!recent.Since(8).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recent.LatestSince(5)->size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, recent.Since(2)->size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recent.Since(4)->size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recent.Since(9)->size());
    constexpr std::uint64_t kManyGaps = 100;
    for (std::uint64_t i = 1; i < kManyGaps; ++i) {
      recent.AddGap(10 * i, 10 * i + 5);
    }
    CPPUNIT_ASSERT(!recent.Since(5).has_value());
    CPPUNIT_ASSERT(recent.Since(4).has_value());
    CPPUNIT_ASSERT(recent.Since(10 * kManyGaps).has_value());
  }

  void OmitsOverwrittenChanges() {
    RecentChanges recent;
    recent.CompleteAfter(0);
    recent.Add(Change("a", 3));
    recent.Add(Change("a", 1));
    recent.Add({{"b", "", 4, 0}, true});
    const auto changes = recent.Since(0);
    CPPUNIT_ASSERT(changes.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes->size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, changes->at(0).item.revision);
    CPPUNIT_ASSERT(changes->at(1).deleted);
  }

  // Failure: the leader's link is saturated. The residency of 64 targets takes
  // some kilobytes, too much to send to 82 instances at each order over a link
  // of 10 Mbit/s. Each instance gets only what changed after the version that
  // it knows, and one that missed a message gets those changes again.
  void ReturnsOnlyChangedHoldings() {
    VersionedHoldings holdings;
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, holdings.Version());
    holdings.Set({MakeHoldings("t1", {"m/a1"}), MakeHoldings("t2", {})});
    const std::int64_t first = holdings.Version();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, holdings.Since(0).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, holdings.Since(first).size());
    holdings.Set(
        {MakeHoldings("t1", {"m/a1", "m/a2"}), MakeHoldings("t2", {})});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holdings.Since(first).size());
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), holdings.Since(first).at(0).target);
    CPPUNIT_ASSERT(holdings.Version() > first);
    const std::int64_t second = holdings.Version();
    CPPUNIT_ASSERT(!holdings.Update(MakeHoldings("t2", {})));
    CPPUNIT_ASSERT_EQUAL(second, holdings.Version());
    CPPUNIT_ASSERT(holdings.Update(MakeHoldings("t2", {"m/a3"})));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holdings.Since(second).size());
    CPPUNIT_ASSERT_EQUAL(std::string("t2"),
                         holdings.Since(second).at(0).target);
    holdings.Clear();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, holdings.Version());
    holdings.Set({MakeHoldings("t1", {"m/a1", "m/a2"})});
    CPPUNIT_ASSERT(holdings.Version() > first);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(FleetChangesTest, "unit-fleet-news");

}  // namespace
}  // namespace dragonflyglade::gateway
