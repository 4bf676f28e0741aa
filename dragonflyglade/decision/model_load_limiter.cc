#include "dragonflyglade/decision/model_load_limiter.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dragonflyglade {
namespace {

// Loads that may begin in a window in addition to what the rate allows.
constexpr int kExtraLoads = 3;
// Loads kept in reserve for orders that are carried out twice, by an engine's
// process and the next one.
constexpr int kReservedLoads = 2;

// Parts of a window's loads, rounded up.
int HalfOf(int allowed) { return (allowed + 1) / 2; }
int ThirdOf(int allowed) { return (allowed + 2) / 3; }

}  // namespace

ModelLoadLimiter::ModelLoadLimiter(ModelLoadLimiterOptions options, Clock clock)
    : options(options), clock(std::move(clock)) {}

int ModelLoadLimiter::AllowedPerWindow(double loads_per_second) const {
  const double window = absl::ToDoubleSeconds(this->options.window);
  const double by_rate = loads_per_second * window * this->options.overage;
  return static_cast<int>(by_rate) + kExtraLoads - kReservedLoads;
}

bool ModelLoadLimiter::OnLeadership(std::uint64_t token,
                                    double loads_per_second) {
  if (this->fence_token == token) return false;
  this->fence_token = token;
  const int allowed = this->AllowedPerWindow(loads_per_second);
  const int open = ThirdOf(allowed);
  // The latest time at which the previous leader can have sent orders.
  const Instant last_order =
      this->clock.Now() - this->options.leader_handover_delay;
  this->assumed_loads.assign(static_cast<std::size_t>(HalfOf(allowed) - open),
                             last_order);
  this->assumed_loads.insert(this->assumed_loads.end(),
                             static_cast<std::size_t>(open),
                             last_order + this->options.max_order_delay);
  return true;
}

void ModelLoadLimiter::RecordOrdering(const EngineOrderKey& order) {
  this->loads[order].is_sending = true;
}

void ModelLoadLimiter::RecordBegun(const EngineOrderKey& order) {
  this->loads[order] = {false, this->clock.Now()};
}

void ModelLoadLimiter::RecordNotBegun(const EngineOrderKey& order) {
  const auto found = this->loads.find(order);
  if (found == this->loads.end()) return;
  found->second.is_sending = false;
  if (!found->second.latest_begin.has_value()) this->loads.erase(found);
}

void ModelLoadLimiter::RecordUnanswered(const EngineOrderKey& order) {
  this->loads[order] = {false,
                        this->clock.Now() + this->options.max_order_delay};
}

void ModelLoadLimiter::RecordVoid(const EngineOrderKey& order) {
  this->loads.erase(order);
}

void ModelLoadLimiter::RecordOrdersTaken(std::string_view engine,
                                         std::int64_t born_ms,
                                         std::int64_t orders_taken) {
  const Instant now = this->clock.Now();
  EngineOrderKey first{std::string(engine), born_ms,
                       std::numeric_limits<std::int64_t>::min()};
  const EngineOrderKey end{std::string(engine), born_ms, orders_taken};
  for (auto load = this->loads.lower_bound(first);
       load != this->loads.end() && load->first < end; ++load) {
    std::optional<Instant>& latest_begin = load->second.latest_begin;
    if (latest_begin.has_value()) latest_begin = std::min(*latest_begin, now);
  }
}

bool ModelLoadLimiter::IsCounted(const EngineOrderKey& order) const {
  const auto found = this->loads.find(order);
  return found != this->loads.end() &&
         found->second.LatestBegin() > this->clock.Now();
}

int ModelLoadLimiter::LoadsThatMayBeginSince(Instant time) const {
  return static_cast<int>(std::count_if(
      this->loads.begin(), this->loads.end(),
      [&](const auto& load) { return load.second.LatestBegin() >= time; }));
}

int ModelLoadLimiter::CountedLoads() const {
  const Instant oldest = this->clock.Now() - this->options.window;
  const auto assumed = std::count_if(
      this->assumed_loads.begin(), this->assumed_loads.end(),
      [&](Instant latest_begin) { return latest_begin >= oldest; });
  return this->LoadsThatMayBeginSince(oldest) + static_cast<int>(assumed);
}

int ModelLoadLimiter::OpenLoads() const {
  const Instant now = this->clock.Now();
  return static_cast<int>(std::count_if(
      this->loads.begin(), this->loads.end(),
      [&](const auto& load) { return load.second.LatestBegin() > now; }));
}

void ModelLoadLimiter::RemoveEnded() {
  const Instant oldest = this->clock.Now() - this->options.window;
  for (auto load = this->loads.begin(); load != this->loads.end();) {
    if (load->second.LatestBegin() >= oldest) {
      ++load;
    } else {
      load = this->loads.erase(load);
    }
  }
}

int ModelLoadLimiter::RemainingLoads(double loads_per_second) {
  this->RemoveEnded();
  const absl::Duration remainder =
      this->options.window - this->options.leader_handover_delay;
  const int allowed = this->AllowedPerWindow(loads_per_second);
  const int in_window = allowed - this->CountedLoads();
  const int in_remainder = HalfOf(allowed) - this->LoadsThatMayBeginSince(
                                                 this->clock.Now() - remainder);
  const int open = ThirdOf(allowed) - this->OpenLoads();
  return std::max(0, std::min({in_window, in_remainder, open}));
}

}  // namespace dragonflyglade
