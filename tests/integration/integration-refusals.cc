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

// A payout request during a fault, and the expected response to its caller.
struct RefusalCase {
  const char* name;
  const char* payout;
  const char* idempotency_key;  ///< empty for none
  std::function<void(Fleet&)> inject_fault;
  std::function<void(Fleet&)> clear_fault;
  int status;
  const char* code;
  const char* reported_ran;
  int expected_runs;  ///< of the payout, after the case
};

std::vector<RefusalCase> Cases() {
  const auto no_change = [](Fleet&) {};
  return {
      {"the answer is lost", "p-lost", "",
       [](Fleet& fleet) { fleet.Ledger().DropResponses(1); }, no_change, 502,
       "answer_truncated", "unknown", 1},
      {"the answer is late", "p-late", "",
       [](Fleet& fleet) { fleet.Ledger().SetDelay(absl::Seconds(3)); },
       [](Fleet& fleet) { fleet.Ledger().SetDelay(absl::ZeroDuration()); }, 504,
       "target_timeout", "unknown", 1},
      {"the answer is for another request", "p-other", "",
       [](Fleet& fleet) { fleet.Ledger().SetEchoedId("another"); },
       [](Fleet& fleet) { fleet.Ledger().SetEchoedId(""); }, 502,
       "answer_mismatch", "unknown", 1},
      {"the answer to a call with a key is lost", "p-keyed", "k-keyed",
       [](Fleet& fleet) { fleet.Ledger().DropResponses(1); }, no_change, 502,
       "answer_truncated", "unknown", 1},
      {"the same key again", "p-keyed", "k-keyed", no_change, no_change, 409,
       "claim_in_doubt", "unknown", 1},
      {"the key of another request", "p-reused", "k-keyed", no_change,
       no_change, 422, "idempotency_key_reused", "no", 0},
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
  CPPUNIT_TEST(ErrorsStateWhetherPayoutRan);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Failure: an error response says that a payout did not run although it did,
  // or a payout runs twice. The target loses, delays or mixes up its responses,
  // its connection is lost, or the key-value service is unavailable. A caller
  // may be told "no" only if its payout did not run.
  void ErrorsStateWhetherPayoutRan() {
    FleetOptions options;
    options.instances = 1;
    // A brief outage of the key-value service must not stop admission.
    options.fresh_bound_ms = 60'000;
    Fleet fleet(options);
    fleet.WaitReady();
    const CallerKey key = fleet.Grant("finance");
    const auto send_payout = [&](const RefusalCase& item) {
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
      // The faults eject the target; the next case needs it in use again.
      CPPUNIT_ASSERT(WaitUntil([&fleet] {
        return fleet.Status(1).at("targets").dump().find("ejected") ==
               std::string::npos;
      }));
      item.inject_fault(fleet);
      const CallResult result = send_payout(item);
      item.clear_fault(fleet);
      const std::string observed = std::string(item.name) + ": " +
                                   std::to_string(result.status) + " " +
                                   result.body + result.failure;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(observed, item.status, result.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(observed, std::string(item.code),
                                   result.code);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(observed, std::string(item.reported_ran),
                                   result.ran);
      const int runs = fleet.Ledger().Runs(item.payout);
      CPPUNIT_ASSERT_MESSAGE(observed, result.ran != "no" || runs == 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(observed, item.expected_runs, runs);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RefusalsIntegration,
                                      "integration-refusals");

}  // namespace
}  // namespace dragonflyglade
