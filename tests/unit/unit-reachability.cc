#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dragonflyglade/decision/target_reachability.h"
#include "dragonflyglade/decision/tunnel_peers.h"

namespace dragonflyglade {
namespace {

constexpr Instant kStart = absl::Seconds(100);

// A connection attempt at a time, to a target.
struct ConnectAttempt {
  int at_ms = 0;
  std::string target;
  bool connected = false;
  ConnectError error = ConnectError::kTimedOut;
};

Instant At(int ms) { return kStart + absl::Milliseconds(ms); }

// Instances in several availability zones, some without a path to any target.
struct Fleet {
  Fleet(int count, int zones) {
    for (int i = 0; i < count; ++i) {
      this->names.push_back("i-" + std::to_string(i));
      this->zones.push_back("z-" + std::to_string(i % zones));
    }
  }

  // All instances but the first one.
  std::vector<TunnelPeerCandidate> Peers() const {
    std::vector<TunnelPeerCandidate> peers;
    for (std::size_t i = 1; i < this->names.size(); ++i) {
      peers.push_back({this->names[i], this->zones[i]});
    }
    return peers;
  }

  std::vector<std::string> names;
  std::vector<std::string> zones;
};

// One instance and the targets of a service, some of which have ended. The
// instance opens connections to random targets and probes the paths as the
// gateway does.
class EndedTargetsPlay {
 public:
  struct Setting {
    int targets = 140;
    double ended_share = 0.25;
    ConnectError error = ConnectError::kRefused;
    int outcome_ms = 1;  ///< from an attempt to its outcome
  };

  EndedTargetsPlay(const Setting& setting, unsigned seed)
      : setting(setting), random(seed) {
    std::vector<int> order(static_cast<std::size_t>(setting.targets));
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), this->random);
    const auto ended = static_cast<std::size_t>(
        setting.ended_share * static_cast<double>(setting.targets));
    this->ended.insert(order.begin(),
                       order.begin() + static_cast<std::ptrdiff_t>(ended));
  }

  // Opens a connection each interval for the time.
  // @return when the instance took itself for isolated; -1 if never
  int Run(int interval_ms, int time_ms) {
    for (int ms = 0; ms < time_ms; ++ms) {
      for (const int target : this->outcomes_at[ms]) this->Record(target, ms);
      if (ms % interval_ms == 0) this->Attempt(this->RandomTarget(), ms);
      if (this->reachability.NeedsReview()) this->reachability.Review(At(ms));
      this->BeginProbes(ms);
      if (this->reachability.IsIsolated()) return ms;
    }
    return -1;
  }

  TargetReachability reachability;
  int probes = 0;

 private:
  int RandomTarget() {
    return std::uniform_int_distribution<int>(
        0, this->setting.targets - 1)(this->random);
  }

  void Attempt(int target, int ms) {
    const bool accepts = this->ended.count(target) == 0;
    const int outcome_ms = accepts ? 1 : this->setting.outcome_ms;
    this->outcomes_at[ms + outcome_ms].push_back(target);
  }

  void Record(int target, int ms) {
    const std::string name = std::to_string(target);
    if (this->ended.count(target) == 0) {
      this->reachability.RecordConnected(name);
      return;
    }
    this->reachability.RecordConnectFailed(name, this->setting.error, At(ms),
                                           !this->NotFailed(target).empty());
  }

  std::vector<int> NotFailed(int failing) const {
    std::vector<int> others;
    for (int i = 0; i < this->setting.targets; ++i) {
      if (i == failing) continue;
      if (this->reachability.FailedLately(std::to_string(i))) continue;
      others.push_back(i);
    }
    return others;
  }

  void BeginProbes(int ms) {
    const int due = this->reachability.BeginProbes(At(ms));
    std::vector<int> others = this->NotFailed(-1);
    std::shuffle(others.begin(), others.end(), this->random);
    if (static_cast<int>(others.size()) > due) {
      others.resize(static_cast<std::size_t>(due));
    }
    for (const int target : others) {
      this->reachability.RecordProbe(std::to_string(target));
      this->Attempt(target, ms);
      this->probes += 1;
    }
  }

  const Setting setting;
  std::mt19937 random;
  std::set<int> ended;
  std::map<int, std::vector<int>> outcomes_at;
};

class ReachabilityDecisionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReachabilityDecisionTest);
  CPPUNIT_TEST(TellsALostPathFromAFailedTarget);
  CPPUNIT_TEST(ReportsOnlyRefusalsThatAnotherTargetExplains);
  CPPUNIT_TEST(ProbesOnSuspicionOnly);
  CPPUNIT_TEST(NoticesACutWithinASecondAtEachLoad);
  CPPUNIT_TEST(TellsEndedTargetsFromLostPaths);
  CPPUNIT_TEST(NoticesACutOfManyTargetsAsQuickly);
  CPPUNIT_TEST(LimitsProbesWhileTargetsEnd);
  CPPUNIT_TEST(TakesWhatPeersAreRefusedForEnded);
  CPPUNIT_TEST(FindsAPeerWithAPathInFleetsOfAllSizes);
  CPPUNIT_TEST(SpreadsTunnelsOverPeers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an instance that takes its own lost paths for failed
  // targets, or a failed target for lost paths.
  void TellsALostPathFromAFailedTarget() {
    struct Case {
      std::string name;
      std::vector<ConnectAttempt> attempts;
      bool isolated = false;
      bool path_to_a = true;  ///< at the end
    };
    const std::vector<Case> cases = {
        {"no attempts", {}, false, true},
        {"one target", {{0, "a"}, {10, "a"}, {20, "a"}}, false, false},
        {"two targets", {{0, "a"}, {10, "b"}}, true, false},
        {"two refuse",
         {{0, "a", false, ConnectError::kRefused},
          {1, "b", false, ConnectError::kRefused}},
         true,
         false},
        {"a success between",
         {{0, "a"}, {10, "c", true}, {20, "b"}},
         false,
         false},
        {"a success afterwards",
         {{0, "a"}, {10, "b"}, {20, "c", true}},
         false,
         false},
        {"its own success afterwards",
         {{0, "a"}, {10, "b"}, {20, "a", true}},
         false,
         true},
        {"far apart", {{0, "a"}, {5000, "b"}}, false, true},
        {"forgotten", {{0, "a"}, {2100, "c", true}}, false, true},
        {"failed twice",
         {{0, "a"}, {2100, "a"}, {5000, "c", true}},
         false,
         false},
    };
    for (const Case& item : cases) {
      TargetReachability reachability;
      int last_ms = 0;
      for (const ConnectAttempt& attempt : item.attempts) {
        last_ms = attempt.at_ms;
        Apply(reachability, attempt);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.isolated,
                                   reachability.IsIsolated());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.path_to_a,
                                   reachability.HasPath("a", At(last_ms)));
    }
  }

  // Guards against targets that count as ended in the whole fleet since one
  // instance's paths were reset.
  void ReportsOnlyRefusalsThatAnotherTargetExplains() {
    struct Case {
      std::string name;
      std::vector<ConnectAttempt> attempts;
      std::vector<std::string> ended;
    };
    const ConnectError refused = ConnectError::kRefused;
    const std::vector<Case> cases = {
        {"another target accepts",
         {{0, "a", false, refused}, {9, "b", true}},
         {"a"}},
        {"the same target accepts",
         {{0, "a", false, refused}, {9, "a", true}},
         {}},
        {"all refuse, then a path is back",
         {{0, "a", false, refused}, {1, "b", false, refused}, {9, "c", true}},
         {}},
        {"no answer", {{0, "a"}, {9, "b", true}}, {}},
    };
    for (const Case& item : cases) {
      TargetReachability reachability;
      std::vector<std::string> ended;
      for (const ConnectAttempt& attempt : item.attempts) {
        ended = Apply(reachability, attempt);
      }
      CPPUNIT_ASSERT_MESSAGE(item.name, ended == item.ended);
    }
  }

  // Guards against probes, which targets pay for, without a reason, and against
  // an instance that never learns that its paths are back.
  void ProbesOnSuspicionOnly() {
    TargetReachability reachability;
    CPPUNIT_ASSERT_EQUAL(0, reachability.BeginProbes(At(0)));
    reachability.RecordSent(At(0));
    CPPUNIT_ASSERT_EQUAL(0, reachability.BeginProbes(At(300)));
    reachability.RecordReceived(At(300));
    CPPUNIT_ASSERT_EQUAL(0, reachability.BeginProbes(At(600)));
    CPPUNIT_ASSERT_EQUAL(2, reachability.BeginProbes(At(700)));
    CPPUNIT_ASSERT_EQUAL(0, reachability.BeginProbes(At(701)));
    reachability.RecordEnded(At(0));
    CPPUNIT_ASSERT_EQUAL(0, reachability.BeginProbes(At(5000)));
    reachability.RecordConnectFailed("a", ConnectError::kRefused, At(5000));
    CPPUNIT_ASSERT_EQUAL(1, reachability.BeginProbes(At(5000)));
    reachability.RecordConnectFailed("b", ConnectError::kTimedOut, At(5400));
    CPPUNIT_ASSERT(reachability.IsIsolated());
    int probes = 0;
    for (int ms = 6000; ms < 16000; ++ms) {
      probes += reachability.BeginProbes(At(ms));
    }
    CPPUNIT_ASSERT(probes >= 10 && probes <= 20);
  }

  // Guards against callers who are sent into lost paths for seconds. The load
  // is 1 to 100 requests a second on kept connections that have gone silent.
  void NoticesACutWithinASecondAtEachLoad() {
    for (const int interval_ms : {10, 100, 250}) {
      TargetReachability reachability;
      std::map<int, std::vector<std::string>> failures_at;
      int noticed_ms = 0;
      int last_target = 0;
      for (int ms = 0; noticed_ms == 0 && ms < 10'000; ++ms) {
        for (const std::string& target : failures_at[ms]) {
          reachability.RecordConnectFailed(target, ConnectError::kTimedOut,
                                           At(ms));
        }
        if (reachability.IsIsolated()) noticed_ms = ms;
        if (ms % interval_ms != 0) continue;
        reachability.RecordSent(At(ms));
        const int probes = reachability.BeginProbes(At(ms));
        for (int i = 0; i < probes; ++i) {
          constexpr int kConnectTimeoutMs = 400;
          failures_at[ms + kConnectTimeoutMs].push_back(
              std::to_string(++last_target));
        }
      }
      CPPUNIT_ASSERT(noticed_ms > 0 && noticed_ms <= 1100);
    }
  }

  // Guards against instances that take the end of many targets for the loss of
  // their own paths, and refuse requests that others could serve.
  void TellsEndedTargetsFromLostPaths() {
    struct Case {
      std::string name;
      EndedTargetsPlay::Setting setting;
      int most_isolated;
    };
    const ConnectError refused = ConnectError::kRefused;
    const ConnectError timed_out = ConnectError::kTimedOut;
    const std::vector<Case> cases = {
        {"a quarter of 140", {140, 0.25, refused, 1}, 0},
        {"a quarter of 140, which lost power", {140, 0.25, timed_out, 400}, 4},
        {"half of 140", {140, 0.5, refused, 1}, 8},
        {"a quarter of 1,900", {1900, 0.25, refused, 1}, 0},
        {"half of 6", {6, 0.5, refused, 1}, 0},
    };
    constexpr unsigned kDraws = 400;
    for (const Case& item : cases) {
      int isolated = 0;
      for (unsigned draw = 0; draw < kDraws; ++draw) {
        EndedTargetsPlay play(item.setting, draw);
        constexpr int kIntervalMs = 3;
        constexpr int kTimeMs = 500;
        isolated += play.Run(kIntervalMs, kTimeMs) >= 0 ? 1 : 0;
      }
      CPPUNIT_ASSERT_MESSAGE(
          item.name + ": " + std::to_string(isolated) + " isolated",
          isolated <= item.most_isolated);
    }
  }

  // Guards against callers who are sent into lost paths for longer, since there
  // are many targets to probe.
  void NoticesACutOfManyTargetsAsQuickly() {
    struct Case {
      EndedTargetsPlay::Setting setting;
      int interval_ms;
      int most_ms;
    };
    // Two attempts fail, and the probes take 40 ms or two rounds of refusals.
    const std::vector<Case> cases = {
        {{140, 1, ConnectError::kRefused, 1}, 3, 10},
        {{140, 1, ConnectError::kRefused, 1}, 100, 110},
        {{1900, 1, ConnectError::kRefused, 1}, 10, 20},
        {{140, 1, ConnectError::kTimedOut, 400}, 3, 450},
        {{140, 1, ConnectError::kTimedOut, 400}, 100, 550},
        {{6, 1, ConnectError::kRefused, 1}, 3, 10},
        {{6, 1, ConnectError::kTimedOut, 400}, 3, 450},
    };
    for (const Case& item : cases) {
      for (unsigned draw = 0; draw < 20; ++draw) {
        EndedTargetsPlay play(item.setting, draw);
        const int noticed_ms = play.Run(item.interval_ms, 2000);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(noticed_ms),
                               noticed_ms >= 0 && noticed_ms <= item.most_ms);
      }
    }
  }

  // Guards against probes that burden the targets that still work.
  void LimitsProbesWhileTargetsEnd() {
    int probes = 0;
    constexpr int kDraws = 100;
    for (unsigned draw = 0; draw < kDraws; ++draw) {
      EndedTargetsPlay play({140, 0.25, ConnectError::kRefused, 1}, draw);
      play.Run(1, 500);
      probes += play.probes;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(probes), probes <= 20 * kDraws);
  }

  // Guards against an instance that counts targets as its lost paths which no
  // other instance can reach either.
  void TakesWhatPeersAreRefusedForEnded() {
    TargetReachability reachability;
    const ConnectError refused = ConnectError::kRefused;
    reachability.RecordConnectFailed("a", refused, At(0), true);
    reachability.RecordRefusedElsewhere("a");
    reachability.RecordConnectFailed("b", refused, At(1), true);
    CPPUNIT_ASSERT(!reachability.IsInDoubt());
    reachability.RecordConnectFailed("c", refused, At(2), false);
    CPPUNIT_ASSERT(reachability.IsIsolated());
    reachability.RecordRefusedElsewhere("b");
    CPPUNIT_ASSERT(reachability.IsIsolated());
    reachability.RecordRefusedElsewhere("c");
    CPPUNIT_ASSERT(!reachability.IsIsolated());
  }

  // Guards against callers who are refused while an instance with a path
  // exists: with a third, most or all of an availability zone isolated, and
  // with all but one instance.
  void FindsAPeerWithAPathInFleetsOfAllSizes() {
    struct Case {
      int instances;
      int zones;
      double isolated_share;
      int isolated_zone;  ///< wholly isolated; -1 for none
      int most_tries;     ///< that nine in ten requests may need
    };
    const std::vector<Case> cases = {
        {6, 3, 0.34, -1, 3}, {6, 3, 0, 0, 3},  {6, 3, 0.84, -1, 5},
        {82, 4, 0.5, -1, 3}, {82, 4, 0, 1, 3}, {300, 6, 0.34, -1, 3},
        {300, 6, 0, 0, 3},
    };
    std::mt19937 random(7);
    std::uniform_real_distribution<double> uniform(0, 1);
    for (const Case& item : cases) {
      const Fleet fleet(item.instances, item.zones);
      const auto peers = fleet.Peers();
      const auto isolated = static_cast<std::size_t>(
          item.isolated_share * static_cast<double>(item.instances));
      const std::string isolated_zone =
          "z-" + std::to_string(item.isolated_zone);
      TunnelPeers known;
      int quick = 0;
      constexpr int kRequests = 1000;
      for (int request = 0; request < kRequests; ++request) {
        const Instant now = At(request * 10);
        int tries = 0;
        while (tries < item.most_tries) {
          tries += 1;
          const auto choice = known.Choose(peers, "z-0", "z-1", uniform(random),
                                           uniform(random), now);
          if (!choice.has_value()) break;
          const bool works =
              *choice + 1 >= isolated && peers[*choice].zone != isolated_zone;
          if (works) {
            known.RecordConnected(peers[*choice].name);
            quick += 1;
            break;
          }
          known.RecordFailed(peers[*choice].name, now);
        }
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(item.instances) + " instances, " +
                                 std::to_string(quick) + " requests served",
                             quick * 10 >= kRequests * 9);
    }
  }

  // Guards against one neighbor that bears the traffic of all isolated
  // instances.
  void SpreadsTunnelsOverPeers() {
    const Fleet fleet(82, 4);
    const auto peers = fleet.Peers();
    std::mt19937 random(7);
    std::uniform_real_distribution<double> uniform(0, 1);
    const TunnelPeers known;
    std::map<std::size_t, int> uses;
    int near = 0;
    constexpr int kTunnels = 81'000;
    for (int i = 0; i < kTunnels; ++i) {
      const auto choice = known.Choose(peers, "z-0", "z-1", uniform(random),
                                       uniform(random), kStart);
      uses[*choice] += 1;
      near += peers[*choice].zone == "z-0" || peers[*choice].zone == "z-1";
    }
    CPPUNIT_ASSERT_EQUAL(peers.size(), uses.size());
    for (const auto& [peer, count] : uses) CPPUNIT_ASSERT(count <= 2000);
    CPPUNIT_ASSERT(near > kTunnels * 6 / 10);
  }

 private:
  static std::vector<std::string> Apply(TargetReachability& reachability,
                                        const ConnectAttempt& attempt) {
    const Instant now = At(attempt.at_ms);
    if (attempt.connected) {
      return reachability.RecordConnected(attempt.target);
    }
    reachability.RecordConnectFailed(attempt.target, attempt.error, now);
    return {};
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ReachabilityDecisionTest,
                                      "unit-reachability");

}  // namespace
}  // namespace dragonflyglade
