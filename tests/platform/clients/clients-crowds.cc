// Crowds of clients that leave, do not read, or ask for everything at once.

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "tests/fleet/fleet.h"
#include "tests/platform/clients/check_serves.h"
#include "tests/platform/clients/gateway_process.h"

namespace dragonflyglade {
namespace {

constexpr int kCallers = 400;
// Beside those that the process had before a crowd: to targets and the store.
constexpr int kMoreDescriptors = 100;

PlatformTargetStandIn::Script RespondAtLength(const RawRequest& request) {
  constexpr std::size_t kBodyBytes = 1'000'000;
  const bool is_large = request.Line().find("/large") != std::string::npos;
  return {ResponseBytes(request, "200 OK",
                        is_large ? std::string(kBodyBytes, 'r') : "done",
                        kSigned)};
}

class CrowdsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrowdsTest);
  CPPUNIT_TEST(OutlivesCallersWhoReset);
  CPPUNIT_TEST(OutlivesCallersWhoSendNoMore);
  CPPUNIT_TEST(OutlivesCallersWhoDoNotRead);
  CPPUNIT_TEST(OutlivesCallersWhoDoNotGoOn);
  CPPUNIT_TEST(LetsOthersTakeTheirTurn);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against descriptors and memory that are kept for callers who reset
  // their connection at each step.
  void OutlivesCallersWhoReset() {
    GatewayProcess gateway;
    const int before = gateway.OpenDescriptors();
    for (const std::string& sent :
         {std::string(), std::string("GET /any/"), gateway.Head("GET", "/any/"),
          gateway.Head("POST", "/any/", "k1", "Content-Length: 9\r\n"),
          gateway.Head("POST", "/once/", "k1", "Content-Length: 2\r\n") +
              "qq"}) {
      const auto crowd = gateway.ConnectCrowd(kCallers);
      for (const auto& caller : crowd) {
        caller->Send(sent);
        caller->Reset();
      }
    }
    CheckServes("reset", gateway, SmallestMachine::kMemoryBytes);
    this->CheckDescriptors(gateway, before);
  }

  // Guards against callers who close their side and wait.
  void OutlivesCallersWhoSendNoMore() {
    GatewayProcess gateway;
    const int before = gateway.OpenDescriptors();
    const auto crowd = gateway.ConnectCrowd(kCallers);
    for (const auto& caller : crowd) {
      caller->Send(gateway.Head("GET", "/any/"));
      caller->CloseSending();
    }
    CheckServes("half closed", gateway, SmallestMachine::kMemoryBytes);
    this->CheckDescriptors(gateway, before);
  }

  // Guards against responses that fill the memory, since nobody reads them.
  void OutlivesCallersWhoDoNotRead() {
    GatewayProcess::Options options;
    options.answer = RespondAtLength;
    GatewayProcess gateway(std::move(options));
    const auto crowd = gateway.ConnectCrowd(kCallers);
    for (const auto& caller : crowd) {
      caller->Send(gateway.Head("GET", "/any/large"));
    }
    CheckServes("not read", gateway, SmallestMachine::kMemoryBytes);
  }

  // Guards against callers who ask whether to go on and never do.
  void OutlivesCallersWhoDoNotGoOn() {
    GatewayProcess gateway;
    const auto crowd = gateway.ConnectCrowd(kCallers);
    for (const auto& caller : crowd) {
      caller->Send(
          gateway.Head("POST", "/any/", "k1",
                       "Expect: 100-continue\r\nContent-Length: 1000\r\n"));
    }
    CheckServes("expect", gateway, SmallestMachine::kMemoryBytes);
  }

  // Guards against one connection that has the event loop to itself.
  void LetsOthersTakeTheirTurn() {
    constexpr int kRequests = 5000;
    GatewayProcess gateway;
    std::string requests;
    for (int i = 0; i < kRequests; ++i) {
      requests += gateway.Head("GET", "/any/");
    }
    const auto crowd = gateway.ConnectCrowd(4);
    for (const auto& caller : crowd) caller->SendWithoutWaiting(requests);
    CheckServes("piped", gateway, SmallestMachine::kMemoryBytes);
  }

 private:
  void CheckDescriptors(GatewayProcess& gateway, int before) const {
    CPPUNIT_ASSERT(WaitUntil([&gateway, before] {
      return gateway.OpenDescriptors() <= before + kMoreDescriptors;
    }));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CrowdsTest, "clients-crowds");

}  // namespace
}  // namespace dragonflyglade
