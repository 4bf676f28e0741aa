#include "dragonflyglade/decision/target_ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr const char* kStep = "change ledger";

LedgerCopy* Find(TargetLedger& ledger, std::string_view name) {
  for (LedgerCopy& copy : ledger.copies) {
    if (copy.name == name) return &copy;
  }
  return nullptr;
}

void Remove(TargetLedger& ledger, std::string_view name) {
  ledger.copies.erase(std::remove_if(ledger.copies.begin(), ledger.copies.end(),
                                     [name](const LedgerCopy& copy) {
                                       return copy.name == name;
                                     }),
                      ledger.copies.end());
}

Failure Refused(const TargetLedger& ledger, std::string_view why) {
  return MakeFailure(Errc::kRefused, kStep, ledger.target, why);
}

// Failure: a planner is paused, loses its lease, wakes, and orders what it
// had planned on an old picture. A newer planner has left a higher fence.
Status CheckFence(TargetLedger& ledger, std::int64_t fence) {
  if (fence < ledger.fence) {
    return MakeFailure(Errc::kNotHeld, kStep, ledger.target,
                       "a newer planner wrote");
  }
  ledger.fence = fence;
  return Done{};
}

// Unique for a target as long as its ledger lives.
std::string NextOrderId(TargetLedger& ledger) {
  ++ledger.orders;
  return fmt::format("{}-{}", ledger.target, ledger.orders);
}

// A restarted target has empty memory. An order whose fate is not known may
// have reached the new process, though, if it restarted before the order was
// sent; its bytes stay booked until the next restart or confirmation.
void Rebase(TargetLedger& ledger, std::string_view boot_id) {
  if (boot_id.empty() || ledger.boot_id == boot_id) return;
  const bool is_first = ledger.boot_id.empty();
  ledger.boot_id = std::string(boot_id);
  if (is_first) return;
  std::vector<LedgerCopy> left;
  for (LedgerCopy& copy : ledger.copies) {
    if (copy.open_loads.empty()) continue;
    // What was open before an earlier restart cannot have reached this
    // process.
    const bool is_from_before = copy.loads_predate_restart;
    copy.loads_predate_restart = true;
    if (is_from_before) continue;
    if (copy.state != CopyState::kLoading) copy.state = CopyState::kUncertain;
    left.push_back(copy);
  }
  ledger.copies = std::move(left);
}

// Takes an order off the open loads. False if it was not among them.
bool Close(LedgerCopy& copy, const std::string& order_id) {
  const auto found =
      std::find(copy.open_loads.begin(), copy.open_loads.end(), order_id);
  if (found == copy.open_loads.end()) return false;
  copy.open_loads.erase(found);
  return true;
}

