#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <exception>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "dragonflyglade/gateway/target_exchange.h"
#include "tests/platform/two_instances.h"
// After the gateway's headers, which include what Asio's leave out.
#include <boost/asio/co_spawn.hpp>

namespace dragonflyglade {
namespace {

using Reply = GatewayHarness::Reply;
using Script = PlatformTargetStandIn::Script;

const std::string kNotExecuted = "X-Dragonflyglade-Not-Executed: 1\r\n";

struct RepeatedResponse {
  const char* name;
  const char* method;
  const char* path;
  const char* status;  ///< of the response that comes twice
  std::string fields;  ///< of that response
};

std::vector<RepeatedResponse> RepeatedResponses() {
  return {
      {"refusal", "POST", "/once/", "503 Service Unavailable", kNotExecuted},
      {"wrong target", "POST", "/once/", "421 Misdirected Request", ""},
      {"refused stream", "POST", "/cut/", "503 Service Unavailable",
       kNotExecuted},
      {"failure of a request that may be repeated", "GET", "/any/",
       "500 Internal Server Error", kSigned},
  };
}

// Each response of a target is followed by this one, which answers no request.
struct ExtraResponse {
  const char* name;
  const char* status;
  std::string fields;
};

std::vector<ExtraResponse> ExtraResponses() {
  return {
      {"refusal", "503 Service Unavailable", kNotExecuted},
      {"refusal by limit", "429 Too Many Requests", kNotExecuted},
      {"refusal as malformed", "400 Bad Request", kNotExecuted},
      {"wrong target", "421 Misdirected Request", ""},
      {"refusal without the not-executed field", "503 Unavailable", ""},
      {"success", "200 OK", kSigned},
  };
}

struct CalledRoute {
  const char* method;
  const char* path;
};

// Two that may run once, and one that may be repeated.
constexpr CalledRoute kCalledRoutes[] = {
    {"POST", "/once/"}, {"POST", "/cut/"}, {"GET", "/any/"}};

std::string UnnamedResponse(const ExtraResponse& extra,
                            const std::string& body) {
  return absl::StrCat("HTTP/1.1 ", extra.status, "\r\n", extra.fields,
                      "Content-Length: ", body.size(), "\r\n\r\n", body);
}

// Succeeds, and sends bytes that answer no request before its next response on
// the connection.
class TalkativeTarget {
 public:
  Script Answer(const RawRequest& request) {
    Script script = SuccessfulResponse(request);
    if (request.IsInspection()) return script;
    absl::MutexLock lock(&this->mutex);
    this->runs[request.Field("X-Dragonflyglade-Attempt-Id")] += 1;
    script.late = this->late;
    return script;
  }

  void SendBetween(std::string bytes) {
    absl::MutexLock lock(&this->mutex);
    this->late = std::move(bytes);
  }

  int MostRuns() const {
    absl::MutexLock lock(&this->mutex);
    int most = 0;
    for (const auto& [id, count] : this->runs) most = std::max(most, count);
    return most;
  }

 private:
  mutable absl::Mutex mutex;
  std::string late ABSL_GUARDED_BY(mutex);
  std::map<std::string, int> runs ABSL_GUARDED_BY(mutex);
};

// Answers the first attempt of each request at a target by a response that
// comes again before the next response on the connection, later attempts by
// success.
class RepeatingTarget {
 public:
  Script Answer(const RawRequest& request) {
    if (request.IsInspection()) return SuccessfulResponse(request);
    const std::string id = request.Field("X-Dragonflyglade-Attempt-Id");
    absl::MutexLock lock(&this->mutex);
    if (!this->repeated.has_value() || this->attempts[id]++ > 0) {
      return SuccessfulResponse(request);
    }
    Script script;
    script.bytes = ResponseBytes(request, this->repeated->status, "no",
                                 this->repeated->fields);
    script.late = script.bytes;
    return script;
  }

  void Repeat(RepeatedResponse response) {
    absl::MutexLock lock(&this->mutex);
    this->repeated = std::move(response);
  }

 private:
  absl::Mutex mutex;
  std::optional<RepeatedResponse> repeated ABSL_GUARDED_BY(mutex);
  std::map<std::string, int> attempts ABSL_GUARDED_BY(mutex);
};

class RepeatedResponsesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RepeatedResponsesTest);
  CPPUNIT_TEST(AreNotTakenForTheResponseToTheNextAttempt);
  CPPUNIT_TEST(AreNotTakenForItOverATunnel);
  CPPUNIT_TEST(AreNotTakenForItIfTheyNameNoRequest);
  CPPUNIT_TEST(MakeNoPromiseIfTheyNameNoRequest);
  CPPUNIT_TEST(MakeNoPromiseOverATunnel);
  CPPUNIT_TEST(ServesBeforeATargetThatNamesNoRequests);
  CPPUNIT_TEST(MakeNoPromiseIfTheyEndWithinTheirHead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a refusal that says "not run" of a request that runs.
  void AreNotTakenForTheResponseToTheNextAttempt() {
    RepeatingTarget target;
    GatewayHarness harness(
        [&](const RawRequest& request) { return target.Answer(request); });
    for (const RepeatedResponse& item : RepeatedResponses()) {
      target.Repeat(item);
      const Reply reply = harness.Call(item.method, item.path);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, 200, reply.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, std::string("done"),
                                   reply.Body());
    }
  }

