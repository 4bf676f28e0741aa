#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "dragonflyglade/gateway/store_sync_state.h"

namespace dragonflyglade::gateway {
namespace {

// What happens to an instance, in order.
struct Step {
  absl::Duration after;       ///< since the step before
  std::uint64_t read = 0;     ///< an own read up to this revision; 0: none
  std::uint64_t urgent = 0;   ///< a word of this urgent revision; 0: none
  std::uint64_t through = 0;  ///< its changes are all through this one
  absl::Duration age = absl::ZeroDuration();  ///< of the word
};

Step Reads(absl::Duration after, std::uint64_t revision) {
  return {after, revision};
}
Step Hears(absl::Duration after, std::uint64_t urgent, std::uint64_t through,
           absl::Duration age = absl::ZeroDuration()) {
  return {after, 0, urgent, through, age};
}
Step Waits(absl::Duration time) { return {time}; }

struct Case {
  std::string name;
  std::vector<Step> steps;
  bool led;
  bool must_read;
  std::uint64_t known_through;
};

constexpr absl::Duration kSoon = absl::Milliseconds(200);

class StoreNewsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreNewsTest);
  CPPUNIT_TEST(ReadsTheStoreOnlyWhereNobodyBringsItsChanges);
  CPPUNIT_TEST(TellsForHowLongTheStoreAnswered);
  CPPUNIT_TEST_SUITE_END();

  // With 295 instances, a change that each of them reads from the store in the
  // same moment fills its link for half a second, and reads that ended at
  // their time limit kept some instances from it for ten seconds.
  void ReadsTheStoreOnlyWhereNobodyBringsItsChanges() {
    const std::vector<Case> cases = {
        {"at the start", {}, false, false, 0},
        {"reads alone", {Reads(kSoon, 5)}, false, false, 5},
        {"nothing new", {Reads(kSoon, 5), Hears(kSoon, 4, 9)}, true, false, 9},
        {"a change comes with the word",
         {Reads(kSoon, 5), Hears(kSoon, 8, 9)},
         true,
         false,
         9},
        {"the change is still to come",
         {Reads(kSoon, 5), Hears(kSoon, 8, 0)},
         true,
         false,
         5},
        {"it comes with the next word",
         {Reads(kSoon, 5), Hears(kSoon, 8, 0), Hears(kSoon, 8, 9),
          Waits(absl::Seconds(1))},
         true,
         false,
         9},
        {"it does not come",
         {Reads(kSoon, 5), Hears(kSoon, 8, 0), Hears(kSoon * 3, 8, 0),
          Hears(kSoon * 3, 8, 0)},
         true,
         true,
         5},
        {"it comes in parts",
         {Reads(kSoon, 5), Hears(kSoon, 9, 6), Hears(kSoon * 3, 9, 7),
          Hears(kSoon * 3, 9, 8)},
         true,
         false,
         8},
        {"the read brings it",
         {Reads(kSoon, 5), Hears(kSoon, 8, 0), Hears(kSoon * 5, 8, 0),
          Reads(kSoon, 8)},
         true,
         false,
         8},
        {"the speaker is gone",
         {Reads(kSoon, 5), Hears(kSoon, 4, 9), Waits(absl::Seconds(2))},
         false,
         false,
         9},
        {"the speaker itself hears no store",
         {Reads(kSoon, 5), Hears(kSoon, 4, 9, absl::Seconds(2))},
         false,
         false,
         9},
        {"one of two speakers heard it lately",
         {Reads(kSoon, 5), Hears(kSoon, 4, 9),
          Hears(kSoon, 4, 9, absl::Seconds(2))},
         true,
         false,
         9},
        {"an older word takes nothing back",
         {Reads(kSoon, 5), Hears(kSoon, 8, 9), Hears(kSoon, 3, 4)},
         true,
         false,
         9},
    };
    for (const Case& item : cases) {
      ManualClock clock;
      boost::asio::io_context context;
      StoreSyncState news(context, Clock(&clock));
      for (const Step& step : item.steps) {
        clock.Advance(step.after);
        if (step.read > 0) news.Read(step.read, step.read);
        if (step.urgent > 0) {
          news.Told({step.urgent, step.through, clock.Now() - step.age});
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.led, news.HasLiveRelay());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.must_read,
                                   news.MustReadStore());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.known_through,
                                   news.KnownThrough());
    }
  }

  // Entries of targets lapse only while the store is away for all. Took an
  // instance that alone was turned away the store for lost, it would go on
  // sending to targets that left.
  void TellsForHowLongTheStoreAnswered() {
    ManualClock clock;
    boost::asio::io_context context;
    StoreSyncState news(context, Clock(&clock));
    CPPUNIT_ASSERT(news.StoreUptime() == absl::ZeroDuration());
    for (int i = 0; i < 10; ++i) {
      clock.Advance(absl::Milliseconds(500));
      news.Told({1, 1, clock.Now()});
    }
    CPPUNIT_ASSERT(news.StoreUptime() == absl::Milliseconds(4500));
    clock.Advance(absl::Seconds(2));
    CPPUNIT_ASSERT(news.StoreUptime() == absl::ZeroDuration());
    news.Told({1, 1, clock.Now()});
    CPPUNIT_ASSERT(news.StoreUptime() == absl::ZeroDuration());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoreNewsTest, "unit-store-news");

}  // namespace
}  // namespace dragonflyglade::gateway
