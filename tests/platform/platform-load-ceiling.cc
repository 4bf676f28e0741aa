#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "tests/platform/gateway_harness.h"
#include "tests/platform/loading_engines.h"

namespace dragonflyglade {
namespace {

using Harness = GatewayHarness;
using nlohmann::json;

constexpr absl::Duration kWindow = absl::Seconds(5);
// What the weight store of the harness allows: 2 a second, a tenth in excess,
// and 3.
constexpr int kCeiling = 14;
constexpr int kEngines = 30;
constexpr int kEngineMb = 30;

std::vector<std::string> Names(const std::string& prefix, int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) names.push_back(absl::StrCat(prefix, i));
  return names;
}

json Models(const std::vector<std::string>& names, int weights_mb) {
  json models = json::array();
  for (const std::string& name : names) {
    models.push_back({{"name", name},
                      {"weights_mb", weights_mb},
                      {"load_s", 0.1},
                      {"disk_s", 0.05}});
  }
  return models;
}

Harness::Options OptionsWith(const json& models) {
  Harness::Options options;
  options.engine = {{"models", models}, {"weights_mb", kEngineMb}};
  options.leader_handover_delay = absl::Seconds(3);
  return options;
}

void PutEngines(Harness& harness, const LoadingEngines& engines) {
  for (int i = 0; i < engines.Count(); ++i) {
    harness.store.Put("servers/" + engines.Id(i), engines.Entry(i).dump());
  }
}

class LoadCeilingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadCeilingTest);
  CPPUNIT_TEST(HoldsForOrdersThatBeginLate);
  CPPUNIT_TEST(HoldsForCopiesThatWereEvicted);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against loads that are counted when they are planned and begin in
  // another window.
  void HoldsForOrdersThatBeginLate() {
    struct Case {
      const char* name;
      LoadingEngines::Treat treat;
      /// From the first order until the unanswered ones are carried out.
      absl::Duration late;
    };
    const std::vector<Case> cases = {
        {"all orders are unanswered and carried out together",
         [](int) { return LoadingEngines::Treatment{false}; },
         absl::Seconds(9)},
        {"every second order is",
         [](int received) {
           return LoadingEngines::Treatment{received % 2 == 1};
         },
         absl::Seconds(9)},
        {"the first orders take long",
         [](int received) {
           const bool slow = received < 5;
           return LoadingEngines::Treatment{true,
                                            absl::Milliseconds(slow ? 350 : 0)};
         },
         absl::Seconds(1)},
    };
    std::string faults;
    for (const Case& item : cases) {
      absl::Mutex mutex;
      std::optional<absl::Time> first_order;
      LoadingEngines engines(std::vector<std::string>(kEngines),
                             [&](int received) {
                               absl::MutexLock lock(&mutex);
                               if (!first_order.has_value())
                                 first_order = absl::Now();
                               return item.treat(received);
                             });
      Harness harness(OptionsWith(Models(Names("m", kEngines), kEngineMb / 2)));
      PutEngines(harness, engines);
      harness.store.Delete("servers/i-1");
      harness.WaitFor([&] {
        absl::MutexLock lock(&mutex);
        return first_order.has_value();
      });
      absl::SleepFor(item.late);
      engines.CarryOutLateOrders();
      absl::SleepFor(kWindow + absl::Seconds(1));
      CPPUNIT_ASSERT_MESSAGE(item.name, engines.LoadsFromStore() > 0);
      const int most = engines.MostLoadsFromStoreIn(kWindow);
      if (most > kCeiling)
        absl::StrAppend(&faults, item.name, ": ", most, "\n");
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }

  // Guards against loads that are not counted because an entry from before the
  // last load arrives late and lists copies that are gone.
  void HoldsForCopiesThatWereEvicted() {
    constexpr int kLoads = 11;
    // An engine has room for one model of each kind.
    constexpr int kFirstMb = 20;
    constexpr int kCopiedMb = 10;
    const std::vector<std::string> copies = Names("copied", kLoads);
    const std::vector<std::string> first = Names("first", kLoads);
    LoadingEngines engines(copies,
                           [](int) { return LoadingEngines::Treatment{}; });
    Harness harness(OptionsWith(Models(first, kFirstMb)));
    std::vector<json> stale;
    stale.reserve(kLoads);
    for (int i = 0; i < kLoads; ++i) stale.push_back(engines.Entry(i));
    PutEngines(harness, engines);
    harness.store.Delete("servers/i-1");
    harness.WaitFor([&] { return engines.LoadsFromStore() >= kLoads; });
    // Longer than it takes to inspect an engine that does not show its load.
    absl::SleepFor(absl::Seconds(2));
    for (int i = 0; i < kLoads; ++i) {
      json entry = stale[i];
      entry["sequence"] = 2;
      harness.store.Put("servers/" + engines.Id(i), entry.dump());
    }
    json models = Models(first, kFirstMb);
    for (const json& copied : Models(copies, kCopiedMb)) {
      models.push_back(copied);
    }
    json config = harness.Config(2, "plain");
    config["services"][0]["engine"]["models"] = models;
    harness.PutConfig(config);
    harness.WaitFor([&] { return engines.LoadsFromStore() >= 2 * kLoads; });
    const int most = engines.MostLoadsFromStoreIn(kWindow);
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(most), most <= kCeiling);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LoadCeilingTest, "platform-load-ceiling");

}  // namespace
}  // namespace dragonflyglade
