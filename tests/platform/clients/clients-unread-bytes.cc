// Clients that send on while their request is being served. What the process
// has not read counts as its machine's memory.

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "tests/platform/clients/check_serves.h"
#include "tests/platform/clients/gateway_process.h"

namespace dragonflyglade {
namespace {

class UnreadBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnreadBytesTest);
  CPPUNIT_TEST(BoundsWhatIsNotRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a machine whose memory is full of bytes that wait to be
  // read.
  void BoundsWhatIsNotRead() {
    constexpr std::size_t kCallers = 100;
    constexpr std::size_t kBytesEach = 4'000'000;
    GatewayProcess::Options options;
    options.limits = {{"caller_socket_kb", 16}};
    options.answer = [](const RawRequest& request) {
      if (request.Line().find("/slow") == std::string::npos) {
        return SuccessfulResponse(request);
      }
      PlatformTargetStandIn::Script script;
      script.hang = true;
      return script;
    };
    GatewayProcess gateway(std::move(options));
    const auto crowd = gateway.ConnectCrowd(kCallers);
    const std::string more(kBytesEach, 'x');
    std::size_t unread = 0;
    for (const auto& caller : crowd) {
      const std::string head = gateway.Head("GET", "/any/slow");
      caller->Send(head);
      CheckServes("before", gateway, SmallestMachine::kMemoryBytes);
      const std::size_t sent = caller->SendWithoutWaiting(more);
      unread += sent - caller->UnsentBytes();
    }
    CPPUNIT_ASSERT_MESSAGE(
        absl::StrCat(unread, " bytes are not read"),
        unread <= kCallers * SmallestMachine::kBytesPerConnection);
    CheckServes("after", gateway, SmallestMachine::kMemoryBytes);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(UnreadBytesTest, "clients-unread-bytes");

}  // namespace
}  // namespace dragonflyglade
