// Clients that state a large body and do not send it.

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "absl/strings/str_cat.h"
#include "tests/platform/clients/check_serves.h"
#include "tests/platform/clients/gateway_process.h"

namespace dragonflyglade {
namespace {

struct StatedBodyCase {
  const char* what;
  const char* key;
  std::size_t sent_bytes;  ///< of each body, at once
};

class StatedBodiesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatedBodiesTest);
  CPPUNIT_TEST(LeavesRoomToOrdinaryCallers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against ordinary requests that are refused, since bodies that do not
  // come have all the room.
  void LeavesRoomToOrdinaryCallers() {
    constexpr int kCallers = 8;
    constexpr std::size_t kStatedBytes = 1u << 20;
    constexpr std::size_t kOrdinaryBytes = 18'000;
    std::string faults;
    for (const StatedBodyCase& item :
         {StatedBodyCase{"nothing is sent", "k1", 0},
          StatedBodyCase{"unknown callers", "unknown", 0},
          StatedBodyCase{"a byte is sent", "k1", 1},
          StatedBodyCase{"a part is sent", "k1", kStatedBytes / 8}}) {
      GatewayProcess::Options options;
      options.limits = {{"request_bodies_kb", 8192}};
      GatewayProcess gateway(std::move(options));
      const auto crowd = gateway.ConnectCrowd(kCallers);
      for (const auto& caller : crowd) {
        caller->Send(gateway.Head("POST", "/any/", item.key,
                                  absl::StrCat("Content-Length: ", kStatedBytes,
                                               "\r\n")) +
                     std::string(item.sent_bytes, 'q'));
      }
      faults += FindFault(item.what, gateway, SmallestMachine::kMemoryBytes,
                          kOrdinaryBytes);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StatedBodiesTest,
                                      "clients-stated-bodies");

}  // namespace
}  // namespace dragonflyglade
