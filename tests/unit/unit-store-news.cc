#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dragonflyglade/gateway/store_sync_state.h"

namespace dragonflyglade::gateway {
namespace {

// An event at an instance.
struct Step {
  absl::Duration after;       ///< since the previous step
  std::uint64_t read = 0;     ///< reads the store to this revision; 0: no read
  std::uint64_t urgent = 0;   ///< urgent revision of a digest; 0: no digest
  std::uint64_t through = 0;  ///< the digest's changes are complete to here
  absl::Duration age = absl::ZeroDuration();  ///< of the digest
};

Step ReadsStore(absl::Duration after, std::uint64_t revision) {
  return {after, revision};
}
Step GetsDigest(absl::Duration after, std::uint64_t urgent,
                std::uint64_t through,
                absl::Duration age = absl::ZeroDuration()) {
  return {after, 0, urgent, through, age};
}
Step Waits(absl::Duration time) { return {time}; }

struct Case {
  std::string name;
  std::vector<Step> steps;
  bool has_live_relay;
  bool must_read;
  std::uint64_t known_through;
};

constexpr absl::Duration kHeartbeat = absl::Milliseconds(1200);
constexpr absl::Duration kStepTime = absl::Milliseconds(200);

class StoreSyncStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreSyncStateTest);
  CPPUNIT_TEST(ReadsTheStoreOnlyIfDigestsLackChanges);
  CPPUNIT_TEST(MeasuresTheUptimeOfTheStore);
  CPPUNIT_TEST_SUITE_END();

  // Failure: instances receive a change of the store up to ten seconds late.
  // When 295 instances read a change at the same time, they saturate the
  // store's link for half a second, and reads that time out are repeated.
  void ReadsTheStoreOnlyIfDigestsLackChanges() {
    const std::vector<Case> cases = {
        {"at the start", {}, false, false, 0},
        {"no digests", {ReadsStore(kStepTime, 5)}, false, false, 5},
        {"nothing new",
         {ReadsStore(kStepTime, 5), GetsDigest(kStepTime, 4, 9)},
         true,
         false,
         9},
        {"a change comes with the digest",
         {ReadsStore(kStepTime, 5), GetsDigest(kStepTime, 8, 9)},
         true,
         false,
         9},
        {"the change is still to come",
         {ReadsStore(kStepTime, 5), GetsDigest(kStepTime, 8, 0)},
         true,
         false,
         5},
        {"the change comes with the next digest",
         {ReadsStore(kStepTime, 5), GetsDigest(kStepTime, 8, 0),
          GetsDigest(kStepTime, 8, 9), Waits(absl::Seconds(1))},
         true,
         false,
         9},
        {"the change does not come",
         {ReadsStore(kStepTime, 5), GetsDigest(kStepTime, 8, 0),
          GetsDigest(kStepTime * 3, 8, 0), GetsDigest(kStepTime * 3, 8, 0)},
         true,
         true,
         5},
        {"the changes come in parts",
         {ReadsStore(kStepTime, 5), GetsDigest(kStepTime, 9, 6),
          GetsDigest(kStepTime * 3, 9, 7), GetsDigest(kStepTime * 3, 9, 8)},
         true,
         false,
         8},
        {"a read returns the change",
         {ReadsStore(kStepTime, 5), GetsDigest(kStepTime, 8, 0),
          GetsDigest(kStepTime * 5, 8, 0), ReadsStore(kStepTime, 8)},
         true,
         false,
         8},
        {"the relay is gone",
         {ReadsStore(kStepTime, 5), GetsDigest(kStepTime, 4, 9),
          Waits(absl::Seconds(2))},
         false,
         false,
         9},
        {"the relay gets no response from the store",
         {ReadsStore(kStepTime, 5),
          GetsDigest(kStepTime, 4, 9, absl::Seconds(2))},
         false,
         false,
         9},
        {"one of two relays got a recent response",
         {ReadsStore(kStepTime, 5), GetsDigest(kStepTime, 4, 9),
          GetsDigest(kStepTime, 4, 9, absl::Seconds(2))},
         true,
         false,
         9},
        {"an older digest reverts nothing",
         {ReadsStore(kStepTime, 5), GetsDigest(kStepTime, 8, 9),
          GetsDigest(kStepTime, 3, 4)},
         true,
         false,
         9},
    };
    for (const Case& item : cases) {
      ManualClock clock;
      boost::asio::io_context context;
      StoreAvailability availability(kHeartbeat);
      StoreSyncState sync_state(context, availability, Clock(&clock));
      for (const Step& step : item.steps) {
        clock.Advance(step.after);
        if (step.read > 0) sync_state.RecordRead(step.read, step.read);
        if (step.urgent > 0) {
          sync_state.ApplyDigest(
              {step.urgent, step.through, clock.Now() - step.age});
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.has_live_relay,
                                   sync_state.HasLiveRelay());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.must_read,
                                   sync_state.MustReadStore());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.known_through,
                                   sync_state.KnownThrough());
    }
  }

  // Guards against an uptime that covers an outage, or ends while the store
  // responds to relays only.
  void MeasuresTheUptimeOfTheStore() {
    ManualClock clock;
    boost::asio::io_context context;
    StoreAvailability availability(kHeartbeat);
    StoreSyncState sync_state(context, availability, Clock(&clock));
    const auto uptime = [&] {
      const std::optional<StoreUptime>& known =
          sync_state.Availability().Uptime();
      CPPUNIT_ASSERT(known.has_value());
      return known->through - known->since;
    };
    CPPUNIT_ASSERT(!sync_state.Availability().Uptime().has_value());
    for (int i = 0; i < 10; ++i) {
      clock.Advance(absl::Milliseconds(500));
      sync_state.RecordUptime({clock.Now(), clock.Now()});
    }
    CPPUNIT_ASSERT(uptime() == absl::Milliseconds(4500));
    clock.Advance(3 * kHeartbeat);
    CPPUNIT_ASSERT(uptime() == absl::Milliseconds(4500));
    sync_state.RecordResponse();
    CPPUNIT_ASSERT(uptime() == absl::ZeroDuration());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoreSyncStateTest, "unit-store-news");

}  // namespace
}  // namespace dragonflyglade::gateway
