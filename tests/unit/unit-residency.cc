#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "dragonflyglade/decision/residency_planner.h"

namespace dragonflyglade {
namespace {

using Kind = ResidencyChange::Kind;
using Models = std::map<std::string, std::set<std::string>, std::less<>>;

EngineResidency Engine(std::string id, Models models, double memory_mb = 200) {
  EngineResidency engine;
  engine.id = std::move(id);
  engine.memory_mb = memory_mb;
  engine.adapter_slots = 2;
  engine.models = std::move(models);
  return engine;
}

DemandedModel Model(std::string name, double load, int waiting = 0) {
  return {std::move(name), 100, 1, load, waiting};
}

std::string Text(const std::vector<ResidencyChange>& changes) {
  std::string text;
  for (const ResidencyChange& change : changes) {
    if (!text.empty()) text += ", ";
    text += change.kind == Kind::kLoad ? "load " : "unload ";
    text += change.model;
    if (!change.adapter.empty()) text += "/" + change.adapter;
    text += " at " + change.target;
  }
  return text;
}

struct PlanCase {
  const char* what;
  std::vector<DemandedModel> models;
  std::vector<DemandedAdapter> adapters;
  std::vector<EngineResidency> engines;
  int loads;
  const char* expected;
};

EngineResidency Busy(EngineResidency engine) {
  engine.busy = true;
  return engine;
}

EngineResidency Closing(EngineResidency engine) {
  engine.busy = true;
  engine.closing = true;
  return engine;
}

EngineResidency Leaving(EngineResidency engine) {
  engine.usable = false;
  return engine;
}

EngineResidency Using(EngineResidency engine, std::set<std::string> adapters) {
  engine.in_use = std::move(adapters);
  return engine;
}

EngineResidency Loading(EngineResidency engine, std::string model) {
  engine.busy = true;
  engine.loading = std::move(model);
  return engine;
}

EngineResidency Silent(EngineResidency engine) {
  engine.answers = false;
  return engine;
}

EngineResidency Keeping(EngineResidency engine, std::set<std::string> on_disk) {
  engine.on_disk.insert(on_disk.begin(), on_disk.end());
  return engine;
}

class ResidencyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResidencyTest);
  CPPUNIT_TEST(PlansByTable);
  CPPUNIT_TEST(KeepsACopyThatWasJustLoaded);
  CPPUNIT_TEST(NeverExceedsMemoryOrPlaces);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PlansByTable() {
    const std::vector<PlanCase> cases = {
        {"nothing is asked for",
         {Model("a", 0)},
         {},
         {Engine("e1", {{"a", {}}})},
         9,
         ""},
        {"a model that is nowhere",
         {Model("a", 0)},
         {},
         {Engine("e1", {})},
         9,
         "load a at e1"},
        {"a busy model gets a copy where there is room",
         {Model("a", 0.9), Model("b", 0)},
         {},
         {Engine("e1", {{"a", {}}}), Engine("e2", {{"b", {}}})},
         9,
         "load a at e2"},
        {"no places under the store's rate",
         {Model("a", 0.9)},
         {},
         {Engine("e1", {{"a", {}}}), Engine("e2", {})},
         0,
         ""},
        {"room is made although no load may begin yet",
         {Model("a", 0.9), Model("b", 0)},
         {},
         {Engine("e1", {{"a", {}}, {"b", {}}}), Engine("e2", {{"b", {}}}, 100)},
         0,
         "unload b at e2"},
        {"room that is being made is waited for",
         {Model("a", 0.9), Model("b", 0)},
         {},
         {Engine("e1", {{"a", {}}, {"b", {}}}),
          Closing(Engine("e2", {{"b", {}}}, 100)),
          Engine("e3", {{"b", {}}}, 100)},
         1,
         ""},
        {"the last copy stays",
         {Model("a", 0.9), Model("b", 0)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100)},
         9,
         ""},
        {"a busy copy does not make room",
         {Model("a", 0.5), Model("b", 0.8)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100),
          Engine("e3", {{"b", {}}}, 100)},
         9,
         ""},
        // The rare model's callers wait for the copy that is under way, and
        // the copies of the other one drown.
        {"a model in demand gets its copies before a rare one its second",
         {Model("hot", 8), Model("rare", 0.8, 5)},
         {},
         {Engine("e1", {{"hot", {}}}, 100),
          Loading(Engine("e2", {{"rare", {}}}, 100), "rare"),
          Engine("e3", {}, 100), Engine("e4", {}, 100)},
         9,
         "load hot at e3, load hot at e4"},
        {"a rare model that is nowhere goes first",
         {Model("hot", 8), Model("rare", 0.8, 5)},
         {},
         {Engine("e1", {{"hot", {}}}, 100), Engine("e2", {}, 100),
          Engine("e3", {}, 100)},
         9,
         "load rare at e2, load hot at e3"},
        {"an engine that loads already takes no order",
         {Model("a", 0.9)},
         {},
         {Engine("e1", {{"a", {}}}), Busy(Engine("e2", {}))},
         9,
         ""},
        {"a copy that is leaving does not count",
         {Model("a", 0)},
         {},
         {Leaving(Engine("e1", {{"a", {}}})), Engine("e2", {})},
         9,
         "load a at e2"},
        // Its callers would find it nowhere until the others have loaded.
        {"the only copy that serves stays while others load",
         {Model("a", 0.9), Model("b", 0.1)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100),
          Loading(Engine("e3", {{"b", {}}}, 100), "b")},
         9,
         ""},
        {"a second copy that serves makes room while another loads",
         {Model("a", 0.9), Model("b", 0.1)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100),
          Engine("e3", {{"b", {}}}, 100),
          Loading(Engine("e4", {{"b", {}}}, 100), "b")},
         9,
         "unload b at e2"},
        // An engine that crashed is in the store for some seconds more.
        {"the only copy that answers stays",
         {Model("a", 0.9), Model("b", 0.1)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100),
          Silent(Engine("e3", {{"b", {}}}, 100))},
         9,
         ""},
        {"two models short of copies do not take them from each other",
         {Model("a", 2), Model("b", 1.6)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100),
          Engine("e3", {{"b", {}}}, 100)},
         9,
         ""},
        {"a model in great demand takes a copy of another",
         {Model("a", 6), Model("b", 1)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100),
          Engine("e3", {{"b", {}}}, 100)},
         9,
         "unload b at e2"},
        {"an engine that kept the weights loads them in a second",
         {Model("a", 0.9)},
         {},
         {Engine("e1", {{"a", {}}}), Engine("e2", {}),
          Keeping(Engine("e3", {}), {"a"})},
         9,
         "load a at e3"},
        {"kept weights do not use the store's rate",
         {Model("a", 0.9)},
         {},
         {Engine("e1", {{"a", {}}}), Engine("e2", {}),
          Keeping(Engine("e3", {}), {"a"})},
         0,
         "load a at e3"},
        {"an adapter beside its model",
         {Model("a", 0)},
         {{"a", "x", 0, 1}},
         {Engine("e1", {{"a", {}}})},
         9,
         "load a/x at e1"},
        {"the one least asked for makes way",
         {Model("a", 0)},
         {{"a", "x", 0, 1}, {"a", "y", 0.02, 0}},
         {Engine("e1", {{"a", {"y", "z"}}})},
         9,
         "unload a/z at e1"},
        {"adapters in use stay",
         {Model("a", 0)},
         {{"a", "x", 0, 1}},
         {Using(Engine("e1", {{"a", {"y", "z"}}}), {"a/y", "a/z"})},
         9,
         ""},
        {"an adapter that is awaited elsewhere stays",
         {Model("a", 0)},
         {{"a", "x", 0, 1}, {"a", "y", 0, 2}, {"a", "z", 0, 2}},
         {Engine("e1", {{"a", {"y", "z"}}})},
         9,
         ""},
        {"a model whose adapters crowd its copies gets another",
         {Model("a", 0)},
         {{"a", "w", 0, 0},
          {"a", "x", 0, 0},
          {"a", "y", 0, 0},
          {"a", "z", 0, 0}},
         {Using(Engine("e1", {{"a", {"w", "x"}}}), {"a/w", "a/x"}),
          Engine("e2", {})},
         9,
         "load a at e2"},
    };
    for (const PlanCase& item : cases) {
      ManualClock manual;
      manual.Advance(absl::Seconds(10));
      ResidencyPlanner planner{ResidencyOptions(), Clock(&manual)};
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.what, std::string(item.expected),
          Text(planner.Plan(item.models, item.adapters, item.engines,
                            item.loads)));
    }
  }

  // A load from the store takes six seconds, in which demand moved on. Taken
  // away at once, the copy served nobody, and the next shift of demand found
  // its model nowhere.
  void KeepsACopyThatWasJustLoaded() {
    ManualClock manual;
    ResidencyPlanner planner{ResidencyOptions(), Clock(&manual)};
    const std::vector<DemandedModel> models = {Model("a", 0.9),
                                               Model("b", 0.1)};
    const EngineResidency of_a = Engine("e1", {{"a", {}}}, 100);
    const EngineResidency of_b = Engine("e2", {{"b", {}}}, 100);
    const EngineResidency second = Engine("e3", {{"b", {}}}, 100);
    std::vector<EngineResidency> engines = {of_a, Busy(of_b),
                                            Loading(second, "b")};
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Text(planner.Plan(models, {}, engines, 9)));
    manual.Advance(absl::Seconds(6));
    planner.Plan(models, {}, engines, 9);
    engines = {of_a, Busy(of_b), second};
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Text(planner.Plan(models, {}, engines, 9)));
    manual.Advance(absl::Seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::string("unload b at e3"),
                         Text(planner.Plan(models, {}, engines, 9)));
  }

  // An engine that is ordered to hold more than fits ends, and takes all its
  // requests with it. Demand moves at random here and loads take time, so
  // that rounds are planned on what earlier ones booked.
  void NeverExceedsMemoryOrPlaces() {
    const bool kept = rc::check("what is booked fits", [] {
      ManualClock manual;
      ResidencyPlanner planner{ResidencyOptions(), Clock(&manual)};
      std::map<std::string, EngineResidency> engines;
      for (const char* id : {"e1", "e2", "e3"}) engines[id] = Engine(id, {});
      const std::vector<std::string> names = {"a", "b", "c", "d"};
      std::set<std::string> held_once;
      for (int round = 0; round < 30; ++round) {
        std::vector<DemandedModel> models;
        std::vector<DemandedAdapter> adapters;
        for (const std::string& name : names) {
          models.push_back(Model(name, *rc::gen::inRange(0, 100) / 100.0));
          models.back().memory_mb = 60 + 10 * (name[0] - 'a');
          for (const char* adapter : {"x", "y", "z"}) {
            adapters.push_back({name, adapter, *rc::gen::inRange(0, 20) / 100.0,
                                *rc::gen::inRange(0, 2)});
          }
        }
        std::vector<EngineResidency> holdings;
        for (auto& [id, engine] : engines) {
          engine.busy = *rc::gen::inRange(0, 3) == 0;
          holdings.push_back(engine);
        }
        const auto changes = planner.Plan(models, adapters, holdings, 2);
        for (const ResidencyChange& change : changes) {
          EngineResidency& engine = engines[change.target];
          const bool loads = change.kind == Kind::kLoad;
          if (change.adapter.empty() && loads) engine.models[change.model];
          if (change.adapter.empty() && !loads) {
            engine.models.erase(change.model);
          }
          if (!change.adapter.empty() && loads) {
            RC_ASSERT(engine.models.count(change.model) > 0);
            engine.models[change.model].insert(change.adapter);
          }
          if (!change.adapter.empty() && !loads) {
            engine.models[change.model].erase(change.adapter);
          }
        }
        std::map<std::string, int> copies;
        for (const auto& [id, engine] : engines) {
          double used = 0;
          std::size_t places = 0;
          for (const auto& [name, held] : engine.models) {
            used +=
                60 + 10 * (name[0] - 'a') + static_cast<double>(held.size());
            places += held.size();
            copies[name] += 1;
            held_once.insert(name);
          }
          RC_ASSERT(used <= engine.memory_mb);
          RC_ASSERT(places <= static_cast<std::size_t>(engine.adapter_slots));
        }
        for (const std::string& name : held_once) {
          RC_ASSERT(copies[name] > 0);
        }
        manual.Advance(absl::Seconds(1));
      }
    });
    CPPUNIT_ASSERT(kept);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ResidencyTest, "unit-residency");

}  // namespace
}  // namespace dragonflyglade
