#include "tests/platform/restarted_instance.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"

namespace dragonflyglade {

using nlohmann::json;

RestartedInstance::RestartedInstance(PlatformTargetStandIn::Answer answer)
    : harness(std::move(answer)), store_path(this->store.Address().ToString()) {
  this->store.Put("op/config", this->harness.Config(1, "plain").dump());
}

RestartedInstance::~RestartedInstance() {
  if (this->instance == nullptr) return;
  this->instance->Context().stop();
  this->thread.join();
}

std::string RestartedInstance::PutTarget(const std::string& version) {
  json target = json::parse(this->harness.store.Get("servers/i-1"));
  target["version"] = version;
  const std::string key = absl::StrCat("servers/i-", ++this->targets);
  this->store.Put(key, target.dump());
  return key;
}

void RestartedInstance::Start() {
  gateway::GatewaySettings settings = this->harness.Settings("restarted");
  settings.store = ParseEndpoint(this->store_path.Address()).Value();
  settings.first_start = false;
  this->instance = std::make_unique<gateway::Gateway>(
      settings, [settings] { return settings; }, platform::MakeWireFormat());
  this->thread = std::thread([this] { this->instance->Run(); });
}

void RestartedInstance::AwaitTargets(std::size_t count) {
  this->harness.WaitFor([&] {
    absl::Notification done;
    std::size_t known = 0;
    boost::asio::post(this->instance->Context(), [&] {
      known = this->instance->Fleet().Targets("s").size();
      done.Notify();
    });
    done.WaitForNotification();
    return known == count;
  });
}

GatewayHarness::Reply RestartedInstance::Call(const std::string& method,
                                              const std::string& path,
                                              const std::string& key,
                                              const std::string& more) {
  return this->harness.SendTo(this->instance->Settings().callers,
                              this->harness.Text(method, path, key, more));
}

}  // namespace dragonflyglade
