#include "dragonflyglade/decision/target_ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "dragonflyglade/decision/json_text.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr const char* kStep = "change ledger";

LedgerCopy* FindMutableCopy(TargetLedger& ledger, std::string_view name) {
  for (LedgerCopy& copy : ledger.copies) {
    if (copy.name == name) return &copy;
  }
  return nullptr;
}

void RemoveCopy(TargetLedger& ledger, std::string_view name) {
  ledger.copies.erase(std::remove_if(ledger.copies.begin(), ledger.copies.end(),
                                     [name](const LedgerCopy& copy) {
                                       return copy.name == name;
                                     }),
                      ledger.copies.end());
}

Failure OrderRefused(const TargetLedger& ledger, std::string_view why) {
  return MakeFailure(Errc::kRefused, kStep, ledger.target, why);
}

// Failure: a planner is paused, loses its lease, resumes, and issues orders
// that it planned from outdated state. By then the ledger has the higher
// fencing token of a newer planner.
Status CheckFencingToken(TargetLedger& ledger, std::int64_t fence_token) {
  if (fence_token < ledger.fence_token) {
    return MakeFailure(
        Errc::kNotHeld, kStep, ledger.target,
        "a planner with a higher fencing token wrote the ledger");
  }
  ledger.fence_token = fence_token;
  return Done{};
}

// Unique for a target as long as its ledger exists.
std::string NextOrderId(TargetLedger& ledger) {
  ++ledger.orders;
  return fmt::format("{}-{}", ledger.target, ledger.orders);
}

// Applies a restart of the target, which has emptied its memory. A load order
// whose outcome is unknown may still have reached the new process, if the
// restart came first. Its bytes stay reserved until it is confirmed or the
// target restarts once more.
void ApplyRestart(TargetLedger& ledger, std::string_view boot_id) {
  if (boot_id.empty() || ledger.boot_id == boot_id) return;
  const bool is_first = ledger.boot_id.empty();
  ledger.boot_id = std::string(boot_id);
  if (is_first) return;
  std::vector<LedgerCopy> kept_copies;
  for (LedgerCopy& copy : ledger.copies) {
    if (copy.open_loads.empty()) continue;
    // Load orders from before the previous restart cannot have reached the
    // current process.
    const bool predates_previous_restart = copy.loads_predate_restart;
    copy.loads_predate_restart = true;
    if (predates_previous_restart) continue;
    if (copy.state != CopyState::kLoading) copy.state = CopyState::kUncertain;
    kept_copies.push_back(copy);
  }
  ledger.copies = std::move(kept_copies);
}

// Removes an order from the open loads. Returns false if it was not open.
bool CloseLoad(LedgerCopy& copy, const std::string& order_id) {
  const auto found =
      std::find(copy.open_loads.begin(), copy.open_loads.end(), order_id);
  if (found == copy.open_loads.end()) return false;
  copy.open_loads.erase(found);
  return true;
}

// A fenced target that responded to an order refuses all later orders with a
// lower fencing token, so open load orders with a lower token have no effect
// any more.
void DropFencedLoads(TargetLedger& ledger, std::int64_t fence_token,
                     bool fenced) {
  if (!fenced) return;
  for (LedgerCopy& copy : ledger.copies) {
    if (copy.load_fence_token >= fence_token) continue;
    copy.open_loads.clear();
  }
  ledger.copies.erase(std::remove_if(ledger.copies.begin(), ledger.copies.end(),
                                     [](const LedgerCopy& copy) {
                                       return copy.state ==
                                                  CopyState::kUncertain &&
                                              copy.open_loads.empty();
                                     }),
                      ledger.copies.end());
}

const char* NameOf(CopyState state) {
  switch (state) {
    case CopyState::kLoading:
      return "loading";
    case CopyState::kLoaded:
      return "loaded";
    case CopyState::kUnloading:
      return "unloading";
    case CopyState::kUncertain:
      return "uncertain";
  }
  return "uncertain";
}

CopyState StateOf(const std::string& name) {
  for (const CopyState state :
       {CopyState::kLoading, CopyState::kLoaded, CopyState::kUnloading}) {
    if (name == NameOf(state)) return state;
  }
  return CopyState::kUncertain;
}

}  // namespace

