#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/fleet/caller.h"
#include "tests/fleet/fleet.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

// A payout while something fails, and what its caller must be told.
struct RefusalCase {
  const char* name;
  const char* payout;
  const char* idempotency_key;  ///< empty for none
  std::function<void(Fleet&)> break_it;
  std::function<void(Fleet&)> mend_it;
  int status;
  const char* code;
  const char* ran;
  int runs;  ///< of the payout, in the end
};

std::vector<RefusalCase> Cases() {
  const auto nothing = [](Fleet&) {};
  return {
      {"the answer is lost", "p-lost", "",
       [](Fleet& fleet) { fleet.Ledger().DropResponses(1); }, nothing, 502,
       "answer_truncated", "unknown", 1},
      {"the answer is late", "p-late", "",
       [](Fleet& fleet) { fleet.Ledger().SetDelay(absl::Seconds(3)); },
       [](Fleet& fleet) { fleet.Ledger().SetDelay(absl::ZeroDuration()); }, 504,
       "target_timeout", "unknown", 1},
      {"the answer is another's", "p-other", "",
       [](Fleet& fleet) { fleet.Ledger().SetEchoedId("another"); },
       [](Fleet& fleet) { fleet.Ledger().SetEchoedId(""); }, 502,
       "answer_mismatch", "unknown", 1},
      {"a keyed call's answer is lost", "p-keyed", "k-keyed",
       [](Fleet& fleet) { fleet.Ledger().DropResponses(1); }, nothing, 502,
       "answer_truncated", "unknown", 1},
      {"the same key again", "p-keyed", "k-keyed", nothing, nothing, 409,
       "claim_in_doubt", "unknown", 1},
      {"the key of another request", "p-reused", "k-keyed", nothing, nothing,
       422, "idempotency_key_reused", "no", 0},
      {"the key-value service is out", "p-out", "k-out",
       [](Fleet& fleet) { fleet.Kv().SetUnavailable(true); },
       [](Fleet& fleet) { fleet.Kv().SetUnavailable(false); }, 503,
       "claim_service_unavailable", "no", 0},
      {"the connection is lost", "p-cut", "k-cut",
       [](Fleet& fleet) { fleet.TargetLink("ledger-1").SetPartitioned(true); },
       [](Fleet& fleet) { fleet.TargetLink("ledger-1").SetPartitioned(false); },
       502, "target_lost", "unknown", 0},
  };
}

class RefusalsIntegration : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusalsIntegration);
  CPPUNIT_TEST(EachFailureIsToldTruly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Payouts are sent while the service loses, delays or mixes up its answers,
  // or the key-value service is out. Each caller is told "no" only if its
  // payout did not run, and none runs twice.
  void EachFailureIsToldTruly() {
    FleetOptions options;
    options.instances = 1;
    // A key-value service that is out for a moment must not end admission.
    options.fresh_bound_ms = 60'000;
    Fleet fleet(options);
    fleet.WaitReady();
    const CallerKey key = fleet.Grant("finance");
    const auto pay = [&](const RefusalCase& item) {
      CallSpec spec;
      spec.method = "POST";
      spec.path = "/v1/services/ledger/payouts";
      spec.body = json({{"payout", item.payout}}).dump();
      if (*item.idempotency_key != '\0') {
        spec.headers = {{"Idempotency-Key", item.idempotency_key}};
      }
      return CallInstance(fleet.CallerEndpoint(1), key.ToString(), spec);
    };
    CallSpec models;
    models.path = "/v1/models";
    CPPUNIT_ASSERT(WaitUntil([&] {
      return CallInstance(fleet.CallerEndpoint(1), key.ToString(), models)
                 .status == 200;
    }));
    for (const RefusalCase& item : Cases()) {
      // Failures set the target aside; the next case needs it back.
      CPPUNIT_ASSERT(WaitUntil([&fleet] {
        return fleet.Status(1).at("targets").dump().find("ejected") ==
               std::string::npos;
      }));
      item.break_it(fleet);
      const CallResult result = pay(item);
      item.mend_it(fleet);
      const std::string seen = std::string(item.name) + ": " +
                               std::to_string(result.status) + " " +
                               result.body + result.failure;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, item.status, result.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, std::string(item.code), result.code);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, std::string(item.ran), result.ran);
      const int runs = fleet.Ledger().Runs(item.payout);
      CPPUNIT_ASSERT_MESSAGE(seen, result.ran != "no" || runs == 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, item.runs, runs);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RefusalsIntegration,
                                      "integration-refusals");

}  // namespace
}  // namespace dragonflyglade
