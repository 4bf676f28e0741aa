#ifndef DRAGONFLYGLADE_OPERATOR_METRICS_H_
#define DRAGONFLYGLADE_OPERATOR_METRICS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "absl/synchronization/mutex.h"

namespace dragonflyglade {

/// Counters, distributions and gauges, exported in Prometheus's text format.
/// Thread-safe; names are spread over shards with a lock each.
class Metrics {
 public:
  /// Adds to a counter.
  /// @param name a Prometheus name
  /// @param label one label, such as `code="over_rate"`; may be empty
  void Count(std::string_view name, std::string_view label = {}, double by = 1);

  /// Adds an observation to a distribution, which is exported as its count, sum
  /// and 0.5 and 0.95 quantiles.
  void Observe(std::string_view name, std::string_view label, double value);

  /// Adds a gauge.
  /// @param read called for the present value at each export
  void AddGauge(std::string_view name, std::function<double()> read);

  /// Exports all metrics as text.
  std::string Text() const;

  /// The values of all counters of a name, by label.
  std::map<std::string, double> Counters(std::string_view name) const;

 private:
  using QuantileAccumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
  using TotalAccumulator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count,
                                         boost::accumulators::tag::sum>>;
  struct Distribution {
    TotalAccumulator total;
    QuantileAccumulator median{boost::accumulators::quantile_probability = 0.5};
    QuantileAccumulator p95{boost::accumulators::quantile_probability = 0.95};
  };
  // The name and the label of a time series.
  using Series = std::pair<std::string, std::string>;
  struct Shard {
    mutable absl::Mutex mutex;
    std::map<Series, double> counters ABSL_GUARDED_BY(mutex);
    std::map<Series, Distribution> distributions ABSL_GUARDED_BY(mutex);
  };
  static constexpr std::size_t kShards = 8;

  Shard& ShardOf(std::string_view name, std::string_view label);

  std::array<Shard, kShards> shards;
  mutable absl::Mutex gauges_mutex;
  std::map<std::string, std::function<double()>> gauges
      ABSL_GUARDED_BY(gauges_mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_METRICS_H_
