#include "tests/platform/copying_targets.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

std::string Chunk(const std::string& data) {
  return absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n");
}

bool IsStream(const RawRequest& request) {
  return absl::StrContains(request.Line(), "/cut/") ||
         absl::StrContains(request.Line(), "/resumed/");
}

std::string IdOf(const RawRequest& request) {
  return request.Field("X-Dragonflyglade-Attempt-Id");
}

}  // namespace

void CopyingTargets::Register(const std::string& id,
                              const std::string& address) {
  absl::MutexLock lock(&this->mutex);
  this->addresses[id] = address;
}

// Requests without a model are those of the harness itself.
PlatformTargetStandIn::Script CopyingTargets::Answer(
    const RawRequest& request) {
  if (request.Field("X-Dragonflyglade-Model").empty()) {
    return SuccessfulResponse(request);
  }
  const std::string target = request.Field("X-Dragonflyglade-Target-Instance");
  const std::string handle = request.Field("Kv-From");
  const std::string backup = request.Field("X-Dragonflyglade-Kv-Backup");
  absl::MutexLock lock(&this->mutex);
  this->backups.push_back(backup);
  if (handle.empty()) {
    const int run = ++this->runs;
    if (!backup.empty() && this->plan.keeps_copies) {
      this->copies[absl::StrCat(backup, "/", IdOf(request))] = {run};
    }
    return this->Run(request, run, false);
  }
  const auto copy = this->copies.find(handle);
  const std::string own = absl::StrCat(this->addresses[target], "/");
  if (copy == this->copies.end() || copy->second.used || this->used_up ||
      !absl::StartsWith(handle, own)) {
    this->refused_handles += 1;
    return this->Refuse(request);
  }
  copy->second.used = true;
  return this->Run(request, copy->second.run, true);
}

PlatformTargetStandIn::Script CopyingTargets::Refuse(
    const RawRequest& request) const {
  switch (this->plan.refusal) {
    case Refusal::kNotExecuted:
      return {ResponseBytes(request, "503 Service Unavailable", "no copy",
                            "X-Dragonflyglade-Not-Executed: 1\r\n")};
    case Refusal::kUnavailable:
      return {ResponseBytes(request, "503 Service Unavailable", "no copy")};
    case Refusal::kNotFound:
      return {ResponseBytes(request, "404 Not Found", "no copy", kSigned)};
    case Refusal::kConflict:
      return {ResponseBytes(request, "409 Conflict", "no copy", kSigned)};
    case Refusal::kNoAnswer:
      return {"", true};
    case Refusal::kOtherStream: {
      RawRequest anew = request;
      anew.head = absl::StrCat(
          request.Line(), "\r\nX-Dragonflyglade-Attempt-Id: ", IdOf(request),
          "\r\n\r\n");
      return {this->Output(anew, 0, true)};
    }
  }
  return {};
}

PlatformTargetStandIn::Script CopyingTargets::Run(const RawRequest& request,
                                                  int run, bool continued) {
  const std::size_t send = this->sends[IdOf(request)]++;
  const Loss loss =
      send < this->plan.losses.size() ? this->plan.losses[send] : Loss::kNone;
  const std::size_t index = this->works.size();
  this->works.push_back({run, request.Field("X-Dragonflyglade-Target-Instance"),
                         continued, absl::Now(), std::nullopt});
  Script script{this->Output(request, run, loss == Loss::kNone)};
  script.close = loss == Loss::kClose;
  script.reset = loss == Loss::kReset;
  script.hang = loss == Loss::kSilence;
  script.crash = loss == Loss::kCrash;
  script.ended = [this, index] {
    absl::MutexLock lock(&this->mutex);
    this->works[index].end = absl::Now();
  };
  return script;
}

std::string CopyingTargets::Output(const RawRequest& request, int run,
                                   bool all) const {
  if (!IsStream(request)) {
    return all ? ResponseBytes(request, "200 OK", absl::StrCat("run ", run),
                               kSigned)
               : "";
  }
  if (!all && this->plan.events == 0) return "";
  std::string bytes = absl::StrCat(
      "HTTP/1.1 200 OK\r\n", kSigned, "Content-Type: text/event-stream\r\n",
      "X-Dragonflyglade-Attempt-Id: ", IdOf(request),
      "\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string after = request.Field("Last-Event-Id");
  const int first = after.empty() ? 1 : std::stoi(after) + 1;
  for (int id = first; id <= kLastEvent; ++id) {
    const std::string event =
        absl::StrCat("id: ", id, "\ndata: run ", run, "\n\n");
    if (!all && id - first == this->plan.events) {
      // Part of an event, which must not reach the caller.
      return bytes + Chunk(event.substr(0, event.size() / 2));
    }
    bytes += Chunk(event);
  }
  return bytes + "0\r\n\r\n";
}

void CopyingTargets::UseUpHandles() {
  absl::MutexLock lock(&this->mutex);
  this->used_up = true;
}

std::vector<CopyingTargets::Work> CopyingTargets::Works() const {
  absl::MutexLock lock(&this->mutex);
  return this->works;
}

std::vector<std::string> CopyingTargets::Backups() const {
  absl::MutexLock lock(&this->mutex);
  return this->backups;
}

int CopyingTargets::RefusedHandles() const {
  absl::MutexLock lock(&this->mutex);
  return this->refused_handles;
}

}  // namespace dragonflyglade
