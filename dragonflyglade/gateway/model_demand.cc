#include "dragonflyglade/gateway/model_demand.h"

namespace dragonflyglade::gateway {

void ModelDemand::AddRequest(const ModelName& name, double work_ms) {
  DemandCount& count = this->counts[name];
  count.requests += 1;
  count.work_ms += work_ms;
}

void ModelDemand::BeginWait(const ModelName& name) {
  DemandCount& count = this->counts[name];
  count.waiting += 1;
  if (count.waiting == 1 && this->on_first_wait) this->on_first_wait();
}

void ModelDemand::EndWait(const ModelName& name) {
  this->counts[name].waiting -= 1;
}

ModelDemand::Counts ModelDemand::DrainCounts() {
  Counts taken = this->counts;
  for (auto item = this->counts.begin(); item != this->counts.end();) {
    item->second.requests = 0;
    item->second.work_ms = 0;
    if (item->second.waiting <= 0) {
      item = this->counts.erase(item);
    } else {
      ++item;
    }
  }
  return taken;
}

}  // namespace dragonflyglade::gateway
