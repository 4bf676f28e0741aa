#include "tests/standins/ledger_stand_in.h"

#include <httplib.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/time/clock.h"
#include "tests/standins/drop_response.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr int kThreads = 64;
constexpr const char* kJson = "application/json";

}  // namespace

LedgerStandIn::LedgerStandIn() : server(Endpoint{"127.0.0.1", 0}, kThreads) {
  httplib::Server& http = this->server.HttplibServer();
  using httplib::Request;
  using httplib::Response;
  const auto note = [this](const Request& request, Response& response) {
    absl::MutexLock lock(&this->mutex);
    this->received += request.target + "\n";
    for (const auto& [name, value] : request.headers) {
      this->received += name + ": " + value + "\n";
    }
    this->received += request.body + "\n";
    response.set_header("X-Request-Id",
                        this->echoed_id.empty()
                            ? request.get_header_value("X-Request-Id")
                            : this->echoed_id);
  };
  http.Get(R"(/balance/(.+))", [note](const Request& request,
                                      Response& response) {
    note(request, response);
    response.set_content(
        json({{"name", request.matches[1].str()}, {"balance", 1200}}).dump(),
        kJson);
  });
  http.Post("/payouts",
            [this, note](const Request& request, Response& response) {
              note(request, response);
              const std::string payout = json::parse(request.body).at("payout");
              absl::Duration wait;
              int run = 0;
              bool lost = false;
              {
                absl::MutexLock lock(&this->mutex);
                run = ++this->runs[payout];
                wait = this->delay;
                lost = this->lose_answers > 0;
                if (lost) --this->lose_answers;
              }
              absl::SleepFor(wait);
              if (lost) return DropResponse(response);
              response.status = 201;
              response.set_content(
                  json({{"payout", payout}, {"run", run}}).dump(), kJson);
            });
}

LedgerStandIn::~LedgerStandIn() { this->server.Stop(); }

Endpoint LedgerStandIn::Start() {
  return Endpoint{"127.0.0.1", this->server.Start("listen").Value()};
}

void LedgerStandIn::DropResponses(int count) {
  absl::MutexLock lock(&this->mutex);
  this->lose_answers = count;
}

void LedgerStandIn::SetDelay(absl::Duration delay) {
  absl::MutexLock lock(&this->mutex);
  this->delay = delay;
}

void LedgerStandIn::SetEchoedId(const std::string& id) {
  absl::MutexLock lock(&this->mutex);
  this->echoed_id = id;
}

int LedgerStandIn::Runs(const std::string& payout) const {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->runs.find(payout);
  return found == this->runs.end() ? 0 : found->second;
}

std::map<std::string, int> LedgerStandIn::AllRuns() const {
  absl::MutexLock lock(&this->mutex);
  return this->runs;
}

std::string LedgerStandIn::Received() const {
  absl::MutexLock lock(&this->mutex);
  return this->received;
}

}  // namespace dragonflyglade
