#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "tests/fleet/caller.h"
#include "tests/fleet/fleet.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

// Time after which an instance's reported load is current; the instance updates
// it every 500 ms.
constexpr absl::Duration kLoadUpdateTime = absl::Milliseconds(1200);

struct CallCase {
  const char* name;
  CallSpec spec;
  std::string key;  ///< "good" for a valid key, "none", or the literal key
  int status;
  const char* code;
};

// Sends raw bytes on a new connection and returns the response until the peer
// closes the connection.
std::string SendRaw(const Endpoint& to, const std::string& bytes) {
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(to.port));
  inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
  std::string response;
  if (connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0) {
    send(client, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    shutdown(client, SHUT_WR);
    std::array<char, 4096> buffer;
    ssize_t size = 0;
    while ((size = recv(client, buffer.data(), buffer.size(), 0)) > 0) {
      response.append(buffer.data(), static_cast<std::size_t>(size));
    }
  }
  close(client);
  return response;
}

CallSpec Completion(const std::string& body) {
  CallSpec spec;
  spec.method = "POST";
  spec.path = "/v1/completions";
  spec.body = body;
  return spec;
}

CallSpec Service(const char* method, const char* path,
                 const std::string& body = {}) {
  CallSpec spec;
  spec.method = method;
  spec.path = std::string("/v1/services/") + path;
  spec.body = body;
  return spec;
}

