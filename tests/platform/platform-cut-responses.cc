#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "dragonflyglade/gateway/tunnel_query.h"
#include "dragonflyglade/net/http_call.h"
#include "tests/platform/two_instances.h"

namespace dragonflyglade {
namespace {

using Reply = GatewayHarness::Reply;
using Script = PlatformTargetStandIn::Script;

/// A form of response, by which fields frame its body.
struct ResponseForm {
  const char* name;
  const char* path;    ///< of a request that may run once
  const char* fields;  ///< with the fields that frame the body
  const char* body;
  bool ends_by_close;
};

constexpr ResponseForm kForms[] = {
    {"length", "/once/", "Content-Length: 4\r\n", "done", false},
    {"chunks", "/once/", "Transfer-Encoding: chunked\r\n",
     "2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n", false},
    {"stream in chunks", "/cut/",
     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
     "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", false},
    {"stream with a length", "/cut/",
     "Content-Type: text/event-stream\r\nContent-Length: 15\r\n",
     "id: 1\ndata: a\n\n", false},
    {"no framing", "/once/", "Connection: close\r\n", "done", true},
};

// The requests of a test have ids up to this length.
const std::string kLongestId = "r9999";

enum class End { kClose, kReset };

std::string HeadOf(const ResponseForm& form, const std::string& id) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nX-Dragonflyglade-Attempt-Id: ", id,
                      "\r\n", kSigned, form.fields, "\r\n");
}

// The length of the part of a response that can be cut: a body without framing
// is whole wherever its connection ends.
std::size_t CutLength(const ResponseForm& form, const std::string& id) {
  const std::size_t head = HeadOf(form, id).size();
  return form.ends_by_close ? head : head + std::string(form.body).size();
}

/// A response of which the first bytes are sent before its connection ends.
struct CutResponse {
  const ResponseForm* form = nullptr;  ///< null: a whole response
  /// Of the part that is sent, at most all but one byte; nothing: all of it.
  std::optional<std::size_t> length = std::nullopt;
  End end = End::kClose;

  std::string Name() const {
    return absl::StrCat(this->form->name, " cut at ", this->length.value_or(0),
                        this->end == End::kReset ? ", reset" : ", closed");
  }
};

class CuttingTarget {
 public:
  Script Answer(const RawRequest& request) const {
    const CutResponse cut = this->Cut();
    if (cut.form == nullptr || request.IsInspection()) {
      return SuccessfulResponse(request);
    }
    const std::string id = request.Field("X-Dragonflyglade-Attempt-Id");
    Script script;
    script.bytes = absl::StrCat(HeadOf(*cut.form, id), cut.form->body);
    if (cut.length.has_value()) {
      script.bytes.resize(std::min(*cut.length, CutLength(*cut.form, id) - 1));
    }
    script.close = cut.end == End::kClose;
    script.reset = cut.end == End::kReset;
    return script;
  }

  void Send(const CutResponse& cut) {
    absl::MutexLock lock(&this->mutex);
    this->next = cut;
  }

 private:
  CutResponse Cut() const {
    absl::MutexLock lock(&this->mutex);
    return this->next;
  }

  mutable absl::Mutex mutex;
  CutResponse next ABSL_GUARDED_BY(mutex);
};

/// Answers with a part of a body and a reset, once Cut was called.
class UploadTarget {
 public:
  Script Answer(const RawRequest& request) const {
    if (!this->cuts || request.IsInspection()) {
      return SuccessfulResponse(request);
    }
    return AnswerInPart(request);
  }

  void Cut() { this->cuts = true; }

 private:
  // The path and the pause come with the request.
  static Script AnswerInPart(const RawRequest& request) {
    const bool is_stream = request.Line().find("/cut/") != std::string::npos;
    const std::string pause = request.Field("X-Test-Pause-Ms");
    Script script;
    script.bytes = absl::StrCat(
        "HTTP/1.1 200 OK\r\nX-Dragonflyglade-Attempt-Id: ",
        request.Field("X-Dragonflyglade-Attempt-Id"), "\r\n", kSigned,
        is_stream ? "Content-Type: text/event-stream\r\n" : "",
        "Connection: close\r\n\r\nid: 1\ndata: a\n\n");
    script.extra = "id: 2\ndata: b\n\n";
    script.extra_pause =
        absl::Milliseconds(pause.empty() ? 0 : std::stoi(pause));
    script.reset = true;
    return script;
  }