std::int64_t ReservedBytes(const TargetLedger& ledger) {
  std::int64_t reserved = 0;
  for (const LedgerCopy& copy : ledger.copies) reserved += copy.bytes;
  return reserved;
}

const LedgerCopy* FindCopy(const TargetLedger& ledger, std::string_view name) {
  for (const LedgerCopy& copy : ledger.copies) {
    if (copy.name == name) return &copy;
  }
  return nullptr;
}

Status BeginLoad(TargetLedger& ledger, const CopySpec& spec,
                 std::int64_t fence_token) {
  if (FindCopy(ledger, spec.name) != nullptr) {
    return OrderRefused(ledger, spec.name + " is in the ledger already");
  }
  if (ReservedBytes(ledger) + spec.bytes > ledger.capacity) {
    return OrderRefused(ledger,
                        spec.name + " does not fit into the free memory");
  }
  const Status token_check = CheckFencingToken(ledger, fence_token);
  if (!token_check.Ok()) return token_check;
  LedgerCopy copy;
  copy.name = spec.name;
  copy.version = spec.version;
  copy.base = spec.base;
  copy.bytes = spec.bytes;
  copy.load_fence_token = fence_token;
  copy.order_id = NextOrderId(ledger);
  copy.open_loads.push_back(copy.order_id);
  ledger.copies.push_back(std::move(copy));
  return Done{};
}

Status RepeatLoad(TargetLedger& ledger, std::string_view name,
                  std::int64_t fence_token) {
  LedgerCopy* copy = FindMutableCopy(ledger, name);
  if (copy == nullptr) return OrderRefused(ledger, "no load to repeat");
  const Status token_check = CheckFencingToken(ledger, fence_token);
  if (!token_check.Ok()) return token_check;
  copy->state = CopyState::kLoading;
  copy->repeated = true;
  copy->loads_predate_restart = false;
  copy->load_fence_token = fence_token;
  copy->order_id = NextOrderId(ledger);
  copy->open_loads.push_back(copy->order_id);
  return Done{};
}

Status BeginUnload(TargetLedger& ledger, std::string_view name,
                   std::int64_t fence_token) {
  LedgerCopy* copy = FindMutableCopy(ledger, name);
  if (copy == nullptr) {
    return MakeFailure(Errc::kUnknownRecord, kStep, ledger.target, name);
  }
  const Status token_check = CheckFencingToken(ledger, fence_token);
  if (!token_check.Ok()) return token_check;
  copy->state = CopyState::kUnloading;
  copy->order_id = NextOrderId(ledger);
  return Done{};
}

Result<std::string> BeginRoleChange(TargetLedger& ledger,
                                    std::int64_t fence_token) {
  const Status token_check = CheckFencingToken(ledger, fence_token);
  if (!token_check.Ok()) return token_check.Error();
  return NextOrderId(ledger);
}

void FinishLoad(TargetLedger& ledger, const OrderOutcome& outcome,
                bool fenced) {
  ApplyRestart(ledger, outcome.boot_id);
  LedgerCopy* copy = FindMutableCopy(ledger, outcome.name);
  const bool is_open = copy != nullptr && CloseLoad(*copy, outcome.order_id);
  if (is_open && copy->state == CopyState::kLoading) {
    if (outcome.done) copy->state = CopyState::kLoaded;
    // A refused load without other open orders leaves no copy, unless an
    // earlier order has loaded it.
    const bool is_absent =
        !outcome.done && copy->open_loads.empty() && !copy->repeated;
    if (is_absent) RemoveCopy(ledger, outcome.name);
  }
  DropFencedLoads(ledger, outcome.fence_token, fenced);
}

// Failure: a load order is delayed, its model is unloaded meanwhile, the memory
// is reserved for another model, and then the delayed order arrives: the
// accelerator runs out of memory. So the memory is released only when the
// unload is confirmed and no load order of that model is open.
void FinishUnload(TargetLedger& ledger, const OrderOutcome& outcome,
                  bool fenced) {
  ApplyRestart(ledger, outcome.boot_id);
  LedgerCopy* copy = FindMutableCopy(ledger, outcome.name);
  const bool is_newest = copy != nullptr && copy->order_id == outcome.order_id;
  if (is_newest && outcome.done && copy->state == CopyState::kUnloading) {
    if (copy->open_loads.empty()) {
      RemoveCopy(ledger, outcome.name);
    } else {
      copy->state = CopyState::kUncertain;
    }
  }
  DropFencedLoads(ledger, outcome.fence_token, fenced);
}