  // Guards against the same at an instance without paths of its own.
  void AreNotTakenForItOverATunnel() {
    RepeatingTarget target;
    TwoInstances pair(
        [&](const RawRequest& request) { return target.Answer(request); });
    pair.Isolate();
    pair.harness.store.Delete("servers/i-2");
    pair.harness.WaitFor([&pair] {
      return pair.harness.Read<std::size_t>([&pair] {
        return pair.harness.gateway->Fleet().Targets("s").size();
      }) == 1;
    });
    for (const RepeatedResponse& item : RepeatedResponses()) {
      target.Repeat(item);
      const Reply reply = pair.harness.Call(item.method, item.path);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, 200, reply.status);
    }
  }

  // Guards against a copy of an inspection's response in place of a caller's.
  void AreNotTakenForItIfTheyNameNoRequest() {
    PlatformTargetStandIn target([](const RawRequest& request) {
      if (!request.IsInspection()) return SuccessfulResponse(request);
      const std::string bytes =
          "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreport";
      Script script;
      script.bytes = bytes;
      script.late = bytes;
      return script;
    });
    gateway::ConnectionPool pool;
    CPPUNIT_ASSERT_EQUAL(std::string("report"),
                         this->Exchange(target, pool, "", "GET /-/report"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.Idle());
    CPPUNIT_ASSERT_EQUAL(std::string("done"),
                         this->Exchange(target, pool, "r1", "GET /any/"));
  }

  // Guards against a refusal of a request that runs, by a response that names
  // no request.
  void MakeNoPromiseIfTheyNameNoRequest() {
    TalkativeTarget target;
    GatewayHarness harness(
        [&](const RawRequest& request) { return target.Answer(request); });
    this->CheckExtraResponses(harness, target);
  }

  // Guards against the same at an instance without paths of its own.
  void MakeNoPromiseOverATunnel() {
    TalkativeTarget target;
    TwoInstances pair(
        [&](const RawRequest& request) { return target.Answer(request); });
    pair.Isolate();
    this->CheckExtraResponses(pair.harness, target);
  }

  // Guards against an extra head that ends early and is completed by the
  // response that follows it.
  void MakeNoPromiseIfTheyEndWithinTheirHead() {
    TalkativeTarget target;
    GatewayHarness harness(
        [&](const RawRequest& request) { return target.Answer(request); });
    for (const ExtraResponse& extra : ExtraResponses()) {
      const std::string bytes = UnnamedResponse(extra, "other");
      for (std::size_t length = 1; length < bytes.size(); ++length) {
        target.SendBetween("");
        harness.Call("POST", "/once/");
        target.SendBetween(bytes.substr(0, length));
        harness.Call("POST", "/once/");
        const Reply reply = harness.Call("POST", "/once/");
        const std::string name = absl::StrCat(extra.name, " cut at ", length);
        const bool is_whole = reply.status == 200 && reply.Body() == "done";
        const bool promises_nothing =
            reply.status == 502 || reply.status == 504;
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(name, ": ", reply.text),
                               is_whole || promises_nothing);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1, target.MostRuns());
      }
    }
  }

  // Guards against responses that are awaited in vain, since they name no
  // request.
  void ServesBeforeATargetThatNamesNoRequests() {
    GatewayHarness harness([](const RawRequest& request) {
      if (request.IsInspection()) return SuccessfulResponse(request);
      return Script{"HTTP/1.1 200 OK\r\n" + kSigned +
                    "Content-Length: 4\r\n\r\ndone"};
    });
    constexpr int kRequests = 5;
    for (int i = 0; i < kRequests; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, harness.Call("POST", "/once/").status);
    }
  }

 private:
  // Each request is served by one run, whatever comes before its response.
  void CheckExtraResponses(GatewayHarness& harness, TalkativeTarget& target) {
    constexpr int kRequestsPerRoute = 3;
    for (const ExtraResponse& extra : ExtraResponses()) {
      target.SendBetween(UnnamedResponse(extra, "other"));
      for (const CalledRoute& route : kCalledRoutes) {
        for (int i = 0; i < kRequestsPerRoute; ++i) {
          const Reply reply = harness.Call(route.method, route.path);
          const std::string name = absl::StrCat(extra.name, " ", route.path);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200, reply.status);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("done"), reply.Body());
          CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1, target.MostRuns());
        }
      }
    }
  }

  // @return the body of the response; empty if it is not complete
  std::string Exchange(PlatformTargetStandIn& target,
                       gateway::ConnectionPool& pool, const std::string& id,
                       const std::string& line) {
    gateway::TargetExchange exchange(this->context, pool, this->wire,
                                     this->clock);
    gateway::ExchangeOutcome outcome;
    boost::asio::co_spawn(
        this->context,
        exchange.Run(target.Address(), id,
                     line + " HTTP/1.1\r\nX-Dragonflyglade-Attempt-Id: " + id +
                         "\r\n\r\n",
                     nullptr, this->clock.Now() + absl::Seconds(5)),
        [&outcome](const std::exception_ptr&, gateway::ExchangeOutcome result) {
          outcome = std::move(result);
        });
    this->context.restart();
    this->context.run();
    const auto* response = std::get_if<gateway::CompleteResponse>(&outcome);
    return response == nullptr ? "" : response->body;
  }

  boost::asio::io_context context;
  const gateway::WireFormat wire = platform::MakeWireFormat();
  const Clock clock{SteadyClock()};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RepeatedResponsesTest,
                                      "platform-repeated-responses");

}  // namespace
}  // namespace dragonflyglade
