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
  const auto record_request = [this](const Request& request,
                                     Response& response) {
    absl::MutexLock lock(&this->mutex);
    this->received_text += request.target + "\n";
    for (const auto& [name, value] : request.headers) {
      this->received_text += name + ": " + value + "\n";
    }
    this->received_text += request.body + "\n";
    response.set_header("X-Request-Id",
                        this->echoed_id.empty()
                            ? request.get_header_value("X-Request-Id")
                            : this->echoed_id);
  };
  http.Get(R"(/balance/(.+))", [record_request](const Request& request,
                                                Response& response) {
    record_request(request, response);
    response.set_content(
        json({{"name", request.matches[1].str()}, {"balance", 1200}}).dump(),
        kJson);
  });
  http.Post("/payouts",
            [this, record_request](const Request& request, Response& response) {
              record_request(request, response);
              const std::string payout = json::parse(request.body).at("payout");
              absl::Duration wait;
              int run = 0;
              bool drop_response = false;
              {
                absl::MutexLock lock(&this->mutex);
                run = ++this->runs[payout];
                wait = this->delay;
                drop_response = this->responses_to_drop > 0;
                if (drop_response) --this->responses_to_drop;
              }
              absl::SleepFor(wait);
              if (drop_response) return DropResponse(response);
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
  this->responses_to_drop = count;
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

std::string LedgerStandIn::ReceivedRequests() const {
  absl::MutexLock lock(&this->mutex);
  return this->received_text;
}

}  // namespace dragonflyglade