// A fenced target that answered an order refuses all orders with a lower
// fence from then on, so load orders open under a lower one are void.
void VoidOldLoads(TargetLedger& ledger, std::int64_t fence, bool fenced) {
  if (!fenced) return;
  for (LedgerCopy& copy : ledger.copies) {
    if (copy.load_fence_token >= fence) continue;
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
  std::int64_t booked = 0;
  for (const LedgerCopy& copy : ledger.copies) booked += copy.bytes;
  return booked;
}

const LedgerCopy* FindCopy(const TargetLedger& ledger, std::string_view name) {
  for (const LedgerCopy& copy : ledger.copies) {
    if (copy.name == name) return &copy;
  }
  return nullptr;
}

Status BeginLoad(TargetLedger& ledger, const CopySpec& spec,
                 std::int64_t fence) {
  if (FindCopy(ledger, spec.name) != nullptr) {
    return Refused(ledger, spec.name + " stands there already");
  }
  if (ReservedBytes(ledger) + spec.bytes > ledger.capacity) {
    return Refused(ledger, spec.name + " does not fit");
  }
  const Status fresh = CheckFence(ledger, fence);
  if (!fresh.Ok()) return fresh;
  LedgerCopy copy;
  copy.name = spec.name;
  copy.version = spec.version;
  copy.base = spec.base;
  copy.bytes = spec.bytes;
  copy.load_fence_token = fence;
  copy.order_id = NextOrderId(ledger);
  copy.open_loads.push_back(copy.order_id);
  ledger.copies.push_back(std::move(copy));
  return Done{};
}

Status RepeatLoad(TargetLedger& ledger, std::string_view name,
                  std::int64_t fence) {
  LedgerCopy* copy = Find(ledger, name);
  if (copy == nullptr) return Refused(ledger, "no load to repeat");
  const Status fresh = CheckFence(ledger, fence);
  if (!fresh.Ok()) return fresh;
  copy->state = CopyState::kLoading;
  copy->repeated = true;
  copy->loads_predate_restart = false;
  copy->load_fence_token = fence;
  copy->order_id = NextOrderId(ledger);
  copy->open_loads.push_back(copy->order_id);
  return Done{};
}

Status BeginUnload(TargetLedger& ledger, std::string_view name,
                   std::int64_t fence) {
  LedgerCopy* copy = Find(ledger, name);
  if (copy == nullptr) {
    return MakeFailure(Errc::kUnknownRecord, kStep, ledger.target, name);
  }
  const Status fresh = CheckFence(ledger, fence);
  if (!fresh.Ok()) return fresh;
  copy->state = CopyState::kUnloading;
  copy->order_id = NextOrderId(ledger);
  return Done{};
}

Result<std::string> BeginRoleChange(TargetLedger& ledger, std::int64_t fence) {
  const Status fresh = CheckFence(ledger, fence);
  if (!fresh.Ok()) return fresh.Error();
  return NextOrderId(ledger);
}

void FinishLoad(TargetLedger& ledger, const OrderOutcome& outcome,
                bool fenced) {
  Rebase(ledger, outcome.boot_id);
  LedgerCopy* copy = Find(ledger, outcome.name);
  const bool is_open = copy != nullptr && Close(*copy, outcome.order_id);
  if (is_open && copy->state == CopyState::kLoading) {
    if (outcome.done) copy->state = CopyState::kLoaded;
    // A refused load with no other one open is certainly not there, unless
    // an earlier one had brought it.
    const bool is_absent =
        !outcome.done && copy->open_loads.empty() && !copy->repeated;
    if (is_absent) Remove(ledger, outcome.name);
  }
  VoidOldLoads(ledger, outcome.fence, fenced);
}

// Failure: a load order is delayed, its model is unloaded meanwhile, the
// bytes are given to another model, and then the delayed order arrives: the
// accelerator runs out of memory. The bytes leave the ledger only when the
// unload is confirmed and no load order of that model is open.
void FinishUnload(TargetLedger& ledger, const OrderOutcome& outcome,
                  bool fenced) {
  Rebase(ledger, outcome.boot_id);
  LedgerCopy* copy = Find(ledger, outcome.name);
  const bool is_newest = copy != nullptr && copy->order_id == outcome.order_id;
  if (is_newest && outcome.done && copy->state == CopyState::kUnloading) {
    if (copy->open_loads.empty()) {
      Remove(ledger, outcome.name);
    } else {
      copy->state = CopyState::kUncertain;
    }
  }
  VoidOldLoads(ledger, outcome.fence, fenced);
}

// Failure: a report from before an unload still shows the model; taken as the
// arrival of the next load, it would close an order that is yet to come, and
// its bytes could be given away too early. So a report counts only if it was
// made after the newest booking, and only for a load that is the single
// explanation of what it shows.
void TakeReport(TargetLedger& ledger, std::string_view boot_id,
                const std::set<std::string>& resident, bool after_booking) {
  if (!after_booking) return;
  Rebase(ledger, boot_id);
  std::vector<LedgerCopy> kept;
  for (LedgerCopy& copy : ledger.copies) {
    const bool is_there = resident.count(copy.name) > 0;
    const bool has_arrived = copy.state == CopyState::kLoading && is_there &&
                             copy.open_loads.size() <= 1 && !copy.repeated;
    if (has_arrived) {
      copy.state = CopyState::kLoaded;
      copy.open_loads.clear();
    }
    const bool has_gone = copy.state == CopyState::kUnloading && !is_there &&
                          copy.open_loads.empty();
    if (!has_gone) kept.push_back(std::move(copy));
  }
  ledger.copies = std::move(kept);
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
      {"target", ledger.target}, {"capacity", ledger.capacity},
      {"fence", ledger.fence},   {"boot_id", ledger.boot_id},
      {"orders", ledger.orders}, {"copies", copies}};
  return document.dump();
}

Result<TargetLedger> DecodeLedger(std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  try {
    TargetLedger ledger;
    ledger.target = document.at("target");
    ledger.capacity = document.at("capacity");
    ledger.fence = document.at("fence");
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
