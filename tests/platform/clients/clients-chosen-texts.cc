// Clients that choose long texts, each time others, where the process keeps
// what it has seen.

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/platform/clients/check_serves.h"
#include "tests/platform/clients/gateway_process.h"

namespace dragonflyglade {
namespace {

constexpr int kCallers = 4;
constexpr std::size_t kTextBytes = 14'000;

/// What the clients of a crowd choose.
struct TextCase {
  const char* what;
  const char* path;
  const char* key;
  std::string before;  ///< of the text, in the request's head
  std::string after;
};

std::vector<TextCase> TextCases() {
  const std::string model =
      "X-Dragonflyglade-Token-Usage: 10,10\r\nX-Dragonflyglade-Model: ";
  return {
      {"ids", "/any/", "k1", "X-Dragonflyglade-Attempt-Id: ", ""},
      {"unknown keys", "/any/", "unknown", "Authorization: Bearer ", ""},
      {"models", "/any/", "k1", model, ""},
      {"adapters", "/any/", "k1", model + "m/", ""},
      {"parts of prompts", "/any/", "k1",
       model + "m\r\nX-Dragonflyglade-Prompt-Prefix: ", ":5,1:5"},
      {"streams that are taken up", "/stream/", "k1",
       "X-Dragonflyglade-Resumes: ", ""},
      {"last events", "/stream/", "k1", "Last-Event-Id: ", ""},
  };
}

nlohmann::json EngineService() {
  return {{"engine",
           {{"models", {{{"name", "m"}, {"weights_mb", 10}, {"adapters", 2}}}},
            {"weights_mb", 100},
            {"adapter_slots", 2},
            {"loads_per_s", 2}}}};
}

class ChosenTextsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChosenTextsTest);
  CPPUNIT_TEST(KeepsFewOfThem);
  CPPUNIT_TEST(KeepsFewLinesOfThemForALogThatNobodyReads);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against tables that grow with each new text of a caller.
  void KeepsFewOfThem() {
    constexpr int kRequestsEach = 2500;
    std::string faults;
    for (const TextCase& item : TextCases()) {
      GatewayProcess::Options options;
      options.service = EngineService();
      GatewayProcess gateway(std::move(options));
      this->SendRequests(gateway, item, kRequestsEach);
      faults += FindFault(item.what, gateway, SmallestMachine::kMemoryBytes);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }

  // Guards against lines that wait to be written and have each text whole.
  void KeepsFewLinesOfThemForALogThatNobodyReads() {
    constexpr int kRequestsEach = 6000;
    GatewayProcess::Options options;
    options.service = EngineService();
    options.log_is_read = false;
    GatewayProcess gateway(std::move(options));
    this->SendRequests(gateway, TextCases().front(), kRequestsEach);
    CheckServes("log", gateway, SmallestMachine::kMemoryBytes);
  }

 private:
  void SendRequests(GatewayProcess& gateway, const TextCase& item,
                    int requests) {
    std::vector<std::thread> threads;
    threads.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      threads.emplace_back([&gateway, &item, requests, i] {
        RawCaller caller(gateway.At(Listener::kCallers));
        for (int n = 0; n < requests; ++n) {
          // No valid UTF-8, which takes more room once it is escaped.
          const std::string text =
              absl::StrCat(i, "-", n, std::string(kTextBytes, '\x80'));
          caller.Send(absl::StrCat(
              "GET ", item.path, " HTTP/1.1\r\nHost: h.example\r\n",
              "X-Dragonflyglade-Deadline-Ms: 3\r\nAuthorization: Bearer ",
              item.key, "\r\n", item.before, text, item.after, "\r\n\r\n"));
          if (caller.ReadResponse().empty()) break;
        }
      });
    }
    for (std::thread& thread : threads) thread.join();
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ChosenTextsTest, "clients-chosen-texts");

}  // namespace
}  // namespace dragonflyglade
