#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "platform/types.h"
#include "platform/wire.h"

namespace dragonflyglade::platform {
namespace {

const std::string kConfig = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "h.example", "prefix": "/a/", "type": "streaming",
     "timeout_ms": 6000, "target_latency_ms": 800, "priority": 1,
     "backends": [{"service": "s1", "weight": 90},
                  {"service": "s2", "weight": 10}],
     "max_attempts": 2, "public": true, "resumable": true, "later": [1]},
    {"host": "h.example", "prefix": "/b/", "type": "non_idempotent",
     "service": "s2"}],
  "services": [
    {"name": "s1", "max_connections": 360,
     "engine": {"models": [{"name": "m1", "weights_mb": 34300.0,
                            "load_s": 2.0, "adapters": 63,
                            "adapter_mb": 40.0}],
                "weights_mb": 200000.0, "adapter_slots": 8,
                "loads_per_s": 2.1}},
    {"name": "s2"}],
  "limits": {"max_header_bytes": 100, "max_body_bytes": 200,
             "header_timeout_ms": 300, "idle_timeout_ms": 400},
  "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1,
               "unit": "token_stream", "plain_tokens": 200,
               "rate_per_s": 1000, "burst": 2000}]})";

struct MalformedCase {
  const char* description;
  std::string text;
};

struct FieldCase {
  const char* description;
  HeaderFields fields;
  std::function<bool(const CallerRequest&)> is_expected;
};

struct ResponseCase {
  const char* description;
  int status;
  HeaderFields fields;
  std::function<bool(const ResponseHead&)> is_expected;
};

struct CallCase {
  const char* description;
  StoreCall call;
  const char* method;
  const char* path;
  const char* body;
};

struct ReplyCase {
  const char* description;
  StoreCall call;
  int status;
  const char* body;
  std::function<bool(const StoreResponse&)> is_expected;
};

std::string ValueOf(const HeaderFields& fields, std::string_view name) {
  for (const auto& [field, value] : fields) {
    if (field == name) return value;
  }
  return "";
}

CallerRequest DecodeWithHost(HeaderFields fields) {
  HttpMessageHead head;
  head.method = "POST";
  head.path_and_query = "/a/x?y=1";
  fields.emplace_back("Host", "h.example");
  head.fields = std::move(fields);
  return DecodeRequest(head).Value();
}

class PlatformCodecsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformCodecsTest);
  CPPUNIT_TEST(DecodesAConfiguration);
  CPPUNIT_TEST(RejectsMalformedConfigurations);
  CPPUNIT_TEST(DecodesTargets);
  CPPUNIT_TEST(RejectsMalformedTargets);
  CPPUNIT_TEST(DecodesSoftwareVersions);
  CPPUNIT_TEST(ClampsWarmUpTimes);
  CPPUNIT_TEST(DecodesEngineSizes);
  CPPUNIT_TEST(DecodesSlowness);
  CPPUNIT_TEST(DecodesLengthHints);
  CPPUNIT_TEST(DecodesCallerRequests);
  CPPUNIT_TEST(EncodesTargetRequests);
  CPPUNIT_TEST(EncodesCopiesOfRuns);
  CPPUNIT_TEST(DecodesCopiesOfRuns);
  CPPUNIT_TEST(DecodesTargetResponses);
  CPPUNIT_TEST(EncodesStoreCalls);
  CPPUNIT_TEST(DecodesStoreReplies);
  CPPUNIT_TEST(EncodesOrdersAndDecodesReports);
  CPPUNIT_TEST(EncodesOrdersWithInvalidUtf8);
  CPPUNIT_TEST(HandlesDirectoryQueries);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DecodesAConfiguration() {
    const GatewayConfig config = DecodeConfig(kConfig).Value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, config.version);
    const Route& stream = *config.routes.Find("h.example", "/a/x");
    CPPUNIT_ASSERT(stream.repeatability == Repeatability::kStream);
    CPPUNIT_ASSERT(stream.timeout == absl::Seconds(6));
    CPPUNIT_ASSERT(stream.latency_objective == absl::Milliseconds(800));
    CPPUNIT_ASSERT(stream.is_public && stream.resumable);
    CPPUNIT_ASSERT_EQUAL(2, stream.max_targets);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stream.services.size());
    const Route& once = *config.routes.Find("h.example", "/b/x");
    CPPUNIT_ASSERT(once.repeatability == Repeatability::kOnce);
    CPPUNIT_ASSERT_EQUAL(std::string("s2"), once.services.front().service);
    const ServiceSpec& engines = config.services.find("s1")->second;
    CPPUNIT_ASSERT_EQUAL(200000.0, engines.engine->memory_mb);
    const ServedModel& model = engines.engine->models[0];
    CPPUNIT_ASSERT_EQUAL(34300.0, model.memory_mb);
    CPPUNIT_ASSERT_EQUAL(std::size_t{63}, model.adapters.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a1"), model.adapters.front());
    CPPUNIT_ASSERT_EQUAL(std::string("a63"), model.adapters.back());
    CPPUNIT_ASSERT(!config.services.find("s2")->second.engine.has_value());
    CPPUNIT_ASSERT(config.requires_keys);
    CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                         config.workspace_of_key.find("k2")->second);
    const WorkspaceSpec& workspace = config.workspaces.find("t1")->second;
    CPPUNIT_ASSERT(workspace.counts_tokens);
    CPPUNIT_ASSERT_EQUAL(2000.0, workspace.quota.burst);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, config.limits.max_body_bytes);
    CPPUNIT_ASSERT(config.limits.idle_timeout == absl::Milliseconds(400));
  }

  void RejectsMalformedConfigurations() {
    const std::vector<MalformedCase> cases = {
        {"nothing", ""},
        {"truncated JSON", "{"},
        {"a list in place of an object", "[]"},
        {"no version", R"({"routes": [], "services": []})"},
        {"a field of another type",
         R"({"version": "x", "routes": [], "services": []})"},
        {"a route without its prefix",
         R"({"version": 1, "services": [],
             "routes": [{"host": "h", "type": "idempotent",
                         "service": "s"}]})"},
    };
    for (const MalformedCase& item : cases) {
      const Result<GatewayConfig> config = DecodeConfig(item.text);
      CPPUNIT_ASSERT_MESSAGE(item.description, !config.Ok());
      CPPUNIT_ASSERT(config.Error().code ==
                     make_error_code(Errc::kInvalidRecord));
    }
  }

  void DecodesTargets() {
    const TargetRecord target = DecodeTarget("servers/i-1", R"({"service": "s1",
            "address": "127.0.0.1:80", "zone": "z", "slots": 64,
            "state": "draining", "born": 12, "sequence": 4, "new": {},
            "models": [{"name": "m", "version": 1,
                        "adapters": ["a1", {"name": "a2", "version": 3}]}]})")
                                    .Value();
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), target.id);
    CPPUNIT_ASSERT(target.leaving);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{12}, target.born_ms);
    const std::vector<std::string> adapters = {"a1", "a2"};
    CPPUNIT_ASSERT(target.models[0].adapters == adapters);
  }

  // Guards against versions that are taken for the same, or end the process.
  void DecodesSoftwareVersions() {
    struct VersionCase {
      const char* field;  ///< of the target's record
      SoftwareVersion expected;
    };
    const std::vector<VersionCase> cases = {
        {R"("new": 1)", std::nullopt}, {R"("version": null)", std::nullopt},
        {R"("version": "")", ""},      {R"("version": "v1")", "v1"},
        {R"("version": 7)", "7"},      {R"("version": ["v1"])", R"(["v1"])"},
    };
    for (const VersionCase& item : cases) {
      const Result<TargetRecord> target = DecodeTarget(
          "servers/i-1",
          absl::StrCat(R"({"service": "s", "address": "127.0.0.1:80",
              "slots": 1, "state": "ready", )",
                       item.field, "}"));
      CPPUNIT_ASSERT_MESSAGE(item.field, target.Ok());
      CPPUNIT_ASSERT_MESSAGE(item.field,
                             target.Value().version == item.expected);
    }
  }

  // Guards against a target that is never used, or used at its full rate too
  // early, after a nonsensical warm-up time.
  void ClampsWarmUpTimes() {
    struct WarmUpCase {
      const char* field;  ///< of the target's record
      absl::Duration expected;
    };
    const std::vector<WarmUpCase> cases = {
        {R"("new": 1)", absl::ZeroDuration()},
        {R"("cold_remaining_ms": null)", absl::ZeroDuration()},
        {R"("cold_remaining_ms": 2500)", absl::Milliseconds(2500)},
        {R"("cold_remaining_ms": -1)", absl::ZeroDuration()},
        {R"("cold_remaining_ms": -1e308)", absl::ZeroDuration()},
        {R"("cold_remaining_ms": 1e308)", absl::Minutes(1)},
    };
    for (const WarmUpCase& item : cases) {
      const Result<TargetRecord> target = DecodeTarget(
          "servers/i-1",
          absl::StrCat(R"({"service": "s", "address": "127.0.0.1:80",
              "slots": 1, "state": "ready", )",
                       item.field, "}"));
      CPPUNIT_ASSERT_MESSAGE(item.field, target.Ok());
      CPPUNIT_ASSERT_MESSAGE(item.field,
                             target.Value().warm_up_remaining == item.expected);
    }
    const GatewayConfig config = DecodeConfig(R"({"version": 1, "routes": [],
        "services": [{"name": "old"},
                     {"name": "s", "cold_start_s": 3, "cold_per_s": 6.5},
                     {"name": "odd", "cold_start_s": -3, "cold_per_s": -1}]})")
                                     .Value();
    CPPUNIT_ASSERT(!config.services.at("old").slow_start.Applies());
    CPPUNIT_ASSERT(config.services.at("s").slow_start.Applies());
    CPPUNIT_ASSERT(config.services.at("s").slow_start.duration ==
                   absl::Seconds(3));
    CPPUNIT_ASSERT(!config.services.at("odd").slow_start.Applies());
  }

  // Failure: a malformed store entry, which any writer may have left there,
  // terminates the process or is used as a target. It has to be rejected with
  // an error, so that the remaining entries stay usable.
  void RejectsMalformedTargets() {
    const std::vector<MalformedCase> cases = {
        {"bytes that are not UTF-8", std::string("\xff\x00\x7f", 3)},
        {"no service",
         R"({"address": "127.0.0.1:80", "slots": 1, "state": "ready"})"},
        {"slots of another type",
         R"({"service": "s", "address": "127.0.0.1:80", "slots": "1",
             "state": "ready"})"},
        {"an unknown state",
         R"({"service": "s", "address": "127.0.0.1:80", "slots": 1, "state": "new"})"},
        {"models of another type",
         R"({"service": "s", "address": "127.0.0.1:80", "slots": 1, "state": "ready",
             "models": 5})"},
        {"a list in place of an object", "[1]"},
        {"no slots",
         R"({"service": "s", "address": "127.0.0.1:80", "slots": 0,
             "state": "ready"})"},
        {"more slots than a process can have",
         R"({"service": "s", "address": "127.0.0.1:80", "slots": 1e300,
             "state": "ready"})"},
        {"a port out of range",
         R"({"service": "s", "address": "127.0.0.1:65536", "slots": 1,
             "state": "ready"})"},
        {"a start that is no whole number",
         R"({"service": "s", "address": "127.0.0.1:80", "slots": 1,
             "state": "ready", "born": 1e300})"},
        {"a warm-up time of another type",
         R"({"service": "s", "address": "127.0.0.1:80", "slots": 1, "state": "ready",
             "cold_remaining_ms": "3000"})"},
    };
    for (const MalformedCase& item : cases) {
      CPPUNIT_ASSERT_MESSAGE(item.description,
                             !DecodeTarget("servers/x", item.text).Ok());
    }
  }

  // Guards against engines that get no requests, as a size of zero were a
  // limit.
  void DecodesEngineSizes() {
    struct SizeCase {
      const char* fields;  ///< of the engine
      std::optional<int> slots;
      std::optional<double> kv_capacity_tokens;
      std::optional<int> stride;
    };
    const std::vector<SizeCase> cases = {
        {R"("later": 1)", std::nullopt, std::nullopt, std::nullopt},
        {R"("slots": 64, "kv_capacity_tokens": 800000, "stride": 5)", 64,
         800000, 5},
        {R"("slots": 0, "kv_capacity_tokens": 0, "stride": 0)", std::nullopt,
         std::nullopt, std::nullopt},
        {R"("slots": -1, "kv_capacity_tokens": -8.5, "stride": -5)",
         std::nullopt, std::nullopt, std::nullopt},
        {R"("slots": null, "kv_capacity_tokens": null, "stride": null)",
         std::nullopt, std::nullopt, std::nullopt},
        {R"("slots": 1e300, "kv_capacity_tokens": 1e12, "stride": 0.5)",
         std::numeric_limits<int>::max(), 1e12, std::nullopt},
    };
    for (const SizeCase& item : cases) {
      const GatewayConfig config =
          DecodeConfig(absl::StrCat(R"({"version": 1, "routes": [],
              "services": [{"name": "s", "engine": {)",
                                    item.fields, "}}]}"))
              .Value();
      const EngineLimits& engine = *config.services.at("s").engine;
      CPPUNIT_ASSERT_MESSAGE(item.fields, engine.slots == item.slots);
      CPPUNIT_ASSERT_MESSAGE(
          item.fields, engine.kv_capacity_tokens == item.kv_capacity_tokens);
      CPPUNIT_ASSERT_MESSAGE(item.fields, engine.stride == item.stride);
    }
  }

  // Guards against a figure out of bounds that hides the load, or that makes an
  // engine look infinitely fast or slow.
  void DecodesSlowness() {
    struct LoadCase {
      const char* field;
      bool has_load;
      std::optional<double> slowness;
    };
    const std::vector<LoadCase> cases = {
        {"", false, std::nullopt},
        {"3", false, std::nullopt},
        {"3,1", false, std::nullopt},
        {"3,1,8", true, std::nullopt},
        {"3,1,8,100", true, 1.0},
        {"3,1,8,250", true, 2.5},
        {"3,1,8,50.5", true, 0.505},
        {"3,1,8,10000", true, 100.0},
        {"3,1,8,10001", true, std::nullopt},
        {"3,1,8,0", true, std::nullopt},
        {"3,1,8,-100", true, std::nullopt},
        {"3,1,8,nan", true, std::nullopt},
        {"3,1,8,inf", true, std::nullopt},
        {"3,1,8,", true, std::nullopt},
        {"3,1,8,slow", true, std::nullopt},
        {"3,1,8,300,7", true, 3.0},
        {"3,1,8,300,7,7,7,7,7", true, 3.0},
        {"3,1,8,x,300", true, std::nullopt},
        {"x,1,8,300", false, std::nullopt},
    };
    for (const LoadCase& item : cases) {
      HttpMessageHead head;
      head.status = 200;
      head.fields = {{"X-Dragonflyglade-Server-Load", item.field}};
      const ResponseHead response = DecodeResponseHead(head);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.field, item.has_load,
                                   response.load.has_value());
      if (!item.has_load) continue;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.field, 3, response.load->running);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.field, 8, response.load->slots);
      CPPUNIT_ASSERT_MESSAGE(item.field,
                             response.load->slowness == item.slowness);
    }
  }

  // Guards against an estimate above the stated maximum, and against one that
  // depends on the order of the fields.
  void DecodesLengthHints() {
    const std::pair<std::string, std::string> tokens = {
        "X-Dragonflyglade-Token-Usage", "1000,80"};
    const auto hint = [](const char* value) {
      return std::pair<std::string, std::string>("X-Dragonflyglade-Length-Hint",
                                                 value);
    };
    struct HintCase {
      const char* description;
      HeaderFields fields;
      std::optional<double> expected;
    };
    const std::vector<HintCase> cases = {
        {"none", {tokens}, std::nullopt},
        {"below the maximum", {tokens, hint("60")}, 60},
        {"above the maximum", {tokens, hint("90")}, 80},
        {"above the maximum, and before it", {hint("90"), tokens}, 80},
        {"no maximum", {hint("90")}, 90},
        {"zero", {tokens, hint("0")}, std::nullopt},
        {"negative", {tokens, hint("-60")}, std::nullopt},
        {"not a number", {tokens, hint("few")}, std::nullopt},
        {"NaN", {tokens, hint("nan")}, std::nullopt},
        {"infinite", {tokens, hint("inf")}, std::nullopt},
        {"empty", {tokens, hint("")}, std::nullopt},
        {"twice", {tokens, hint("60"), hint("50")}, 50},
        {"twice, the smaller first", {tokens, hint("50"), hint("60")}, 50},
        {"twice, one unreadable", {tokens, hint("60"), hint("-1")}, 60},
    };
    for (const HintCase& item : cases) {
      const CallerRequest request = DecodeWithHost(item.fields);
      CPPUNIT_ASSERT_MESSAGE(item.description,
                             request.use.length_hint == item.expected);
      // The engine may use the field, too.
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.description, item.fields.size() + 1,
                                   request.forwarded_fields.size());
    }
  }

  void DecodesCallerRequests() {
    const std::vector<FieldCase> cases = {
        {"the key, with the scheme in any case",
         {{"authorization", "bearer  k1 "}},
         [](const auto& r) {
           return r.key == "k1" && r.forwarded_fields.size() == 1;
         }},
        {"the stream that is taken up",
         {{"Resumes", "r0"}, {"Last-Event-Id", "3"}},
         [](const auto& r) {
           return r.taken_up_stream == "r0" && r.resume_after == "3";
         }},
        {"the same stream twice",
         {{"resumes", "r0"}, {"X-Dragonflyglade-Resumes", "r0"}},
         [](const auto& r) { return r.taken_up_stream == "r0"; }},
        {"two streams",
         {{"Resumes", "r0"}, {"Resumes", "r1"}},
         [](const auto& r) { return r.taken_up_stream == "r0, r1"; }},
        {"no stream",
         {{"Resumes", ""}},
         [](const auto& r) { return r.taken_up_stream.empty(); }},
        {"no key with a scheme other than Bearer",
         {{"Authorization", "Basic x"}},
         [](const auto& r) { return r.key.empty(); }},
        {"model, adapter and tokens",
         {{"X-Dragonflyglade-Model", "m1/a2"},
          {"X-Dragonflyglade-Token-Usage", "1460,80"}},
         [](const auto& r) {
           return r.use.model == "m1" && r.use.adapter == "a2" &&
                  r.use.Tokens() == 1540 && r.forwarded_fields.size() == 3;
         }},
        {"parts of the prompt",
         {{"X-Dragonflyglade-Prompt-Prefix", "5c:800,91:410"}},
         [](const auto& r) {
           return r.use.parts.size() == 2 && r.use.parts[1].id == "91" &&
                  r.use.parts[0].tokens == 800;
         }},
        {"a malformed part ends the list",
         {{"X-Dragonflyglade-Prompt-Prefix", "5c:800,91,e4:3"}},
         [](const auto& r) { return r.use.parts.size() == 1; }},
        {"the deadline, which is not passed on",
         {{"X-Dragonflyglade-Deadline-Ms", "1500"}},
         [](const auto& r) {
           return r.deadline == absl::Seconds(1.5) &&
                  r.forwarded_fields.size() == 1;
         }},
        {"a malformed deadline",
         {{"X-Dragonflyglade-Deadline-Ms", "soon"}},
         [](const auto& r) { return !r.deadline.has_value(); }},
        {"hop-by-hop fields",
         {{"Connection", "close, X-Mine"},
          {"X-Mine", "1"},
          {"Keep-Alive", "timeout=5"},
          {"Transfer-Encoding", "chunked"},
          {"Content-Length", "5"}},
         [](const auto& r) { return r.forwarded_fields.size() == 1; }},
        {"fields that only the gateway may set",
         {{"X-Dragonflyglade-Tenant", "other"},
          {"X-Dragonflyglade-Hold", "h"},
          {"x-dragonflyglade-pin-ms", "5"},
          {"X-Dragonflyglade-Kv-Backup", "1.2.3.4:5"},
          {"Kv-From", "1.2.3.4:5/x"},
          {"X-Dragonflyglade-Target-Instance", "i"},
          {"X-Dragonflyglade-Request-Priority", "0"}},
         [](const auto& r) { return r.forwarded_fields.size() == 1; }},
        {"other fields are passed on",
         {{"X-Other", "1"}, {"Accept", "*/*"}},
         [](const auto& r) { return r.forwarded_fields.size() == 3; }},
    };
    for (const FieldCase& item : cases) {
      CPPUNIT_ASSERT_MESSAGE(item.description,
                             item.is_expected(DecodeWithHost(item.fields)));
    }
    HttpMessageHead no_host;
    CPPUNIT_ASSERT(!DecodeRequest(no_host).Ok());
  }

  void EncodesTargetRequests() {
    const CallerRequest request =
        DecodeWithHost({{"X-Dragonflyglade-Attempt-Id", "r1"},
                        {"Last-Event-Id", "3"},
                        {"Authorization", "Bearer secret"}});
    ForwardingContext stamp;
    stamp.target = "i-1";
    stamp.workspace = "t1";
    stamp.time_left = absl::Milliseconds(1234.9);
    stamp.priority = 4;
    stamp.resume_after = "8";
    const HeaderFields fields = TargetRequestFields(request, stamp);
    const auto value = [&](const char* name) { return ValueOf(fields, name); };
    CPPUNIT_ASSERT_EQUAL(std::string("r1"),
                         value("X-Dragonflyglade-Attempt-Id"));
    CPPUNIT_ASSERT_EQUAL(std::string("1234"),
                         value("X-Dragonflyglade-Deadline-Ms"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                         value("X-Dragonflyglade-Target-Instance"));
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), value("X-Dragonflyglade-Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string("4"),
                         value("X-Dragonflyglade-Request-Priority"));
    CPPUNIT_ASSERT_EQUAL(std::string("8"), value("Last-Event-Id"));
    CPPUNIT_ASSERT_EQUAL(std::string(), value("Authorization"));
    const auto resumed = std::count_if(
        fields.begin(), fields.end(),
        [](const auto& field) { return field.first == "Last-Event-Id"; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, resumed);
    CPPUNIT_ASSERT_EQUAL(std::string(), value("X-Dragonflyglade-Kv-Backup"));
    CPPUNIT_ASSERT_EQUAL(std::string(), value("Kv-From"));
  }

  // Guards against copies that are kept or continued under another handle, and
  // against a caller's own fields beside those of the gateway.
  void EncodesCopiesOfRuns() {
    const CallerRequest request =
        DecodeWithHost({{"X-Dragonflyglade-Attempt-Id", "r1"},
                        {"X-Dragonflyglade-Kv-Backup", "9.9.9.9:9"},
                        {"Kv-From", "9.9.9.9:9/r0"}});
    ForwardingContext stamp;
    stamp.backup = "1.2.3.4:5";
    HeaderFields fields = TargetRequestFields(request, stamp);
    CPPUNIT_ASSERT_EQUAL(std::string("1.2.3.4:5"),
                         ValueOf(fields, "X-Dragonflyglade-Kv-Backup"));
    CPPUNIT_ASSERT_EQUAL(std::string(), ValueOf(fields, "Kv-From"));
    stamp.backup.clear();
    stamp.continue_from = "1.2.3.4:5";
    fields = TargetRequestFields(request, stamp);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         ValueOf(fields, "X-Dragonflyglade-Kv-Backup"));
    CPPUNIT_ASSERT_EQUAL(std::string("1.2.3.4:5/r1"),
                         ValueOf(fields, "Kv-From"));
    CPPUNIT_ASSERT_EQUAL(std::string(), ValueOf(fields, "Last-Event-Id"));
  }

  // Guards against figures of another type or sign that stop the configuration
  // or count as costs.
  void DecodesCopiesOfRuns() {
    struct Case {
      const char* description;
      std::string fields;
      std::optional<bool> backups;  ///< nothing: the record is invalid
      double kv_bytes = 0;
      double link_mbps = 0;
      double handle_s = 0;
    };
    const std::vector<Case> cases = {
        {"absent", "", false},
        {"stated",
         R"("backups": true, "kv_bytes": 2e5, "link_mbps": 1e4,
            "handle_s": 2.5)",
         true, 2e5, 1e4, 2.5},
        {"null", R"("backups": null, "kv_bytes": null)", false},
        {"negative",
         R"("backups": true, "kv_bytes": -1, "link_mbps": -1, "handle_s": -1)",
         true},
        {"another type", R"("backups": "yes")", std::nullopt},
    };
    for (const Case& item : cases) {
      const auto config = DecodeConfig(absl::StrCat(
          R"({"version": 1, "routes": [], "services": [{"name": "s",
              "engine": {"models": [], "weights_mb": 1)",
          item.fields.empty() ? "" : ", ", item.fields, "}}]}"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.description, item.backups.has_value(),
                                   config.Ok());
      if (!config.Ok()) continue;
      const auto& engine = config.Value().services.at("s").engine;
      CPPUNIT_ASSERT_EQUAL(*item.backups, engine->backups);
      CPPUNIT_ASSERT_EQUAL(item.kv_bytes, engine->kv_bytes);
      CPPUNIT_ASSERT_EQUAL(item.link_mbps, engine->link_mbps);
      CPPUNIT_ASSERT(engine->handle_time == absl::Seconds(item.handle_s));
    }
  }

  void DecodesTargetResponses() {
    const std::vector<ResponseCase> cases = {
        {"a signed response",
         200,
         {{"X-Dragonflyglade-Server-Signature", "s"},
          {"X-Dragonflyglade-Attempt-Id", "r1"},
          {"Keep-Alive", "max=9, timeout=5"}},
         [](const auto& a) {
           return a.is_signed && a.request_id == "r1" && !a.not_executed &&
                  a.keep_alive == absl::Seconds(5) &&
                  a.forwarded_fields.size() == 2;
         }},
        {"the load, which is not passed on",
         200,
         {{"X-Dragonflyglade-Server-Load", "3,1,8"}},
         [](const auto& a) {
           return a.load->running == 3 && a.load->waiting == 1 &&
                  a.load->slots == 8 && a.forwarded_fields.empty();
         }},
        {"a malformed load",
         200,
         {{"X-Dragonflyglade-Server-Load", "3,x"}},
         [](const auto& a) { return !a.load.has_value(); }},
        {"a rate limit, which is not passed on",
         200,
         {{"X-Dragonflyglade-Server-Limit", "1.5"}},
         [](const auto& a) {
           return a.rate_limit == 1.5 && a.has_rate_limit_field &&
                  a.forwarded_fields.empty();
         }},
        {"two rate limits",
         200,
         {{"Server-Limit", "3"}, {"server-limit", "0"}},
         [](const auto& a) { return a.rate_limit == 0.0; }},
        {"a rate limit that is no number",
         200,
         {{"Server-Limit", "many"}},
         [](const auto& a) {
           return !a.rate_limit.has_value() && a.has_rate_limit_field;
         }},
        {"a negative rate limit beside another",
         200,
         {{"Server-Limit", "-1"}, {"Server-Limit", "7"}},
         [](const auto& a) { return a.rate_limit == 7.0; }},
        {"an infinite rate limit",
         200,
         {{"Server-Limit", "inf"}},
         [](const auto& a) { return !a.rate_limit.has_value(); }},
        {"no rate limit",
         200,
         {},
         [](const auto& a) { return !a.has_rate_limit_field; }},
        {"a target that leaves, which is not passed on",
         200,
         {{"Server-Leaving", "1"}},
         [](const auto& a) { return a.leaving && a.forwarded_fields.empty(); }},
        {"the other name of the field",
         421,
         {{"x-dragonflyglade-server-leaving", "1"}},
         [](const auto& a) { return a.leaving; }},
        {"a target that does not leave",
         200,
         {{"Server-Leaving", "0"}},
         [](const auto& a) { return !a.leaving; }},
        {"a rest",
         503,
         {{"Retry-After", "1.5"}},
         [](const auto& a) { return a.rest == absl::Seconds(1.5); }},
        {"two rests, of which one is unreadable",
         429,
         {{"retry-after", "soon"}, {"X-Dragonflyglade-Retry-After", "2"}},
         [](const auto& a) {
           return a.rest == absl::Seconds(2) && a.unreadable_rest == "soon";
         }},
        {"a rest until a date",
         503,
         {{"Retry-After", "Tue, 01 Dec 2026 08:00:02 GMT"},
          {"Date", "Tue, 01 Dec 2026 08:00:00 GMT"}},
         [](const auto& a) { return a.rest == absl::Seconds(2); }},
        {"a rest until a date, in a response without a date",
         503,
         {{"Retry-After", "Tue, 01 Dec 2026 08:00:02 GMT"}},
         [](const auto& a) {
           return !a.rest.has_value() && !a.unreadable_rest.empty();
         }},
        {"a negative rest",
         503,
         {{"Retry-After", "-1"}},
         [](const auto& a) {
           return !a.rest.has_value() && a.unreadable_rest == "-1";
         }},
        {"a time to return, with a success",
         200,
         {{"Retry-After", "2"}},
         [](const auto& a) {
           return !a.rest.has_value() && a.forwarded_fields.size() == 1;
         }},
        {"a request that the target did not execute",
         503,
         {{"X-Dragonflyglade-Not-Executed", "1"}},
         [](const auto& a) { return a.not_executed && !a.wrong_target; }},
        {"status 503 alone leaves the execution open",
         503,
         {},
         [](const auto& a) { return !a.not_executed; }},
        {"status 421: the address belongs to another target",
         421,
         {},
         [](const auto& a) { return a.not_executed && a.wrong_target; }},
        {"an event stream",
         200,
         {{"Content-Type", "text/event-stream; charset=utf-8"}},
         [](const auto& a) { return a.event_stream; }},
        {"a content encoding",
         200,
         {{"Content-Encoding", "gzip"}},
         [](const auto& a) { return a.encoded; }},
    };
    for (const ResponseCase& item : cases) {
      HttpMessageHead head;
      head.status = item.status;
      head.fields = item.fields;
      CPPUNIT_ASSERT_MESSAGE(item.description,
                             item.is_expected(DecodeResponseHead(head)));
    }
  }

  void EncodesStoreCalls() {
    StoreTransaction transaction;
    transaction.preconditions.push_back({"a", 3});
    transaction.puts.push_back({"a", "hi", 9});
    transaction.deletes.push_back("b");
    const std::vector<CallCase> cases = {
        {"the first page of a listing", StoreList{"servers/", ""}, "GET",
         "/-/kv-range?prefix=servers/", ""},
        {"a later page of a listing", StoreList{"", "a b"}, "GET",
         "/-/kv-range?prefix=&after=a%20b", ""},
        {"a watch", StoreWatch{"op/", 5, absl::Milliseconds(900)}, "GET",
         "/-/kv-watch?prefix=op/&after=5&wait_ms=900", ""},
        {"a transaction", transaction, "POST", "/-/kv-txn",
         R"({"deletes":["b"],"expected":[{"key":"a","revision":3}],)"
         R"("puts":[{"key":"a","lease":9,"value":"aGk="}]})"},
        {"a lease grant", StoreLeaseGrant{absl::Seconds(2)}, "POST",
         "/-/kv-lease", R"({"ttl_ms":2000})"},
        {"a lease renewal", StoreLeaseRenewal{7}, "POST", "/-/kv-keep/7", ""},
        {"a lease revocation", StoreLeaseRevoke{7}, "DELETE",
         "/-/kv-lease-end/7", ""},
    };
    for (const CallCase& item : cases) {
      const OutgoingHttpRequest text = EncodeStoreCall(item.call);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.description, std::string(item.method),
                                   text.method);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.description, std::string(item.path),
                                   text.path_and_query);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.description, std::string(item.body),
                                   text.body);
    }
  }

  void DecodesStoreReplies() {
    const StoreCall list = StoreList{"", ""};
    const StoreCall watch = StoreWatch{"", 1, absl::Seconds(1)};
    const StoreCall write = StoreTransaction{};
    const std::vector<ReplyCase> cases = {
        {"a page of a listing", list, 200,
         R"({"items": [{"key": "a", "value": "aGk=", "revision": 2,
                        "created": 1, "lease": 0}],
             "truncated": true, "current_rev": 9})",
         [](const auto& r) {
           const auto& page = std::get<StorePage>(r);
           return page.truncated && page.store_revision == 9 &&
                  page.items[0].value == "hi";
         }},
        {"changes seen by a watch", watch, 200,
         R"({"events": [{"key": "a", "revision": 3, "deleted": true}],
             "current_rev": 3})",
         [](const auto& r) {
           return std::get<StoreEvents>(r).events[0].deleted;
         }},
        {"a committed transaction", write, 200, R"({"revision": 4})",
         [](const auto& r) {
           return std::get<StoreCommitted>(r).revision == 4;
         }},
        {"a transaction whose condition failed", write, 412, R"({"items": []})",
         [](const auto& r) {
           return std::holds_alternative<StoreConflict>(r);
         }},
        {"an unknown lease", write, 404, "",
         [](const auto& r) {
           return std::holds_alternative<StoreLeaseNotFound>(r);
         }},
        {"a compacted history", watch, 410, "",
         [](const auto& r) {
           return std::holds_alternative<StoreCompacted>(r);
         }},
        {"a refused call", watch, 429, "",
         [](const auto& r) { return std::get<StoreRefused>(r).status == 429; }},
        {"a malformed body", write, 200, "{",
         [](const auto& r) {
           return std::holds_alternative<StoreOutcomeUnknown>(r);
         }},
        {"a value that is not base64", list, 200,
         R"({"items": [{"key": "a", "value": "%", "revision": 2}],
             "current_rev": 9})",
         [](const auto& r) {
           return std::holds_alternative<StoreOutcomeUnknown>(r);
         }},
    };
    for (const ReplyCase& item : cases) {
      const StoreResponse reply =
          DecodeStoreReply(item.call, item.status, item.body);
      CPPUNIT_ASSERT_MESSAGE(item.description, item.is_expected(reply));
    }
  }

  void EncodesOrdersAndDecodesReports() {
    EngineOrder order;
    order.model = "m";
    order.adapter = "a3";
    order.orders_taken = 2;
    order.holder = "node";
    order.fence = 41;
    const OutgoingHttpRequest call = EncodeOrder("i-1", order);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"adapter":"a3","expected":2,"fencing_token":41,)"
                    R"("holder":"node","model":"m","operation":"load"})"),
        call.body);
    CPPUNIT_ASSERT_EQUAL(
        std::string("i-1"),
        ValueOf(call.fields, "X-Dragonflyglade-Target-Instance"));
    CPPUNIT_ASSERT(DecodeOrderResponse(202) == OrderResponse::kAccepted);
    CPPUNIT_ASSERT(DecodeOrderResponse(409) == OrderResponse::kConflict);
    CPPUNIT_ASSERT(!DecodeOrderResponse(500).has_value());
    const EngineReport report =
        DecodeReport(R"({"sequence": 5, "busy": true, "born": 9,
                         "models": [{"name": "m", "adapters": ["a1"]}],
                         "pending": ["m/a3@1"]})")
            .Value();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, report.orders_taken);
    CPPUNIT_ASSERT(report.busy);
    CPPUNIT_ASSERT_EQUAL(std::string("m/a3"), report.pending_adapters[0]);
    CPPUNIT_ASSERT(!DecodeReport("{}").Ok());
    CPPUNIT_ASSERT(!DecodeReport(R"({"sequence": 1e300})").Ok());
  }

  // Failure: an adapter name with bytes that are not UTF-8, which callers may
  // send, makes the JSON encoder throw.
  void EncodesOrdersWithInvalidUtf8() {
    EngineOrder order;
    order.model = "m";
    order.adapter = "a\xff";
    const std::string body = EncodeOrder("i-1", order).body;
    CPPUNIT_ASSERT(body.find("\"model\":\"m\"") != std::string::npos);
    CPPUNIT_ASSERT(body.find("\"adapter\":\"a") != std::string::npos);
    CPPUNIT_ASSERT(body.find('\xff') == std::string::npos);
  }

  void HandlesDirectoryQueries() {
    const auto question = DecodeDirectoryQuery(
        "/-/resolve?name=h.example&region=r&zone=z&more=1");
    CPPUNIT_ASSERT_EQUAL(std::string("h.example"), question->host);
    CPPUNIT_ASSERT_EQUAL(std::string("z"), question->zone);
    CPPUNIT_ASSERT(!DecodeDirectoryQuery("/other").has_value());
    const std::vector<std::string> addresses = {"127.0.0.1:1"};
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"addresses":["127.0.0.1:1"],"ttl_s":2})"),
        EncodeDirectoryResponse(addresses, absl::Seconds(2)));
    CPPUNIT_ASSERT(IsReadinessCheck("/-/readyz"));
    CPPUNIT_ASSERT(!IsReadinessCheck("/-/readyz/x"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlatformCodecsTest, "platform-codecs");

}  // namespace
}  // namespace dragonflyglade::platform
