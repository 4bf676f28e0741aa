#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>

#include "absl/random/distributions.h"
#include "dragonflyglade/decision/membership.h"
#include "measure/model/membership_fleet.h"

namespace dragonflyglade {
namespace {

MemberStatus Statement(const char* name, std::int64_t incarnation,
                       std::int64_t sequence, MemberState state) {
  MemberStatus statement;
  statement.info.name = name;
  statement.incarnation = incarnation;
  statement.sequence = sequence;
  statement.state = state;
  return statement;
}

struct StatementCase {
  const char* name;
  MemberStatus first;
  MemberStatus second;
  MemberState expected;
};

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(TheNewerStatementHolds);
  CPPUNIT_TEST(ASuspectRefutes);
  CPPUNIT_TEST(ASilentOneIsSuspectedThenDead);
  CPPUNIT_TEST(AnOlderListChangesNothing);
  CPPUNIT_TEST(FewFalseDeathsUnderLoss);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TheNewerStatementHolds() {
    const std::vector<StatementCase> cases = {
        {"suspicion beats life", Statement("b", 1, 0, MemberState::kAlive),
         Statement("b", 1, 0, MemberState::kSuspect), MemberState::kSuspect},
        {"a refutation beats suspicion",
         Statement("b", 1, 0, MemberState::kSuspect),
         Statement("b", 1, 1, MemberState::kAlive), MemberState::kAlive},
        {"old news changes nothing", Statement("b", 1, 4, MemberState::kAlive),
         Statement("b", 1, 3, MemberState::kDead), MemberState::kAlive},
        {"a new process beats death", Statement("b", 1, 9, MemberState::kDead),
         Statement("b", 2, 0, MemberState::kAlive), MemberState::kAlive},
        {"the death of an old process changes nothing",
         Statement("b", 2, 0, MemberState::kAlive),
         Statement("b", 1, 9, MemberState::kDead), MemberState::kAlive},
    };
    for (const StatementCase& item : cases) {
      ManualClock manual;
      Membership membership(Statement("a", 1, 0, MemberState::kAlive), {},
                            Clock(&manual), 1);
      membership.Receive(Statement("c", 1, 0, MemberState::kAlive),
                         {Statement("b", 1, 0, MemberState::kAlive)});
      membership.Receive(Statement("c", 1, 0, MemberState::kAlive),
                         {item.first, item.second});
      CPPUNIT_ASSERT_MESSAGE(item.name,
                             membership.Find("b")->state == item.expected);
    }
  }

  // A few lost messages make another instance suspect this one. When it hears
  // of that it raises its own sequence, which nobody else may, and so
  // overrules the suspicion everywhere.
  void ASuspectRefutes() {
    ManualClock manual;
    Membership membership(Statement("a", 5, 0, MemberState::kAlive), {},
                          Clock(&manual), 1);
    membership.Receive(Statement("b", 1, 0, MemberState::kAlive),
                       {Statement("a", 5, 0, MemberState::kSuspect)});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, membership.Self().sequence);
    CPPUNIT_ASSERT(membership.Self().state == MemberState::kAlive);
  }

  void ASilentOneIsSuspectedThenDead() {
    ManualClock manual;
    Membership membership(Statement("a", 1, 0, MemberState::kAlive), {},
                          Clock(&manual), 1);
    membership.Receive(Statement("b", 1, 0, MemberState::kAlive), {});
    membership.ReportProbeFailure("b");
    CPPUNIT_ASSERT(membership.Find("b")->state == MemberState::kSuspect);
    manual.Advance(absl::Seconds(2));
    membership.Tick();
    CPPUNIT_ASSERT(membership.Find("b")->state == MemberState::kSuspect);
    manual.Advance(absl::Seconds(2));
    membership.Tick();
    CPPUNIT_ASSERT(membership.Find("b")->state == MemberState::kDead);
    // It was only slow: it is alive again as soon as it is heard.
    membership.Receive(Statement("b", 1, 0, MemberState::kAlive), {});
    CPPUNIT_ASSERT(membership.Find("b")->state == MemberState::kAlive);
  }

  void AnOlderListChangesNothing() {
    ManualClock manual;
    Membership membership(Statement("a", 1, 0, MemberState::kAlive), {},
                          Clock(&manual), 1);
    ListedInstance b;
    b.info.name = "b";
    membership.TakeList(InstanceList{5, {b}});
    membership.TakeList(InstanceList{4, {}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, membership.List().instances.size());
    // Listed counts, heard of or not, until it is judged dead.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, membership.Active().size());
    membership.TakeList(InstanceList{6, {}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, membership.Active().size());
  }

  // One message in twenty is lost. Nobody may be taken for dead, and a real
  // death must still be known everywhere.
  void FewFalseDeathsUnderLoss() {
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
