#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
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

// A watcher of the store stand-in; the test sends the leader's digests.
class WatcherHarness {
 public:
  WatcherHarness()
      : watcher(this->context, this->client, this->fleet, this->sync_state, "i",
                this->log, this->clock) {
    this->store.Put("servers/i-1", TargetEntry());
    asio::co_spawn(this->context, this->watcher.Run(), asio::detached);
  }

  ~WatcherHarness() { this->context.stop(); }

  /// Runs until the condition holds. Meanwhile, if the leader is live, its
  /// digests say that the store responds to it and has nothing new.
  bool RunUntil(const std::function<bool()>& condition,
                absl::Duration timeout) {
    const Instant deadline = this->clock.Now() + timeout;
    while (!condition() && this->clock.Now() < deadline) {
      if (this->leader_is_live) {
        const Instant now = this->clock.Now();
        this->sync_state.RecordUptime({now, now});
        this->sync_state.ApplyDigest({0, this->digest_through, now});
      }
      this->context.run_for(std::chrono::milliseconds(20));
    }
    return condition();
  }

  void Wait(absl::Duration time) {
    this->RunUntil([] { return false; }, time);
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
  StoreAvailability availability{absl::Milliseconds(1200)};
  FleetState fleet{this->context, this->wire, this->availability, this->clock,
                   this->log};
  StoreSyncState sync_state{this->context, this->availability, this->clock};
  gateway::StoreClient client{this->context, this->store.Address(), this->wire,
                              this->metrics, this->clock};
  StoreWatcher watcher;
  bool leader_is_live = true;
  /// The revision through which the leader's digests contain all urgent
  /// changes.
  std::uint64_t digest_through = 0;
};

class PlatformWatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformWatcherTest);
  CPPUNIT_TEST(KeepsATargetForAShortTimeAfterAnOutage);
  CPPUNIT_TEST(ListsAgainOnlyWhenItBecomesARelay);
  CPPUNIT_TEST(DropsATargetThatLeftAfterItsOwnLinkWasDown);
  CPPUNIT_TEST(ReadsAtOnceWhenItsRelayIsLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against refusals while running targets register again after an
  // outage, if a relay sees its end first, and against requests to a target
  // that has left, if the digests contain all changes so that nothing is read.
  void KeepsATargetForAShortTimeAfterAnOutage() {
    WatcherHarness harness;
    CPPUNIT_ASSERT(harness.RunUntil([&] { return harness.Knows("i-1"); },
                                    absl::Seconds(10)));
    harness.store.RejectReads(true);
    harness.leader_is_live = false;
    harness.Wait(absl::Seconds(5));
    harness.leader_is_live = true;
    harness.Wait(absl::Milliseconds(300));
    constexpr std::uint64_t kLater = 1000;
    harness.fleet.ApplyDeleted("servers/i-1", kLater);
    CPPUNIT_ASSERT(harness.Knows("i-1"));
    CPPUNIT_ASSERT(harness.RunUntil([&] { return !harness.Knows("i-1"); },
                                    absl::Seconds(4)));
  }

  // Guards against an outage that each change of the leader seems to be: nobody
  // has had a response for as long as the store's silence may be in an outage.
  void ReadsAtOnceWhenItsRelayIsLost() {
    constexpr absl::Duration kLongestGap = absl::Seconds(2);
    WatcherHarness harness;
    CPPUNIT_ASSERT(harness.RunUntil([&] { return harness.Knows("i-1"); },
                                    absl::Seconds(10)));
    harness.Wait(absl::Seconds(1));
    harness.leader_is_live = false;
    absl::Duration longest;
    harness.RunUntil(
        [&] {
          longest = std::max(longest, harness.sync_state.KnowledgeAge());
          return false;
        },
        absl::Seconds(4));
    CPPUNIT_ASSERT(longest < kLongestGap);
  }

  // Guards against requests to a target whose entry is gone, at an instance
  // that alone was cut off from the store some time before its leader was lost.
  void DropsATargetThatLeftAfterItsOwnLinkWasDown() {
    // Requests may reach a target for so long after the store has removed it.
    constexpr absl::Duration kDrainTime = absl::Seconds(2);
    WatcherHarness harness;
    harness.leader_is_live = false;
    CPPUNIT_ASSERT(harness.RunUntil([&] { return harness.Knows("i-1"); },
                                    absl::Seconds(10)));
    harness.store.RejectReads(true);
    CPPUNIT_ASSERT(
        harness.RunUntil([&] { return !harness.watcher.IsStoreReachable(); },
                         absl::Seconds(10)));
    harness.leader_is_live = true;
    harness.Wait(absl::Seconds(4));
    harness.store.RejectReads(false);
    harness.leader_is_live = false;
    harness.Wait(absl::Milliseconds(1300));
    harness.store.Delete("servers/i-1");
    CPPUNIT_ASSERT(
        harness.RunUntil([&] { return !harness.Knows("i-1"); }, kDrainTime));
  }

  // Failure: a relay lists the whole store every second. An instance that
  // relies on a relay skips changes that are not urgent, and lists the store
  // once when it becomes a relay itself. From then on it reads all changes, and
  // digests of other relays must not make it list again.
  void ListsAgainOnlyWhenItBecomesARelay() {
    WatcherHarness harness;
    const auto listings = [&](int count) {
      return harness.RunUntil([&] { return harness.store.Listings() >= count; },
                              absl::Seconds(10));
    };
    CPPUNIT_ASSERT(listings(1));
    harness.digest_through = 1000;
    harness.leader_is_live = true;
    harness.RunUntil([] { return false; }, absl::Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(1, harness.store.Listings());
    // The leader becomes unresponsive, and this instance becomes leader.
    harness.leader_is_live = false;
    harness.RunUntil([] { return false; }, absl::Seconds(2));
    gateway::InstanceRecord self;
    self.name = "i";
    self.incarnation = "1";
    const std::string record = gateway::EncodeInstanceRecord(self);
    constexpr std::uint64_t kLater = 2000;
    harness.fleet.Apply({FleetState::InstanceKey("i"), record, kLater, 1});
    harness.fleet.Apply(
        {std::string(FleetState::kLeaderKey), record, kLater + 1, 1});
    CPPUNIT_ASSERT(listings(2));
    harness.leader_is_live = true;
    harness.digest_through = kLater + 2;
    harness.RunUntil([] { return false; }, absl::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(2, harness.store.Listings());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlatformWatcherTest, "platform-follower");

}  // namespace
}  // namespace dragonflyglade
