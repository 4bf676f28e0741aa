#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
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

class ReachabilityDecisionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReachabilityDecisionTest);
  CPPUNIT_TEST(TellsALostPathFromAFailedTarget);
  CPPUNIT_TEST(ReportsOnlyRefusalsThatAnotherTargetExplains);
  CPPUNIT_TEST(ProbesOnSuspicionOnly);
  CPPUNIT_TEST(NoticesACutWithinASecondAtEachLoad);
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