class CallersIntegration : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallersIntegration);
  CPPUNIT_TEST(EachInvalidRequestGetsItsOwnError);
  CPPUNIT_TEST(NumericModelNameInResponseDoesNotFailCall);
  CPPUNIT_TEST(CallerDisconnectEndsEngineRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Failure: an invalid request gets the wrong error, reaches a target, or
  // prevents a following valid request from being served. A valid request is
  // sent after each invalid one. Also checks that the secret of the caller's
  // key appears in no target request, log or stored value.
  void EachInvalidRequestGetsItsOwnError() {
    FleetOptions options;
    options.instances = 2;
    Fleet fleet(options);
    fleet.WaitReady();
    const CallerKey key = fleet.Grant("gallery");
    const Endpoint instance = fleet.CallerEndpoint(1);
    const auto valid_call = [&] {
      return CallInstance(instance, key.ToString(),
                          Service("GET", "ledger/balance/x"));
    };
    CPPUNIT_ASSERT(WaitUntil([&] { return valid_call().status == 200; }));

    CallSpec secret_in_path = Service("GET", "ledger/balance/");
    secret_in_path.path += key.secret;
    CallSpec secret_in_query = Service("GET", "ledger/balance/x?api_key=");
    secret_in_query.path += key.ToString();
    CallSpec urgent_class = Completion(R"({"model":"letters","prompt":"x"})");
    urgent_class.headers = {{"X-Request-Class", "urgent"}};
    CallSpec long_key = Service("POST", "ledger/payouts", "{}");
    long_key.headers = {{"Idempotency-Key", std::string(300, 'k')}};
    CallSpec wrong_method = Service("DELETE", "ledger/payouts");
    CallSpec get_completion = Completion("");
    get_completion.method = "GET";
    const std::string large(2u << 20, 'x');
    const std::vector<CallCase> cases = {
        {"no key", Service("GET", "ledger/balance/x"), "none", 401,
         "missing_key"},
        {"unknown key", Service("GET", "ledger/balance/x"),
         NewCallerKey().ToString(), 401, "unknown_key"},
        {"truncated key", Service("GET", "ledger/balance/x"),
         key.ToString().substr(0, 40), 401, "unknown_key"},
        {"unknown path", CallSpec{"GET", "/v2/none", "", {}}, "good", 404,
         "not_found"},
        {"unknown service", Service("GET", "nothing/x"), "good", 404,
         "not_found"},
        {"unknown route", Service("GET", "ledger/secrets"), "good", 404,
         "not_found"},
        {"wrong method", wrong_method, "good", 405, "method_not_allowed"},
        {"wrong method for models", get_completion, "good", 405,
         "method_not_allowed"},
        {"a path with a parent segment",
         Service("GET", "ledger/balance/../payouts"), "good", 400,
         "bad_request"},
        {"a path with spaces", Service("GET", "ledger/balance/%20x"), "good",
         400, "bad_request"},
        {"the key in the path", secret_in_path, "good", 400, "bad_request"},
        {"the key in the query", secret_in_query, "good", 400, "bad_request"},
        {"the key in the body",
         Completion(R"({"model":"letters","prompt":")" + key.secret + "\"}"),
         "good", 400, "bad_request"},
        {"no JSON", Completion("{"), "good", 400, "bad_request"},
        {"bytes that are not UTF-8 text", Completion("\xff\xfe\x01"), "good",
         400, "bad_request"},
        {"unknown model", Completion(R"({"model":"no","prompt":"x"})"), "good",
         404, "not_found"},
        {"a class that only records may set", urgent_class, "good", 400,
         "bad_request"},
        {"a long idempotency key", long_key, "good", 400, "bad_request"},
        {"more than the burst",
         Completion(R"({"model":"letters","prompt":"x","max_tokens":900000})"),
         "good", 400, "cost_above_burst"},
        {"a body above the limit", Completion(large), "good", 413,
         "body_too_large"},
        {"a path above the limit",
         Service("GET", ("ledger/balance/" + std::string(5000, 'y')).c_str()),
         "good", 400, "bad_request"},
    };
    for (const CallCase& item : cases) {
      const std::string caller_key = item.key == "good"   ? key.ToString()
                                     : item.key == "none" ? std::string()
                                                          : item.key;
      const CallResult result = CallInstance(instance, caller_key, item.spec);
      const std::string observed = std::string(item.name) + ": " +
                                   std::to_string(result.status) + " " +
                                   result.body + result.failure;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(observed, item.status, result.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(observed, std::string(item.code),
                                   result.code);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(observed, std::string("no"), result.ran);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, 200, valid_call().status);
    }
    const std::string post = "POST /v1/completions HTTP/1.1\r\n";
    const std::vector<std::string> malformed = {
        "",
        "\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        post + "Content-Length: -5\r\n\r\n",
        post + "Content-Length: 99\r\n\r\nshort",
        post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"};
    for (const std::string& raw : malformed) {
      const std::string response = SendRaw(instance, raw);
      CPPUNIT_ASSERT_MESSAGE(raw + response,
                             response.find(" 200 ") == std::string::npos);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(raw, 200, valid_call().status);
    }
    // Malformed input on the port for peer instances, including a frame whose
    // header states a length of two gigabytes.
    const int peer_port =
        fleet.Status(1).at("members").at(0).at("peer_port").get<int>();
    for (const std::string& raw :
         {malformed[2], malformed[5], std::string("\x7f\xff\xff\xff....")}) {
      SendRaw(Endpoint{"127.0.0.1", peer_port}, raw);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(raw, 200, valid_call().status);
    }
    CPPUNIT_ASSERT(WaitUntil([&] {
      const json observed = fleet.Status(2);
      return observed.is_object() &&
             observed.at("members").dump().find("dead") == std::string::npos;
    }));
    const std::string recorded_text =
        fleet.ReceivedRequests() + fleet.Logs() + fleet.KvText();
    CPPUNIT_ASSERT(recorded_text.find(key.secret) == std::string::npos);
    const json status = fleet.Status(1);
    CPPUNIT_ASSERT(status.at("refusals").dump().find("unknown_key") !=
                   std::string::npos);
  }

  // Failure: an engine's event whose model name is a number, not a string, made
  // the call end with 500, and the call was counted as open indefinitely.
  void NumericModelNameInResponseDoesNotFailCall() {
    FleetOptions options;
    options.instances = 1;
    options.engines = 1;
    options.engine.reports_numeric_model = true;
    Fleet fleet(options);
    fleet.WaitReady();
    const CallerKey key = fleet.Grant("gallery");
    const CallSpec spec =
        Completion(R"({"model":"letters","prompt":"x","max_tokens":3})");
    CallResult result;
    CPPUNIT_ASSERT(WaitUntil([&] {
      result = CallInstance(fleet.CallerEndpoint(1), key.ToString(), spec);
      return result.status == 200 || result.status == 500;
    }));
    absl::SleepFor(kLoadUpdateTime);
    const json members = fleet.Status(1).at("members");
    CPPUNIT_ASSERT_EQUAL(0, members.at(0).at("load_permille").get<int>());
    CPPUNIT_ASSERT_EQUAL(200, result.status);
    CPPUNIT_ASSERT_EQUAL(
        std::string("letters"),
        json::parse(result.body).at("model").get<std::string>());
  }

  // Failure: after a caller disconnects, the engine goes on generating for it.
  // The caller opens a stream of 100000 tokens and disconnects after the first
  // event. The request to the engine must end and its reservation be released.
  void CallerDisconnectEndsEngineRequest() {
    FleetOptions options;
    options.instances = 1;
    options.engines = 1;
    options.engine.token_delay = absl::Milliseconds(50);
    Fleet fleet(options);
    fleet.WaitReady();
    const CallerKey key = fleet.Grant("gallery");
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = {{"Authorization", "Bearer " + key.ToString()}};
    request.body = R"({"model":"letters","prompt":"x","max_tokens":100000,)"
                   R"("stream":true})";
    const auto in_flight = [&fleet] {
      const json status = fleet.Status(1);
      int total = 0;
      for (const json& target : status.at("targets")) {
        total += target.at("in_flight").get<int>();
      }
      return total;
    };
    int status = 0;
    const auto stream_first_event = [&] {
      HttpCall call(fleet.CallerEndpoint(1), HttpOptions{}, "instance");
      call.Stream(
          request,
          [&status](const HttpResponseHead& head) {
            status = head.status;
            return status == 200;
          },
          [&](std::string_view) {
            CPPUNIT_ASSERT_EQUAL(1, in_flight());
            return false;
          });
      return status == 200;
    };
    CPPUNIT_ASSERT(WaitUntil(stream_first_event));
    CPPUNIT_ASSERT(WaitUntil([&] { return in_flight() == 0; }));
    CPPUNIT_ASSERT(
        WaitUntil([&] { return fleet.Engine(1).EndedStreams() == 1; }));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CallersIntegration,
                                      "integration-callers");

}  // namespace
}  // namespace dragonflyglade
