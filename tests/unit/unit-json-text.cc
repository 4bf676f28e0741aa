#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/decision/json_text.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

std::string Repeated(const std::string& text, int count) {
  std::string result;
  for (int i = 0; i < count; ++i) result += text;
  return result;
}

std::string Nested(int depth) {
  return Repeated("[", depth) + Repeated("]", depth);
}

class JsonTextTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonTextTest);
  CPPUNIT_TEST(RefusesWhatIsNestedTooDeeply);
  CPPUNIT_TEST(ReadsWholeNumbersInTheirRange);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a stack that ends, and the process with it, when a value of
  // another writer is copied or printed.
  void RefusesWhatIsNestedTooDeeply() {
    struct Case {
      std::string name;
      std::string text;
      bool accepted;
    };
    constexpr int kVeryDeep = 200000;
    const std::vector<Case> cases = {
        {"a number", "1", true},
        {"the deepest", Nested(kMaxJsonDepth), true},
        {"one more", Nested(kMaxJsonDepth + 1), false},
        {"lists", Nested(kVeryDeep), false},
        {"lists that do not end", Repeated("[", kVeryDeep), false},
        {"objects",
         Repeated("{\"a\":", kVeryDeep) + "1" + Repeated("}", kVeryDeep),
         false},
        {"many beside one another", "[" + Repeated("[],", kVeryDeep) + "[]]",
         true},
        {"brackets in a string", "\"" + Repeated("[", kVeryDeep) + "\"", true},
        {"behind a quote in a string", R"(["\"", )" + Nested(kVeryDeep) + "]",
         false},
        {"behind a backslash in a string",
         R"(["\\", )" + Nested(kVeryDeep) + "]", false},
        {"no JSON", "{", false},
    };
    for (const Case& item : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.name, item.accepted,
          !ParseJsonOrDiscard(item.text).is_discarded());
      if (item.accepted) {
        CPPUNIT_ASSERT(ParseJson(item.text) == ParseJsonPruned(item.text));
      } else {
        CPPUNIT_ASSERT_THROW_MESSAGE(item.name, ParseJson(item.text),
                                     json::exception);
      }
    }
  }

  // Guards against a count of another writer that becomes any number when it is
  // converted.
  void ReadsWholeNumbersInTheirRange() {
    struct Case {
      std::string text;
      bool accepted;
    };
    const std::vector<Case> cases = {
        {"1", true},       {"7", true},
        {"7.0", true},     {"10", true},
        {"0", false},      {"11", false},
        {"-1", false},     {"7.5", false},
        {"1e300", false},  {"18446744073709551615", false},
        {"-1e300", false}, {"99999999999999999999", false},
        {"\"7\"", false},  {"true", false},
        {"null", false},   {"[7]", false},
    };
    for (const Case& item : cases) {
      const json value = json::parse(item.text);
      if (item.accepted) {
        CPPUNIT_ASSERT(WholeNumber(value, 1, 10) >= 1);
      } else {
        CPPUNIT_ASSERT_THROW_MESSAGE(item.text, WholeNumber(value, 1, 10),
                                     json::exception);
      }
    }
    constexpr std::int64_t kMost = std::numeric_limits<std::int64_t>::max();
    CPPUNIT_ASSERT_EQUAL(kMost, WholeNumber(kMost, 0, kMost));
    CPPUNIT_ASSERT_THROW(WholeNumber(std::uint64_t{kMost} + 1, 0, kMost),
                         json::exception);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(JsonTextTest, "unit-json-text");

}  // namespace
}  // namespace dragonflyglade
