#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "dragonflyglade/gateway/fleet_state.h"
#include "platform/wire.h"

namespace dragonflyglade::gateway {
namespace {

constexpr const char* kConfig = R"({"version": 1, "routes": [], "services": [
    {"name": "s", "cold_start_s": 3, "cold_per_s": 6.5}]})";

StoreItem Item(const std::string& key, std::uint64_t revision,
               std::string value = "{}") {
  return {key, std::move(value), revision, 0};
}

StoreItem TargetItem(const std::string& id, const std::string& zone,
                     std::uint64_t revision, int warm_up_ms = 0) {
  return Item("servers/" + id, revision,
              R"({"service": "s", "address": "10.0.0.1:80", "zone": ")" + zone +
                  R"(", "slots": 4, "state": "ready", "cold_remaining_ms": )" +
                  std::to_string(warm_up_ms) + "}");
}

// An instance's copy of the store, without a network.
class EvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(FollowsTheOrderOfEvents);
  CPPUNIT_TEST(RefusesOnlyIfAllZonesAreEvacuated);
  CPPUNIT_TEST(TargetsWarmUpAfterAnEvacuation);
  CPPUNIT_TEST(PassesOnThatATargetWarmsUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests to an evacuated zone, and against a zone that is
  // never used again, in whatever order and by whatever way changes arrive.
  void FollowsTheOrderOfEvents() {
    using Events = std::function<void(FleetState&)>;
    struct Case {
      const char* name;
      Events events;
      bool evacuated;
    };
    const std::string key = "op/evacuate/a";
    const std::vector<Case> cases = {
        {"nothing happened", [](FleetState&) {}, false},
        {"a change", [&](FleetState& fleet) { fleet.Apply(Item(key, 9)); },
         true},
        {"a listing at the start",
         [&](FleetState& fleet) { fleet.ApplyListing({Item(key, 3)}, 9); },
         true},
        {"an unreadable value",
         [&](FleetState& fleet) { fleet.Apply(Item(key, 9, "\xff{")); }, true},
        {"an empty value",
         [&](FleetState& fleet) { fleet.Apply(Item(key, 9, "")); }, true},
        {"another zone",
         [&](FleetState& fleet) { fleet.Apply(Item("op/evacuate/ab", 9)); },
         false},
        {"no zone",
         [&](FleetState& fleet) {
           fleet.Apply(Item("op/evacuate/", 9));
           fleet.Apply(Item("op/evacuate/a/b", 10));
         },
         false},
        {"a zone without targets",
         [&](FleetState& fleet) {
           fleet.Apply(Item("op/evacuate/nowhere", 9));
           fleet.Apply(Item(key, 10));
         },
         true},
        {"taken back",
         [&](FleetState& fleet) {
           fleet.Apply(Item(key, 9));
           fleet.ApplyDeleted(key, 10);
         },
         false},
        {"taken back, and the evacuation arrives late",
         [&](FleetState& fleet) {
           fleet.ApplyDeleted(key, 10);
           fleet.Apply(Item(key, 9));
         },
         false},
        {"evacuated again, and the end of the first arrives late",
         [&](FleetState& fleet) {
           fleet.Apply(Item(key, 11));
           fleet.ApplyDeleted(key, 10);
         },
         true},
        {"taken back while the store was lost",
         [&](FleetState& fleet) {
           fleet.Apply(Item(key, 9));
           fleet.ApplyListing({}, 20);
         },
         false},
        {"still evacuated after the store was lost",
         [&](FleetState& fleet) {
           fleet.Apply(Item(key, 9));
           fleet.ApplyListing({Item(key, 9)}, 20);
         },
         true},
        {"a second zone is taken back",
         [&](FleetState& fleet) {
           fleet.Apply(Item(key, 9));
           fleet.Apply(Item("op/evacuate/b", 10));
           fleet.ApplyDeleted("op/evacuate/b", 11);
         },
         true},
    };
    for (const Case& item : cases) {
      Instance instance;
      item.events(instance.fleet);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.evacuated,
                                   instance.fleet.IsEvacuated("a"));
    }
  }

  void RefusesOnlyIfAllZonesAreEvacuated() {
    Instance instance;
    FleetState& fleet = instance.fleet;
    fleet.Apply(Item("op/evacuate/a", 2));
    CPPUNIT_ASSERT(!fleet.IsServiceEvacuated("s"));
    fleet.Apply(TargetItem("t1", "a", 3));
    CPPUNIT_ASSERT(fleet.IsServiceEvacuated("s"));
    fleet.Apply(TargetItem("t2", "b", 4));
    CPPUNIT_ASSERT(!fleet.IsServiceEvacuated("s"));
    fleet.Apply(Item("op/evacuate/b", 5));
    CPPUNIT_ASSERT(fleet.IsServiceEvacuated("s"));
  }

  // Guards against a crash of the targets of a zone whose evacuation ends: they
  // may have restarted meanwhile, and their records still say that they are
  // warm.
  void TargetsWarmUpAfterAnEvacuation() {
    Instance instance;
    FleetState& fleet = instance.fleet;
    fleet.Apply(Item("op/config", 1, kConfig));
    fleet.Apply(TargetItem("t1", "a", 2));
    fleet.Apply(TargetItem("t2", "b", 3));
    fleet.Apply(Item("op/evacuate/a", 4));
    instance.clock.Advance(absl::Seconds(20));
    fleet.ApplyDeleted("op/evacuate/a", 5);
    const Instant now = instance.clock.Now();
    CPPUNIT_ASSERT(fleet.Target("t1")->SlowStartState().IsWarmingUp(now));
    CPPUNIT_ASSERT(!fleet.Target("t2")->SlowStartState().IsWarmingUp(now));
    CPPUNIT_ASSERT(!fleet.Target("t1")->SlowStartState().IsWarmingUp(
        now + absl::Seconds(3)));
  }

  // Guards against instances that rely on a relay and hear of a warm-up only
  // when it is over: a target may become slow without a restart.
  void PassesOnThatATargetWarmsUp() {
    Instance instance;
    FleetState& fleet = instance.fleet;
    fleet.Apply(TargetItem("t1", "a", 2));
    fleet.Apply(TargetItem("t1", "a", 3, 3000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, fleet.UrgentRevision());
    const Instant now = instance.clock.Now();
    CPPUNIT_ASSERT(fleet.Target("t1")->SlowStartState().IsWarmingUp(now));
    fleet.Apply(TargetItem("t1", "a", 4, 1000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, fleet.UrgentRevision());
  }

 private:
  struct Instance {
    ManualClock clock;
    boost::asio::io_context context;
    const WireFormat wire = platform::MakeWireFormat();
    EventLog log{"i1", Clock(&this->clock)};
    StoreAvailability availability{absl::Milliseconds(1200)};
    FleetState fleet{this->context, this->wire, this->availability,
                     Clock(&this->clock), this->log};
  };
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(EvacuationTest, "platform-evacuation");

}  // namespace
}  // namespace dragonflyglade::gateway
