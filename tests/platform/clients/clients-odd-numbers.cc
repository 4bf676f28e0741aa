// Clients whose fields hold numbers that are none, or that nobody would state.

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/platform/clients/check_serves.h"
#include "tests/platform/clients/gateway_process.h"

namespace dragonflyglade {
namespace {

const std::vector<std::string>& Numbers() {
  static const std::vector<std::string> kNumbers = {"",
                                                    "nan",
                                                    "-nan",
                                                    "inf",
                                                    "-inf",
                                                    "-1",
                                                    "0",
                                                    "1e18",
                                                    "1e308",
                                                    "-1e308",
                                                    "1e-320",
                                                    "0x10",
                                                    "9223372036854775808",
                                                    "18446744073709551616",
                                                    "abc"};
  return kNumbers;
}

std::vector<std::string> Fields(const std::string& number) {
  const std::string model = "X-Dragonflyglade-Model: m\r\n";
  return {
      absl::StrCat("X-Dragonflyglade-Deadline-Ms: ", number, "\r\n"),
      absl::StrCat(model, "X-Dragonflyglade-Token-Usage: ", number, ",10\r\n"),
      absl::StrCat(model, "X-Dragonflyglade-Token-Usage: 10,", number, "\r\n"),
      absl::StrCat(model,
                   "X-Dragonflyglade-Token-Usage: 10,10\r\n"
                   "X-Dragonflyglade-Length-Hint: ",
                   number, "\r\n"),
      absl::StrCat(model,
                   "X-Dragonflyglade-Token-Usage: 20,10\r\n"
                   "X-Dragonflyglade-Prompt-Prefix: a:",
                   number, ",b:5\r\n"),
      absl::StrCat("Last-Event-Id: ", number, "\r\n"),
      absl::StrCat("X-Dragonflyglade-Request-Priority: ", number, "\r\n"),
  };
}

/// A service whose one target has the model, and a workspace with a quota.
GatewayProcess::Options WithEngine() {
  GatewayProcess::Options options;
  options.service = {{"engine",
                      {{"models", {{{"name", "m"}, {"weights_mb", 10}}}},
                       {"weights_mb", 100},
                       {"adapter_slots", 2},
                       {"slots", 8},
                       {"kv_capacity_tokens", 10'000},
                       {"loads_per_s", 2}}}};
  options.models = {{{"name", "m"}, {"adapters", nlohmann::json::array()}}};
  options.quota = {{"rate_per_s", 100'000},
                   {"burst", 100'000},
                   {"unit", "token_stream"},
                   {"plain_tokens", 1}};
  return options;
}

class OddNumbersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddNumbersTest);
  CPPUNIT_TEST(ServesOthersAfterThem);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against numbers that spoil what the process counts with, or end it.
  void ServesOthersAfterThem() {
    GatewayProcess gateway(WithEngine());
    std::string faults;
    for (const std::string& number : Numbers()) {
      for (const std::string& fields : Fields(number)) {
        for (const char* path : {"/any/", "/stream/"}) {
          RawCaller caller(gateway.At(Listener::kCallers));
          caller.Send(gateway.Head("GET", path, "k1",
                                   "Connection: close\r\n" + fields));
          if (StatusOf(caller.ReadToEnd()) == 0) {
            faults += absl::StrCat("no response: ", fields);
          }
        }
        faults += FindFault(fields, gateway, SmallestMachine::kMemoryBytes);
        if (!gateway.IsRunning()) CPPUNIT_FAIL(faults);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(OddNumbersTest, "clients-odd-numbers");

}  // namespace
}  // namespace dragonflyglade