// Failure: a report from before an unload still shows the model and is taken as
// the confirmation of the next load. That load order is closed although it has
// not yet arrived, and its memory may be released too early. So a report counts
// only if it was made after the newest order was recorded, and it confirms a
// load only if a single load order can have loaded the copy.
//
// Failure: a load order is executed twice, the second time after a report has
// confirmed the load and the model has been unloaded. Only a response closes an
// order; a report shows that it was executed, not that it will not be again.
void ApplyResidencyReport(TargetLedger& ledger, std::string_view boot_id,
                          const std::set<std::string>& resident,
                          bool made_after_newest_order) {
  if (!made_after_newest_order) return;
  ApplyRestart(ledger, boot_id);
  std::vector<LedgerCopy> kept_copies;
  for (LedgerCopy& copy : ledger.copies) {
    const bool is_resident = resident.count(copy.name) > 0;
    const bool is_confirmed = copy.state == CopyState::kLoading &&
                              is_resident && copy.open_loads.size() <= 1 &&
                              !copy.repeated;
    if (is_confirmed) copy.state = CopyState::kLoaded;
    const bool is_unloaded = copy.state == CopyState::kUnloading &&
                             !is_resident && copy.open_loads.empty();
    if (!is_unloaded) kept_copies.push_back(std::move(copy));
  }
  ledger.copies = std::move(kept_copies);
}

void AddUnorderedCopy(TargetLedger& ledger, const CopySpec& spec) {
  if (FindCopy(ledger, spec.name) != nullptr) return;
  LedgerCopy copy;
  copy.name = spec.name;
  copy.version = spec.version;
  copy.base = spec.base;
  copy.bytes = spec.bytes;
  copy.state = CopyState::kLoaded;
  ledger.copies.push_back(std::move(copy));
}

std::string EncodeLedger(const TargetLedger& ledger) {
  json copies = json::array();
  for (const LedgerCopy& copy : ledger.copies) {
    copies.push_back({{"name", copy.name},
                      {"version", copy.version},
                      {"base", copy.base},
                      {"bytes", copy.bytes},
                      {"state", NameOf(copy.state)},
                      {"open_loads", copy.open_loads},
                      {"repeated", copy.repeated},
                      {"survived_restart", copy.loads_predate_restart},
                      {"load_fence", copy.load_fence_token},
                      {"order_id", copy.order_id}});
  }
  const json document = {
      {"target", ledger.target},     {"capacity", ledger.capacity},
      {"fence", ledger.fence_token}, {"boot_id", ledger.boot_id},
      {"orders", ledger.orders},     {"copies", copies}};
  return document.dump();
}

Result<TargetLedger> DecodeLedger(std::string_view text) {
  const json document = ParseJsonOrDiscard(text);
  try {
    TargetLedger ledger;
    ledger.target = document.at("target");
    ledger.capacity = document.at("capacity");
    ledger.fence_token = document.at("fence");
    ledger.boot_id = document.at("boot_id");
    ledger.orders = document.at("orders");
    for (const json& item : document.at("copies")) {
      LedgerCopy copy;
      copy.name = item.at("name");
      copy.version = item.at("version");
      copy.base = item.at("base");
      copy.bytes = item.at("bytes");
      copy.state = StateOf(item.at("state"));
      copy.open_loads = item.at("open_loads").get<std::vector<std::string>>();
      copy.repeated = item.value("repeated", false);
      copy.loads_predate_restart = item.value("survived_restart", false);
      copy.load_fence_token = item.at("load_fence");
      copy.order_id = item.at("order_id");
      ledger.copies.push_back(std::move(copy));
    }
    return ledger;
  } catch (const json::exception& error) {
    return MakeFailure(Errc::kMalformedResponse, "decode ledger", "kv",
                       error.what());
  }
}

}  // namespace dragonflyglade