  std::atomic<bool> cuts = false;
};

// @param step between the lengths
std::vector<CutResponse> CutResponses(const std::string& id, std::size_t step) {
  std::vector<CutResponse> cuts;
  for (const ResponseForm& form : kForms) {
    for (const End end : {End::kClose, End::kReset}) {
      for (std::size_t at = 0; at < CutLength(form, id); at += step) {
        cuts.push_back({&form, at, end});
      }
    }
  }
  return cuts;
}

class CutResponsesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutResponsesTest);
  CPPUNIT_TEST(ReachNoCallerAsWhole);
  CPPUNIT_TEST(ReachNoCallerAsWholeOverATunnel);
  CPPUNIT_TEST(AreNoResultOfACall);
  CPPUNIT_TEST(ResetDuringAnUploadReachNoCallerAsWhole);
  CPPUNIT_TEST(ResetDuringAnUploadReachNoCallerAsWholeOverATunnel);
  CPPUNIT_TEST(ResetDuringAnUploadAreNoResultOfACall);
  CPPUNIT_TEST(AreWholeIfClosedDuringAnUpload);
  CPPUNIT_TEST(AreNotVouchedForByTheInstanceThatForwards);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a success with an empty or short body that looks whole.
  void ReachNoCallerAsWhole() {
    CuttingTarget target;
    GatewayHarness harness(
        [&](const RawRequest& request) { return target.Answer(request); });
    CheckCuts(harness, target, 1);
  }

  // Guards against the same at an instance without paths of its own.
  void ReachNoCallerAsWholeOverATunnel() {
    constexpr std::size_t kStep = 5;
    CuttingTarget target;
    TwoInstances pair(
        [&](const RawRequest& request) { return target.Answer(request); });
    pair.Isolate();
    CheckCuts(pair.harness, target, kStep);
  }

  // Guards against a cut response of an engine or service that counts as whole.
  void AreNoResultOfACall() {
    CuttingTarget target;
    PlatformTargetStandIn stand_in(
        [&](const RawRequest& request) { return target.Answer(request); });
    const Endpoint endpoint = ParseEndpoint(stand_in.Address()).Value();
    const auto run = [&](const CutResponse& cut) {
      target.Send(cut);
      HttpCall call(endpoint, HttpOptions(), "service");
      return call.Run(HttpRequest()).Ok();
    };
    for (const CutResponse& cut : CutResponses("", 1)) {
      CPPUNIT_ASSERT_MESSAGE(cut.Name(), !run(cut));
    }
    for (const ResponseForm& form : kForms) {
      CPPUNIT_ASSERT_MESSAGE(form.name, run({&form}));
    }
  }

  // Guards against a part of an answer that looks whole, since the write of the
  // request took the error of the reset.
  void ResetDuringAnUploadReachNoCallerAsWhole() {
    UploadTarget target;
    GatewayHarness harness(
        [&](const RawRequest& request) { return target.Answer(request); });
    target.Cut();
    harness.first.AnswerAtHeads();
    for (const Upload& upload : kUploads) {
      CheckUpload(harness, upload);
    }
  }

  // Guards against the same where another instance's write took the error.
  void ResetDuringAnUploadReachNoCallerAsWholeOverATunnel() {
    UploadTarget target;
    TwoInstances pair(
        [&](const RawRequest& request) { return target.Answer(request); });
    pair.Isolate();
    target.Cut();
    pair.target_one.AnswerAtHeads();
    pair.target_two.AnswerAtHeads();
    for (const Upload& upload : kUploads) {
      CheckUpload(pair.harness, upload);
    }
  }

  // Guards against the same of an engine or service.
  void ResetDuringAnUploadAreNoResultOfACall() {
    UploadTarget target;
    target.Cut();
    PlatformTargetStandIn stand_in(
        [&](const RawRequest& request) { return target.Answer(request); });
    stand_in.AnswerAtHeads();
    const Endpoint endpoint = ParseEndpoint(stand_in.Address()).Value();
    for (int i = 0; i < kUploadRepeats; ++i) {
      HttpRequest request;
      request.method = "POST";
      request.body = std::string(kLongUpload, 'u');
      HttpCall call(endpoint, HttpOptions(), "service");
      CPPUNIT_ASSERT(!call.Run(request).Ok());
    }
  }

  // Guards against the refusal of answers that are whole: a target that does
  // not need the rest of the request closes its side in order.
  void AreWholeIfClosedDuringAnUpload() {
    GatewayHarness harness([](const RawRequest& request) {
      Script script;
      script.bytes = absl::StrCat(
          HeadOf(kForms[4], request.Field("X-Dragonflyglade-Attempt-Id")),
          "done");
      script.half_close = true;
      return request.IsInspection() ? SuccessfulResponse(request) : script;
    });
    harness.first.AnswerAtHeads();
    const Reply reply =
        harness.Send(UploadText(harness, {"/once/", kLongUpload, {}}));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.text, 200, reply.status);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), reply.Body());
  }

  // Guards against an instance that forwards and says of a connection which was
  // reset during an upload that the target closed it.
  void AreNotVouchedForByTheInstanceThatForwards() {
    UploadTarget target;
    TwoInstances pair(
        [&](const RawRequest& request) { return target.Answer(request); });
    target.Cut();
    pair.target_one.AnswerAtHeads();
    const Endpoint peer = pair.second->Settings().peers;
    for (int i = 0; i < kUploadRepeats; ++i) {
      const std::string id = absl::StrCat("tunnel-", i);
      const Reply cut = pair.harness.SendTo(
          peer,
          absl::StrCat("CONNECT i-1 HTTP/1.1\r\nHost: i-1\r\n",
                       gateway::kTunnelIdField, ": ", id, "\r\n",
                       gateway::kTunnelInstanceField, ": one\r\n\r\n"),
          UploadText(pair.harness, {"/once/", kLongUpload, {}}));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(cut.text, 200, cut.status);
      const Reply end = pair.harness.Ask(peer, gateway::TunnelEndPath(id));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(cut.text, 404, end.status);
    }
  }

 private:
  /// An upload whose target resets the connection after part of its answer.
  struct Upload {
    const char* path;
    std::size_t bytes;
    absl::Duration reset_after;
  };

  static constexpr std::size_t kLongUpload = 3'000'000;
  static constexpr int kUploadRepeats = 5;
  static inline const std::vector<Upload> kUploads = [] {
    std::vector<Upload> uploads;
    for (const char* path : {"/once/", "/any/", "/cut/"}) {
      for (const std::size_t bytes : {std::size_t{0}, kLongUpload}) {
        for (const int pause_ms : {0, 30}) {
          uploads.push_back({path, bytes, absl::Milliseconds(pause_ms)});
        }
      }
    }
    return uploads;
  }();

  static std::string UploadText(GatewayHarness& harness, const Upload& upload) {
    return harness.Text(
               "POST", upload.path, "k1",
               absl::StrCat(
                   "Content-Length: ", upload.bytes, "\r\nX-Test-Pause-Ms: ",
                   absl::ToInt64Milliseconds(upload.reset_after), "\r\n")) +
           std::string(upload.bytes, 'u');
  }

  static void CheckUpload(GatewayHarness& harness, const Upload& upload) {
    for (int i = 0; i < kUploadRepeats; ++i) {
      const Reply reply = harness.Send(UploadText(harness, upload));
      CPPUNIT_ASSERT_MESSAGE(
          absl::StrCat(upload.path, ", ", upload.bytes, " bytes, reset after ",
                       absl::FormatDuration(upload.reset_after), ": ",
                       reply.text),
          reply.status != 200 || !reply.ended_whole);
    }
  }

  static void CheckCuts(GatewayHarness& harness, CuttingTarget& target,
                        std::size_t step) {
    for (const CutResponse& cut : CutResponses(kLongestId, step)) {
      target.Send(cut);
      const Reply reply = harness.Call("POST", cut.form->path);
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(cut.Name(), reply.text),
                             reply.status != 200 || !reply.ended_whole);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CutResponsesTest,
                                      "platform-cut-responses");

}  // namespace
}  // namespace dragonflyglade
