// Clients whose bytes could be read as more than one request, or as another.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/platform/clients/check_serves.h"
#include "tests/platform/clients/gateway_process.h"

namespace dragonflyglade {
namespace {

// In each case, what is hidden asks for this path.
constexpr const char* kHiddenLine = "GET /any/hidden HTTP/1.1";

/// A request whose end is unclear. The target may get it once, or not at all.
struct AmbiguousCase {
  const char* what;
  std::string fields;  ///< of a POST
  std::string body;
};

std::string Hidden() {
  return absl::StrCat(
      kHiddenLine,
      "\r\nHost: h.example\r\nX-Dragonflyglade-Attempt-Id: h\r\n"
      "Authorization: Bearer k2\r\n\r\n");
}

std::vector<AmbiguousCase> AmbiguousCases() {
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string none = "Content-Length: 0\r\n";
  const std::string all =
      absl::StrCat("Content-Length: ", Hidden().size(), "\r\n");
  return {
      {"a length and chunks", all + chunked, "0\r\n\r\n" + Hidden()},
      {"chunks and a length", chunked + none, "0\r\n\r\n" + Hidden()},
      {"two lengths", none + all, Hidden()},
      {"two lengths in one field",
       absl::StrCat("Content-Length: 0, ", Hidden().size(), "\r\n"), Hidden()},
      {"a length with a sign", "Content-Length: +0\r\n", Hidden()},
      {"a negative length", "Content-Length: -1\r\n", Hidden()},
      {"a length in hexadecimal", "Content-Length: 0x0\r\n", Hidden()},
      {"a length past all", "Content-Length: 18446744073709551616\r\n",
       Hidden()},
      {"another coding", "Transfer-Encoding: identity, chunked\r\n",
       "0\r\n\r\n" + Hidden()},
      {"chunks that are not last", "Transfer-Encoding: chunked, gzip\r\n",
       "0\r\n\r\n" + Hidden()},
      {"an unknown coding", "Transfer-Encoding: xchunked\r\n", Hidden()},
      {"a space before the colon", "Content-Length : 0\r\n" + all, Hidden()},
      {"a folded line", "X-Fold: a\r\n Content-Length: 0\r\n" + all, Hidden()},
      {"a bare line feed", "X-Feed: a\nContent-Length: 0\r\n" + all, Hidden()},
      {"a bare carriage return", "X-Return: a\rContent-Length: 0\r\n" + all,
       Hidden()},
      {"a zero byte", std::string("X-Zero: a\0b\r\n", 13) + all, Hidden()},
      {"a chunk size that wraps", chunked,
       "10000000000000000\r\n" + Hidden() + "\r\n0\r\n\r\n"},
      {"a chunk that ends elsewhere", chunked, "2\r\nabc\r\n0\r\n\r\n"},
      {"a bare line feed behind a chunk size", chunked, "0\n\r\n" + Hidden()},
      {"a trailer that names a model", chunked,
       "0\r\nX-Dragonflyglade-Model: other\r\n\r\n"},
      {"a trailer that names a key and a length", chunked,
       "0\r\nAuthorization: Bearer k2\r\nX-Dragonflyglade-Model: other\r\n"
       "Content-Length: 7\r\n\r\n"},
  };
}

class AmbiguousRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AmbiguousRequestsTest);
  CPPUNIT_TEST(SendsOneMeaningToTheTarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a body that the target takes for requests, or parts of a
  // body that become fields of a head.
  void SendsOneMeaningToTheTarget() {
    GatewayProcess gateway;
    std::string faults;
    for (const AmbiguousCase& item : AmbiguousCases()) {
      const std::size_t before = gateway.Target().Requests().size();
      {
        RawCaller caller(gateway.At(Listener::kCallers));
        caller.Send(gateway.Head("POST", "/any/shown", "k1", item.fields) +
                    item.body);
        caller.CloseSending();
        caller.ReadToEnd();
      }
      faults += this->FindMeanings(item, gateway, before);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    const auto requests = gateway.Target().Requests();
    CPPUNIT_ASSERT_MESSAGE(
        "no case was served at all",
        std::any_of(requests.begin(), requests.end(), [](const auto& request) {
          return request.Line() == "POST /any/shown HTTP/1.1";
        }));
    CheckServes("ambiguous", gateway, SmallestMachine::kMemoryBytes);
  }

 private:
  // What follows a request that ends by its own framing is a request of the
  // same caller on its connection, which shows its own key: it may be refused
  // as unknown, but it must not run as a part of the other one.
  std::string FindMeanings(const AmbiguousCase& item, GatewayProcess& gateway,
                           std::size_t before) const {
    const std::vector<RawRequest> requests = gateway.Target().Requests();
    int shown = 0;
    std::string faults;
    for (std::size_t i = before; i < requests.size(); ++i) {
      const RawRequest& request = requests[i];
      if (request.IsInspection()) continue;
      if (request.Line() == kHiddenLine) {
        faults += absl::StrCat(item.what, ": the hidden request ran\n");
      }
      if (request.Line() == "POST /any/shown HTTP/1.1") shown += 1;
      if (request.Field("X-Dragonflyglade-Model") == "other") {
        faults += absl::StrCat(item.what, ": a trailer became a field\n");
      }
      if (request.Field("Content-Length") !=
          absl::StrCat(request.body.size())) {
        faults += absl::StrCat(item.what, ": the length is not the body's\n");
      }
    }
    if (shown > 1) faults += absl::StrCat(item.what, ": it ran twice\n");
    return faults;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(AmbiguousRequestsTest,
                                      "clients-ambiguous-requests");

}  // namespace
}  // namespace dragonflyglade
