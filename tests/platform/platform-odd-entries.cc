#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/platform/two_instances.h"

namespace dragonflyglade {
namespace {

constexpr int kDepth = 200000;
constexpr int kRequests = 20;
// The keys of the odd entries sort before and after the sound ones.
const std::vector<std::string> kOddKeys = {"servers/a-odd", "servers/z-odd"};

std::string Deep(const std::string& open, const std::string& close) {
  std::string text;
  for (int i = 0; i < kDepth; ++i) text += open;
  text += "1";
  for (int i = 0; i < kDepth; ++i) text += close;
  return text;
}

/// A value of a field that no target writes.
struct OddField {
  std::string name;   ///< of the field
  std::string value;  ///< as JSON text
};

// An entry that would be a sound one of the harness's service without the
// field.
std::string EntryWith(const OddField& odd) {
  const std::vector<OddField> fields = {{"service", R"("s")"},
                                        {"address", R"("127.0.0.1:1")"},
                                        {"zone", R"("z")"},
                                        {"version", "1"},
                                        {"slots", "4"},
                                        {"state", R"("ready")"},
                                        {"born", "1"},
                                        {"sequence", "1"},
                                        {"cold_remaining_ms", "0"},
                                        {"models", "[]"}};
  std::string text = absl::StrCat("{\"", odd.name, "\":", odd.value);
  for (const OddField& field : fields) {
    if (field.name == odd.name) continue;
    absl::StrAppend(&text, ",\"", field.name, "\":", field.value);
  }
  return text + "}";
}

std::vector<std::string> OddEntries() {
  const std::string lists = Deep("[", "]");
  const std::string objects = Deep("{\"name\":", "}");
  const std::vector<OddField> fields = {
      {"version", lists},
      {"version", objects},
      {"models", lists},
      {"models", absl::StrCat(R"([{"name":"m","adapters":)", lists, "}]")},
      {"models", absl::StrCat(R"([{"name":"m","adapters":[)", objects, "]}]")},
      {"available", lists},
      {"available", absl::StrCat(R"({"in_memory":)", lists, "}")},
      {"unknown", objects},
      {"zone", lists},
      {"state", lists},
      {"slots", "1e400"},
      {"slots", "1e300"},
      {"slots", "99999999999999999999"},
      {"slots", "4294967296"},
      {"slots", "2147483647"},
      {"slots", "-1"},
      {"slots", "0"},
      {"slots", "1.5"},
      {"slots", "true"},
      {"born", "1e300"},
      {"born", "1e400"},
      {"born", "[1]"},
      {"cold_remaining_ms", "[]"},
      {"address", R"("127.0.0.1:99999")"},
      {"address", R"("127.0.0.1:65536")"},
      {"address", R"("127.0.0.1:0")"},
      {"address", R"("127.0.0.1:-1")"},
      {"address", R"("127.0.0.1:123456789012345678901")"},
      {"address", R"("127.0.0.1")"},
      {"address", R"("elsewhere:80")"},
      {"address", R"("")"},
      {"address", "null"},
      {"state", absl::StrCat("\"", std::string(100000, 's'), "\"")},
  };
  std::vector<std::string> entries = {
      lists, objects, "", "null", "\xff\xfe", std::string(100000, '{')};
  for (const OddField& field : fields) entries.push_back(EntryWith(field));
  return entries;
}

class OddEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddEntriesTest);
  CPPUNIT_TEST(AreLeftOutBesideSoundOnes);
  CPPUNIT_TEST(AreLeftOutByInstancesThatStart);
  CPPUNIT_TEST(EndTheUseOfTheirTarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that ends or no longer follows the list of targets
  // after another writer's entry, and against requests to what it names.
  void AreLeftOutBesideSoundOnes() {
    TwoInstances pair;
    int change = 0;
    for (const std::string& entry : OddEntries()) {
      const std::string name = entry.substr(0, 80);
      for (const std::string& key : kOddKeys)
        pair.harness.store.Put(key, entry);
      // Follows the store's order: what came before is known by then.
      const std::string version = absl::StrCat("v", ++change);
      pair.harness.store.Put("servers/i-1",
                             SoundEntry(pair.target_one, version));
      pair.harness.WaitFor(
          [&] { return VersionOfFirst(pair.harness) == version; });
      for (const std::string& key : kOddKeys) {
        CPPUNIT_ASSERT_MESSAGE(name, !Knows(pair.harness, key));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200,
                                   pair.harness.Call("GET", "/any/").status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200, pair.CallSecond().status);
    }
  }

  // Guards against the same at each start, since the entry stays.
  void AreLeftOutByInstancesThatStart() {
    for (const std::string& entry : OddEntries()) {
      GatewayHarness::Options options;
      options.before_start = [&](PlatformStoreStandIn& store) {
        for (const std::string& key : kOddKeys) store.Put(key, entry);
      };
      GatewayHarness harness(options);
      for (int i = 0; i < kRequests; ++i) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(entry.substr(0, 80), 200,
                                     harness.Call("GET", "/any/").status);
      }
    }
  }

  // Guards against requests to a target by what its entry said before.
  void EndTheUseOfTheirTarget() {
    GatewayHarness harness;
    harness.AddSecond();
    const std::size_t before = harness.second.Requests().size();
    harness.store.Put("servers/i-2",
                      EntryWith({"address", R"("127.0.0.1:99999")"}));
    harness.WaitFor([&] { return !Knows(harness, "servers/i-2"); });
    const std::size_t after = harness.second.Requests().size();
    CPPUNIT_ASSERT(after >= before);
    for (int i = 0; i < kRequests; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, harness.Call("GET", "/any/").status);
    }
    CPPUNIT_ASSERT_EQUAL(after, harness.second.Requests().size());
  }

 private:
  static std::string SoundEntry(const PlatformTargetStandIn& target,
                                const std::string& version) {
    return nlohmann::json{
        {"service", "s"},     {"address", target.Address()},
        {"zone", "z"},        {"slots", 4},
        {"version", version}, {"state", "ready"},
        {"born", 1},          {"models", nlohmann::json::array()}}
        .dump();
  }

  static bool Knows(GatewayHarness& harness, const std::string& key) {
    const std::string id = key.substr(key.find('/') + 1);
    return harness.Read<bool>(
        [&] { return harness.gateway->Fleet().Target(id) != nullptr; });
  }

  static std::string VersionOfFirst(GatewayHarness& harness) {
    return harness.Read<std::string>([&]() -> std::string {
      const auto target = harness.gateway->Fleet().Target("i-1");
      return target == nullptr ? "" : target->Record().version.value_or("");
    });
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(OddEntriesTest, "platform-odd-entries");

}  // namespace
}  // namespace dragonflyglade
