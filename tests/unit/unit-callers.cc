#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "dragonflyglade/caller/completion_request.h"
#include "dragonflyglade/caller/event_stream.h"
#include "dragonflyglade/caller/instance_selection.h"
#include "dragonflyglade/caller/sse.h"
#include "dragonflyglade/operator/caller_key.h"
#include "measure/history/history.h"

namespace dragonflyglade {
namespace {

Catalog SmallCatalog() {
  Catalog catalog;
  catalog.models["m"] = ModelRecord{"m", "p", "1", 10, 100};
  catalog.models["n"] = ModelRecord{"n", "p", "1", 10, 100};
  catalog.adapters["m-a"] = AdapterRecord{"m-a", "m", 1};
  catalog.workspaces["all"] = WorkspaceRecord{"all", "", {}};
  catalog.workspaces["one"] = WorkspaceRecord{"one", "", {"m"}};
  return catalog;
}

struct BodyCase {
  const char* path;
  const char* workspace;
  std::string body;
  const char* expected_text;  ///< part of the refusal; empty if accepted
};

struct KeyCase {
  const char* name;
  std::string presented_key;
  int expected;  ///< a KeyError, or -1 for accepted
};

class CallersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallersTest);
  CPPUNIT_TEST(RejectsMalformedCompletions);
  CPPUNIT_TEST(SetsThePriorityByRequestClass);
  CPPUNIT_TEST(RejectsInvalidKeys);
  CPPUNIT_TEST(SplitsEventsAtAnyChunkSize);
  CPPUNIT_TEST(EndsAStreamOnce);
  CPPUNIT_TEST(ChoosesInstancesByZoneLoadAndShare);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RejectsMalformedCompletions() {
    const Catalog catalog = SmallCatalog();
    const char* plain = "/v1/completions";
    const char* chat = "/v1/chat/completions";
    const std::string deeply_nested(5000, '[');
    const std::vector<BodyCase> cases = {
        {plain, "all", R"({"model":"m","prompt":"x"})", ""},
        {plain, "all", R"({"model":"m-a","prompt":"x","max_tokens":3})", ""},
        {chat, "all",
         R"({"model":"m","messages":[{"role":"user","content":"x"}]})", ""},
        {plain, "one", R"({"model":"m","prompt":"x"})", ""},
        {plain, "one", R"({"model":"n","prompt":"x"})", "no model 'n'"},
        {plain, "all", R"({"model":"z","prompt":"x"})", "no model 'z'"},
        {plain, "all", "", "JSON object"},
        {plain, "all", "[]", "JSON object"},
        {plain, "all", deeply_nested, "JSON object"},
        {plain, "all", R"({"prompt":"x"})", "model: expected"},
        {plain, "all", R"({"model":7,"prompt":"x"})", "model: expected"},
        {plain, "all", R"({"model":"m"})", "prompt: expected"},
        {plain, "all", R"({"model":"m","prompt":["x"]})", "prompt: expected"},
        {chat, "all", R"({"model":"m","messages":[]})", "messages: expected"},
        {chat, "all", R"({"model":"m","messages":[{"content":1}]})",
         "messages: expected"},
        {plain, "all", R"({"model":"m","prompt":"x","max_tokens":0})",
         "max_tokens: expected 1"},
        {plain, "all", R"({"model":"m","prompt":"x","max_tokens":1.5})",
         "max_tokens: expected an integer"},
        {plain, "all", R"({"model":"m","prompt":"x","stream":"yes"})",
         "stream: expected"},
    };
    for (const BodyCase& item : cases) {
      const auto parsed =
          ParseCompletion(item.path, item.body, catalog, item.workspace);
      const auto* refusal = std::get_if<Refusal>(&parsed);
      const std::string text = refusal == nullptr ? "" : refusal->message;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.body, *item.expected_text != '\0',
                                   refusal != nullptr);
      CPPUNIT_ASSERT_MESSAGE(
          item.body + ": " + text,
          text.find(item.expected_text) != std::string::npos);
    }
  }

  void SetsThePriorityByRequestClass() {
    const Catalog catalog = SmallCatalog();
    // A priority that the caller sets is replaced.
    const std::string body = R"({"model":"m","prompt":"x","priority":-9})";
    for (const RequestClass kind :
         {RequestClass::kUrgent, RequestClass::kChat, RequestClass::kBatch}) {
      const auto parsed =
          ParseCompletion("/v1/completions", body, catalog, "all", kind);
      const auto& request = std::get<CompletionRequest>(parsed);
      const auto engine_body = nlohmann::json::parse(request.body);
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(kind),
                           engine_body.at("priority").get<int>());
      CPPUNIT_ASSERT(engine_body.at("stream").get<bool>());
    }
  }

  void RejectsInvalidKeys() {
    Catalog catalog;
    const CallerKey valid = NewCallerKey();
    const CallerKey withdrawn = NewCallerKey();
    const CallerKey other = NewCallerKey();
    const auto add = [&catalog](const CallerKey& key, bool is_withdrawn) {
      const std::string salt = NewSalt();
      catalog.keys[key.id] = KeyRecord{
          key.id, "w", salt, SaltedDigest(salt, key.secret), is_withdrawn};
    };
    add(valid, false);
    add(withdrawn, true);
    const std::string text = valid.ToString();
    const auto problem = [](KeyError p) { return static_cast<int>(p); };
    const std::vector<KeyCase> cases = {
        {"good", text, -1},
        {"withdrawn", withdrawn.ToString(), problem(KeyError::kWithdrawn)},
        {"a withdrawn id with a wrong secret",
         CallerKey{withdrawn.id, valid.secret}.ToString(),
         problem(KeyError::kUnknown)},
        {"unknown", other.ToString(), problem(KeyError::kUnknown)},
        {"another's secret", CallerKey{valid.id, other.secret}.ToString(),
         problem(KeyError::kUnknown)},
        {"truncated", text.substr(0, text.size() - 1),
         problem(KeyError::kMalformed)},
        {"lengthened", text + "0", problem(KeyError::kMalformed)},
        {"upper case", "DG" + text.substr(2), problem(KeyError::kMalformed)},
        {"empty", "", problem(KeyError::kMalformed)},
        {"only the id", "dg_" + valid.id, problem(KeyError::kMalformed)},
    };
    for (const KeyCase& item : cases) {
      const auto checked = FindKeyRecord(catalog, item.presented_key);
      const auto* found = std::get_if<KeyError>(&checked);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.name, item.expected,
          found == nullptr ? -1 : static_cast<int>(*found));
    }
  }

  void SplitsEventsAtAnyChunkSize() {
    const std::string stream =
        ": comment\n\ndata: one\n\nevent: x\r\ndata: two\r\ndata:three\r\n\r\n"
        "data: [DONE]\n\ndata: cut";
    for (std::size_t size = 1; size < stream.size(); ++size) {
      SseReader reader;
      std::vector<std::string> events;
      for (std::size_t at = 0; at < stream.size(); at += size) {
        for (const std::string& event : reader.Feed(stream.substr(at, size))) {
          events.push_back(event);
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, events.size());
      CPPUNIT_ASSERT_EQUAL(std::string("two\nthree"), events[1]);
      CPPUNIT_ASSERT(reader.HasRemainder());
    }
  }

  void EndsAStreamOnce() {
    EventStream stream(2);
    CPPUNIT_ASSERT(stream.Push("a"));
    stream.Fail(Refusal{RefusalCode::kStreamEnded, "withdrawn"});
    stream.Fail(Refusal{RefusalCode::kInternal, "later"});
    CPPUNIT_ASSERT(!stream.Push("b"));
    CPPUNIT_ASSERT(std::holds_alternative<StreamData>(stream.Next({})));
    const StreamPart end = stream.Next({});
    CPPUNIT_ASSERT(std::get<Refusal>(end).message == "withdrawn");
    EventStream cancelled(2);
    cancelled.Cancel();
    bool done = false;
    cancelled.OnCancel([&done] { done = true; });
    CPPUNIT_ASSERT(done);
  }

  void ChoosesInstancesByZoneLoadAndShare() {
    std::vector<MemberStatus> members;
    for (const char* name : {"far", "near", "busy", "leaving", "dead", "new"}) {
      MemberStatus member;
      member.info.name = name;
      member.info.zone = "far-zone";
      member.incarnation = 1;
      members.push_back(member);
    }
    members[1].info.zone = "z";
    members[2].load_permille = 950;
    members[3].leaving = true;
    members[4].state = MemberState::kDead;
    members[5].incarnation = 0;
    const std::vector<std::string> share_owners = {"far"};
    const auto choices =
        ChooseInstances(members, InstanceQuery{"z", "", "w"}, share_owners);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, choices.size());
    CPPUNIT_ASSERT_EQUAL(std::string("busy"), choices.back().name);
    double total = 0;
    for (const InstanceChoice& choice : choices) total += choice.weight;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, total, 1e-9);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CallersTest, "unit-callers");

}  // namespace
}  // namespace dragonflyglade
