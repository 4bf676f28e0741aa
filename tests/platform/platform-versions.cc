#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "tests/platform/restarted_instance.h"
#include "tests/platform/two_instances.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;
using Reply = GatewayHarness::Reply;
using Script = PlatformTargetStandIn::Script;

constexpr int kLastEvent = 6;

std::string Chunk(const std::string& data) {
  return absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n");
}

// Goes on with any stream after Last-Event-Id, and writes its version into each
// event. Breaks off after `events` events.
Script StreamOf(const RawRequest& request, const std::string& version,
                int events) {
  if (!absl::StrContains(request.Line(), "/resumed/")) {
    return SuccessfulResponse(request);
  }
  std::string bytes = absl::StrCat("HTTP/1.1 200 OK\r\n", kSigned,
                                   "Content-Type: text/event-stream\r\n",
                                   "X-Dragonflyglade-Attempt-Id: ",
                                   request.Field("X-Dragonflyglade-Attempt-Id"),
                                   "\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string after = request.Field("Last-Event-Id");
  const int first = after.empty() ? 1 : std::stoi(after) + 1;
  for (int id = first; id <= kLastEvent; ++id) {
    if (id - first == events) return {bytes, true};
    bytes += Chunk(absl::StrCat("id: ", id, "\ndata: ", version, "\n\n"));
  }
  return {bytes + "0\r\n\r\n"};
}

// The versions in the events of all replies.
std::set<std::string> VersionsIn(const std::vector<Reply>& replies) {
  std::set<std::string> versions;
  for (const Reply& reply : replies) {
    const std::vector<std::string> lines = absl::StrSplit(reply.text, '\n');
    for (const std::string& line : lines) {
      if (absl::StartsWith(line, "data: ")) versions.insert(line.substr(6));
    }
  }
  return versions;
}

int EventsIn(const Reply& reply) {
  const std::vector<std::string> parts = absl::StrSplit(reply.text, "data: ");
  return static_cast<int>(parts.size()) - 1;
}

// Two instances in front of two targets of different versions.
class TwoVersions {
 public:
  TwoVersions()
      : pair(
            [this](const RawRequest& request) {
              return this->Answer(request, 0);
            },
            [this](const RawRequest& request) {
              return this->Answer(request, 1);
            }) {
    this->Put(0, "ready");
    this->Put(1, "ready");
    this->AwaitVersions(2);
  }

  void Put(int target, const std::string& state) {
    const std::string id = absl::StrCat("i-", target + 1);
    json record = json::parse(this->pair.harness.store.Get("servers/" + id));
    record["state"] = state;
    record["version"] = this->versions[target];
    this->pair.harness.store.Put("servers/" + id, record.dump());
  }

  // Waits until both instances know so many versions among the targets that
  // are not leaving.
  void AwaitVersions(std::size_t count) {
    this->pair.harness.WaitFor([&] {
      return this->KnownVersions(*this->pair.harness.gateway) == count &&
             (this->pair.second == nullptr ||
              this->KnownVersions(*this->pair.second) == count);
    });
  }

  // A new stream, or a continuation of one.
  // @param more further header lines
  std::string Request(const std::string& id, const std::string& more = "") {
    return absl::StrCat(
        "POST /resumed/ HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
        "X-Dragonflyglade-Attempt-Id: ",
        id,
        "\r\nX-Dragonflyglade-Deadline-Ms: 5000\r\n"
        "Authorization: Bearer k1\r\n",
        more, "\r\n");
  }

  Reply CallFirst(const std::string& request) {
    return this->pair.harness.Send(request);
  }
  Reply CallSecond(const std::string& request) {
    return this->pair.harness.SendTo(this->pair.second->Settings().callers,
                                     request);
  }

  // How many events a target sends before it breaks off.
  std::atomic<int> events_one = kLastEvent;
  std::atomic<int> events_two = kLastEvent;
  std::vector<std::string> versions = {"v1", "v2"};
  TwoInstances pair;

 private:
  Script Answer(const RawRequest& request, int target) {
    return StreamOf(request, this->versions[target],
                    target == 0 ? this->events_one : this->events_two);
  }

  std::size_t KnownVersions(gateway::Gateway& instance) {
    std::set<SoftwareVersion> known;
    absl::Notification done;
    boost::asio::post(instance.Context(), [&] {
      for (const auto& target : instance.Fleet().Targets("s")) {
        if (!target->Record().leaving) known.insert(target->Record().version);
      }
      done.Notify();
    });
    done.WaitForNotification();
    return known.size();
  }
};

std::string TakeUp(const std::string& stream, int last_event) {
  return absl::StrCat("Resumes: ", stream, "\r\nLast-Event-Id: ", last_event,
                      "\r\n");
}

// What the store has of the versions that served.
enum class RecordKind { kFresh, kStale, kMissing, kUnreadable };

// An instance that starts when all instances have been killed. The store says,
// if anything, that the version v1 served alone for an hour.
class VersionsRestart {
 public:
  // @param just_left, listed versions of targets that were entered since, and
  //     whether their entries are still there
  VersionsRestart(RecordKind record, const std::vector<std::string>& just_left,
                  const std::vector<std::string>& listed)
      : restarted([](const RawRequest& request) {
          return StreamOf(request, "any", kLastEvent);
        }) {
    this->PutRecord(record);
    for (const std::string& version : just_left) {
      this->restarted.store.Delete(this->restarted.PutTarget(version));
    }
    for (const std::string& version : listed) {
      this->restarted.PutTarget(version);
    }
    if (record == RecordKind::kStale) this->restarted.store.DiscardHistory();
    this->restarted.Start();
  }

  void SetStorePath(PathState state) { this->restarted.store_path.Set(state); }

  // The instance need not notice.
  void EnterUnseen(const std::string& version) {
    this->restarted.PutTarget(version);
  }

  Reply TakeUpStream(const std::string& stream = "before") {
    return this->restarted.Call("POST", "/resumed/", "k1", TakeUp(stream, 2));
  }

  void Enter(const std::vector<std::string>& versions) {
    for (const std::string& version : versions) {
      this->restarted.PutTarget(version);
    }
    if (!versions.empty()) this->restarted.AwaitTargets(versions.size());
  }

 private:
  void PutRecord(RecordKind record) {
    const std::string key = "dragonflyglade/versions";
    PlatformStoreStandIn& store = this->restarted.store;
    if (record == RecordKind::kMissing) return;
    if (record == RecordKind::kUnreadable) {
      store.Put(key, "{");
      return;
    }
    const json versions = {
        {"s",
         {{"version", "v1"},
          {"known_through", store.Revision()},
          {"since_ms", absl::ToUnixMillis(absl::Now() - absl::Hours(1))}}}};
    store.Put(key, versions.dump());
  }

  RestartedInstance restarted;
};

class VersionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VersionsTest);
  CPPUNIT_TEST(GoesOnAtTheSameVersionWithinOneResponse);
  CPPUNIT_TEST(GoesOnAtTheSameVersionOverTheCallersTries);
  CPPUNIT_TEST(KnowsStreamsOfAnInstanceThatEnded);
  CPPUNIT_TEST(RefusesStreamsThatNobodyKnows);
  CPPUNIT_TEST(RefusesIfNoTargetOfTheVersionServes);
  CPPUNIT_TEST(GoesOnAnywhereWhileOneVersionServes);
  CPPUNIT_TEST(JoinsNoVersionsAfterAllWereKilled);
  CPPUNIT_TEST(JoinsNoVersionsIfCutOffForAMoment);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a response with events of two versions, after a target broke
  // off and the other one was asked to go on.
  void GoesOnAtTheSameVersionWithinOneResponse() {
    TwoVersions fleet;
    fleet.events_one = 2;
    fleet.events_two = 2;
    for (int i = 0; i < 20; ++i) {
      const Reply reply = fleet.CallFirst(fleet.Request(absl::StrCat("s", i)));
      CPPUNIT_ASSERT_EQUAL(200, reply.status);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, VersionsIn({reply}).size());
    }
  }

  // Guards against two versions over three tries at one or both instances; the
  // third try names the attempt that brought the first event.
  void GoesOnAtTheSameVersionOverTheCallersTries() {
    using Call = Reply (TwoVersions::*)(const std::string&);
    struct Case {
      std::string name;
      std::vector<Call> tries;
    };
    const Call first = &TwoVersions::CallFirst;
    const Call second = &TwoVersions::CallSecond;
    const std::vector<Case> cases = {
        {"at one instance", {first, first, first}},
        {"at the other instance", {first, second, second}},
        {"back at the first one", {second, first, second}},
    };
    TwoVersions fleet;
    fleet.events_one = 1;
    fleet.events_two = 1;
    int number = 0;
    for (const Case& item : cases) {
      for (int i = 0; i < 10; ++i) {
        const std::string stream = absl::StrCat("t", ++number);
        std::vector<Reply> replies;
        int last_event = 0;
        for (std::size_t n = 0; n < item.tries.size(); ++n) {
          const std::string id = n == 0 ? stream : absl::StrCat(stream, "-", n);
          const std::string more = n == 0 ? "" : TakeUp(stream, last_event);
          replies.push_back((fleet.*item.tries[n])(fleet.Request(id, more)));
          const int events = EventsIn(replies.back());
          CPPUNIT_ASSERT_MESSAGE(
              absl::StrCat(item.name, ", try ", n, ": ", replies.back().text),
              events > 0);
          last_event += events;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, std::size_t{1},
                                     VersionsIn(replies).size());
      }
    }
  }

  // Guards against streams that are lost, or go on at the other version, when
  // the instance ends in the moment of their first event.
  void KnowsStreamsOfAnInstanceThatEnded() {
    TwoVersions fleet;
    fleet.events_one = 1;
    fleet.events_two = 1;
    std::map<std::string, Reply> begun;
    for (int i = 0; i < 20; ++i) {
      const std::string stream = absl::StrCat("k", i);
      begun[stream] = fleet.CallSecond(fleet.Request(stream));
    }
    fleet.pair.StopSecond();
    for (const auto& [stream, reply] : begun) {
      const Reply next = fleet.CallFirst(
          fleet.Request(stream + "-2", TakeUp(stream, EventsIn(reply))));
      CPPUNIT_ASSERT_EQUAL(200, next.status);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, VersionsIn({reply, next}).size());
    }
  }

  // Guards against a guess: the caller might get events of two versions, or a
  // stream from its beginning.
  void RefusesStreamsThatNobodyKnows() {
    TwoVersions fleet;
    struct Case {
      std::string name;
      std::string more;
      int status;
    };
    const std::vector<Case> cases = {
        {"an unknown id", TakeUp("nobody", 2), 503},
        {"no id", "Last-Event-Id: 2\r\n", 503},
        {"an empty id", TakeUp("", 2), 503},
        {"two ids", "Resumes: a\r\n" + TakeUp("b", 2), 503},
        {"a long id", TakeUp(std::string(5000, 'x'), 2), 503},
        {"an id that is not ASCII", TakeUp("\xC3\xA9\xFF", 2), 503},
        {"an id but no event", "Resumes: nobody\r\n", 200},
    };
    const std::size_t before = fleet.pair.RequestCount();
    int number = 0;
    for (const Case& item : cases) {
      const absl::Time start = absl::Now();
      const Reply reply = fleet.CallFirst(
          fleet.Request(absl::StrCat("r", ++number), item.more));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.status, reply.status);
      CPPUNIT_ASSERT(absl::Now() - start < absl::Milliseconds(500));
      if (item.status == 200) continue;
      CPPUNIT_ASSERT(absl::StrContains(reply.text, "stream_origin_unknown"));
      CPPUNIT_ASSERT(absl::StrContains(reply.text, "\"ran\":\"no\""));
      CPPUNIT_ASSERT(std::stod(reply.Field("Retry-After")) > 0);
    }
    CPPUNIT_ASSERT_EQUAL(before + 1, fleet.pair.RequestCount());
  }

  // Guards against a stream that goes on at the other version when the targets
  // of its own are gone, and against a caller that waits for them.
  void RefusesIfNoTargetOfTheVersionServes() {
    TwoVersions fleet;
    fleet.events_one = 1;
    fleet.events_two = 1;
    std::map<std::string, Reply> begun;
    for (int i = 0; i < 10; ++i) {
      const std::string stream = absl::StrCat("g", i);
      begun[stream] = fleet.CallFirst(fleet.Request(stream));
    }
    fleet.Put(0, "draining");
    fleet.AwaitVersions(1);
    for (const auto& [stream, reply] : begun) {
      const bool gone = VersionsIn({reply}) == std::set<std::string>{"v1"};
      const Reply next = fleet.CallSecond(
          fleet.Request(stream + "-2", TakeUp(stream, EventsIn(reply))));
      CPPUNIT_ASSERT_EQUAL(gone ? 503 : 200, next.status);
      CPPUNIT_ASSERT_EQUAL(
          gone, absl::StrContains(next.text, "stream_version_unavailable"));
    }
  }

  // Guards against refusals after all instances restarted, while no stream can
  // have begun at another version; and against a guess if one can.
  void GoesOnAnywhereWhileOneVersionServes() {
    struct Case {
      std::string name;
      std::string recorded_version;
      absl::Duration since;
      bool first_start;
      int status;
    };
    const std::vector<Case> cases = {
        {"alone for an hour", "v1", absl::Hours(1), false, 200},
        {"alone for a second", "v1", absl::Seconds(1), false, 503},
        {"another version before", "v0", absl::Hours(1), false, 503},
        {"no version before", "v1", absl::Seconds(1), true, 200},
    };
    GatewayHarness harness([](const RawRequest& request) {
      return StreamOf(request, "v1", kLastEvent);
    });
    for (const Case& item : cases) {
      PlatformStoreStandIn store;
      const json versions = {
          {"s",
           {{"version", item.recorded_version},
            {"since_ms", absl::ToUnixMillis(absl::Now() - item.since)}}}};
      json target = json::parse(harness.store.Get("servers/i-1"));
      target["version"] = "v1";
      store.Put("dragonflyglade/versions", versions.dump());
      store.Put("servers/i-1", target.dump());
      store.Put("op/config", harness.Config(1, "plain").dump());
      gateway::GatewaySettings settings = harness.Settings("restarted");
      settings.store = store.Address();
      settings.first_start = item.first_start;
      gateway::Gateway restarted(
          settings, [&settings] { return settings; },
          platform::MakeWireFormat());
      std::thread thread([&restarted] { restarted.Run(); });
      const Reply reply = harness.SendTo(
          restarted.Settings().callers,
          harness.Text("POST", "/resumed/", "k1", TakeUp("before", 2)));
      restarted.Context().stop();
      thread.join();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.status, reply.status);
    }
  }

  // Guards against a stream that begins at one version and goes on at another,
  // since all instances were killed and what is left names one version only.
  void JoinsNoVersionsAfterAllWereKilled() {
    struct Served {
      std::string name;
      std::vector<std::string> just_left;  ///< after the record was written
      std::vector<std::string> listed;
      std::vector<std::string> entered_later;
    };
    const std::vector<Served> all_served = {
        {"one version", {}, {"v1"}, {}},
        {"two versions", {}, {"v1", "v2"}, {}},
        {"the old one has just left", {"v1"}, {"v2"}, {}},
        {"the old one has just left, the new one comes later",
         {"v1"},
         {},
         {"v2"}},
        {"the new one crashed", {"v2"}, {"v1"}, {}},
        {"the new one crashed, the old one is back later", {"v2"}, {}, {"v1"}},
    };
    const std::vector<RecordKind> records = {
        RecordKind::kFresh, RecordKind::kStale, RecordKind::kMissing,
        RecordKind::kUnreadable};
    std::vector<std::string> wrong;
    for (const Served& served : all_served) {
      for (const RecordKind record : records) {
        for (const bool asked_early : {false, true}) {
          VersionsRestart restart(record, served.just_left, served.listed);
          if (asked_early) restart.TakeUpStream();
          restart.Enter(served.entered_later);
          const Reply reply = restart.TakeUpStream();
          const bool one_version = served.just_left.empty() &&
                                   served.listed.size() == 1 &&
                                   record == RecordKind::kFresh;
          if (reply.status == (one_version ? 200 : 503)) continue;
          wrong.push_back(absl::StrCat(
              served.name, ", record ", static_cast<int>(record),
              asked_early ? ", asked early: " : ": ", reply.status));
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), absl::StrJoin(wrong, "\n"));
  }

  // Guards against a stream that goes on at the only version that an instance
  // knows, while another one has begun to serve that it was not told of yet.
  void JoinsNoVersionsIfCutOffForAMoment() {
    struct Case {
      const char* name;
      bool is_cut;
      bool another_version;
      int status;
    };
    const std::vector<Case> cases = {
        {"one version", false, false, 200},
        {"another one has just entered", false, true, 503},
        {"another one has entered unseen", true, true, 503},
    };
    for (const Case& item : cases) {
      VersionsRestart instance(RecordKind::kFresh, {}, {"v1"});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, 200,
                                   instance.TakeUpStream().status);
      if (item.is_cut) instance.SetStorePath(PathState::kHangs);
      if (item.another_version) instance.EnterUnseen("v2");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.status,
                                   instance.TakeUpStream("another").status);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(VersionsTest, "platform-versions");

}  // namespace
}  // namespace dragonflyglade
