#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/store/discovery_codec.h"

namespace dragonflyglade {
namespace {

constexpr int kVeryDeep = 200000;

std::string Deep() {
  return std::string(kVeryDeep, '[') + std::string(kVeryDeep, ']');
}

std::string Target(const std::string& name, const std::string& port,
                   const std::string& more = "") {
  return absl::StrCat(R"({"name":")", name, R"(","address":"127.0.0.1",)",
                      R"("zone":"z","pool":"p","port":)", port, more, "}");
}

class DiscoveryListsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DiscoveryListsTest);
  CPPUNIT_TEST(FollowTheSoundEntries);
  CPPUNIT_TEST_SUITE_END();

  // Guards against an instance that stops following the list of targets, since
  // one of its entries is odd.
  void FollowTheSoundEntries() {
    struct Case {
      std::string odd;
      std::size_t left_out;
    };
    const std::vector<Case> cases = {
        {"5", 1},
        {"null", 1},
        {"{}", 1},
        {"[]", 1},
        {Target("odd", "0"), 1},
        {Target("odd", "65536"), 1},
        {Target("odd", "1e300"), 1},
        {Target("odd", Deep()), 1},
        {R"({"name":"odd","address":"x","zone":"z","pool":"p","port":1})", 1},
        // Names a target, whatever else it holds.
        {Target("odd", "2", absl::StrCat(R"(,"unknown":)", Deep())), 0},
    };
    for (const Case& item : cases) {
      const std::string name = item.odd.substr(0, 80);
      const auto decoded = DecodeTargetList(
          absl::StrCat(R"({"version":7,"targets":[)", Target("a", "1"), ",",
                       item.odd, ",", Target("b", "65535"), "]}"));
      CPPUNIT_ASSERT_MESSAGE(name, decoded.Ok());
      const DiscoveredTargets& list = decoded.Value().list;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, item.left_out,
                                   decoded.Value().left_out.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 3 - item.left_out,
                                   list.targets.size());
      CPPUNIT_ASSERT_EQUAL(std::string("a"), list.targets.front().name);
      CPPUNIT_ASSERT_EQUAL(std::string("b"), list.targets.back().name);
    }
    CPPUNIT_ASSERT(!DecodeTargetList("[]").Ok());
    CPPUNIT_ASSERT(!DecodeInstanceList("{").Ok());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(DiscoveryListsTest,
                                      "unit-discovery-lists");

}  // namespace
}  // namespace dragonflyglade
