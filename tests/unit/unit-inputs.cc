#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "dragonflyglade/instance/settings.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/store/kv_codec.h"
#include "tests/scenario/scenario.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

json ValidSettings() {
  const json listen = {{"address", "127.0.0.1"}, {"port", 0}};
  return {
      {"name", "entry-1"},
      {"availability_zone", "zone-a"},
      {"listen", {{"caller", listen}, {"peer", listen}, {"operator", listen}}},
      {"kv", {{"endpoints", {"http://127.0.0.1:2379"}}}},
      {"lists", {{"endpoint", "127.0.0.1:2380"}}}};
}

struct SettingsCase {
  const char* pointer;        ///< the JSON pointer of the changed setting
  json value;                 ///< its new value; null removes it
  const char* expected_text;  ///< part of the error; empty if accepted
};

struct LineCase {
  const char* text;
  const char* expected_text;
};

class InputsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InputsTest);
  CPPUNIT_TEST(NamesTheInvalidSetting);
  CPPUNIT_TEST(AcceptsOnlyNumericEndpoints);
  CPPUNIT_TEST(RejectsMalformedKvResponses);
  CPPUNIT_TEST(NamesTheInvalidScenarioLine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NamesTheInvalidSetting() {
    const std::vector<SettingsCase> cases = {
        {"/log", {{"level", "debug"}, {"json", true}}, ""},
        {"/limits", {{"threads", 8}}, ""},
        {"/name", nullptr, "name"},
        {"/name", 5, "name: expected string"},
        {"/naem", "x", "naem: expected no such field"},
        {"/listen/caller/port", 70000,
         "listen.caller.port: expected integer, at least 0, at most 65535; "
         "found 70000"},
        {"/listen/caller/address", "localhost",
         "listen.caller.address: expected an IP number"},
        {"/listen/peer/colour", 1, "listen.peer.colour"},
        {"/kv/endpoints", json::array(), "kv.endpoints"},
        {"/kv/endpoints/0", "http://kv.example:2379", "kv.endpoints"},
        {"/limits", {{"threads", "many"}}, "limits.threads"},
        {"/timeouts", {{"kv_ms", 0}}, "timeouts.kv_ms"},
        {"/log", {{"level", "loud"}}, "log.level"},
    };
    for (const SettingsCase& item : cases) {
      json settings = ValidSettings();
      if (item.value.is_null()) {
        settings.erase(std::string(item.pointer).substr(1));
      } else {
        settings[json::json_pointer(item.pointer)] = item.value;
      }
      const Result<Settings> settings_result = ParseSettings(settings.dump());
      const std::string text =
          settings_result.Ok() ? "" : settings_result.Error().ToString();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.pointer + (": " + text),
                                   *item.expected_text == '\0',
                                   settings_result.Ok());
      CPPUNIT_ASSERT_MESSAGE(
          item.pointer + (": " + text),
          text.find(item.expected_text) != std::string::npos);
    }
    CPPUNIT_ASSERT(!ParseSettings("{").Ok());
    CPPUNIT_ASSERT(!ReadSettings("/nowhere/settings.json").Ok());
  }

  void AcceptsOnlyNumericEndpoints() {
    for (const char* valid : {"127.0.0.1:80", "http://10.0.0.1:1", "[::1]:9"}) {
      CPPUNIT_ASSERT_MESSAGE(valid, ParseEndpoint(valid).Ok());
    }
    for (const char* invalid :
         {"", "127.0.0.1", "host:80", "127.0.0.1:", "127.0.0.1:0",
          "127.0.0.1:65536", "127.0.0.1:8x", "127.0.0.256:80"}) {
      CPPUNIT_ASSERT_MESSAGE(invalid, !ParseEndpoint(invalid).Ok());
    }
  }

  void RejectsMalformedKvResponses() {
    const KvRange range = DecodeRange(json::parse(
        R"({"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"Yg==",
            "mod_revision":"6","create_revision":"2"}]})"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, range.revision);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), range.entries[0].key);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{6}, range.entries[0].mod_revision);
    for (const char* invalid :
         {"{}", R"({"header":{"revision":"x"}})",
          R"({"header":{},"kvs":[{"key":"%%"}]})", R"({"header":7})"}) {
      CPPUNIT_ASSERT_THROW_MESSAGE(invalid, DecodeRange(json::parse(invalid)),
                                   json::exception);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("b"), PrefixEnd("a"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), PrefixEnd("a\xff"));
  }

  void NamesTheInvalidScenarioLine() {
    const auto valid = ParseScenario(
        "x.scn", "# text\n\nfleet instances=3\n stop l good>=5 failed=0\n");
    CPPUNIT_ASSERT(valid.Ok());
    CPPUNIT_ASSERT_EQUAL(std::string(">="),
                         valid.Value()[1].arguments[0].comparison);
    const std::vector<LineCase> cases = {
        {"explode 1", "x.scn:1: invalid argument (expected one of apply"},
        {"fleet\nkill", "x.scn:2"},
        {"kill", "1 to 1 words after kill"},
        {"kv sideways", "expected one of back"},
        {"fleet colour=red", "expected only burst"},
        {"fleet instances=", "name=value at column"},
        {"=3", "name=value at column 1"},
    };
    for (const LineCase& item : cases) {
      const auto parsed = ParseScenario("x.scn", item.text);
      CPPUNIT_ASSERT_MESSAGE(item.text, !parsed.Ok());
      const std::string text = parsed.Error().ToString();
      CPPUNIT_ASSERT_MESSAGE(
          text, text.find(item.expected_text) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(InputsTest, "unit-inputs");

}  // namespace
}  // namespace dragonflyglade
