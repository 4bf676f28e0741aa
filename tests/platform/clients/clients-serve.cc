// Clients that do not behave, before an instance of `serve`.

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/fleet/fleet.h"
#include "tests/platform/clients/gateway_process.h"
#include "tests/platform/clients/process_usage.h"
#include "tests/platform/clients/raw_caller.h"

namespace dragonflyglade {
namespace {

constexpr int kCallers = 4;
constexpr std::size_t kBytesEach = 48'000'000;

/// What a client sends without end.
struct EndlessCase {
  const char* what;
  std::string begin;
  std::string repeated;
};

std::vector<EndlessCase> EndlessCases() {
  const std::string line = "POST /v1/chat/completions HTTP/1.1\r\n";
  const std::string chunked =
      line + "Host: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  return {
      {"request line", "GET /", "x"},
      {"field", line + "X: ", "x"},
      {"fields", line, "a: b\r\n"},
      {"chunk size", chunked, "0"},
      {"extension of a chunk", chunked + "5;", "x"},
      {"trailers", chunked + "0\r\n", "a: b\r\n"},
      {"one long trailer", chunked + "0\r\na: ", "b"},
  };
}

class ServeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServeTest);
  CPPUNIT_TEST(KeepsNothingWithoutEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that runs out of memory, since it keeps a request
  // until that is complete.
  void KeepsNothingWithoutEnd() {
    std::string faults;
    for (const EndlessCase& item : EndlessCases()) {
      FleetOptions options;
      options.instances = 1;
      options.engines = 1;
      Fleet fleet(options);
      fleet.WaitReady();
      std::vector<std::thread> threads;
      threads.reserve(kCallers);
      for (int i = 0; i < kCallers; ++i) {
        threads.emplace_back([&] {
          RawCaller caller(fleet.CallerEndpoint(1));
          caller.Send(item.begin);
          caller.SendRepeatedly(item.repeated, kBytesEach);
        });
      }
      for (std::thread& thread : threads) thread.join();
      faults += this->FindFault(item.what, fleet);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }

 private:
  std::string FindFault(const std::string& what, Fleet& fleet) const {
    RawCaller caller(fleet.CallerEndpoint(1));
    caller.Send("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
    const int status = StatusOf(caller.ReadResponse());
    if (!fleet.Instance(1).Running()) {
      return what + ": the process has ended\n";
    }
    if (status != 200) return absl::StrCat(what, ": status ", status, "\n");
    const std::size_t peak = PeakMemoryOf(fleet.Instance(1).Pid());
    if (peak <= SmallestMachine::kMemoryBytes) return "";
    return absl::StrCat(what, ": ", peak, " bytes\n");
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ServeTest, "clients-serve");

}  // namespace
}  // namespace dragonflyglade
