#include "dragonflyglade/caller/instance_selection.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr std::size_t kMostChoices = 8;
constexpr double kFullLoad = 1000.0;
constexpr double kLeastWeight = 0.05;
constexpr double kZoneFactor = 2.0;
constexpr double kHolderFactor = 2.0;
constexpr double kModelFactor = 1.5;
constexpr std::size_t kModelHomes = 3;

bool Contains(absl::Span<const std::string> names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

std::vector<InstanceChoice> ChooseInstances(
    absl::Span<const MemberStatus> members, const InstanceQuery& question,
    absl::Span<const std::string> share_holders) {
  std::vector<const MemberStatus*> usable;
  std::vector<std::string> names;
  for (const MemberStatus& member : members) {
    const bool heard = member.incarnation != 0;
    if (!heard || member.leaving || member.state != MemberState::kAlive) {
      continue;
    }
    usable.push_back(&member);
    names.push_back(member.info.name);
  }
  std::vector<std::string> homes;
  if (!question.model.empty()) {
    homes = RendezvousOwners(question.model, names, kModelHomes);
  }
  std::vector<InstanceChoice> choices;
  for (const MemberStatus* member : usable) {
    double weight =
        std::max(kLeastWeight, 1.0 - member->load_permille / kFullLoad);
    if (member->info.zone == question.zone) weight *= kZoneFactor;
    if (Contains(share_holders, member->info.name)) weight *= kHolderFactor;
    if (Contains(homes, member->info.name)) weight *= kModelFactor;
    choices.push_back(InstanceChoice{member->info.name, member->info.address,
                                     member->info.caller_port,
                                     member->info.zone, weight});
  }
  std::sort(choices.begin(), choices.end(),
            [](const InstanceChoice& a, const InstanceChoice& b) {
              return a.weight > b.weight;
            });
  if (choices.size() > kMostChoices) choices.resize(kMostChoices);
  double total = 0;
  for (const InstanceChoice& choice : choices) total += choice.weight;
  for (InstanceChoice& choice : choices) choice.weight /= total;
  return choices;
}

std::string EncodeInstances(absl::Span<const InstanceChoice> choices,
                            absl::Duration keep) {
  json list = json::array();
  for (const InstanceChoice& choice : choices) {
    list.push_back({{"name", choice.name},
                    {"address", choice.address},
                    {"port", choice.port},
                    {"availability_zone", choice.zone},
                    {"weight", choice.weight}});
  }
  const json answer = {{"instances", list},
                       {"keep_seconds", absl::ToInt64Seconds(keep)}};
  return answer.dump();
}

}  // namespace dragonflyglade
