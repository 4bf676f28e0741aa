#include "tests/platform/crashing_fleet.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "platform/wire.h"

namespace dragonflyglade {

using nlohmann::json;

namespace {

constexpr int kTargets = 8;

}  // namespace

RunningInstance::RunningInstance(const GatewayHarness& harness,
                                 const std::string& name)
    : gateway(
          harness.Settings(name),
          [&harness, name] { return harness.Settings(name); },
          platform::MakeWireFormat()),
      thread([this] { this->gateway.Run(); }) {}

RunningInstance::~RunningInstance() {
  this->gateway.Context().stop();
  this->thread.join();
}

CrashingFleet::CrashingFleet(PlatformTargetStandIn::Answer answer)
    : answer(std::move(answer)),
      second(std::make_unique<RunningInstance>(this->harness, "two")) {
  this->harness.store.Delete("servers/i-1");
  this->ReplaceCrashed();
}

void CrashingFleet::ReplaceCrashed() {
  for (const auto& target : this->targets) {
    if (target->stand_in.HasCrashed()) this->Remove(*target);
  }
  while (this->Serving() < kTargets) this->Add();
  this->harness.WaitFor([this] {
    return this->Knows(this->GatewayOf(0)) && this->Knows(this->GatewayOf(1));
  });
}

GatewayHarness::Reply CrashingFleet::Send(int instance,
                                          const std::string& text) {
  return this->harness.SendTo(this->GatewayOf(instance).Settings().callers,
                              text);
}

GatewayHarness::Reply CrashingFleet::CallModel(int instance,
                                               const std::string& parts) {
  return this->Send(
      instance,
      this->harness.Text("POST", "/once/", "k1",
                         absl::StrCat("X-Dragonflyglade-Model: m\r\n"
                                      "X-Dragonflyglade-Token-Usage: 100,10\r\n"
                                      "X-Dragonflyglade-Prompt-Prefix: ",
                                      parts, "\r\n")));
}

std::size_t CrashingFleet::Requests() const {
  std::size_t requests = 0;
  for (const auto& target : this->targets) {
    requests += target->stand_in.Requests().size();
  }
  return requests;
}

int CrashingFleet::Crashes() const {
  int crashes = 0;
  for (const auto& target : this->targets) {
    crashes += target->stand_in.HasCrashed() ? 1 : 0;
  }
  return crashes;
}

void CrashingFleet::Restart(const std::string& id) {
  const std::string key = "servers/" + id;
  json record = json::parse(this->harness.store.Get(key));
  record["born"] = record.at("born").get<int>() + 1;
  this->harness.store.Put(key, record.dump());
}

void CrashingFleet::ReplaceSecond(const std::string& name) {
  this->second.reset();
  this->second = std::make_unique<RunningInstance>(this->harness, name);
}

gateway::Gateway& CrashingFleet::GatewayOf(int instance) {
  return instance == 0 ? *this->harness.gateway : this->second->gateway;
}

void CrashingFleet::Add() {
  const std::string id = absl::StrCat("t-", this->targets.size());
  this->targets.push_back(std::make_unique<Target>(id, this->answer));
  this->harness.PutTarget(
      id, this->targets.back()->stand_in, "ready",
      {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
}

void CrashingFleet::Remove(Target& target) {
  if (target.serves) this->harness.store.Delete("servers/" + target.id);
  target.serves = false;
}

int CrashingFleet::Serving() const {
  int serving = 0;
  for (const auto& target : this->targets) serving += target->serves ? 1 : 0;
  return serving;
}

bool CrashingFleet::Knows(gateway::Gateway& instance) {
  bool knows = false;
  absl::Notification done;
  boost::asio::post(instance.Context(), [&] {
    const auto known = instance.Fleet().Targets("s");
    knows = known.size() == kTargets;
    for (const auto& target : this->targets) {
      const auto found = instance.Fleet().Target(target->id);
      knows = knows && (found != nullptr) == target->serves;
    }
    done.Notify();
  });
  done.WaitForNotification();
  return knows;
}

}  // namespace dragonflyglade
