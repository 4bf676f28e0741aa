// Crowds of clients that send little, but for which the process keeps much.

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <string>

#include "absl/strings/str_cat.h"
#include "tests/platform/clients/check_serves.h"
#include "tests/platform/clients/gateway_process.h"

namespace dragonflyglade {
namespace {

constexpr int kCallers = 400;
// The part of the smallest machine's memory that so many connections have.
constexpr std::size_t kCrowdBytes =
    kCallers * SmallestMachine::kBytesPerConnection;
constexpr int kRequestMemoryKb = 4096;

GatewayProcess::Options SmallLimits() {
  GatewayProcess::Options options;
  options.limits = {{"request_bodies_kb", kRequestMemoryKb},
                    {"caller_buffers_kb", kRequestMemoryKb}};
  return options;
}

/// Header lines that nearly fill a head of 16 KB, as short as can be.
std::string ShortFields() {
  constexpr std::size_t kBytes = 15'800;
  std::string fields;
  while (fields.size() < kBytes) fields += "a:\r\n";
  return fields;
}

struct IdleCase {
  const char* what;
  std::string fields;  ///< of the request before the connection is idle
  std::string body;
};

class KeptMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeptMemoryTest);
  CPPUNIT_TEST(KeepsNothingForIdleConnections);
  CPPUNIT_TEST(BoundsHeadsWhoseBodyDoesNotCome);
  CPPUNIT_TEST(BoundsHeadsOfRequestsInProgress);
  CPPUNIT_TEST(BoundsHeadsWithoutEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against connections that keep the memory of their largest request
  // while they are idle.
  void KeepsNothingForIdleConnections() {
    constexpr std::size_t kBodyBytes = 100'000;
    const std::string body(kBodyBytes, 'q');
    const std::string chunk =
        fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", kBodyBytes, body);
    std::string faults;
    for (const IdleCase& item :
         {IdleCase{"a stated length",
                   absl::StrCat("Content-Length: ", kBodyBytes, "\r\n"), body},
          IdleCase{"chunks", "Transfer-Encoding: chunked\r\n", chunk},
          IdleCase{"a long head",
                   absl::StrCat("X: ", std::string(15'000, 'x'),
                                "\r\nContent-Length: 0\r\n"),
                   ""}}) {
      GatewayProcess gateway(SmallLimits());
      const std::size_t before = gateway.PeakMemory();
      const auto crowd = gateway.ConnectCrowd(kCallers);
      for (const auto& caller : crowd) {
        caller->Send(gateway.Head("POST", "/any/", "k1", item.fields) +
                     item.body);
        CPPUNIT_ASSERT_EQUAL(200, StatusOf(caller->ReadResponse()));
      }
      faults += FindFault(item.what, gateway, before + kCrowdBytes);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }

  // Guards against heads that take many times their length once they are
  // parsed, and that nothing counts.
  void BoundsHeadsWhoseBodyDoesNotCome() {
    GatewayProcess gateway(SmallLimits());
    const std::size_t before = gateway.PeakMemory();
    const auto crowd = gateway.ConnectCrowd(kCallers);
    for (const auto& caller : crowd) {
      caller->Send(gateway.Head("POST", "/any/", "k1",
                                ShortFields() + "Content-Length: 10\r\n"));
    }
    CheckServes("heads", gateway, before + kCrowdBytes);
  }

  // Guards against the same while their target is slow.
  void BoundsHeadsOfRequestsInProgress() {
    GatewayProcess::Options options = SmallLimits();
    options.answer = [](const RawRequest& request) {
      const bool is_ordinary = request.head.find("a:") == std::string::npos;
      if (is_ordinary || request.IsInspection()) {
        return SuccessfulResponse(request);
      }
      PlatformTargetStandIn::Script script;
      script.hang = true;
      return script;
    };
    GatewayProcess gateway(std::move(options));
    const std::size_t before = gateway.PeakMemory();
    const auto crowd = gateway.ConnectCrowd(kCallers);
    for (const auto& caller : crowd) {
      caller->Send(gateway.Head("GET", "/any/", "k1", ShortFields()));
    }
    CheckServes("requests", gateway, before + kCrowdBytes);
  }

  // Guards against heads that are kept while they are read.
  void BoundsHeadsWithoutEnd() {
    GatewayProcess gateway(SmallLimits());
    const std::size_t before = gateway.PeakMemory();
    const auto crowd = gateway.ConnectCrowd(kCallers);
    for (const auto& caller : crowd) {
      std::string head = gateway.Head("GET", "/any/", "k1", ShortFields());
      head.resize(head.size() - 2);
      caller->Send(head);
    }
    CheckServes("heads without end", gateway, before + kCrowdBytes);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(KeptMemoryTest, "clients-kept-memory");

}  // namespace
}  // namespace dragonflyglade
