#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "dragonflyglade/gateway/gateway.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

using gateway::GatewaySettings;
using Stage = GatewayHarness;
using nlohmann::json;
using Script = PlatformTargetStandIn::Script;

Script Refusing(const RawRequest& request) {
  return {ResponseBytes(request, "503 Busy", "",
                        "X-Dragonflyglade-Not-Executed: 1\r\n")};
}

Script Closing(const RawRequest&) { return {"", true}; }

Script Truncated(const RawRequest& request) {
  std::string bytes = ResponseBytes(request, "200 OK", "done", kSigned);
  bytes.resize(bytes.size() - 2);
  return {bytes, true};
}

Script Unsigned(const RawRequest& request) {
  return {ResponseBytes(request, "200 OK", "done")};
}

Script Encoded(const RawRequest& request) {
  return {ResponseBytes(request, "200 OK", "done",
                        kSigned + "Content-Encoding: gzip\r\n")};
}

Script Failing(const RawRequest& request) {
  return {ResponseBytes(request, "500 Oops", "why", kSigned)};
}

Script Unmarked(const RawRequest& request) {
  return {ResponseBytes(request, "503 Busy", "", kSigned)};
}

Script LateSecond(const RawRequest& request) {
  RawRequest other = request;
  other.head = "GET / HTTP/1.1\r\nX-Dragonflyglade-Attempt-Id: other\r\n\r\n";
  return {ResponseBytes(other, "200 OK", "not yours", kSigned) +
          ResponseBytes(request, "200 OK", "done", kSigned)};
}

std::string Chunk(const std::string& text) {
  char size[16];
  snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// The bytes of a body in chunks.
std::string WithoutChunks(std::string_view body) {
  std::string bytes;
  while (!body.empty()) {
    const std::size_t size = std::stoul(std::string(body), nullptr, 16);
    body.remove_prefix(body.find("\r\n") + 2);
    bytes.append(body.substr(0, size));
    body.remove_prefix(size + 2);
  }
  return bytes;
}

std::string StreamHead(const RawRequest& request) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + kSigned +
         "X-Dragonflyglade-Attempt-Id: " +
         request.Field("X-Dragonflyglade-Attempt-Id") +
         "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
         "\n\n";
}

// Goes on after the event that the request names, up to event 4.
Script Streaming(const RawRequest& request) {
  const std::string after = request.Field("Last-Event-Id");
  std::string bytes = StreamHead(request);
  for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= 4; ++id) {
    bytes += Chunk(Event(id));
  }
  return {bytes + "0\r\n\r\n"};
}

// Breaks off in the middle of the third event.
Script CutStream(const RawRequest& request) {
  return {StreamHead(request) + Chunk(Event(1) + Event(2)) + Chunk("id: 3\nda"),
          true};
}

struct ExchangeCase {
  const char* what;
  const char* path;
  PlatformTargetStandIn::Answer first_answer;
  int status;
  std::size_t arrivals;  ///< at both targets
};

class PlatformGatewayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformGatewayTest);
  CPPUNIT_TEST(AnswersByWhatIsKnownOfTheRun);
  CPPUNIT_TEST(PassesOnWhatTheTargetNeeds);
  CPPUNIT_TEST(RefusesWhatMayNotRun);
  CPPUNIT_TEST(GoesOnWithAStreamAtAnotherTarget);
  CPPUNIT_TEST(ACutStreamDoesNotLookWhole);
  CPPUNIT_TEST(NoAnswerFollowsInACutStream);
  CPPUNIT_TEST(EndsTheRunWhenTheCallerLeaves);
  CPPUNIT_TEST(KeepsInTheStoreWhatWasSpent);
  CPPUNIT_TEST(LetsGoOfTheDutyWhenTheStoreIsBack);
  CPPUNIT_TEST(FollowsTheConfiguration);
  CPPUNIT_TEST(SendsNothingToALeavingTarget);
  CPPUNIT_TEST(ReloadsItsSettings);
  CPPUNIT_TEST(StopsWithoutCuttingARequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A payout whose answer is lost may have run: sent again it would be paid
  // twice, and refused with 503 the caller would send it again itself. Only a
  // target's own mark, or that nothing left, says that it did not run. What
  // may run again is tried at the other target.
  void AnswersByWhatIsKnownOfTheRun() {
    const std::vector<ExchangeCase> cases = {
        {"a sound answer", "/once/", SuccessfulResponse, 200, 1},
        {"declined, so another may run it", "/once/", Refusing, 200, 2},
        {"closed without an answer", "/once/", Closing, 502, 1},
        {"a truncated answer", "/once/", Truncated, 502, 1},
        {"an answer without the target's mark", "/once/", Unsigned, 502, 1},
        {"an encoded answer", "/once/", Encoded, 502, 1},
        {"a failure of the target's own", "/once/", Failing, 500, 1},
        {"a promise without its mark", "/once/", Unmarked, 502, 1},
        {"the late answer to another request", "/once/", LateSecond, 200, 1},
        {"may run again: closed", "/any/", Closing, 200, 2},
        {"may run again: truncated", "/any/", Truncated, 200, 2},
        {"may run again: failed", "/any/", Failing, 200, 2},
        {"may run again: unmarked", "/any/", Unmarked, 200, 2},
    };
    for (const ExchangeCase& item : cases) {
      Stage stage;
      stage.AddSecond();
      stage.ScriptNextRequest(item.first_answer, SuccessfulResponse);
      const std::size_t before = stage.RequestCount();
      const Stage::Reply reply = stage.Call("POST", item.path);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.status, reply.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.arrivals,
                                   stage.RequestCount() - before);
      const bool has_signature =
          !reply.Field("X-Dragonflyglade-Server-Signature").empty();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.what, item.status == 200 || item.status == 500, has_signature);
      if (reply.status == 200) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, std::string("done"),
                                     reply.Body());
      }
    }
  }

  void PassesOnWhatTheTargetNeeds() {
    Stage stage;
    stage.Call("GET", "/any/x?y=1", "k1", "X-Mine: 5\r\n");
    const RawRequest request = stage.first.Requests().back();
    CPPUNIT_ASSERT_EQUAL(std::string("GET /any/x?y=1 HTTP/1.1"),
                         request.Line());
    CPPUNIT_ASSERT_EQUAL(std::string("5"), request.Field("X-Mine"));
    CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                         request.Field("X-Dragonflyglade-Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                         request.Field("X-Dragonflyglade-Target-Instance"));
    CPPUNIT_ASSERT_EQUAL(std::string(), request.Field("Authorization"));
    const int left = std::stoi(request.Field("X-Dragonflyglade-Deadline-Ms"));
    CPPUNIT_ASSERT(left > 0 && left <= 5000);
  }

  void RefusesWhatMayNotRun() {
    struct RefusalCase {
      const char* what;
      const char* path;
      const char* key;
      int status;
      bool retry_after;
    };
    const std::vector<RefusalCase> cases = {
        {"no route", "/other/", "k1", 404, false},
        {"a key that is not known", "/any/", "nobody", 401, false},
        {"above the quota", "/any/", "k2", 429, true},
    };
    Stage stage;
    for (const RefusalCase& item : cases) {
      const std::size_t before = stage.first.Requests().size();
      const Stage::Reply reply = stage.Call("GET", item.path, item.key);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.status, reply.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.retry_after,
                                   !reply.Field("Retry-After").empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, before,
                                   stage.first.Requests().size());
    }
  }

  // The target breaks off within the third event. The caller sees one stream
  // with each event once: the half event is dropped, and the other target
  // goes on after the last whole one.
  void GoesOnWithAStreamAtAnotherTarget() {
    Stage stage(Streaming);
    stage.AddSecond();
    stage.ScriptNextRequest(CutStream, Streaming);
    const Stage::Reply reply = stage.Call("POST", "/resumed/");
    CPPUNIT_ASSERT_EQUAL(200, reply.status);
    CPPUNIT_ASSERT(reply.ended_whole);
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2) + Event(3) + Event(4),
                         WithoutChunks(reply.Body()));
    const RawRequest one = stage.first.Requests().back();
    const RawRequest other = stage.second.Requests().back();
    CPPUNIT_ASSERT(one.Field("Last-Event-Id") == "2" ||
                   other.Field("Last-Event-Id") == "2");
    CPPUNIT_ASSERT_EQUAL(one.Field("X-Dragonflyglade-Attempt-Id"),
                         other.Field("X-Dragonflyglade-Attempt-Id"));
  }

  // A stream that may not be resumed is cut. Ended like a whole one, the
  // caller would take half a letter for all of it.
  void ACutStreamDoesNotLookWhole() {
    Stage stage(CutStream);
    const Stage::Reply reply = stage.Call("POST", "/cut/");
    CPPUNIT_ASSERT_EQUAL(200, reply.status);
    CPPUNIT_ASSERT(absl::StrContains(reply.text, Event(2)));
    CPPUNIT_ASSERT(!reply.ended_whole);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stage.first.Requests().size());
  }

  // A stream breaks off after two events and may go on elsewhere, but the only
  // target declines. The caller got a 503 with head and body in the middle of
  // the chunks of its answer; it must get the end of the connection.
  void NoAnswerFollowsInACutStream() {
    Stage stage;
    stage.first.EnqueueAnswer(CutStream);
    constexpr int kMoreThanItTries = 6;
    for (int i = 0; i < kMoreThanItTries; ++i)
      stage.first.EnqueueAnswer(Refusing);
    const Stage::Reply reply = stage.Call("POST", "/resumed/x");
    CPPUNIT_ASSERT_EQUAL(200, reply.status);
    CPPUNIT_ASSERT(!reply.ended_whole);
    CPPUNIT_ASSERT(absl::StrContains(reply.text, Event(2)));
    CPPUNIT_ASSERT_EQUAL(reply.text.find("HTTP/1.1"),
                         reply.text.rfind("HTTP/1.1"));
  }

  // All processes may end at once, and callers come back within a second. What
  // their workspace spent stands in the store by then.
  void KeepsInTheStoreWhatWasSpent() {
    Stage stage;
    const std::string key(gateway::FleetState::kSpendsKey);
    stage.WaitFor([&] { return stage.HoldsLeaderLease(); });
    CPPUNIT_ASSERT_EQUAL(200, stage.Call("GET", "/any/", "k3").status);
    stage.WaitFor([&] { return !stage.store.Get(key).empty(); });
    const Result<gateway::SpendRecord> record =
        gateway::DecodeSpendRecord(stage.store.Get(key));
    CPPUNIT_ASSERT(record.Ok());
    const auto spent = gateway::SpendingByWorkspace(record.Value());
    CPPUNIT_ASSERT(spent.at("large") >= 100);
    CPPUNIT_ASSERT(gateway::WasListed(record.Value(), "one"));
  }

  // The holder is told to stop while the store turns it away. Its entries
  // would stand until their leases end, and nobody would place models; it goes
  // on trying to take them back while it serves its last callers.
  void LetsGoOfTheDutyWhenTheStoreIsBack() {
    Stage stage;
    const std::string key(gateway::FleetState::kLeaderKey);
    stage.WaitFor([&] { return stage.HoldsLeaderLease(); });
    stage.store.RejectWrites(true);
    boost::asio::post(stage.gateway->Context(), [&] { stage.gateway->Stop(); });
    stage.WaitFor([&] { return !stage.HoldsLeaderLease(); });
    CPPUNIT_ASSERT(!stage.store.Get(key).empty());
    stage.store.RejectWrites(false);
    stage.WaitFor([&] { return stage.store.Get(key).empty(); });
  }

  // The caller closes while the target works. Without the cancel, the target
  // would work on for nobody.
  void EndsTheRunWhenTheCallerLeaves() {
    Stage stage;
    stage.first.EnqueueAnswer([](const RawRequest&) {
      return Script{"", false, true};
    });
    const std::size_t before = stage.first.Requests().size();
    auto socket = stage.Connect(stage.gateway->Settings().callers);
    const std::string text = stage.Text("POST", "/once/");
    boost::asio::write(*socket, boost::asio::buffer(text));
    stage.WaitFor([&] { return stage.first.Requests().size() == before + 1; });
    socket->close();
    stage.WaitFor([&] { return stage.first.ConnectionsClosedByPeer() == 1; });
  }

  void FollowsTheConfiguration() {
    Stage stage;
    CPPUNIT_ASSERT_EQUAL(404, stage.Call("GET", "/new/").status);
    stage.store.Put("op/config", stage.Config(2, "new").dump());
    stage.WaitFor([&] { return stage.Call("GET", "/new/").status == 200; });
    CPPUNIT_ASSERT_EQUAL(404, stage.Call("GET", "/plain/").status);
    stage.store.Put("op/config", "not a configuration");
    stage.PutTarget("i-2", stage.second, "ready");
    stage.WaitFor([&] {
      return stage.Read<bool>(
          [&] { return stage.gateway->Fleet().Target("i-2") != nullptr; });
    });
    CPPUNIT_ASSERT_EQUAL(200, stage.Call("GET", "/new/").status);
  }

  void SendsNothingToALeavingTarget() {
    Stage stage;
    stage.AddSecond();
    stage.PutTarget("i-1", stage.first, "draining");
    stage.WaitFor([&] {
      return stage.Read<bool>([&] {
        return stage.gateway->Fleet().Target("i-1")->Record().leaving;
      });
    });
    const std::size_t before = stage.first.Requests().size();
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, stage.Call("GET", "/any/").status);
    }
    CPPUNIT_ASSERT_EQUAL(before, stage.first.Requests().size());
  }

  // SIGHUP ends a process that does not expect it, and with it all requests
  // that it serves. Here it reads the settings again; ones that are not valid
  // change nothing.
  void ReloadsItsSettings() {
    Stage stage;
    const GatewaySettings settings =
        stage.Read<GatewaySettings>([&] { return stage.gateway->Settings(); });
    const auto kept_for = [&](const std::string& seconds) {
      return absl::StrContains(
          stage.Ask(settings.directory, "/-/resolve?name=h").Body(),
          "\"ttl_s\":" + seconds);
    };
    CPPUNIT_ASSERT(kept_for("2"));
    GatewaySettings newer = settings;
    newer.directory_keep = absl::Seconds(4);
    stage.reread = newer;
    kill(getpid(), SIGHUP);
    stage.WaitFor([&] { return kept_for("4"); });
    stage.reread =
        MakeFailure(Errc::kInvalidSettings, "read settings", "settings");
    stage.Read<bool>([&] {
      stage.gateway->Reload();
      return true;
    });
    CPPUNIT_ASSERT(kept_for("4"));
    CPPUNIT_ASSERT_EQUAL(200, stage.Call("GET", "/any/").status);
  }

  // A process that is told to stop is no longer ready and no longer listed,
  // and still serves: callers keep the list for seconds.
  void StopsWithoutCuttingARequest() {
    Stage stage;
    const GatewaySettings settings =
        stage.Read<GatewaySettings>([&] { return stage.gateway->Settings(); });
    CPPUNIT_ASSERT_EQUAL(200,
                         stage.Ask(settings.readiness, "/-/readyz").status);
    const std::string listed =
        stage.Ask(settings.directory, "/-/resolve?name=h").Body();
    CPPUNIT_ASSERT(absl::StrContains(listed, settings.callers.ToString()));
    boost::asio::post(stage.gateway->Context(), [&] { stage.gateway->Stop(); });
    stage.WaitFor([&] {
      return stage.Ask(settings.readiness, "/-/readyz").status == 503;
    });
    const std::string left =
        stage.Ask(settings.directory, "/-/resolve?name=h").Body();
    CPPUNIT_ASSERT(!absl::StrContains(left, settings.callers.ToString()));
    CPPUNIT_ASSERT_EQUAL(200, stage.Call("POST", "/once/").status);
    stage.WaitFor(
        [&] { return stage.store.Keys("dragonflyglade/instances/").empty(); });
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlatformGatewayTest, "platform-gateway");

}  // namespace
}  // namespace dragonflyglade
