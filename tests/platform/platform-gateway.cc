#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
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
using Harness = GatewayHarness;
using nlohmann::json;
using Script = PlatformTargetStandIn::Script;

// Within which a change of the configuration must be in force.
constexpr absl::Duration kConfigBound = absl::Seconds(2);

Script DeclinedResponse(const RawRequest& request) {
  return {ResponseBytes(request, "503 Busy", "",
                        "X-Dragonflyglade-Not-Executed: 1\r\n")};
}

Script ClosedConnection(const RawRequest&) { return {"", true}; }

Script TruncatedResponse(const RawRequest& request) {
  std::string bytes = ResponseBytes(request, "200 OK", "done", kSigned);
  bytes.resize(bytes.size() - 2);
  return {bytes, true};
}

Script UnsignedResponse(const RawRequest& request) {
  return {ResponseBytes(request, "200 OK", "done")};
}

Script EncodedResponse(const RawRequest& request) {
  return {ResponseBytes(request, "200 OK", "done",
                        kSigned + "Content-Encoding: gzip\r\n")};
}

Script ErrorResponse(const RawRequest& request) {
  return {ResponseBytes(request, "500 Oops", "why", kSigned)};
}

Script BusyWithoutNotExecuted(const RawRequest& request) {
  return {ResponseBytes(request, "503 Busy", "", kSigned)};
}

