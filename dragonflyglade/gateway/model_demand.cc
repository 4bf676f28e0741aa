#include "dragonflyglade/gateway/model_demand.h"

namespace dragonflyglade::gateway {

void ModelDemand::Asked(const std::string& name, double tokens) {
  DemandCount& count = this->counts[name];
  count.requests += 1;
  count.tokens += tokens;
}

void ModelDemand::BeginWait(const std::string& name) {
  DemandCount& count = this->counts[name];
  count.waiting += 1;
  if (count.waiting == 1 && this->wake) this->wake();
}

void ModelDemand::EndWait(const std::string& name) {
  this->counts[name].waiting -= 1;
}

ModelDemand::Counts ModelDemand::Take() {
  Counts taken = this->counts;
  for (auto item = this->counts.begin(); item != this->counts.end();) {
    item->second.requests = 0;
    item->second.tokens = 0;
    if (item->second.waiting <= 0) {
      item = this->counts.erase(item);
    } else {
      ++item;
    }
  }
  return taken;
}

}  // namespace dragonflyglade::gateway
