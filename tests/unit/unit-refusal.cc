#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <set>

#include "dragonflyglade/decision/refusal.h"

namespace dragonflyglade {
namespace {

class RefusalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusalTest);
  CPPUNIT_TEST(TheTableIsWholeAndTrue);
  CPPUNIT_TEST_SUITE_END();

 public:
  // "Not run" is only said where nothing was sent, or where no byte can have
  // arrived. Each code after the dispatch to a target says "unknown".
  void TheTableIsWholeAndTrue() {
    const std::set<RefusalCode> after_dispatch = {
        RefusalCode::kClaimInDoubt,    RefusalCode::kTargetRefused,
        RefusalCode::kTargetTimeout,   RefusalCode::kTargetLost,
        RefusalCode::kAnswerTruncated, RefusalCode::kAnswerMismatch,
        RefusalCode::kStreamEnded,     RefusalCode::kInternal};
    std::set<std::string_view> names;
    for (int i = 0; i < kRefusalCodes; ++i) {
      const auto code = static_cast<RefusalCode>(i);
      const RefusalRule& rule = RefusalRuleFor(code);
      CPPUNIT_ASSERT(rule.code == code);
      CPPUNIT_ASSERT(names.insert(rule.name).second);
      CPPUNIT_ASSERT(rule.http_status >= 400 && rule.http_status < 600);
      const Ran expected =
          after_dispatch.count(code) > 0 ? Ran::kUnknown : Ran::kNo;
      CPPUNIT_ASSERT_MESSAGE(std::string(rule.name), rule.ran == expected);
      const bool overload = rule.http_status == 429 || rule.http_status == 503;
      CPPUNIT_ASSERT_MESSAGE(std::string(rule.name),
                             !overload || rule.retry_later);
      const auto body = nlohmann::json::parse(
          RefusalBody(Refusal{code, "a \"b\" \xff"}, "id-1"));
      CPPUNIT_ASSERT_EQUAL(std::string(rule.name),
                           body.at("error").at("code").get<std::string>());
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RefusalTest, "unit-refusal");

}  // namespace
}  // namespace dragonflyglade
