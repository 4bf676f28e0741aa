#include "dragonflyglade/caller/instance_selection.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxChoices = 8;
constexpr double kFullLoadPermille = 1000.0;
constexpr double kMinWeight = 0.05;
constexpr double kSameZoneFactor = 2.0;
constexpr double kShareOwnerFactor = 2.0;
constexpr double kModelOwnerFactor = 1.5;
constexpr std::size_t kOwnersPerModel = 3;

bool Contains(absl::Span<const std::string> names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

std::vector<InstanceChoice> ChooseInstances(
    absl::Span<const MemberStatus> members, const InstanceQuery& query,
    absl::Span<const std::string> share_owners) {
  std::vector<const MemberStatus*> usable_members;
  std::vector<std::string> names;
  for (const MemberStatus& member : members) {
    const bool heard = member.incarnation != 0;
    if (!heard || member.leaving || member.state != MemberState::kAlive) {
      continue;
    }
    usable_members.push_back(&member);
    names.push_back(member.info.name);
  }
  std::vector<std::string> model_owners;
  if (!query.model.empty()) {
    model_owners = RendezvousOwners(query.model, names, kOwnersPerModel);
  }
  std::vector<InstanceChoice> choices;
  for (const MemberStatus* member : usable_members) {
    double weight =
        std::max(kMinWeight, 1.0 - member->load_permille / kFullLoadPermille);
    if (member->info.zone == query.zone) weight *= kSameZoneFactor;
    if (Contains(share_owners, member->info.name)) weight *= kShareOwnerFactor;
    if (Contains(model_owners, member->info.name)) weight *= kModelOwnerFactor;
    choices.push_back(InstanceChoice{member->info.name, member->info.address,
                                     member->info.caller_port,
                                     member->info.zone, weight});
  }
  std::sort(choices.begin(), choices.end(),
            [](const InstanceChoice& a, const InstanceChoice& b) {
              return a.weight > b.weight;
            });
  if (choices.size() > kMaxChoices) choices.resize(kMaxChoices);
  double total = 0;
  for (const InstanceChoice& choice : choices) total += choice.weight;
  for (InstanceChoice& choice : choices) choice.weight /= total;
  return choices;
}

std::string EncodeInstances(absl::Span<const InstanceChoice> choices,
                            absl::Duration cache_duration) {
  json list = json::array();
  for (const InstanceChoice& choice : choices) {
    list.push_back({{"name", choice.name},
                    {"address", choice.address},
                    {"port", choice.port},
                    {"availability_zone", choice.zone},
                    {"weight", choice.weight}});
  }
  const json response = {
      {"instances", list},
      {"keep_seconds", absl::ToInt64Seconds(cache_duration)}};
  return response.dump();
}

}  // namespace dragonflyglade
