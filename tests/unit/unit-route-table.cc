#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "dragonflyglade/decision/route_table.h"

namespace dragonflyglade {
namespace {

Route MakeRoute(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  return route;
}

struct FindCase {
  const char* what;
  const char* host;
  const char* path;
  const char* route;  ///< empty: none
};

struct PickCase {
  const char* what;
  std::vector<WeightedService> services;
  double draw;
  const char* service;
};

class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(FindsTheLongestPrefix);
  CPPUNIT_TEST(PicksByWeight);
  CPPUNIT_TEST(KnowsTheShortestPauseOfAService);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KnowsTheShortestPauseOfAService() {
    Route chat;
    chat.services = {{"engines", 1}, {"others", 1}};
    chat.event_gap_objective = absl::Milliseconds(250);
    Route draft;
    draft.services = {{"engines", 1}};
    draft.event_gap_objective = absl::Milliseconds(150);
    Route plain;
    plain.services = {{"ledger", 1}};
    const RouteTable table({chat, draft, plain});
    CPPUNIT_ASSERT(table.EventGapObjective("engines") ==
                   absl::Milliseconds(150));
    CPPUNIT_ASSERT(table.EventGapObjective("others") ==
                   absl::Milliseconds(250));
    CPPUNIT_ASSERT(table.EventGapObjective("ledger") ==
                   absl::InfiniteDuration());
    CPPUNIT_ASSERT(table.EventGapObjective("nobody") ==
                   absl::InfiniteDuration());
  }

  void FindsTheLongestPrefix() {
    const RouteTable table({MakeRoute("root", "one.example", "/"),
                            MakeRoute("a", "one.example", "/a/"),
                            MakeRoute("ab", "one.example", "/a/b/"),
                            MakeRoute("other", "two.example", "/a/")});
    const std::vector<FindCase> cases = {
        {"the longest of several", "one.example", "/a/b/c", "ab"},
        {"the prefix itself", "one.example", "/a/b/", "ab"},
        {"a shorter one", "one.example", "/a/c", "a"},
        {"no half segments", "one.example", "/ab", "root"},
        {"a prefix without its slash", "one.example", "/a", "root"},
        {"another host's routes", "two.example", "/a/x", "other"},
        {"case and port of the host", "ONE.example:8080", "/a/x", "a"},
        {"no route of the host", "two.example", "/b/", ""},
        {"no such host", "three.example", "/a/", ""},
        {"a path without a slash", "one.example", "a", ""},
        {"an empty path", "one.example", "", ""},
    };
    for (const FindCase& item : cases) {
      const Route* route = table.Find(item.host, item.path);
      const std::string found = route == nullptr ? "" : route->name;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, std::string(item.route), found);
    }
  }

  void PicksByWeight() {
    const std::vector<WeightedService> split = {{"new", 10}, {"old", 90}};
    const std::vector<PickCase> cases = {
        {"below the first weight", split, 0.09, "new"},
        {"above it", split, 0.11, "old"},
        {"the end of the range", split, 0.999, "old"},
        {"one service", {{"only", 1}}, 0.5, "only"},
        {"weight 0 gets nothing", {{"none", 0}, {"all", 1}}, 0.0, "all"},
        {"no service", {}, 0.5, ""},
        {"no weights", {{"none", 0}}, 0.5, ""},
    };
    for (const PickCase& item : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.what, std::string(item.service),
          std::string(PickService(item.services, item.draw)));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RouteTableTest, "unit-route-table");

}  // namespace
}  // namespace dragonflyglade
