#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "tests/platform/two_instances.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kCallInterval = absl::Milliseconds(10);
// Within which the instance that got the answer, and all others, stop sending.
constexpr absl::Duration kStopTime = absl::Milliseconds(100);
constexpr absl::Duration kTellTime = absl::Seconds(1);
// For which requests are counted.
constexpr absl::Duration kCounted = absl::Milliseconds(700);

// An answer by which a target says that it leaves.
struct Farewell {
  std::string name;
  std::string path;  ///< of the requests that are answered so
  std::string status;
  std::string fields;
  std::string body;
};

const Farewell kServes = {"with a success", "/any/", "200 OK",
                          kSigned + "Server-Leaving: 1\r\n", "done"};

// A target that serves, and can be told to say that it leaves.
class LeavingTarget {
 public:
  PlatformTargetStandIn::Answer Answer() {
    return [this](const RawRequest& request) {
      const Farewell* farewell = this->farewell;
      const bool says_it =
          farewell != nullptr &&
          absl::StrContains(request.Line(), absl::StrCat(" ", farewell->path));
      if (!says_it) return SuccessfulResponse(request);
      this->said += 1;
      return PlatformTargetStandIn::Script{ResponseBytes(
          request, farewell->status, farewell->body, farewell->fields)};
    };
  }

  std::atomic<const Farewell*> farewell = nullptr;
  std::atomic<int> said = 0;
};

// Requests of callers that have reached the target.
int Arrived(const PlatformTargetStandIn& target) {
  int arrived = 0;
  for (const RawRequest& request : target.Requests()) {
    if (!absl::StrContains(request.Line(), " /-/")) arrived += 1;
  }
  return arrived;
}

class LeavingTargetsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeavingTargetsTest);
  CPPUNIT_TEST(GetNoRequestsOnceTheySaidSo);
  CPPUNIT_TEST(GetNoRequestsThroughTunnels);
  CPPUNIT_TEST(GetRequestsAgainAfterARestart);
  CPPUNIT_TEST_SUITE_END();

  // Guards against requests to a target that has said in an answer that it
  // leaves, while its record does not.
  void GetNoRequestsOnceTheySaidSo() {
    const std::string leaving = "Server-Leaving: 1\r\n";
    const std::string declined = "X-Dragonflyglade-Not-Executed: 1\r\n";
    const std::vector<Farewell> cases = {
        kServes,
        {"the field with the prefix of the others", "/any/", "200 OK",
         kSigned + "X-Dragonflyglade-Server-Leaving: 1\r\n", "done"},
        {"with a failure", "/any/", "500 Oops", kSigned + leaving, "why"},
        {"with a decline", "/any/", "503 Busy", declined + leaving, ""},
        {"as another target", "/any/", "421 Misdirected", leaving, ""},
        {"with a stream", "/cut/", "200 OK",
         kSigned + leaving + "Content-Type: text/event-stream\r\n",
         "id: 1\ndata: a\n\n"},
        {"with a load report", "/-/report", "503 Busy", leaving, ""},
    };
    for (const Farewell& item : cases) {
      LeavingTarget one;
      LeavingTarget two;
      TwoInstances pair(one.Answer(), two.Answer());
      one.farewell = &item;
      const std::string path = item.path == "/cut/" ? "/cut/" : "/any/";
      pair.harness.WaitFor([&] {
        pair.harness.Call("GET", path);
        return one.said > 0;
      });
      one.farewell = nullptr;
      absl::SleepFor(item.path == "/-/report" ? kTellTime : kStopTime);
      // The list still says that the target is ready.
      pair.harness.store.Put("servers/i-1",
                             Record(pair.target_one, 1, "again"));
      this->ExpectNoneAtTheFirst(pair, item.name, false);
      absl::SleepFor(kTellTime);
      this->ExpectNoneAtTheFirst(pair, item.name, true);
    }
  }

  // Guards against requests that reach a leaving target from the instance that
  // passed its answer on through a tunnel.
  void GetNoRequestsThroughTunnels() {
    LeavingTarget one;
    LeavingTarget two;
    TwoInstances pair(one.Answer(), two.Answer());
    pair.Isolate();
    pair.harness.WaitFor([&] { return pair.Call("").status == 200; });
    one.farewell = &kServes;
    pair.harness.WaitFor([&] {
      pair.Call("");
      return one.said > 0;
    });
    one.farewell = nullptr;
    absl::SleepFor(kTellTime);
    this->ExpectNoneAtTheFirst(pair, "through a tunnel", true);
  }

  // Guards against a target that gets no requests for ever, since an earlier
  // process at its address has left.
  void GetRequestsAgainAfterARestart() {
    LeavingTarget one;
    LeavingTarget two;
    TwoInstances pair(one.Answer(), two.Answer());
    one.farewell = &kServes;
    pair.harness.WaitFor([&] {
      pair.Call("");
      return one.said > 0;
    });
    one.farewell = nullptr;
    absl::SleepFor(kTellTime);
    pair.harness.store.Put("servers/i-1", Record(pair.target_one, 2, "new"));
    const int before = Arrived(pair.target_one);
    pair.harness.WaitFor([&] {
      pair.Call("");
      return Arrived(pair.target_one) > before;
    });
  }

 private:
  static std::string Record(const PlatformTargetStandIn& target, int born,
                            const std::string& version) {
    return nlohmann::json{
        {"service", "s"},     {"address", target.Address()},
        {"zone", "z"},        {"slots", 4},
        {"state", "ready"},   {"born", born},
        {"version", version}, {"models", nlohmann::json::array()}}
        .dump();
  }

  void ExpectNoneAtTheFirst(TwoInstances& pair, const std::string& name,
                            bool both) {
    const int before = Arrived(pair.target_one);
    const absl::Time end = absl::Now() + kCounted;
    while (absl::Now() < end) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200, pair.Call("").status);
      if (both) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200, pair.CallSecond().status);
      }
      absl::SleepFor(kCallInterval);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, before, Arrived(pair.target_one));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LeavingTargetsTest,
                                      "platform-leaving-targets");

}  // namespace
}  // namespace dragonflyglade
