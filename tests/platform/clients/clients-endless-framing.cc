// Clients whose request never ends, in the parts of it that are neither its
// head nor its body.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/clients/check_serves.h"
#include "tests/platform/clients/gateway_process.h"

namespace dragonflyglade {
namespace {

constexpr int kCallers = 4;
constexpr std::size_t kBytesEach = 48'000'000;

/// What a client sends behind the head of a request with a chunked body.
struct FramingCase {
  const char* what;
  std::string begin;
  std::string repeated;
};

std::vector<FramingCase> FramingCases() {
  return {
      {"trailers", "0\r\n", "a: b\r\n"},
      {"one long trailer", "0\r\na: ", "b"},
      {"extension of a chunk", "5;", "x"},
      {"extension of the last chunk", "0;", "x"},
      {"chunk size", "", "0"},
      {"chunks with extensions", "",
       "1;" + std::string(4000, 'x') + "\r\nq\r\n"},
      {"spaces behind a chunk size", "5", " "},
  };
}

class EndlessFramingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessFramingTest);
  CPPUNIT_TEST(KeepsNothingOfIt);
  CPPUNIT_TEST(KeepsNothingOfUnknownCallers);
  CPPUNIT_TEST(KeepsNothingAtOtherListeners);
  CPPUNIT_TEST(ServesFramingInsideTheLimits);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that runs out of memory, since it keeps what
  // frames a body until that is complete.
  void KeepsNothingOfIt() {
    std::string faults;
    for (const FramingCase& item : FramingCases()) {
      faults += this->Play(item, Listener::kCallers, "k1");
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }

  // Guards against the same before a caller's key is looked at.
  void KeepsNothingOfUnknownCallers() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        this->Play(FramingCases().front(), Listener::kCallers, "unknown"));
  }

  // Guards against the same where nobody shows a key.
  void KeepsNothingAtOtherListeners() {
    std::string faults;
    for (const Listener listener : {Listener::kReadiness, Listener::kDirectory,
                                    Listener::kMetrics, Listener::kPeers}) {
      faults += this->Play(FramingCases().front(), listener, "k1");
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }

  // Guards against a limit that callers meet who frame their bodies at length.
  void ServesFramingInsideTheLimits() {
    GatewayProcess gateway;
    const std::string chunk =
        "5;note=" + std::string(8000, 'x') + "\r\nhello\r\n";
    RawCaller caller(gateway.At(Listener::kCallers));
    caller.Send(gateway.Head("POST", "/any/framed", "k1",
                             "Transfer-Encoding: chunked\r\n") +
                chunk + chunk + "0;last\r\nX-One: " + std::string(8000, 'x') +
                "\r\nX-Two: 2\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(caller.ReadResponse()));
    const auto requests = gateway.Target().Requests();
    const auto served = std::find_if(
        requests.begin(), requests.end(), [](const RawRequest& request) {
          return request.Line() == "POST /any/framed HTTP/1.1";
        });
    CPPUNIT_ASSERT(served != requests.end());
    CPPUNIT_ASSERT_EQUAL(std::string("hellohello"), served->body);
  }

 private:
  std::string Play(const FramingCase& item, Listener listener,
                   const char* key) {
    GatewayProcess gateway;
    const auto crowd = gateway.ConnectCrowd(kCallers, listener);
    std::vector<std::thread> threads;
    threads.reserve(kCallers);
    for (const auto& caller : crowd) {
      caller->Send(
          gateway.Head("POST", "/any/", key, "Transfer-Encoding: chunked\r\n") +
          item.begin);
      threads.emplace_back(
          [&] { caller->SendRepeatedly(item.repeated, kBytesEach); });
    }
    for (std::thread& thread : threads) thread.join();
    return FindFault(item.what, gateway, SmallestMachine::kMemoryBytes);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(EndlessFramingTest,
                                      "clients-endless-framing");

}  // namespace
}  // namespace dragonflyglade
