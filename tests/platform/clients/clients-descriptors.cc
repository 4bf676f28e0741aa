// Crowds of clients that have more connections open than the process may have.

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "absl/strings/str_cat.h"
#include "tests/platform/clients/check_serves.h"
#include "tests/platform/clients/gateway_process.h"

namespace dragonflyglade {
namespace {

constexpr int kDescriptors = 256;
constexpr int kCallers = 400;
// A request takes one for its caller and one for its target, so that a crowd of
// callers may have half.
constexpr int kMostOpen = kDescriptors / 2;
// The crowd stays for longer than an ordinary caller waits.
const nlohmann::json kLongTimeouts = {{"idle_timeout_ms", 120'000},
                                      {"header_timeout_ms", 120'000}};

/// The response of a target that keeps no connection, so that each request
/// takes a new descriptor.
PlatformTargetStandIn::Script RespondAndClose(const RawRequest& request) {
  PlatformTargetStandIn::Script script;
  script.bytes = ResponseBytes(request, "200 OK", "done",
                               kSigned + "Connection: close\r\n");
  script.close = true;
  return script;
}

/// What each client of a crowd does before it stays as it is.
struct CrowdCase {
  const char* what;
  Listener listener;
  std::string sends;
};

class DescriptorsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DescriptorsTest);
  CPPUNIT_TEST(LetsOrdinaryCallersIn);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against callers, and connections to targets and to the store, for
  // which there is no descriptor while a crowd has all of them.
  void LetsOrdinaryCallersIn() {
    std::string faults;
    for (const CrowdCase& item : {
             CrowdCase{"silent", Listener::kCallers, ""},
             CrowdCase{"within a head", Listener::kCallers, "GET /any/"},
             CrowdCase{"within a body", Listener::kCallers,
                       "POST /any/ HTTP/1.1\r\nHost: h.example\r\n"
                       "Content-Length: 9\r\n\r\n"},
             CrowdCase{"at the directory", Listener::kDirectory, ""},
             CrowdCase{"at the readiness check", Listener::kReadiness, ""},
             CrowdCase{"at the metrics", Listener::kMetrics, ""},
             CrowdCase{"at the peers' listener", Listener::kPeers, ""},
         }) {
      GatewayProcess::Options options;
      options.descriptors = kDescriptors;
      options.caller_limits = kLongTimeouts;
      options.answer = RespondAndClose;
      GatewayProcess gateway(std::move(options));
      const auto crowd = gateway.ConnectCrowd(kCallers, item.listener);
      for (const auto& caller : crowd) caller->Send(item.sends);
      faults += FindFault(item.what, gateway, SmallestMachine::kMemoryBytes);
      const int open = gateway.OpenDescriptors();
      if (open > kMostOpen) {
        faults +=
            absl::StrCat(item.what, ": ", open, " descriptors are open\n");
      }
      if (StatusOf(gateway.AskReadiness()) != 200) {
        faults += absl::StrCat(item.what, ": no answer to a readiness check\n");
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(DescriptorsTest, "clients-descriptors");

}  // namespace
}  // namespace dragonflyglade
