#include "tests/platform/clients/check_serves.h"

#include <cppunit/extensions/HelperMacros.h>

#include "absl/strings/str_cat.h"

namespace dragonflyglade {

std::string FindFault(const std::string& what, GatewayProcess& gateway,
                      std::size_t memory_bound, std::size_t body_bytes) {
  // The first request is read after what the clients have sent before.
  for (int i = 0; i < 2; ++i) {
    const int status = StatusOf(gateway.CallAsOrdinary(body_bytes));
    if (!gateway.IsRunning()) return what + ": the process has ended\n";
    if (status != 200) {
      return absl::StrCat(what, ": an ordinary request got ", status, "\n");
    }
  }
  const std::size_t peak = gateway.PeakMemory();
  if (peak <= memory_bound) return "";
  return absl::StrCat(what, ": ", peak, " bytes of at most ", memory_bound,
                      "\n");
}

void CheckServes(const std::string& what, GatewayProcess& gateway,
                 std::size_t memory_bound, std::size_t body_bytes) {
  CPPUNIT_ASSERT_EQUAL(std::string(),
                       FindFault(what, gateway, memory_bound, body_bytes));
}

}  // namespace dragonflyglade
