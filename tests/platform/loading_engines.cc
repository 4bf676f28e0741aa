#include "tests/platform/loading_engines.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace dragonflyglade {

using nlohmann::json;
using Script = PlatformTargetStandIn::Script;

LoadingEngines::LoadingEngines(const std::vector<std::string>& disks,
                               Treat treat)
    : treat(std::move(treat)) {
  for (const std::string& disk : disks) {
    this->engines.push_back(std::make_unique<Engine>());
    Engine* engine = this->engines.back().get();
    engine->on_disk = disk;
    engine->stand_in = std::make_unique<PlatformTargetStandIn>(
        [this, engine](const RawRequest& request) {
          return this->Answer(*engine, request);
        });
  }
}

std::string LoadingEngines::Id(int engine) const {
  return absl::StrCat("i-engine-", engine);
}

json LoadingEngines::Entry(int engine) const {
  absl::MutexLock lock(&this->mutex);
  json entry = this->Holdings(*this->engines[engine]);
  entry.update({{"service", "s"},
                {"address", this->engines[engine]->stand_in->Address()},
                {"zone", "z"},
                {"slots", 4},
                {"state", "ready"},
                {"born", 1}});
  return entry;
}

void LoadingEngines::CarryOutLateOrders() {
  absl::MutexLock lock(&this->mutex);
  this->answers_all = true;
  for (const auto& engine : this->engines) {
    for (const json& order : engine->late_orders) {
      this->CarryOut(*engine, order);
    }
    engine->late_orders.clear();
  }
}

int LoadingEngines::LoadsFromStore() const {
  absl::MutexLock lock(&this->mutex);
  return static_cast<int>(this->begun.size());
}

int LoadingEngines::MostLoadsFromStoreIn(absl::Duration span) const {
  absl::MutexLock lock(&this->mutex);
  int most = 0;
  for (const absl::Time first : this->begun) {
    const auto in_span = std::count_if(
        this->begun.begin(), this->begun.end(),
        [&](absl::Time at) { return at >= first && at - first <= span; });
    most = std::max(most, static_cast<int>(in_span));
  }
  return most;
}

Script LoadingEngines::Answer(Engine& engine, const RawRequest& request) {
  if (absl::StrContains(request.Line(), "/-/order")) {
    return this->AnswerOrder(engine, request);
  }
  if (!absl::StrContains(request.Line(), "/-/report")) {
    return SuccessfulResponse(request);
  }
  absl::MutexLock lock(&this->mutex);
  if (!engine.late_orders.empty()) return {"", false, true};
  json report = this->Holdings(engine);
  report.update({{"sequence", engine.orders_taken}, {"busy", false}});
  return {ResponseBytes(request, "200 OK", report.dump())};
}

Script LoadingEngines::AnswerOrder(Engine& engine, const RawRequest& request) {
  const json order = json::parse(request.body);
  Treatment treatment;
  {
    absl::MutexLock lock(&this->mutex);
    if (!this->answers_all) treatment = this->treat(this->received++);
    if (!treatment.answered) {
      engine.late_orders.push_back(order);
      return {"", false, true};
    }
  }
  absl::SleepFor(treatment.pause);
  absl::MutexLock lock(&this->mutex);
  return {ResponseBytes(
      request, this->CarryOut(engine, order) ? "202 Accepted" : "409 Conflict",
      "")};
}

bool LoadingEngines::CarryOut(Engine& engine, const json& order) {
  if (order.at("expected") != engine.orders_taken) return false;
  engine.orders_taken += 1;
  const std::string model = order.at("model");
  if (order.at("operation") != "load") {
    engine.models.erase(model);
    return true;
  }
  engine.models.insert(model);
  if (engine.on_disk != model) this->begun.push_back(absl::Now());
  engine.on_disk = model;
  return true;
}

json LoadingEngines::Holdings(const Engine& engine) const {
  json models = json::array();
  for (const std::string& model : engine.models) {
    models.push_back({{"name", model}});
  }
  json on_disk = json::array();
  if (!engine.on_disk.empty()) on_disk.push_back(engine.on_disk);
  return {{"models", models},
          {"available", {{"in_memory", json::array()}, {"on_disk", on_disk}}}};
}

}  // namespace dragonflyglade
