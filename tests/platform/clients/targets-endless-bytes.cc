// Targets that send bytes which are no answer, without end, at many connections
// at once.

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "tests/platform/clients/check_serves.h"
#include "tests/platform/clients/gateway_process.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;
using Script = PlatformTargetStandIn::Script;

constexpr int kCallers = 100;
constexpr int kEngines = 24;
constexpr absl::Duration kTime = absl::Seconds(3);
constexpr std::size_t kRepeatedBytes = 1u << 16;

const std::string kHead = absl::StrCat("HTTP/1.1 200 OK\r\n", kSigned);

/// An answer that never ends.
struct EndlessCase {
  const char* what;
  std::string begin;
  char repeated;
};

std::vector<EndlessCase> EndlessCases() {
  const std::string chunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"no answer", "", 'x'},
      {"a field of the head", kHead + "X-A: ", 'x'},
      {"a body until the close", kHead + "\r\n", 'x'},
      {"a body of a stated length",
       kHead + "Content-Length: 9000000000\r\n\r\n", 'x'},
      {"an extension of a chunk", chunked + "1;a=", 'x'},
      {"a trailer", chunked + "1\r\nx\r\n0\r\nX-A: ", 'x'},
      {"an answer to another request",
       kHead + "X-Dragonflyglade-Attempt-Id: other\r\n"
               "Content-Length: 9000000000\r\n\r\n",
       'x'},
      {"a refusal",
       "HTTP/1.1 503 Busy\r\nX-Dragonflyglade-Not-Executed: 1\r\n\r\n", 'x'},
  };
}

Script Endless(const EndlessCase& item) {
  Script script;
  script.bytes = item.begin;
  script.endless = std::string(kRepeatedBytes, item.repeated);
  return script;
}

class TargetsEndlessBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetsEndlessBytesTest);
  CPPUNIT_TEST(AreNotKeptForRequests);
  CPPUNIT_TEST(AreNotKeptForReports);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that runs out of memory since one target answers
  // many requests without end.
  void AreNotKeptForRequests() {
    std::string faults;
    for (const EndlessCase& item : EndlessCases()) {
      GatewayProcess::Options options;
      options.answer = [&](const RawRequest& request) {
        return absl::StrContains(request.Line(), "endless")
                   ? Endless(item)
                   : SuccessfulResponse(request);
      };
      GatewayProcess gateway(std::move(options));
      const auto crowd = gateway.ConnectCrowd(kCallers);
      for (const auto& caller : crowd) {
        caller->Send(gateway.Head("GET", "/any/endless"));
      }
      absl::SleepFor(kTime);
      faults += FindFault(item.what, gateway, SmallestMachine::kMemoryBytes);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }

  // Guards against the same by the reports that a leader asks all engines for.
  void AreNotKeptForReports() {
    std::string faults;
    for (const EndlessCase& item : EndlessCases()) {
      GatewayProcess::Options options;
      options.service = {{"engine",
                          {{"models", {{{"name", "m"}, {"weights_mb", 10}}}},
                           {"weights_mb", 10},
                           {"adapter_slots", 2},
                           {"loads_per_s", 2}}}};
      GatewayProcess gateway(std::move(options));
      std::vector<std::unique_ptr<PlatformTargetStandIn>> engines;
      for (int i = 0; i < kEngines; ++i) {
        engines.push_back(std::make_unique<PlatformTargetStandIn>(
            [&](const RawRequest&) { return Endless(item); }));
        gateway.Store().Put(absl::StrCat("servers/i-engine-", i),
                            json{{"service", "s"},
                                 {"address", engines.back()->Address()},
                                 {"zone", "z"},
                                 {"slots", 4},
                                 {"state", "draining"},
                                 {"born", 1},
                                 {"models", json::array()}}
                                .dump());
      }
      absl::SleepFor(kTime);
      faults += FindFault(item.what, gateway, SmallestMachine::kMemoryBytes);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TargetsEndlessBytesTest,
                                      "targets-endless-bytes");

}  // namespace
}  // namespace dragonflyglade