Script LateResponseFirst(const RawRequest& request) {
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

// Decodes a chunked body.
std::string DecodeChunked(std::string_view body) {
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

// Streams the events after Last-Event-Id, up to event 4.
Script StreamedEvents(const RawRequest& request) {
  const std::string after = request.Field("Last-Event-Id");
  std::string bytes = StreamHead(request);
  for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= 4; ++id) {
    bytes += Chunk(Event(id));
  }
  return {bytes + "0\r\n\r\n"};
}

// Closes the connection in the middle of the third event.
Script BrokenStream(const RawRequest& request) {
  return {StreamHead(request) + Chunk(Event(1) + Event(2)) + Chunk("id: 3\nda"),
          true};
}

// Runs another instance in this process until the end of its lifetime.
class RunningInstance {
 public:
  explicit RunningInstance(const GatewaySettings& settings)
      : gateway(
            settings, [settings] { return settings; },
            platform::MakeWireFormat()),
        thread([this] { this->gateway.Run(); }) {}
  ~RunningInstance() {
    this->gateway.Context().stop();
    this->thread.join();
  }
  RunningInstance(const RunningInstance&) = delete;
  RunningInstance& operator=(const RunningInstance&) = delete;

  Endpoint Callers() const { return this->gateway.Settings().callers; }

 private:
  gateway::Gateway gateway;
  std::thread thread;
};

struct ExchangeCase {
  const char* what;
  const char* path;
  PlatformTargetStandIn::Answer first_response;
  int status;
  std::size_t requests;  ///< requests that both targets receive
};

class PlatformGatewayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformGatewayTest);
  CPPUNIT_TEST(RespondsByWhetherTheTargetMayHaveExecuted);
  CPPUNIT_TEST(ForwardsFieldsForTheTarget);
  CPPUNIT_TEST(RefusesWithoutForwarding);
  CPPUNIT_TEST(RefundsOnlyWhatItCharged);
  CPPUNIT_TEST(ResumesABrokenStreamAtAnotherTarget);
  CPPUNIT_TEST(ABrokenStreamDoesNotLookComplete);
  CPPUNIT_TEST(NoSecondResponseInABrokenStream);
  CPPUNIT_TEST(ClosesTheTargetConnectionWhenTheCallerDisconnects);
  CPPUNIT_TEST(RecordsSpendingInTheStore);
  CPPUNIT_TEST(ReleasesTheLeaderLeaseOnceTheStoreAccepts);
  CPPUNIT_TEST(AppliesNewConfigurations);
  CPPUNIT_TEST(TellsNobodyThatARouteIsMissingByAnOldConfiguration);
  CPPUNIT_TEST(SendsNoRequestsToADrainingTarget);
  CPPUNIT_TEST(SendsNothingToAnEvacuatedZone);
  CPPUNIT_TEST(SendsFewRequestsToATargetThatWarmsUp);
  CPPUNIT_TEST(ReloadsItsSettings);
  CPPUNIT_TEST(HoldsRequestsUntilTheFirstConfiguration);
  CPPUNIT_TEST(ServesRequestsDuringShutdown);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a double execution of a non-idempotent request, such as a
  // payout. If its response is lost, its outcome is unknown: the gateway must
  // neither repeat it nor respond with 503, on which the caller would repeat
  // it. Only the target's not-executed field, or that no byte was sent, proves
  // that it did not run. Idempotent requests are repeated at the other target.
  void RespondsByWhetherTheTargetMayHaveExecuted() {
    const std::vector<ExchangeCase> cases = {
        {"successful answer", "/once/", SuccessfulResponse, 200, 1},
        {"declined with the not-executed field", "/once/", DeclinedResponse,
         200, 2},
        {"closed without an answer", "/once/", ClosedConnection, 502, 1},
        {"truncated answer", "/once/", TruncatedResponse, 502, 1},
        {"answer without the target's signature", "/once/", UnsignedResponse,
         502, 1},
        {"encoded answer", "/once/", EncodedResponse, 502, 1},
        {"failure of the target's own", "/once/", ErrorResponse, 500, 1},
        {"503 without the not-executed field", "/once/", BusyWithoutNotExecuted,
         502, 1},
        {"late answer to another request", "/once/", LateResponseFirst, 200, 1},
        {"idempotent: closed", "/any/", ClosedConnection, 200, 2},
        {"idempotent: truncated", "/any/", TruncatedResponse, 200, 2},
        {"idempotent: failed", "/any/", ErrorResponse, 200, 2},
        {"idempotent: 503 without the field", "/any/", BusyWithoutNotExecuted,
         200, 2},
    };
    for (const ExchangeCase& item : cases) {
      Harness harness;
      harness.AddSecond();
      harness.ScriptNextRequest(item.first_response, SuccessfulResponse);
      const std::size_t before = harness.RequestCount();
      const Harness::Reply reply = harness.Call("POST", item.path);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.status, reply.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.requests,
                                   harness.RequestCount() - before);
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

  void ForwardsFieldsForTheTarget() {
    Harness harness;
    harness.Call("GET", "/any/x?y=1", "k1", "X-Mine: 5\r\n");
    const RawRequest request = harness.first.Requests().back();
    CPPUNIT_ASSERT_EQUAL(std::string("GET /any/x?y=1 HTTP/1.1"),
                         request.Line());
    CPPUNIT_ASSERT_EQUAL(std::string("5"), request.Field("X-Mine"));
    CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                         request.Field("X-Dragonflyglade-Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                         request.Field("X-Dragonflyglade-Target-Instance"));
    CPPUNIT_ASSERT_EQUAL(std::string(), request.Field("Authorization"));
    const int deadline_ms =
        std::stoi(request.Field("X-Dragonflyglade-Deadline-Ms"));
    CPPUNIT_ASSERT(deadline_ms > 0 && deadline_ms <= 5000);
  }

  void RefusesWithoutForwarding() {
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
    Harness harness;
    for (const RefusalCase& item : cases) {
      const std::size_t before = harness.first.Requests().size();
      const Harness::Reply reply = harness.Call("GET", item.path, item.key);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.status, reply.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.retry_after,
                                   !reply.Field("Retry-After").empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, before,
                                   harness.first.Requests().size());
    }
  }

  // Guards against a workspace that gets more than its rate, since each of its
  // requests that is refused before it was charged gives tokens back.
  void RefundsOnlyWhatItCharged() {
    constexpr int kTokens = 3000;
    // See WorkspacesConfig.
    constexpr int kAllowedTokens = 8 * 10000 + 10000;
    constexpr int kCalls = 60;
    const std::string usage =
        absl::StrCat("X-Dragonflyglade-Token-Usage: ", kTokens, ",0\r\n");
    Harness harness;
    const auto is_served = [&] {
      return harness.Call("GET", "/any/", "k3", usage).status == 200;
    };
    harness.WaitFor(is_served);
    int served = 1;
    for (int i = 0; i < kCalls; ++i) {
      const Harness::Reply refused =
          harness.Call("POST", "/resumed/", "k3",
                       usage + "Resumes: nobody\r\nLast-Event-Id: 2\r\n");
      CPPUNIT_ASSERT_EQUAL(503, refused.status);
      served += is_served() ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(served, " served"),
                           served * kTokens <= kAllowedTokens);
  }

  // A target closes the connection within the third event of a resumable
  // stream. The caller must receive one stream with each event once: the
  // gateway discards the incomplete event, and the other target resumes after
  // the last complete one.
  void ResumesABrokenStreamAtAnotherTarget() {
    Harness harness(StreamedEvents);
    harness.AddSecond();
    harness.ScriptNextRequest(BrokenStream, StreamedEvents);
    const Harness::Reply reply = harness.Call("POST", "/resumed/");
    CPPUNIT_ASSERT_EQUAL(200, reply.status);
    CPPUNIT_ASSERT(reply.ended_whole);
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2) + Event(3) + Event(4),
                         DecodeChunked(reply.Body()));
    const RawRequest one = harness.first.Requests().back();
    const RawRequest other = harness.second.Requests().back();
    CPPUNIT_ASSERT(one.Field("Last-Event-Id") == "2" ||
                   other.Field("Last-Event-Id") == "2");
    CPPUNIT_ASSERT_EQUAL(one.Field("X-Dragonflyglade-Attempt-Id"),
                         other.Field("X-Dragonflyglade-Attempt-Id"));
  }

  // Guards against a truncated stream that looks complete. If a stream that
  // must not be resumed breaks, the caller's connection has to end without the
  // last chunk; otherwise the caller would take the part for the whole.
  void ABrokenStreamDoesNotLookComplete() {
    Harness harness(BrokenStream);
    const Harness::Reply reply = harness.Call("POST", "/cut/");
    CPPUNIT_ASSERT_EQUAL(200, reply.status);
    CPPUNIT_ASSERT(absl::StrContains(reply.text, Event(2)));
    CPPUNIT_ASSERT(!reply.ended_whole);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.first.Requests().size());
  }

  // Guards against a second response in the middle of a stream. A resumable
  // stream breaks after two events, and the only target declines to resume it.
  // A 503 sent then would stand between the chunks of the first response; the
  // gateway must close the connection instead.
  void NoSecondResponseInABrokenStream() {
    Harness harness;
    harness.first.EnqueueAnswer(BrokenStream);
    // More than the attempts that the gateway makes.
    constexpr int kRefusals = 6;
    for (int i = 0; i < kRefusals; ++i)
      harness.first.EnqueueAnswer(DeclinedResponse);
    const Harness::Reply reply = harness.Call("POST", "/resumed/x");
    CPPUNIT_ASSERT_EQUAL(200, reply.status);
    CPPUNIT_ASSERT(!reply.ended_whole);
    CPPUNIT_ASSERT(absl::StrContains(reply.text, Event(2)));
    CPPUNIT_ASSERT_EQUAL(reply.text.find("HTTP/1.1"),
                         reply.text.rfind("HTTP/1.1"));
  }

  // Guards against quota that is spent twice after all processes restart at
  // once. Callers come back within a second, so the spending of their workspace
  // must be in the store by then.
  void RecordsSpendingInTheStore() {
    Harness harness;
    const std::string key(gateway::FleetState::kSpendRecordKey);
    harness.WaitFor([&] { return harness.HoldsLeaderLease(); });
    CPPUNIT_ASSERT_EQUAL(200, harness.Call("GET", "/any/", "k3").status);
    harness.WaitFor([&] { return !harness.store.Get(key).empty(); });
    const Result<gateway::SpendRecord> record =
        gateway::DecodeSpendRecord(harness.store.Get(key));
    CPPUNIT_ASSERT(record.Ok());
    const auto spent = gateway::SpendingByWorkspace(record.Value());
    CPPUNIT_ASSERT(spent.at("large") >= 100);
    CPPUNIT_ASSERT(gateway::WasInstanceListed(record.Value(), "one"));
  }

  // Guards against a leader lease that outlives its leader. The leader is told
  // to stop while the store rejects its writes. If it gave up then, its records
  // would stay until their leases expire, and no instance could place models
  // meanwhile. It must retry while it serves its last callers.
  void ReleasesTheLeaderLeaseOnceTheStoreAccepts() {
    Harness harness;
    const std::string key(gateway::FleetState::kLeaderKey);
    harness.WaitFor([&] { return harness.HoldsLeaderLease(); });
    harness.store.RejectWrites(true);
    boost::asio::post(harness.gateway->Context(),
                      [&] { harness.gateway->Stop(); });
    harness.WaitFor([&] { return !harness.HoldsLeaderLease(); });
    CPPUNIT_ASSERT(!harness.store.Get(key).empty());
    harness.store.RejectWrites(false);
    harness.WaitFor([&] { return harness.store.Get(key).empty(); });
  }

  // The caller disconnects while its request runs. The gateway must close the
  // connection to the target, or the target would complete a request whose
  // response nobody reads.
  void ClosesTheTargetConnectionWhenTheCallerDisconnects() {
    Harness harness;
    harness.first.EnqueueAnswer([](const RawRequest&) {
      return Script{"", false, true};
    });
    const std::size_t before = harness.first.Requests().size();
    auto socket = harness.Connect(harness.gateway->Settings().callers);
    const std::string text = harness.Text("POST", "/once/");
    boost::asio::write(*socket, boost::asio::buffer(text));
    harness.WaitFor(
        [&] { return harness.first.Requests().size() == before + 1; });
    socket->close();
    harness.WaitFor(
        [&] { return harness.first.ConnectionsClosedByPeer() == 1; });
  }

  // Guards against a 404 or 401 for a route or key that was added long ago, by
  // an instance that has not heard from the store since.
  void TellsNobodyThatARouteIsMissingByAnOldConfiguration() {
    struct Case {
      std::string name;
      std::string path;
      std::string key;
      int status_when_current;
      int status_when_old;
    };
    const std::vector<Case> cases = {
        {"a route that was added", "/new/", "k1", 404, 503},
        {"an unknown key", "/any/", "unknown", 401, 503},
        {"no key", "/any/", "", 401, 503},
        {"a route that is known", "/any/", "k1", 200, 200},
    };
    Harness harness;
    for (const Case& item : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.name, item.status_when_current,
          harness.Call("GET", item.path, item.key).status);
    }
    harness.store.RejectReads(true);
    absl::SleepFor(absl::Seconds(1));
    harness.store.Put("op/config", harness.Config(2, "new").dump());
    absl::SleepFor(kConfigBound);
    for (const Case& item : cases) {
      const Harness::Reply reply = harness.Call("GET", item.path, item.key);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.status_when_old,
                                   reply.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.status_when_old == 503,
                                   !reply.Field("Retry-After").empty());
    }
    harness.store.RejectReads(false);
    harness.WaitFor([&] { return harness.Call("GET", "/new/").status == 200; });
    CPPUNIT_ASSERT_EQUAL(401, harness.Call("GET", "/any/", "unknown").status);
  }

  void AppliesNewConfigurations() {
    Harness harness;
    CPPUNIT_ASSERT_EQUAL(404, harness.Call("GET", "/new/").status);
    harness.store.Put("op/config", harness.Config(2, "new").dump());
    harness.WaitFor([&] { return harness.Call("GET", "/new/").status == 200; });
    CPPUNIT_ASSERT_EQUAL(404, harness.Call("GET", "/plain/").status);
    harness.store.Put("op/config", "not a configuration");
    harness.PutTarget("i-2", harness.second, "ready");
    harness.WaitFor([&] {
      return harness.Read<bool>(
          [&] { return harness.gateway->Fleet().Target("i-2") != nullptr; });
    });
    CPPUNIT_ASSERT_EQUAL(200, harness.Call("GET", "/new/").status);
  }

  // Guards against a crash of the only target, which warms up and takes two
  // requests a second: of many, one reaches it, and the others are refused.
  void SendsFewRequestsToATargetThatWarmsUp() {
    Harness harness;
    nlohmann::json config = harness.Config(2, "last");
    config["services"][0]["cold_per_s"] = 2;
    config["services"][0]["cold_start_s"] = 60;
    harness.PutConfig(config);
    harness.store.Put("servers/i-1",
                      nlohmann::json{{"service", "s"},
                                     {"address", harness.first.Address()},
                                     {"zone", "z"},
                                     {"slots", 4},
                                     {"state", "ready"},
                                     {"born", 1},
                                     {"cold_remaining_ms", 60000},
                                     {"models", nlohmann::json::array()}}
                          .dump());
    harness.WaitFor([&] {
      return harness.Read<bool>([&] {
        const auto target = harness.gateway->Fleet().Target("i-1");
        return target->Record().warm_up_remaining > absl::ZeroDuration();
      });
    });
    harness.WaitFor([&] { return harness.Call("GET", "/any/").status == 200; });
    const std::size_t before = harness.first.Requests().size();
    const absl::Time begin = absl::Now();
    constexpr int kCalls = 10;
    int refused = 0;
    for (int i = 0; i < kCalls; ++i) {
      refused += harness.Call("GET", "/any/").status == 503 ? 1 : 0;
    }
    const double seconds = absl::ToDoubleSeconds(absl::Now() - begin);
    const std::size_t sent = harness.first.Requests().size() - before;
    CPPUNIT_ASSERT(sent <= static_cast<std::size_t>(1 + seconds));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(kCalls - refused), sent);
  }

  // Guards against requests to targets of an evacuated availability zone, and
  // against callers who wait for them. Once it is taken back they are served.
  void SendsNothingToAnEvacuatedZone() {
    Harness harness;
    const auto evacuated = [&] {
      return harness.Read<bool>(
          [&] { return harness.gateway->Fleet().IsEvacuated("z"); });
    };
    harness.store.Put("op/evacuate/z", "{}");
    harness.WaitFor(evacuated);
    const std::size_t before = harness.first.Requests().size();
    for (const char* path : {"/any/", "/once/", "/cut/"}) {
      const Harness::Reply reply = harness.Call("POST", path);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 503, reply.status);
      CPPUNIT_ASSERT(absl::StrContains(reply.Body(), "zones_evacuated"));
      CPPUNIT_ASSERT(!reply.Field("Retry-After").empty());
    }
    CPPUNIT_ASSERT_EQUAL(503, harness.CallModel("m").status);
    CPPUNIT_ASSERT_EQUAL(before, harness.first.Requests().size());
    harness.store.Delete("op/evacuate/z");
    harness.WaitFor([&] { return !evacuated(); });
    CPPUNIT_ASSERT_EQUAL(200, harness.Call("GET", "/any/").status);
  }

  void SendsNoRequestsToADrainingTarget() {
    Harness harness;
    harness.AddSecond();
    harness.PutTarget("i-1", harness.first, "draining");
    harness.WaitFor([&] {
      return harness.Read<bool>([&] {
        return harness.gateway->Fleet().Target("i-1")->Record().leaving;
      });
    });
    const std::size_t before = harness.first.Requests().size();
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, harness.Call("GET", "/any/").status);
    }
    CPPUNIT_ASSERT_EQUAL(before, harness.first.Requests().size());
  }

  // SIGHUP must reload the settings, and invalid settings must change nothing.
  // Unhandled, the signal would end the process and all its requests.
  void ReloadsItsSettings() {
    Harness harness;
    const GatewaySettings settings = harness.Read<GatewaySettings>(
        [&] { return harness.gateway->Settings(); });
    const auto cached_for = [&](const std::string& seconds) {
      return absl::StrContains(
          harness.Ask(settings.directory, "/-/resolve?name=h").Body(),
          "\"ttl_s\":" + seconds);
    };
    CPPUNIT_ASSERT(cached_for("2"));
    GatewaySettings newer = settings;
    newer.directory_keep = absl::Seconds(4);
    harness.reread = newer;
    kill(getpid(), SIGHUP);
    harness.WaitFor([&] { return cached_for("4"); });
    harness.reread =
        MakeFailure(Errc::kInvalidSettings, "read settings", "settings");
    harness.Read<bool>([&] {
      harness.gateway->Reload();
      return true;
    });
    CPPUNIT_ASSERT(cached_for("4"));
    CPPUNIT_ASSERT_EQUAL(200, harness.Call("GET", "/any/").status);
  }

  // Guards against refusals by all instances after all of them restarted, while
  // each has its configuration a moment later.
  void HoldsRequestsUntilTheFirstConfiguration() {
    Harness harness;
    struct Case {
      std::string name;
      absl::Duration config_after;
      int status;
    };
    const std::vector<Case> cases = {
        {"soon", absl::Milliseconds(200), 200},
        {"never", absl::InfiniteDuration(), 503},
    };
    for (const Case& item : cases) {
      PlatformStoreStandIn store;
      GatewaySettings settings = harness.Settings("two");
      settings.store = store.Address();
      const RunningInstance second(settings);
      const absl::Time start = absl::Now();
      auto call = std::async(std::launch::async, [&] {
        return harness.SendTo(second.Callers(), harness.Text("GET", "/any/"));
      });
      if (item.config_after < absl::InfiniteDuration()) {
        absl::SleepFor(item.config_after);
        store.Put("servers/i-1", harness.store.Get("servers/i-1"));
        store.Put("op/config", harness.Config(1, "plain").dump());
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.status, call.get().status);
      CPPUNIT_ASSERT(absl::Now() - start < absl::Milliseconds(1500));
      if (item.status == 503) {
        const absl::Time again = absl::Now();
        const Harness::Reply reply =
            harness.SendTo(second.Callers(), harness.Text("GET", "/any/"));
        CPPUNIT_ASSERT_EQUAL(503, reply.status);
        CPPUNIT_ASSERT(absl::Now() - again < absl::Milliseconds(300));
      }
    }
  }

  // A process that shuts down must report that it is not ready and leave the
  // list of instances, but still serve requests, since callers cache the list
  // for seconds.
  void ServesRequestsDuringShutdown() {
    Harness harness;
    const GatewaySettings settings = harness.Read<GatewaySettings>(
        [&] { return harness.gateway->Settings(); });
    CPPUNIT_ASSERT_EQUAL(200,
                         harness.Ask(settings.readiness, "/-/readyz").status);
    const std::string listed =
        harness.Ask(settings.directory, "/-/resolve?name=h").Body();
    CPPUNIT_ASSERT(absl::StrContains(listed, settings.callers.ToString()));
    boost::asio::post(harness.gateway->Context(),
                      [&] { harness.gateway->Stop(); });
    harness.WaitFor([&] {
      return harness.Ask(settings.readiness, "/-/readyz").status == 503;
    });
    const std::string after_stop =
        harness.Ask(settings.directory, "/-/resolve?name=h").Body();
    CPPUNIT_ASSERT(!absl::StrContains(after_stop, settings.callers.ToString()));
    CPPUNIT_ASSERT_EQUAL(200, harness.Call("POST", "/once/").status);
    harness.WaitFor([&] {
      return harness.store.Keys("dragonflyglade/instances/").empty();
    });
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlatformGatewayTest, "platform-gateway");

}  // namespace
}  // namespace dragonflyglade
