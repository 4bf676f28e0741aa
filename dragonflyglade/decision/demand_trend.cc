#include "dragonflyglade/decision/demand_trend.h"

#include <algorithm>
#include <cmath>

#include "dragonflyglade/decision/load_time.h"

namespace dragonflyglade {
namespace {

// Lower bound on the observed part of the time constant, about a second of
// reports: below it, single requests would look like steady demand.
constexpr double kMinObservedFraction = 0.3;
constexpr double kNegligibleWorkMs = 1e-3;
// A change by less than so many standard deviations is taken for chance. Of
// some hundred models, a few per second would else seem to rise.
constexpr double kClearDeviations = 2;

double DecayFactor(absl::Duration age, absl::Duration time_constant) {
  return std::exp(-absl::FDivDuration(age, time_constant));
}

// Engine time that one decayed millisecond of work stands for.
double ObservedMs(absl::Duration observed, absl::Duration time_constant) {
  const double part =
      std::max(kMinObservedFraction, 1 - DecayFactor(observed, time_constant));
  return part * absl::ToDoubleMilliseconds(time_constant);
}

// The part of the difference that exceeds the noise, with its sign.
double ClearPart(double difference, double noise) {
  const double excess = std::abs(difference) - kClearDeviations * noise;
  return std::copysign(std::max(0.0, excess), difference);
}

}  // namespace

DemandTrend::DemandTrend(Instant now) : updated_at(now) {}

void DemandTrend::Decay(Instant now) {
  const absl::Duration age = now - this->updated_at;
  this->average_ms *= DecayFactor(age, kAverageTime);
  this->recent_ms *= DecayFactor(age, kRecentTime);
  this->recent_squares_ms2 *= DecayFactor(2 * age, kRecentTime);
  this->updated_at = now;
}

void DemandTrend::Add(double work_ms, Instant now) {
  this->Decay(now);
  this->average_ms += work_ms;
  this->recent_ms += work_ms;
  this->recent_squares_ms2 += work_ms * work_ms;
}

bool DemandTrend::IsNegligible(Instant now) const {
  DemandTrend current = *this;
  current.Decay(now);
  return current.average_ms < kNegligibleWorkMs;
}

DemandLevel DemandTrend::Level(absl::Duration observed, Instant now) const {
  DemandTrend current = *this;
  current.Decay(now);
  const double recent_time_ms = ObservedMs(observed, kRecentTime);
  DemandLevel level;
  level.average = current.average_ms / ObservedMs(observed, kAverageTime);
  level.recent = current.recent_ms / recent_time_ms;
  level.noise = std::sqrt(current.recent_squares_ms2) / recent_time_ms;
  const double change = ClearPart(level.recent - level.average, level.noise);
  level.slope = change / absl::ToDoubleSeconds(kAverageTime - kRecentTime);
  return level;
}

// An average with a time constant lags a steady rise by that time constant.
double ExpectedLoad(const DemandLevel& level, absl::Duration load_time) {
  const double rise = std::max(0.0, level.slope) *
                      absl::ToDoubleSeconds(DemandTrend::kAverageTime);
  return level.average + TrendWeight(load_time) * rise;
}

double RemainingLoad(const DemandLevel& level, absl::Duration load_time) {
  const double fall = std::min(0.0, level.slope) *
                      absl::ToDoubleSeconds(DemandTrend::kAverageTime -
                                            DemandTrend::kRecentTime);
  return std::max(0.0, level.average + TrendWeight(load_time) * fall);
}

}  // namespace dragonflyglade
