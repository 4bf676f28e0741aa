#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/time/clock.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/store_client.h"
#include "dragonflyglade/gateway/store_sync_state.h"
#include "dragonflyglade/gateway/store_watcher.h"
#include "dragonflyglade/operator/metrics.h"
#include "platform/wire.h"
#include "tests/platform/store_stand_in.h"
// After the gateway's headers, which include what Asio's leave out.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dragonflyglade {
namespace {

namespace asio = boost::asio;
using gateway::FleetState;
using gateway::StoreSyncState;
using gateway::StoreWatcher;

std::string TargetEntry() {
  return nlohmann::json{{"service", "letters"}, {"address", "127.0.0.1:1"},
                        {"zone", "a"},          {"version", 1},
                        {"slots", 4},           {"state", "ready"},
                        {"sequence", 1},        {"born", 1}}
      .dump();
}

// A follower of the store stand-in whose holder is played by the test.
class Following {
 public:
  Following()
      : following(this->context, this->link, this->fleet, this->news, "i",
                  this->log, this->clock) {
    this->store.Put("servers/i-1", TargetEntry());
    asio::co_spawn(this->context, this->following.Run(), asio::detached);
  }

  ~Following() { this->context.stop(); }

  /// Runs until the condition holds; the holder says all the while that it is
  /// in contact with the store and has seen nothing new.
  bool Until(const std::function<bool()>& condition, absl::Duration at_most) {
    const Instant end = this->clock.Now() + at_most;
    while (!condition() && this->clock.Now() < end) {
      if (this->holder_in_contact) {
        this->news.Told({0, this->told_through, this->clock.Now()});
      }
      this->context.run_for(std::chrono::milliseconds(20));
    }
    return condition();
  }

  bool Knows(const std::string& id) const {
    return this->fleet.Target(id) != nullptr;
  }

  asio::io_context context;
  PlatformStoreStandIn store;
  const gateway::WireFormat wire = platform::MakeWireFormat();
  const Clock clock{SteadyClock()};
  Metrics metrics;
  gateway::EventLog log{"follower", this->clock};
  FleetState fleet{this->context, this->wire, this->clock, this->log};
  StoreSyncState news{this->context, this->clock};
  gateway::StoreClient link{this->context, this->store.Address(), this->wire,
                            this->metrics, this->clock};
  StoreWatcher following;
  bool holder_in_contact = true;
  /// The revision through which the holder brought all urgent changes.
  std::uint64_t told_through = 0;
};

class PlatformFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformFollowerTest);
  CPPUNIT_TEST(DropsAMissingTargetAlthoughNothingIsRead);
  CPPUNIT_TEST(ListsAnewOnlyWhenItComesToFollow);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The store is back after it was away for all; a target's entry is gone, and
  // the holder brings that news, so that the instance reads nothing itself for
  // seconds. The target is believed in for two seconds, since living ones
  // enter themselves again. Callers then met a target that had left for as
  // long as the instance did not read, 3.5 s after the entry was removed.
  void DropsAMissingTargetAlthoughNothingIsRead() {
    Following stage;
    CPPUNIT_ASSERT(
        stage.Until([&] { return stage.Knows("i-1"); }, absl::Seconds(10)));
    stage.fleet.HandleStoreRecovery();
    constexpr std::uint64_t kLater = 1000;
    stage.fleet.ApplyDeleted("servers/i-1", kLater);
    CPPUNIT_ASSERT(stage.Knows("i-1"));
    CPPUNIT_ASSERT(
        stage.Until([&] { return !stage.Knows("i-1"); }, absl::Seconds(4)));
  }

  // While an instance was led it left out what is not urgent, so that it lists
  // the store once when it comes to follow it for others. One that follows
  // hears others, too, and listed the whole store each second.
  void ListsAnewOnlyWhenItComesToFollow() {
    Following stage;
    const auto listings = [&](int count) {
      return stage.Until([&] { return stage.store.Listings() >= count; },
                         absl::Seconds(10));
    };
    CPPUNIT_ASSERT(listings(1));
    stage.told_through = 1000;
    stage.holder_in_contact = true;
    stage.Until([] { return false; }, absl::Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(1, stage.store.Listings());
    // The holder falls silent, and this instance takes the duty.
    stage.holder_in_contact = false;
    stage.Until([] { return false; }, absl::Seconds(2));
    gateway::InstanceRecord self;
    self.name = "i";
    self.incarnation = "1";
    const std::string record = gateway::EncodeInstanceRecord(self);
    constexpr std::uint64_t kLater = 2000;
    stage.fleet.Apply({FleetState::InstanceKey("i"), record, kLater, 1});
    stage.fleet.Apply(
        {std::string(FleetState::kLeaderKey), record, kLater + 1, 1});
    CPPUNIT_ASSERT(listings(2));
    stage.holder_in_contact = true;
    stage.told_through = kLater + 2;
    stage.Until([] { return false; }, absl::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(2, stage.store.Listings());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlatformFollowerTest,
                                      "platform-follower");

}  // namespace
}  // namespace dragonflyglade
