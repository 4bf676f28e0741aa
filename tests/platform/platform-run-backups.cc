#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "tests/platform/copying_targets.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;
using Loss = CopyingTargets::Loss;
using Refusal = CopyingTargets::Refusal;
using Reply = GatewayHarness::Reply;
using Work = CopyingTargets::Work;

const json kModels = {{{"name", "m"}, {"adapters", json::array()}}};
// Engines work on a run for this long after its connection was closed.
constexpr absl::Duration kEngineStopTime = absl::Milliseconds(400);

// The lines of the events that begin with the field's name, without it.
std::vector<std::string> Values(const Reply& reply, const std::string& field) {
  std::vector<std::string> values;
  for (absl::string_view line : absl::StrSplit(reply.text, '\n')) {
    if (absl::ConsumePrefix(&line, absl::StrCat(field, ": "))) {
      values.emplace_back(line.data(), line.size());
    }
  }
  return values;
}

std::vector<std::string> EventIds(int last) {
  std::vector<std::string> ids;
  for (int id = 1; id <= last; ++id) ids.push_back(absl::StrCat(id));
  return ids;
}

// A gateway in front of three engines on machines of their own.
class Engines {
 public:
  struct Options {
    CopyingTargets::Plan plan = {};
    bool run_backups = true;
    json engine = {{"backups", true},
                   {"kv_bytes", 1000},
                   {"link_mbps", 10000},
                   {"handle_s", 10}};
    std::string second_ip = "127.0.0.2";
    std::string second_zone = "z";
    std::string second_version = "";
    bool has_third = false;
  };

  explicit Engines(Options options)
      : options(options),
        targets(std::make_shared<CopyingTargets>(options.plan)),
        harness(this->HarnessOptions()),
        third(this->AnswerFunction(), "127.0.0.3") {
    this->Put("i-1", this->harness.first, "z", "");
    this->Put("i-2", this->harness.second, options.second_zone,
              options.second_version);
    if (options.has_third) this->Put("i-3", this->third, "z", "");
  }

  Reply Call(const std::string& path) {
    return this->harness.Send(this->Text(path));
  }

  std::string Text(const std::string& path) {
    return this->harness.Text("POST", path, "k1",
                              "X-Dragonflyglade-Model: m\r\n"
                              "X-Dragonflyglade-Token-Usage: 40000,100\r\n");
  }

  const Options options;
  std::shared_ptr<CopyingTargets> targets;
  GatewayHarness harness;
  PlatformTargetStandIn third;

 private:
  PlatformTargetStandIn::Answer AnswerFunction() {
    return [targets = this->targets](const RawRequest& request) {
      return targets->Answer(request);
    };
  }

  GatewayHarness::Options HarnessOptions() {
    GatewayHarness::Options result;
    result.answer = this->AnswerFunction();
    result.engine = this->options.engine;
    result.second_ip = this->options.second_ip;
    result.run_backups = this->options.run_backups;
    return result;
  }

  void Put(const std::string& id, const PlatformTargetStandIn& target,
           const std::string& zone, const std::string& version) {
    this->targets->Register(id, target.Address());
    json record = {{"service", "s"},   {"address", target.Address()},
                   {"zone", zone},     {"slots", 4},
                   {"state", "ready"}, {"born", 1},
                   {"models", kModels}};
    if (!version.empty()) record["version"] = version;
    this->harness.store.Put("servers/" + id, record.dump());
    this->harness.WaitFor([&] { return this->Knows(id); });
  }

  bool Knows(const std::string& id) {
    return this->harness.Read<bool>([&] {
      const auto state = this->harness.gateway->Fleet().Target(id);
      return state != nullptr && state->HoldsModel("m");
    });
  }
};

// A run that may not run twice is worked on by one engine at a time.
void CheckOneAtATime(const std::string& name, const std::vector<Work>& works,
                     Loss loss) {
  for (std::size_t i = 1; i < works.size(); ++i) {
    const Work& before = works[i - 1];
    CPPUNIT_ASSERT_MESSAGE(name, before.end.has_value());
    const absl::Duration pause = works[i].begin - *before.end;
    CPPUNIT_ASSERT_MESSAGE(
        name, pause >= (loss == Loss::kSilence ? kEngineStopTime
                                               : absl::ZeroDuration()));
  }
}

class RunBackupsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunBackupsTest);
  CPPUNIT_TEST(ContinuesWithinTheResponse);
  CPPUNIT_TEST(EndsAsBeforeWithoutCopy);
  CPPUNIT_TEST(ReadsAnewOnResumableRoutes);
  CPPUNIT_TEST(EndsWithTheSecondEngine);
  CPPUNIT_TEST(LeavesWithTheCaller);
  CPPUNIT_TEST(AsksOnlyWhereItMay);
  CPPUNIT_TEST(ReadsTheSetting);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against streams and answers that end with their engine, events that
  // are missing or sent twice, and runs on two engines at a time.
  void ContinuesWithinTheResponse() {
    struct Case {
      std::string name;
      std::string path;
      Loss loss;
      int events;
    };
    const std::vector<Case> cases = {
        {"connection closed", "/cut/", Loss::kClose, 2},
        {"connection reset", "/cut/", Loss::kReset, 2},
        {"engine crashed", "/cut/", Loss::kCrash, 2},
        {"silent", "/cut/", Loss::kSilence, 2},
        {"before the last event", "/cut/", Loss::kClose, 5},
        {"before the first event", "/cut/", Loss::kClose, 0},
        {"before the first event, reset", "/cut/", Loss::kReset, 0},
        {"before the answer", "/once/", Loss::kClose, 0},
        {"resumable", "/resumed/", Loss::kClose, 2},
    };
    for (const Case& item : cases) {
      Engines engines({.plan = {{item.loss}, item.events}});
      const Reply reply = engines.Call(item.path);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name + reply.text, 200, reply.status);
      CPPUNIT_ASSERT_MESSAGE(item.name, reply.ended_whole);
      if (item.path == "/once/") {
        CPPUNIT_ASSERT_EQUAL(std::string("run 1"), reply.Body());
      } else {
        CPPUNIT_ASSERT_MESSAGE(
            item.name + reply.text,
            Values(reply, "id") == EventIds(CopyingTargets::kLastEvent));
        const auto runs = Values(reply, "data");
        CPPUNIT_ASSERT_MESSAGE(
            item.name, std::set<std::string>(runs.begin(), runs.end()) ==
                           std::set<std::string>{"run 1"});
      }
      const std::vector<Work> works = engines.targets->Works();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, std::size_t{2}, works.size());
      CPPUNIT_ASSERT_MESSAGE(item.name, works[0].target != works[1].target);
      CheckOneAtATime(item.name, works, item.loss);
    }
  }

  // Guards against answers that say a request has not run, second runs, and
  // foreign events, if the second engine cannot go on.
  void EndsAsBeforeWithoutCopy() {
    struct Case {
      std::string name;
      Refusal refusal;
      bool used_up;
    };
    const std::vector<Case> cases = {
        {"no copy", Refusal::kNotExecuted, false},
        {"handle used before", Refusal::kNotExecuted, true},
        {"503 without the field", Refusal::kUnavailable, false},
        {"404", Refusal::kNotFound, false},
        {"409", Refusal::kConflict, false},
        {"no answer", Refusal::kNoAnswer, false},
        {"stream from its beginning", Refusal::kOtherStream, false},
    };
    for (const Case& item : cases) {
      for (const std::string path : {"/cut/", "/once/"}) {
        const std::string name = absl::StrCat(item.name, " ", path);
        const int events = path == "/cut/" ? 2 : 0;
        if (events == 0 && item.refusal == Refusal::kOtherStream) continue;
        Engines engines(
            {.plan = {{Loss::kClose}, events, item.used_up, item.refusal},
             .has_third = true});
        if (item.used_up) engines.targets->UseUpHandles();
        const Reply reply = engines.Call(path);
        if (events > 0) {
          CPPUNIT_ASSERT_MESSAGE(name, !reply.ended_whole);
          CPPUNIT_ASSERT_MESSAGE(name + reply.text,
                                 Values(reply, "id") == EventIds(events));
        } else {
          CPPUNIT_ASSERT_MESSAGE(name + reply.text,
                                 absl::StrContains(reply.text, "target_lost"));
          CPPUNIT_ASSERT_MESSAGE(
              name, !absl::StrContains(reply.text, "\"ran\":\"no\""));
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1,
                                     engines.targets->RefusedHandles());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{1},
                                     engines.targets->Works().size());
      }
    }
  }

  // Guards against resumable streams that end because their copy is missing.
  void ReadsAnewOnResumableRoutes() {
    for (const Refusal refusal :
         {Refusal::kNotExecuted, Refusal::kUnavailable, Refusal::kNotFound,
          Refusal::kConflict, Refusal::kNoAnswer}) {
      Engines engines(
          {.plan = {{Loss::kClose}, 2, false, refusal}, .has_third = true});
      const Reply reply = engines.Call("/resumed/");
      const std::string name =
          absl::StrCat("refusal ", static_cast<int>(refusal));
      CPPUNIT_ASSERT_MESSAGE(name + reply.text, reply.ended_whole);
      CPPUNIT_ASSERT_MESSAGE(
          name, Values(reply, "id") == EventIds(CopyingTargets::kLastEvent));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1, engines.targets->RefusedHandles());
    }
  }

  // Guards against a handle that is used twice, and runs that crash one engine
  // after the other.
  void EndsWithTheSecondEngine() {
    for (const Loss second : {Loss::kClose, Loss::kReset, Loss::kCrash}) {
      Engines engines({.plan = {{Loss::kClose, second}, 2}, .has_third = true});
      const Reply reply = engines.Call("/cut/");
      CPPUNIT_ASSERT(!reply.ended_whole);
      CPPUNIT_ASSERT(Values(reply, "id") == EventIds(4));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, engines.targets->Works().size());
      CPPUNIT_ASSERT_EQUAL(0, engines.targets->RefusedHandles());
    }
  }

  // Guards against a run that goes on for a caller that has left.
  void LeavesWithTheCaller() {
    Engines engines({.plan = {{Loss::kSilence}, 2}});
    const auto socket =
        engines.harness.Connect(engines.harness.gateway->Settings().callers);
    boost::asio::write(*socket, boost::asio::buffer(engines.Text("/cut/")));
    engines.harness.WaitFor([&] {
      const std::vector<Work> works = engines.targets->Works();
      return !works.empty() && works.front().end.has_value();
    });
    socket->close();
    absl::SleepFor(2 * kEngineStopTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engines.targets->Works().size());
  }

  // Guards against copies that were not enabled, or that would be lost or
  // unreadable together with the run.
  void AsksOnlyWhereItMay() {
    struct Case {
      std::string name;
      Engines::Options options;
    };
    const json backups = {{"backups", true}};
    const std::vector<Case> cases = {
        {"setting is off", {.run_backups = false}},
        {"engines keep no copies", {.engine = {{"backups", false}}}},
        {"the same machine", {.second_ip = "127.0.0.1"}},
        {"another zone", {.second_zone = "y"}},
        {"another version", {.second_version = "v2"}},
        {"slow links",
         {.engine = {{"backups", true},
                     {"kv_bytes", 100000},
                     {"link_mbps", 1000}}}},
    };
    for (Case item : cases) {
      item.options.plan = {{Loss::kClose}, 2};
      Engines engines(item.options);
      const Reply reply = engines.Call("/cut/");
      CPPUNIT_ASSERT_MESSAGE(item.name, !reply.ended_whole);
      CPPUNIT_ASSERT_MESSAGE(item.name, engines.targets->Backups() ==
                                            std::vector<std::string>{""});
    }
  }

  // Guards against a setting that is on unless it is stated, or that is taken
  // over from a file with an error.
  void ReadsTheSetting() {
    struct Case {
      std::string limits;
      std::optional<bool> on;
    };
    const std::vector<Case> cases = {
        {"{}", false},
        {R"({"run_backups": true})", true},
        {R"({"run_backups": false})", false},
        {R"({"run_backups": "yes"})", std::nullopt},
        {R"({"run_backups": 1})", std::nullopt},
    };
    const std::string address = "\"127.0.0.1:1\"";
    for (const Case& item : cases) {
      const auto settings = gateway::ParseGatewaySettings(absl::StrCat(
          R"({"instance": "one", "zone": "z", "listen": {"callers": )", address,
          R"(, "readiness": )", address, R"(, "directory": )", address,
          R"(, "metrics": )", address, R"(, "peers": )", address,
          R"(}, "store": {"address": )", address, R"(}, "limits": )",
          item.limits, "}"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.limits, item.on.has_value(),
                                   settings.Ok());
      if (!settings.Ok()) continue;
      CPPUNIT_ASSERT_EQUAL(*item.on, settings.Value().run_backups);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RunBackupsTest, "platform-run-backups");

}  // namespace
}  // namespace dragonflyglade
