#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/gateway/gateway_settings.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;
using Script = PlatformTargetStandIn::Script;

constexpr int kPrefixes = 12;

// An answer of a target that states its load.
PlatformTargetStandIn::Answer WithLoad(const std::string& load) {
  return [load](const RawRequest& request) -> Script {
    const std::string more =
        absl::StrCat(kSigned, "X-Dragonflyglade-Server-Load: ", load, "\r\n");
    return {ResponseBytes(request, "200 OK", "done", more)};
  };
}

// A gateway in front of two engines. The first one has read the parts of some
// prompts when the second one comes.
class CachingEngines {
 public:
  CachingEngines(const std::string& load, std::optional<bool> setting)
      : harness(Options(load, setting)) {
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
                                         std::optional<bool> setting) {
    GatewayHarness::Options options;
    options.answer = WithLoad(load);
    options.prompt_cache = setting;
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
  CPPUNIT_TEST(ReadsTheSetting);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against prompts that are read again although an engine has them
  // cached, and against the index where nothing calls for it.
  void SendsPromptsWhereTheirPartsAreCached() {
    struct Case {
      const char* what;
      const char* load;
      std::optional<bool> setting;
      bool uses_index;
    };
    const std::vector<Case> cases = {
        {"slowness stated", "1,0,4,100", std::nullopt, true},
        {"slowness not stated", "1,0,4", std::nullopt, false},
        {"enabled", "1,0,4", true, true},
        {"disabled", "1,0,4,100", false, false},
    };
    for (const Case& item : cases) {
      CachingEngines engines(item.load, item.setting);
      const std::size_t calls = engines.CallsToSecond();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.uses_index, calls == 0);
    }
  }

  // Guards against a setting that is ignored, or that is taken over from a file
  // with an error.
  void ReadsTheSetting() {
    struct Case {
      std::string limits;
      bool valid;
      std::optional<bool> expected;
    };
    const std::vector<Case> cases = {
        {"{}", true, std::nullopt},
        {R"({"prompt_cache": true})", true, true},
        {R"({"prompt_cache": false})", true, false},
        {R"({"prompt_cache": "yes"})", false, std::nullopt},
        {R"({"prompt_cache": 1})", false, std::nullopt},
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
