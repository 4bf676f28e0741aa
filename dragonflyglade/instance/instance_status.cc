#include "dragonflyglade/instance/instance_status.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

// Returns -1 for an infinite duration, which JSON cannot represent.
std::int64_t MillisecondsOrMinusOne(absl::Duration duration) {
  if (duration == absl::InfiniteDuration()) return -1;
  return absl::ToInt64Milliseconds(duration);
}

const char* DescribeState(ConfigFreshnessState state) {
  switch (state) {
    case ConfigFreshnessState::kFresh:
      return "fresh";
    case ConfigFreshnessState::kStoreOutage:
      return "key-value service out; serving the last configuration";
    case ConfigFreshnessState::kPartitioned:
      return "cut off; refusing new work";
    case ConfigFreshnessState::kNeverComplete:
      return "not complete yet";
  }
  return "";
}

std::string StateOf(const MemberStatus& member) {
  std::string state;
  switch (member.state) {
    case MemberState::kAlive:
      state = member.incarnation == 0 ? "unheard" : "alive";
      break;
    case MemberState::kSuspect:
      state = "suspect";
      break;
    case MemberState::kDead:
      state = "dead";
      break;
  }
  return member.leaving ? state + ", leaving" : state;
}

json ConfigurationOf(const StatusSources& sources) {
  json rejected = json::array();
  for (const RejectedRecord& rejection : sources.records.RejectedRecords()) {
    rejected.push_back({{"key", rejection.key},
                        {"revision", rejection.revision},
                        {"reason", rejection.reason}});
  }
  const auto [listed, alive] = sources.membership.CountListedAndAlive();
  return {{"revision", sources.records.CompleteRevision()},
          {"age_ms", MillisecondsOrMinusOne(sources.freshness.Age())},
          {"right", DescribeState(sources.freshness.StateFor(
                        PeerReachability{listed, alive}))},
          {"relay", sources.is_relay},
          {"schemas", sources.catalog.Get()->schema_in_use},
          {"rejected", rejected}};
}

json MembersOf(const StatusSources& sources) {
  json members = json::array();
  for (const MemberStatus& member : sources.membership.All()) {
    members.push_back({{"name", member.info.name},
                       {"state", StateOf(member)},
                       {"address", member.info.address},
                       {"peer_port", member.info.peer_port},
                       {"caller_port", member.info.caller_port},
                       {"availability_zone", member.info.zone},
                       {"incarnation", member.incarnation},
                       {"load_permille", member.load_permille}});
  }
  return members;
}

json TargetsOf(const StatusSources& sources) {
  json targets = json::array();
  for (const TargetStatus& target : sources.targets.Status()) {
    const char* state = target.leaving   ? "leaving"
                        : target.ejected ? "ejected"
                                         : "in use";
    targets.push_back(
        {{"name", target.listed.name},
         {"pool", target.listed.pool},
         {"availability_zone", target.listed.zone},
         {"state", state},
         {"in_flight", target.in_flight},
         {"outstanding_tokens", target.outstanding_tokens},
         {"report_age_ms", MillisecondsOrMinusOne(target.report_age)},
         {"boot_id", target.boot_id},
         {"role", target.role},
         {"resident", target.resident}});
  }
  return targets;
}

json WorkspacesOf(const StatusSources& sources) {
  json workspaces = json::array();
  const std::shared_ptr<const Catalog> catalog = sources.catalog.Get();
  for (const auto& [name, rate] : catalog->rates) {
    json owners = json::object();
    const auto allotment = sources.rate_limiter.CurrentAllotment(name);
    if (allotment.has_value()) {
      for (const OwnerShare& owner : allotment->owners) {
        owners[owner.instance] = {{"share", owner.share},
                                  {"held", owner.in_use}};
      }
    }
    const auto bucket = sources.rate_limiter.BalanceOf(name);
    workspaces.push_back(
        {{"name", name},
         {"tokens_per_second", rate.limit.tokens_per_second},
         {"burst_tokens", rate.limit.burst_tokens},
         {"epoch", allotment.has_value() ? allotment->epoch : 0},
         {"bucket_level", bucket.has_value() ? bucket->level : 0},
         {"bucket_cap", bucket.has_value() ? bucket->cap : 0},
         {"holders", owners}});
  }
  return workspaces;
}

}  // namespace

json InstanceStatus(const StatusSources& sources) {
  const MemberStatus self = sources.membership.Self();
  return {
      {"instance", self.info.name},
      {"incarnation", self.incarnation},
      {"state", self.leaving ? "leaving" : "serving"},
      {"configuration", ConfigurationOf(sources)},
      {"members", MembersOf(sources)},
      {"targets", TargetsOf(sources)},
      {"workspaces", WorkspacesOf(sources)},
      {"waiting", sources.waiting_requests},
      {"refusals", sources.metrics.Counters("dragonflyglade_refusals_total")}};
}

}  // namespace dragonflyglade
