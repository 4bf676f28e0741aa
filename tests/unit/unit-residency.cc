#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
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
  DemandedModel model;
  model.name = std::move(name);
  model.memory_mb = 100;
  model.adapter_mb = 1;
  model.load = load;
  model.waiting_requests = waiting;
  return model;
}

DemandedModel WithAdapters(DemandedModel model,
                           std::vector<std::string> adapters) {
  model.adapters = std::move(adapters);
  return model;
}

std::string Describe(const std::vector<ResidencyChange>& changes) {
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
  engine.has_open_order = true;
  return engine;
}

EngineResidency Unloading(EngineResidency engine) {
  engine.has_open_order = true;
  engine.unloading = true;
  return engine;
}

EngineResidency Leaving(EngineResidency engine) {
  engine.usable = false;
  return engine;
}

EngineResidency InUse(EngineResidency engine, std::set<std::string> adapters) {
  engine.in_use = std::move(adapters);
  return engine;
}

EngineResidency Loading(EngineResidency engine, std::string model) {
  engine.has_open_order = true;
  engine.loading = std::move(model);
  return engine;
}

EngineResidency WithSlots(EngineResidency engine, int adapter_slots) {
  engine.adapter_slots = adapter_slots;
  return engine;
}

EngineResidency Unresponsive(EngineResidency engine) {
  engine.responsive = false;
  return engine;
}

EngineResidency KeepingWeights(EngineResidency engine,
                               std::set<std::string> on_disk) {
  engine.on_disk.insert(on_disk.begin(), on_disk.end());
  return engine;
}

EngineResidency WithCountedLoad(EngineResidency engine) {
  engine.load_is_counted = true;
  return engine;
}

class ResidencyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResidencyTest);
  CPPUNIT_TEST(PlansChanges);
  CPPUNIT_TEST(DoesNotEvictNewCopy);
  CPPUNIT_TEST(NeverExceedsMemoryOrSlots);
  CPPUNIT_TEST(HoldsEachAdapterBeforeItIsAskedFor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PlansChanges() {
    const std::vector<PlanCase> cases = {
        {"nothing is asked for",
         {Model("a", 0)},
         {},
         {Engine("e1", {{"a", {}}})},
         9,
         ""},
        {"a model with no copy",
         {Model("a", 0)},
         {},
         {Engine("e1", {})},
         9,
         "load a at e1"},
        {"no load may begin, but one at an engine counts already",
         {Model("a", 0)},
         {},
         {Engine("e1", {}), WithCountedLoad(Engine("e2", {}))},
         0,
         "load a at e2"},
        {"a busy model gets a copy where there is free memory",
         {Model("a", 0.9), Model("b", 0)},
         {},
         {Engine("e1", {{"a", {}}}), Engine("e2", {{"b", {}}})},
         9,
         "load a at e2"},
        {"the weight store's rate allows no load",
         {Model("a", 0.9)},
         {},
         {Engine("e1", {{"a", {}}}), Engine("e2", {})},
         0,
         ""},
        {"a copy is evicted although no load may begin yet",
         {Model("a", 0.9), Model("b", 0)},
         {},
         {Engine("e1", {{"a", {}}, {"b", {}}}), Engine("e2", {{"b", {}}}, 100)},
         0,
         "unload b at e2"},
        {"no second copy is evicted while one is being unloaded",
         {Model("a", 0.9), Model("b", 0)},
         {},
         {Engine("e1", {{"a", {}}, {"b", {}}}),
          Unloading(Engine("e2", {{"b", {}}}, 100)),
          Engine("e3", {{"b", {}}}, 100)},
         1,
         ""},
        {"the last copy is not evicted",
         {Model("a", 0.9), Model("b", 0)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100)},
         9,
         ""},
        {"a busy copy is not evicted",
         {Model("a", 0.5), Model("b", 0.8)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100),
          Engine("e3", {{"b", {}}}, 100)},
         9,
         ""},
        // Requests for the rare model wait for a copy that is being loaded,
        // while the only copy of the other model is overloaded.
        {"a model in demand gets its copies before a rare one its second",
         {Model("hot", 8), Model("rare", 0.8, 5)},
         {},
         {Engine("e1", {{"hot", {}}}, 100),
          Loading(Engine("e2", {{"rare", {}}}, 100), "rare"),
          Engine("e3", {}, 100), Engine("e4", {}, 100)},
         9,
         "load hot at e3, load hot at e4"},
        {"a rare model with no copy goes first",
         {Model("hot", 8), Model("rare", 0.8, 5)},
         {},
         {Engine("e1", {{"hot", {}}}, 100), Engine("e2", {}, 100),
          Engine("e3", {}, 100)},
         9,
         "load rare at e2, load hot at e3"},
        {"an engine that is already loading takes no order",
         {Model("a", 0.9)},
         {},
         {Engine("e1", {{"a", {}}}), Busy(Engine("e2", {}))},
         9,
         ""},
        {"a copy at a leaving engine does not count",
         {Model("a", 0)},
         {},
         {Leaving(Engine("e1", {{"a", {}}})), Engine("e2", {})},
         9,
         "load a at e2"},
        // Requests for it would find no copy until the others are loaded.
        {"the only copy that serves requests stays while others load",
         {Model("a", 0.9), Model("b", 0.1)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100),
          Loading(Engine("e3", {{"b", {}}}, 100), "b")},
         9,
         ""},
        {"one of two copies that serve is evicted while another loads",
         {Model("a", 0.9), Model("b", 0.1)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100),
          Engine("e3", {{"b", {}}}, 100),
          Loading(Engine("e4", {{"b", {}}}, 100), "b")},
         9,
         "unload b at e2"},
        // A crashed engine stays in the store for some seconds.
        {"the only copy at an engine that answers is not evicted",
         {Model("a", 0.9), Model("b", 0.1)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100),
          Unresponsive(Engine("e3", {{"b", {}}}, 100))},
         9,
         ""},
        {"two models short of copies do not evict each other's copies",
         {Model("a", 2), Model("b", 1.6)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100),
          Engine("e3", {{"b", {}}}, 100)},
         9,
         ""},
        {"a model in great demand evicts a copy of another",
         {Model("a", 6), Model("b", 1)},
         {},
         {Engine("e1", {{"a", {}}}, 100), Engine("e2", {{"b", {}}}, 100),
          Engine("e3", {{"b", {}}}, 100)},
         9,
         "unload b at e2"},
        {"an engine that keeps the weights loads the model sooner",
         {Model("a", 0.9)},
         {},
         {Engine("e1", {{"a", {}}}), Engine("e2", {}),
          KeepingWeights(Engine("e3", {}), {"a"})},
         9,
         "load a at e3"},
        {"loading kept weights does not use the store's rate",
         {Model("a", 0.9)},
         {},
         {Engine("e1", {{"a", {}}}), Engine("e2", {}),
          KeepingWeights(Engine("e3", {}), {"a"})},
         0,
         "load a at e3"},
        {"an adapter is loaded beside its model",
         {Model("a", 0)},
         {{"a", "x", 0, 1}},
         {Engine("e1", {{"a", {}}})},
         9,
         "load a/x at e1"},
        {"the adapter that is asked for least is evicted",
         {Model("a", 0)},
         {{"a", "x", 0, 1}, {"a", "y", 0.02, 0}},
         {Engine("e1", {{"a", {"y", "z"}}})},
         9,
         "unload a/z at e1"},
        {"adapters in use are not evicted",
         {Model("a", 0)},
         {{"a", "x", 0, 1}},
         {InUse(Engine("e1", {{"a", {"y", "z"}}}), {"a/y", "a/z"})},
         9,
         ""},
        {"an adapter that requests wait for is not evicted",
         {Model("a", 0)},
         {{"a", "x", 0, 1}, {"a", "y", 0, 2}, {"a", "z", 0, 2}},
         {Engine("e1", {{"a", {"y", "z"}}})},
         9,
         ""},
        {"a model whose adapters exceed its copies' slots gets another",
         {Model("a", 0)},
         {{"a", "w", 0, 0},
          {"a", "x", 0, 0},
          {"a", "y", 0, 0},
          {"a", "z", 0, 0}},
         {InUse(Engine("e1", {{"a", {"w", "x"}}}), {"a/w", "a/x"}),
          Engine("e2", {})},
         9,
         "load a at e2"},
        {"an adapter that nobody asks for is preloaded",
         {WithAdapters(Model("a", 0), {"x"})},
         {},
         {Engine("e1", {{"a", {}}})},
         9,
         "load a/x at e1"},
        {"a resident adapter is not preloaded elsewhere",
         {WithAdapters(Model("a", 0), {"x"})},
         {},
         {Engine("e1", {{"a", {"x"}}}), Engine("e2", {{"a", {}}})},
         9,
         ""},
        {"preloading leaves a slot for an adapter in demand",
         {WithAdapters(Model("a", 0), {"x", "y"})},
         {},
         {Engine("e1", {{"a", {"x"}}})},
         9,
         ""},
        {"preloading leaves the memory for another model",
         {WithAdapters(Model("a", 0), {"x"}), Model("b", 0)},
         {},
         {Engine("e1", {{"a", {}}}), Engine("e2", {{"b", {}}}, 100)},
         9,
         ""},
        {"preloaded adapters are spread over the model's copies",
         {WithAdapters(Model("a", 0), {"x", "y", "z"})},
         {},
         {WithSlots(Engine("e1", {{"a", {"x"}}}), 8),
          WithSlots(Engine("e2", {{"a", {}}}), 8),
          WithSlots(Engine("e3", {{"a", {}}}), 8)},
         9,
         "load a/y at e2, load a/z at e3"},
        {"nothing is preloaded at engines that fail or leave",
         {WithAdapters(Model("a", 0), {"x"})},
         {},
         {Unresponsive(Engine("e1", {{"a", {}}})),
          Leaving(Engine("e2", {{"a", {}}})), Busy(Engine("e3", {{"a", {}}}))},
         9,
         ""},
        {"a preloaded adapter gives way to one in demand",
         {WithAdapters(Model("a", 0), {"x", "y", "z"})},
         {{"a", "x", 0, 1}, {"a", "y", 0.1, 0}},
         {Engine("e1", {{"a", {"y", "z"}}})},
         9,
         "unload a/z at e1"},
    };
    for (const PlanCase& item : cases) {
      ManualClock manual;
      manual.Advance(absl::Seconds(10));
      ResidencyPlanner planner{ResidencyOptions(), Clock(&manual)};
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.what, std::string(item.expected),
          Describe(planner.Plan(item.models, item.adapters, item.engines,
                                item.loads)));
    }
  }

  // Failure: a copy is evicted as soon as it is loaded, because demand changed
  // during the six seconds of the load. The copy has served no request, and
  // when demand changes back the model lacks a copy.
  void DoesNotEvictNewCopy() {
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
                         Describe(planner.Plan(models, {}, engines, 9)));
    manual.Advance(absl::Seconds(6));
    planner.Plan(models, {}, engines, 9);
    engines = {of_a, Busy(of_b), second};
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Describe(planner.Plan(models, {}, engines, 9)));
    manual.Advance(absl::Seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::string("unload b at e3"),
                         Describe(planner.Plan(models, {}, engines, 9)));
  }

  // Guards against refused requests for adapters while no leader can load them.
  void HoldsEachAdapterBeforeItIsAskedFor() {
    struct FleetSize {
      int engines;
      int models;
      int adapters_per_model;
    };
    for (const FleetSize size : {FleetSize{18, 9, 4}, FleetSize{120, 30, 12},
                                 FleetSize{1900, 400, 10}}) {
      ManualClock manual;
      ResidencyPlanner planner{ResidencyOptions(), Clock(&manual)};
      std::vector<std::string> adapters;
      for (int i = 1; i <= size.adapters_per_model; ++i) {
        adapters.push_back(absl::StrCat("a", i));
      }
      std::vector<DemandedModel> models;
      models.reserve(static_cast<std::size_t>(size.models));
      for (int i = 0; i < size.models; ++i) {
        models.push_back(
            WithAdapters(Model(absl::StrCat("m", i), 0), adapters));
      }
      std::vector<EngineResidency> engines;
      for (int i = 0; i < size.engines; ++i) {
        engines.push_back(Engine(absl::StrCat("e", i),
                                 {{models[i % size.models].name, {}}}, 150));
        engines.back().adapter_slots = 5;
      }
      const int all = size.models * size.adapters_per_model;
      for (int round = 0; round < all; ++round) {
        const auto changes = planner.Plan(models, {}, engines, 0);
        for (const ResidencyChange& change : changes) {
          for (EngineResidency& engine : engines) {
            if (engine.id != change.target) continue;
            engine.models.at(change.model).insert(change.adapter);
          }
        }
        if (changes.empty()) break;
      }
      std::set<std::string> resident;
      for (const EngineResidency& engine : engines) {
        for (const auto& [model, held] : engine.models) {
          CPPUNIT_ASSERT(held.size() < 5);
          for (const std::string& adapter : held) {
            resident.insert(absl::StrCat(model, "/", adapter));
          }
        }
      }
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(all), resident.size());
    }
  }

  // Failure: an engine that is ordered to load more than fits terminates, and
  // all its requests fail. Demand is random here and engines are busy at
  // random, so each round builds on the changes of earlier ones.
  void NeverExceedsMemoryOrSlots() {
    const bool passed = rc::check("what is booked fits", [] {
      ManualClock manual;
      ResidencyPlanner planner{ResidencyOptions(), Clock(&manual)};
      std::map<std::string, EngineResidency> engines;
      for (const char* id : {"e1", "e2", "e3"}) engines[id] = Engine(id, {});
      const std::vector<std::string> names = {"a", "b", "c", "d"};
      std::set<std::string> ever_loaded;
      for (int round = 0; round < 30; ++round) {
        std::vector<DemandedModel> models;
        std::vector<DemandedAdapter> adapters;
        for (const std::string& name : names) {
          models.push_back(Model(name, *rc::gen::inRange(0, 100) / 100.0));
          models.back().memory_mb = 60 + 10 * (name[0] - 'a');
          models.back().adapters = {"x", "y", "z"};
          for (const char* adapter : {"x", "y", "z"}) {
            adapters.push_back({name, adapter, *rc::gen::inRange(0, 20) / 100.0,
                                *rc::gen::inRange(0, 2)});
          }
        }
        std::vector<EngineResidency> holdings;
        for (auto& [id, engine] : engines) {
          engine.has_open_order = *rc::gen::inRange(0, 3) == 0;
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
          std::size_t slots = 0;
          for (const auto& [name, resident_adapters] : engine.models) {
            used += 60 + 10 * (name[0] - 'a') +
                    static_cast<double>(resident_adapters.size());
            slots += resident_adapters.size();
            copies[name] += 1;
            ever_loaded.insert(name);
          }
          RC_ASSERT(used <= engine.memory_mb);
          RC_ASSERT(slots <= static_cast<std::size_t>(engine.adapter_slots));
        }
        for (const std::string& name : ever_loaded) {
          RC_ASSERT(copies[name] > 0);
        }
        manual.Advance(absl::Seconds(1));
      }
    });
    CPPUNIT_ASSERT(passed);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ResidencyTest, "unit-residency");

}  // namespace
}  // namespace dragonflyglade
