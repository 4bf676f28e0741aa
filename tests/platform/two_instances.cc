#include "tests/platform/two_instances.h"

#include <boost/asio/post.hpp>
#include <future>
#include <nlohmann/json.hpp>

namespace dragonflyglade {

using nlohmann::json;

TwoInstances::TwoInstances(PlatformTargetStandIn::Answer answer)
    : TwoInstances(answer, answer) {}

TwoInstances::TwoInstances(PlatformTargetStandIn::Answer one,
                           PlatformTargetStandIn::Answer two)
    : target_one(std::move(one)),
      target_two(std::move(two)),
      first_paths(this->MakePaths()),
      second_paths(this->MakePaths()),
      harness(this->MakeOptions()),
      second(std::make_unique<gateway::Gateway>(
          this->harness.Settings("two"),
          [this] { return this->harness.Settings("two"); },
          this->WireOver(this->second_paths))),
      thread([this] { this->ran = this->second->Run(); }) {
  for (const auto& [id, target] : this->Targets()) {
    this->harness.PutTarget(
        id, *target, "ready",
        {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
  }
  this->harness.WaitFor([this] {
    return this->harness.Read<bool>([this] {
      const gateway::FleetState& fleet = this->harness.gateway->Fleet();
      return fleet.ListedInstances().size() == 2 &&
             fleet.Targets("s").size() == 2;
    });
  });
  this->harness.WaitFor([this] { return this->CallSecond().status == 200; });
}

TwoInstances::~TwoInstances() {
  if (this->second != nullptr) this->StopSecond();
}

void TwoInstances::Set(const Paths& paths, PathState state) {
  for (const auto& path : paths) path->Set(state);
}

void TwoInstances::Isolate() {
  Set(this->first_paths, PathState::kRefusesNew);
  Set(this->first_paths, PathState::kResets);
  this->harness.WaitFor([this] {
    this->Call("");
    return this->harness
               .Ask(this->harness.gateway->Settings().metrics, "/metrics")
               .text.find("isolated_from_targets 1") != std::string::npos;
  });
}

void TwoInstances::EndSecondLoop() {
  this->second->Context().stop();
  this->thread.join();
}

void TwoInstances::StopSecond() {
  this->EndSecondLoop();
  this->second.reset();
}

GatewayHarness::Reply TwoInstances::CallSecond(const std::string& path) {
  return this->harness.SendTo(this->second->Settings().callers,
                              this->harness.Text("GET", path));
}

GatewayHarness::Reply TwoInstances::Call(const std::string& model) {
  return model.empty() ? this->harness.Call("GET", "/any/")
                       : this->harness.CallModel(model);
}

std::vector<std::pair<std::string, PlatformTargetStandIn*>>
TwoInstances::Targets() {
  return {{"i-1", &this->target_one}, {"i-2", &this->target_two}};
}

bool TwoInstances::SecondLeads() {
  std::promise<bool> leads;
  boost::asio::post(this->second->Context(),
                    [&] { leads.set_value(this->second->HoldsLeaderLease()); });
  return leads.get_future().get();
}

std::size_t TwoInstances::RequestCount() const {
  return this->target_one.Requests().size() +
         this->target_two.Requests().size();
}

TwoInstances::Paths TwoInstances::MakePaths() const {
  Paths paths;
  paths.push_back(std::make_unique<PathStandIn>(this->target_one.Address()));
  paths.push_back(std::make_unique<PathStandIn>(this->target_two.Address()));
  return paths;
}

// An instance knows the targets by the addresses of its paths.
gateway::WireFormat TwoInstances::WireOver(const Paths& paths) {
  gateway::WireFormat wire = platform::MakeWireFormat();
  wire.decode_target = [this, &paths, decode = wire.decode_target](
                           std::string_view key, std::string_view value) {
    auto record = decode(key, value);
    if (!record.Ok()) return record;
    std::string& address = record.Value().address;
    if (address == this->target_one.Address()) {
      address = paths[0]->Address();
    } else if (address == this->target_two.Address()) {
      address = paths[1]->Address();
    }
    return record;
  };
  return wire;
}

GatewayHarness::Options TwoInstances::MakeOptions() {
  GatewayHarness::Options options;
  options.wire = this->WireOver(this->first_paths);
  return options;
}

}  // namespace dragonflyglade
