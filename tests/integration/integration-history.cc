#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "absl/time/clock.h"
#include "tests/fleet/caller.h"
#include "tests/fleet/fleet.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr double kRate = 1000;
constexpr double kBurst = 2000;
constexpr double kCallCost = 10;
constexpr int kCallers = 12;
constexpr int kGoodCalls = 400;

Instant Now() { return absl::Now() - absl::UnixEpoch(); }

// Reads the status of every instance again and again, and notes which
// revision each had in force.
class StatusReader {
 public:
  StatusReader(Fleet& fleet, std::vector<int> instances, History& history)
      : fleet(fleet),
        instances(std::move(instances)),
        history(history),
        thread([this] { this->Run(); }) {}
  ~StatusReader() {
    this->stopping = true;
    this->thread.join();
  }

 private:
  void Run() {
    while (!this->stopping) {
      for (const int number : this->instances) {
        const json status = this->fleet.Status(number);
        if (!status.is_object()) continue;
        // A restarted process counts as another instance.
        this->history.Add(InForceEvent{
            status.at("instance").get<std::string>() +
                status.at("incarnation").dump(),
            "configuration",
            status.at("configuration").at("revision").get<std::int64_t>()});
      }
    }
  }

  Fleet& fleet;
  const std::vector<int> instances;
  History& history;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

class HistoryIntegration : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HistoryIntegration);
  CPPUNIT_TEST(RatesAndRevisionsHoldWhileInstancesFail);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Callers ask three instances for much more than their workspace's rate.
  // Meanwhile one instance is killed and started again, one is paused and
  // wakes, and operators change records. The whole run is one window: it may
  // hold no more than burst and rate allow, and no instance's configuration
  // may go back.
  void RatesAndRevisionsHoldWhileInstancesFail() {
    FleetOptions options;
    options.rate = kRate;
    options.burst = kBurst;
    Fleet fleet(options);
    fleet.WaitReady();
    const CallerKey key = fleet.Grant("gallery");
    History history;
    auto reader =
        std::make_unique<StatusReader>(fleet, std::vector<int>{2, 3}, history);
    std::atomic<int> good{0};
    std::atomic<bool> stopping{false};
    const Instant start = Now();
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&, i] {
        CallSpec spec;
        spec.path = "/v1/services/ledger/balance/x";
        const Endpoint instance = fleet.CallerEndpoint(1 + i % 3);
        while (!stopping) {
          const CallResult result =
              CallInstance(instance, key.ToString(), spec, absl::Seconds(5));
          if (result.status == 200) ++good;
        }
      });
    }
    const auto reach = [&good](int count) {
      return WaitUntil([&good, count] { return good >= count; });
    };
    CPPUNIT_ASSERT(reach(kGoodCalls / 4));
    fleet.Instance(2).Signal(SIGSTOP);
    CPPUNIT_ASSERT(reach(kGoodCalls / 2));
    fleet.Instance(2).Signal(SIGCONT);
    fleet.Kill(1);
    fleet.Apply(R"({"kind":"workspace","schema":1,"name":"third","value":{}})");
    CPPUNIT_ASSERT(reach(3 * kGoodCalls / 4));
    fleet.Unlist(1);
    fleet.Apply(
        R"({"kind":"workspace","schema":1,"name":"fourth","value":{}})");
    CPPUNIT_ASSERT(reach(kGoodCalls));
    stopping = true;
    for (std::thread& caller : callers) caller.join();
    const double seconds = absl::ToDoubleSeconds(Now() - start);
    reader.reset();
    // The window from the first call to the last: its length is known from
    // outside, whatever the machine's speed.
    const double admitted = kCallCost * good;
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(admitted) + " in " + std::to_string(seconds),
        admitted <= kBurst + kRate * seconds);
    const Violations back = CheckConfigNeverBack(history.Events());
    CPPUNIT_ASSERT_MESSAGE(back.empty() ? "" : back.front(), back.empty());
    CPPUNIT_ASSERT(history.Events().size() > 10);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(HistoryIntegration,
                                      "integration-history");

}  // namespace
}  // namespace dragonflyglade
