#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>

#include "absl/random/distributions.h"
#include "dragonflyglade/decision/membership.h"
#include "measure/model/membership_fleet.h"

namespace dragonflyglade {
namespace {

MemberStatus MakeStatus(const char* name, std::int64_t incarnation,
                        std::int64_t sequence, MemberState state) {
  MemberStatus status;
  status.info.name = name;
  status.incarnation = incarnation;
  status.sequence = sequence;
  status.state = state;
  return status;
}

struct StatusCase {
  const char* name;
  MemberStatus first;
  MemberStatus second;
  MemberState expected;
};

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(TheNewerUpdateWins);
  CPPUNIT_TEST(ASuspectRefutesTheSuspicion);
  CPPUNIT_TEST(AnUnresponsiveMemberIsSuspectedThenDeclaredDead);
  CPPUNIT_TEST(IgnoresAnOlderList);
  CPPUNIT_TEST(DeclaresNoLiveMemberDeadUnderMessageLoss);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TheNewerUpdateWins() {
    const std::vector<StatusCase> cases = {
        {"suspicion overrules alive",
         MakeStatus("b", 1, 0, MemberState::kAlive),
         MakeStatus("b", 1, 0, MemberState::kSuspect), MemberState::kSuspect},
        {"a refutation overrules suspicion",
         MakeStatus("b", 1, 0, MemberState::kSuspect),
         MakeStatus("b", 1, 1, MemberState::kAlive), MemberState::kAlive},
        {"an older update changes nothing",
         MakeStatus("b", 1, 4, MemberState::kAlive),
         MakeStatus("b", 1, 3, MemberState::kDead), MemberState::kAlive},
        {"a new process overrules the failure of the old one",
         MakeStatus("b", 1, 9, MemberState::kDead),
         MakeStatus("b", 2, 0, MemberState::kAlive), MemberState::kAlive},
        {"the failure of an old process changes nothing",
         MakeStatus("b", 2, 0, MemberState::kAlive),
         MakeStatus("b", 1, 9, MemberState::kDead), MemberState::kAlive},
    };
    for (const StatusCase& item : cases) {
      ManualClock manual;
      Membership membership(MakeStatus("a", 1, 0, MemberState::kAlive), {},
                            Clock(&manual), 1);
      membership.Receive(MakeStatus("c", 1, 0, MemberState::kAlive),
                         {MakeStatus("b", 1, 0, MemberState::kAlive)});
      membership.Receive(MakeStatus("c", 1, 0, MemberState::kAlive),
                         {item.first, item.second});
      CPPUNIT_ASSERT_MESSAGE(item.name,
                             membership.Find("b")->state == item.expected);
    }
  }

  // Failure: a few lost messages make another instance suspect this one, and
  // callers are sent elsewhere. When this one hears of the suspicion it
  // increases its own sequence, which no other instance does, and thereby
  // overrules the suspicion everywhere.
  void ASuspectRefutesTheSuspicion() {
    ManualClock manual;
    Membership membership(MakeStatus("a", 5, 0, MemberState::kAlive), {},
                          Clock(&manual), 1);
    membership.Receive(MakeStatus("b", 1, 0, MemberState::kAlive),
                       {MakeStatus("a", 5, 0, MemberState::kSuspect)});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, membership.Self().sequence);
    CPPUNIT_ASSERT(membership.Self().state == MemberState::kAlive);
  }

  void AnUnresponsiveMemberIsSuspectedThenDeclaredDead() {
    ManualClock manual;
    Membership membership(MakeStatus("a", 1, 0, MemberState::kAlive), {},
                          Clock(&manual), 1);
    membership.Receive(MakeStatus("b", 1, 0, MemberState::kAlive), {});
    membership.ReportProbeFailure("b");
    CPPUNIT_ASSERT(membership.Find("b")->state == MemberState::kSuspect);
    manual.Advance(absl::Seconds(2));
    membership.Tick();
    CPPUNIT_ASSERT(membership.Find("b")->state == MemberState::kSuspect);
    manual.Advance(absl::Seconds(2));
    membership.Tick();
    CPPUNIT_ASSERT(membership.Find("b")->state == MemberState::kDead);
    // It was only slow: its next heartbeat makes it alive again.
    membership.Receive(MakeStatus("b", 1, 0, MemberState::kAlive), {});
    CPPUNIT_ASSERT(membership.Find("b")->state == MemberState::kAlive);
  }

  void IgnoresAnOlderList() {
    ManualClock manual;
    Membership membership(MakeStatus("a", 1, 0, MemberState::kAlive), {},
                          Clock(&manual), 1);
    ListedInstance b;
    b.info.name = "b";
    membership.ApplyInstanceList(InstanceList{5, {b}});
    membership.ApplyInstanceList(InstanceList{4, {}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, membership.List().instances.size());
    // A listed instance is active from the start, also before its first
    // heartbeat, until it is declared dead.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, membership.ActiveNames().size());
    membership.ApplyInstanceList(InstanceList{6, {}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, membership.ActiveNames().size());
  }

  // One message in twenty is lost. No live instance may be declared dead, and
  // the termination of one must still become known to all others.
  void DeclaresNoLiveMemberDeadUnderMessageLoss() {
    MembershipRun run;
    run.instances = 20;
    run.message_loss = 0.05;
    run.length = absl::Minutes(5);
    run.kill_at = absl::Minutes(4);
    const MembershipResult result = MembershipFleet(run).Run();
    CPPUNIT_ASSERT_EQUAL(0, result.false_deaths);
    CPPUNIT_ASSERT(result.death_known_after < absl::Seconds(30));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(MembershipTest, "unit-membership");

}  // namespace
}  // namespace dragonflyglade
