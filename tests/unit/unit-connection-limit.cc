#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/connection_limit.h"
#include "dragonflyglade/gateway/connection_plan.h"

namespace dragonflyglade::gateway {
namespace {

/// Two connections, one after the other, and which of them makes room.
struct RoomCase {
  const char* what;
  CallerWait first;
  CallerWait second;
  absl::Duration elapsed;  ///< since both wait
  std::string ended;       ///< "1", "2" or "" for none
};

class ConnectionLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionLimitTest);
  CPPUNIT_TEST(EndsTheOneThatCanBestBeSpared);
  CPPUNIT_TEST(KeepsWhatIsBeingServed);
  CPPUNIT_TEST(CountsWhatIsOpen);
  CPPUNIT_TEST(LeavesDescriptorsToOwnConnections);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EndsTheOneThatCanBestBeSpared() {
    constexpr CallerWait kIdle = CallerWait::kRequest;
    constexpr CallerWait kReading = CallerWait::kRestOfRequest;
    constexpr CallerWait kWriting = CallerWait::kResponseIsRead;
    const absl::Duration soon = absl::Milliseconds(1);
    const absl::Duration late = absl::Seconds(1);
    for (const RoomCase& item :
         {RoomCase{"the one that is idle for longest", kIdle, kIdle, soon, "1"},
          RoomCase{"an idle one before a request", kReading, kIdle, late, "2"},
          RoomCase{"a request before a response", kWriting, kReading, late,
                   "2"},
          RoomCase{"a response that is not read", kWriting, kWriting, late,
                   "1"},
          RoomCase{"not a request that comes", kReading, kReading, soon, ""},
          RoomCase{"not a response that is read", kWriting, kWriting, soon,
                   ""}}) {
      ConnectionLimit connections(2, this->clock);
      std::string ended;
      ConnectionLimit::Entry first(connections, [&ended] { ended += "1"; });
      ConnectionLimit::Entry second(connections, [&ended] { ended += "2"; });
      first.BeginWait(item.first);
      second.BeginWait(item.second);
      this->manual.Advance(item.elapsed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, !item.ended.empty(),
                                   connections.MakeRoom());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.ended, ended);
    }
  }

  void KeepsWhatIsBeingServed() {
    ConnectionLimit connections(1, this->clock);
    bool ended = false;
    ConnectionLimit::Entry entry(connections, [&ended] { ended = true; });
    entry.BeginWait(CallerWait::kRequest);
    entry.EndWait();
    CPPUNIT_ASSERT(!connections.MakeRoom());
    CPPUNIT_ASSERT(!ended);
  }

  // Guards against room that is made twice for a connection that takes a while
  // to end.
  void CountsWhatIsOpen() {
    ConnectionLimit connections(2, this->clock);
    {
      ConnectionLimit::Entry first(connections, [] {});
      ConnectionLimit::Entry second(connections, [] {});
      first.BeginWait(CallerWait::kRequest);
      CPPUNIT_ASSERT(connections.MakeRoom());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, connections.Open());
      first.BeginWait(CallerWait::kRequest);
      ConnectionLimit::Entry third(connections, [] {});
      CPPUNIT_ASSERT(!connections.MakeRoom());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connections.Open());
  }

  void LeavesDescriptorsToOwnConnections() {
    for (const std::size_t descriptors : {64u, 256u, 3075u, 4100u, 10250u}) {
      const ConnectionPlan plan = PlanConnections(descriptors);
      const std::size_t accepted = plan.callers + plan.directory +
                                   plan.readiness + plan.metrics +
                                   2 * plan.tunnels;
      CPPUNIT_ASSERT(plan.readiness > 0);
      CPPUNIT_ASSERT(accepted + descriptors / 4 <= descriptors);
    }
  }

 private:
  ManualClock manual;
  const Clock clock{&this->manual};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ConnectionLimitTest,
                                      "unit-connection-limit");

}  // namespace
}  // namespace dragonflyglade::gateway
