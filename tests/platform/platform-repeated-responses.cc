#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

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

 private:
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
