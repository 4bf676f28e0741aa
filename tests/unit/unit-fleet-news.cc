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

wire::TargetHoldings Holds(const std::string& target,
                           std::vector<std::string> adapters) {
  wire::TargetHoldings holdings;
  holdings.target = target;
  holdings.adapters = std::move(adapters);
  return holdings;
}

class FleetNewsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetNewsTest);
  CPPUNIT_TEST(HandsOnChangesOnlyWhileNoneIsMissing);
  CPPUNIT_TEST(LeavesOverwrittenChangesOut);
  CPPUNIT_TEST(TellsOnlyHoldingsThatChanged);
  CPPUNIT_TEST_SUITE_END();

  // An instance learns of a withdrawn key from the holder instead of the
  // store. If the holder handed on its changes with a gap, the instance would
  // take itself for up to date and go on serving the key. So the holder must
  // either give all changes after the asked revision or say that it cannot.
  void HandsOnChangesOnlyWhileNoneIsMissing() {
    struct Case {
      std::string name;
      std::optional<std::uint64_t> listed_at;
      std::vector<StoreEvent> changes;
      std::uint64_t known;
      std::optional<std::size_t> given;
    };
    const std::vector<Case> cases = {
        {"nothing listed yet", std::nullopt, {Change("a", 11)}, 10, {}},
        {"behind the first listing", 10, {Change("a", 11)}, 9, {}},
        {"at the first listing", 10, {Change("a", 11)}, 10, 1},
        {"up to date", 10, {Change("a", 11)}, 11, 0},
        {"in between", 10, {Change("a", 11), Change("b", 13)}, 12, 1},
        {"a large change", 10, {Change("a", 11, 300000)}, 10, 1},
        {"large, but known", 10, {Change("a", 11, 300000)}, 11, 0},
        {"the oldest were forgotten",
         10,
         {Change("a", 11, 800000), Change("b", 12, 800000), Change("c", 13)},
         10,
         {}},
        {"after the forgotten ones",
         10,
         {Change("a", 11, 800000), Change("b", 12, 800000), Change("c", 13)},
         12,
         1},
    };
    for (const Case& item : cases) {
      RecentChanges recent;
      if (item.listed_at.has_value()) recent.CompleteAfter(*item.listed_at);
      for (const StoreEvent& change : item.changes) recent.Add(change);
      const auto given = recent.Since(item.known);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.given.has_value(),
                                   given.has_value());
      if (!given.has_value()) continue;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, *item.given, given->size());
    }
  }

  void LeavesOverwrittenChangesOut() {
    RecentChanges recent;
    recent.CompleteAfter(0);
    recent.Add(Change("a", 3));
    recent.Add(Change("a", 1));
    recent.Add({{"b", "", 4, 0}, true});
    const auto given = recent.Since(0);
    CPPUNIT_ASSERT(given.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, given->size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, given->at(0).item.revision);
    CPPUNIT_ASSERT(given->at(1).deleted);
  }

  // The whole of what 64 targets hold is some kilobytes, too much for 82
  // instances at each order on a link of 10 Mbit/s. Each gets what changed
  // since what it has, and one that missed a message gets that again.
  void TellsOnlyHoldingsThatChanged() {
    VersionedHoldings book;
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, book.Version());
    book.Set({Holds("t1", {"m/a1"}), Holds("t2", {})});
    const std::int64_t first = book.Version();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, book.Since(0).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, book.Since(first).size());
    book.Set({Holds("t1", {"m/a1", "m/a2"}), Holds("t2", {})});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book.Since(first).size());
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), book.Since(first).at(0).target);
    CPPUNIT_ASSERT(book.Version() > first);
    book.Clear();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, book.Version());
    book.Set({Holds("t1", {"m/a1", "m/a2"})});
    CPPUNIT_ASSERT(book.Version() > first);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(FleetNewsTest, "unit-fleet-news");

}  // namespace
}  // namespace dragonflyglade::gateway
