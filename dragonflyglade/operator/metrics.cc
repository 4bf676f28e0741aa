#include "dragonflyglade/operator/metrics.h"

#include <fmt/format.h>

#include <utility>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

namespace acc = boost::accumulators;

std::string WithLabel(const std::string& name, const std::string& label) {
  return label.empty() ? name : fmt::format("{}{{{}}}", name, label);
}

std::string WithQuantile(const std::string& label, std::string_view quantile) {
  const std::string comma = label.empty() ? "" : ",";
  return fmt::format("{}{}quantile=\"{}\"", label, comma, quantile);
}

}  // namespace

Metrics::Shard& Metrics::ShardOf(std::string_view name,
                                 std::string_view label) {
  return this->shards[StableHash(label, StableHash(name)) % kShards];
}

void Metrics::Count(std::string_view name, std::string_view label, double by) {
  Shard& shard = this->ShardOf(name, label);
  absl::MutexLock lock(&shard.mutex);
  shard.counters[{std::string(name), std::string(label)}] += by;
}

void Metrics::Observe(std::string_view name, std::string_view label,
                      double value) {
  Shard& shard = this->ShardOf(name, label);
  absl::MutexLock lock(&shard.mutex);
  Distribution& distribution =
      shard.distributions[{std::string(name), std::string(label)}];
  distribution.total(value);
  distribution.median(value);
  distribution.p95(value);
}

void Metrics::AddGauge(std::string_view name, std::function<double()> read) {
  absl::MutexLock lock(&this->gauges_mutex);
  this->gauges[std::string(name)] = std::move(read);
}

std::string Metrics::Text() const {
  // The format requires that the lines of one name are adjacent, so they are
  // sorted first.
  std::map<Series, std::string> lines;
  std::map<std::string, std::string_view> types;
  for (const Shard& shard : this->shards) {
    absl::MutexLock lock(&shard.mutex);
    for (const auto& [series, value] : shard.counters) {
      types[series.first] = "counter";
      lines[series] =
          fmt::format("{} {}\n", WithLabel(series.first, series.second), value);
    }
    for (const auto& [series, distribution] : shard.distributions) {
      const auto& [name, label] = series;
      types[name] = "summary";
      lines[series] = fmt::format(
          "{} {}\n{} {}\n{} {}\n{} {}\n",
          WithLabel(name, WithQuantile(label, "0.5")),
          acc::p_square_quantile(distribution.median),
          WithLabel(name, WithQuantile(label, "0.95")),
          acc::p_square_quantile(distribution.p95),
          WithLabel(name + "_sum", label), acc::sum(distribution.total),
          WithLabel(name + "_count", label), acc::count(distribution.total));
    }
  }
  {
    absl::MutexLock lock(&this->gauges_mutex);
    for (const auto& [name, read] : this->gauges) {
      types[name] = "gauge";
      lines[{name, ""}] = fmt::format("{} {}\n", name, read());
    }
  }
  std::string text;
  std::string previous_name;
  for (const auto& [series, line] : lines) {
    if (series.first != previous_name) {
      text += fmt::format("# TYPE {} {}\n", series.first, types[series.first]);
    }
    previous_name = series.first;
    text += line;
  }
  return text;
}

std::map<std::string, double> Metrics::Counters(std::string_view name) const {
  std::map<std::string, double> counters;
  for (const Shard& shard : this->shards) {
    absl::MutexLock lock(&shard.mutex);
    for (const auto& [series, value] : shard.counters) {
      if (series.first == name) counters[series.second] += value;
    }
  }
  return counters;
}

}  // namespace dragonflyglade
