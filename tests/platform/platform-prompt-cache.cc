#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "dragonflyglade/gateway/gateway.h"
#include "dragonflyglade/gateway/gateway_settings.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;
using Script = PlatformTargetStandIn::Script;

constexpr int kPrefixes = 12;

// Answers a call for events: at first that the second engine has cached all
// parts, then that nothing is new.
Script AnswerEvents(const RawRequest& request) {
  const bool is_first = absl::StrContains(request.Line(), "since=0 ");
  json events = json::array();
  const bool caches =
      request.Field("X-Dragonflyglade-Target-Instance") == "i-2";
  for (int i = 0; is_first && caches && i < kPrefixes; ++i) {
    events.push_back({i + 1, "+", "", absl::StrCat("p", i), 6300, "m"});
  }
  if (!is_first) absl::SleepFor(absl::Milliseconds(300));
  const json body = {{"epoch", "x"},
                     {"next", kPrefixes + 1},
                     {"lost", false},
                     {"events", events}};
  return {ResponseBytes(request, "200 OK", body.dump(), kSigned)};
}

// An answer of a target that states its load.
PlatformTargetStandIn::Answer WithLoad(const std::string& load) {
  return [load](const RawRequest& request) -> Script {
    if (absl::StrContains(request.Line(), "/-/kv-events")) {
      return AnswerEvents(request);
    }
    const std::string more =
        absl::StrCat(kSigned, "X-Dragonflyglade-Server-Load: ", load, "\r\n");
    return {ResponseBytes(request, "200 OK", "done", more)};
  };
}

// Whether the instance knows an engine that has the parts of all prompts.
bool KnowsParts(GatewayHarness& harness, const Endpoint& metrics) {
  return absl::StrContains(
      harness.Ask(metrics, "/metrics").text,
      absl::StrCat("prompt_parts_known ", kPrefixes, "\n"));
}

// A gateway in front of two engines. The first one has read the parts of some
// prompts when the second one comes.
class CachingEngines {
 public:
  CachingEngines(const std::string& load, bool enabled)
      : harness(Options(load, enabled)) {
    this->Put("i-1", this->harness.first);
    this->harness.WaitFor([this] { return this->Call(0) == 200; });
    for (int i = 0; i < kPrefixes; ++i) this->Call(i);
    this->Put("i-2", this->harness.second);
    this->harness.WaitFor([this] { return this->Knows("i-2"); });
  }

  int Call(int prefix) {
    return this->harness
        .Call("POST", "/once/", "k1",
              absl::StrCat("X-Dragonflyglade-Model: m\r\n"
                           "X-Dragonflyglade-Token-Usage: 9190,10\r\n"
                           "X-Dragonflyglade-Prompt-Prefix: p",
                           prefix, ":6300,own:2890\r\n"))
        .status;
  }

  // How many of the prompts go to the second engine.
  std::size_t CallsToSecond() {
    for (int i = 0; i < kPrefixes; ++i) this->Call(i);
    return this->harness.second.Requests().size();
  }

  void Put(const std::string& id, const PlatformTargetStandIn& target) {
    this->harness.PutTarget(id, target, "ready",
                            {{{"name", "m"}, {"adapters", json::array()}}});
  }

  GatewayHarness harness;

 private:
  static GatewayHarness::Options Options(const std::string& load,
                                         bool enabled) {
    GatewayHarness::Options options;
    options.answer = WithLoad(load);
    options.prompt_cache = enabled;
    return options;
  }

  bool Knows(const std::string& id) {
    return this->harness.Read<bool>([&] {
      const auto state = this->harness.gateway->Fleet().Target(id);
      return state != nullptr && state->HoldsModel("m");
    });
  }
};

class PromptCacheGatewayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromptCacheGatewayTest);
  CPPUNIT_TEST(SendsPromptsWhereTheirPartsAreCached);
  CPPUNIT_TEST(TellsOtherInstances);
  CPPUNIT_TEST(FollowsEngineEvents);
  CPPUNIT_TEST(DecodesEngineEvents);
  CPPUNIT_TEST(ReadsTheSetting);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against prompts that are read again although an engine has them
  // cached, and against the index where nothing calls for it.
  void SendsPromptsWhereTheirPartsAreCached() {
    struct Case {
      const char* load;
      bool enabled;
    };
    const std::vector<Case> cases = {
        {"1,0,4", true},
        {"1,0,4,100", true},
        {"1,0,4", false},
        {"1,0,4,100", false},
    };
    for (const Case& item : cases) {
      CachingEngines engines(item.load, item.enabled);
      const std::size_t calls = engines.CallsToSecond();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.load, item.enabled, calls == 0);
    }
  }

  // Guards against instances that send prompts elsewhere than the others do.
  void TellsOtherInstances() {
    CachingEngines engines("1,0,4,100", true);
    GatewayHarness& harness = engines.harness;
    gateway::Gateway second(
        harness.Settings("two"), [&] { return harness.Settings("two"); },
        platform::MakeWireFormat());
    std::thread thread([&] { second.Run(); });
    const auto end = absl::MakeCleanup([&] {
      second.Context().stop();
      thread.join();
    });
    harness.WaitFor([&] {
      for (int i = 0; i < kPrefixes; ++i) engines.Call(i);
      return KnowsParts(harness, second.Settings().metrics);
    });
  }

  // Guards against events that are not read, or read although they are not
  // enabled.
  void FollowsEngineEvents() {
    for (const bool enabled : {true, false}) {
      GatewayHarness::Options options;
      options.answer = WithLoad("1,0,4,100");
      options.prompt_cache = true;
      options.prompt_cache_events = enabled;
      GatewayHarness harness(options);
      const auto put = [&](const char* id, const auto& target) {
        harness.PutTarget(id, target, "ready",
                          {{{"name", "m"}, {"adapters", json::array()}}});
      };
      put("i-1", harness.first);
      put("i-2", harness.second);
      const auto known_parts = [&] {
        return KnowsParts(harness, harness.gateway->Settings().metrics);
      };
      if (enabled) {
        harness.WaitFor(known_parts);
      } else {
        absl::SleepFor(absl::Seconds(1));
        CPPUNIT_ASSERT(!known_parts());
      }
    }
  }

  // Guards against events of another form that are taken for others.
  void DecodesEngineEvents() {
    struct Case {
      const char* body;
      bool valid;
      bool lost;
      std::size_t events;
    };
    const std::vector<Case> cases = {
        {R"({"epoch":"x","next":3,"lost":false,
             "events":[[2,"-","","p",0,"m"]]})",
         true, false, 1},
        {R"({"epoch":7,"next":3,"lost":4,"events":[]})", true, true, 0},
        {R"({"epoch":7,"next":3,"events":[]})", true, false, 0},
        {R"({"epoch":7,"next":3,"events":[["2","-","","p",0,"m"]]})", false,
         false, 0},
        {R"({"epoch":7,"next":3,"events":[[2,"-","","p"]]})", false, false, 0},
        {R"({"next":3,"events":[]})", false, false, 0},
        {"[]", false, false, 0},
        {"", false, false, 0},
    };
    const gateway::WireFormat wire = platform::MakeWireFormat();
    for (const Case& item : cases) {
      const auto decoded = wire.decode_cache_events(item.body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.body, item.valid, decoded.Ok());
      if (!decoded.Ok()) continue;
      CPPUNIT_ASSERT_EQUAL(item.lost, decoded.Value().lost);
      CPPUNIT_ASSERT_EQUAL(item.events, decoded.Value().events.size());
      CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, decoded.Value().next);
    }
    const auto list = wire.decode_cache_list(
        R"({"epoch":"x","next":9,"held":[["","p",40,"m"]]})");
    CPPUNIT_ASSERT(list.Ok() && list.Value().complete);
    CPPUNIT_ASSERT_EQUAL(40.0, list.Value().events.at(0).tokens);
    CPPUNIT_ASSERT_EQUAL(
        std::string("/-/kv-events?since=5"),
        wire.encode_cache_events_call("e", 5, absl::Seconds(1)).path_and_query);
  }

  // Guards against a setting that is ignored, or that is taken over from a file
  // with an error.
  void ReadsTheSetting() {
    struct Case {
      std::string limits;
      bool valid;
      bool expected = false;
    };
    const std::vector<Case> cases = {
        {"{}", true, false},
        {R"({"prompt_cache": true})", true, true},
        {R"({"prompt_cache": false})", true, false},
        {R"({"prompt_cache": "yes"})", false, false},
        {R"({"prompt_cache": 1})", false, false},
        {R"({"prompt_cache_events": "yes"})", false, false},
        {R"({"request_bodies_kb": 15})", false, false},
    };
    json listen;
    for (const char* name :
         {"callers", "readiness", "directory", "metrics", "peers"}) {
      listen[name] = "127.0.0.1:1";
    }
    for (const Case& item : cases) {
      const json file = {{"instance", "one"},
                         {"zone", "z"},
                         {"listen", listen},
                         {"store", {{"address", "127.0.0.1:1"}}},
                         {"limits", json::parse(item.limits)}};
      const auto settings = gateway::ParseGatewaySettings(file.dump());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.limits, item.valid, settings.Ok());
      if (!settings.Ok()) continue;
      CPPUNIT_ASSERT_MESSAGE(item.limits,
                             settings.Value().prompt_cache == item.expected);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PromptCacheGatewayTest,
                                      "platform-prompt-cache");

}  // namespace
}  // namespace dragonflyglade
