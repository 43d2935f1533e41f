#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cowslipknot/ids.h"

namespace cowslipknot {

/// Counters and histograms of one thread. Recording takes no lock: copies of
/// the threads' sets are merged when the metrics are read.
class MetricSet {
 public:
  /// @param labels  as in the output, for example route="drafts",outcome="ok"
  void Add(const std::string& name, const std::string& labels,
           std::uint64_t count = 1);
  void Observe(const std::string& name, const std::string& labels,
               Milliseconds value);
  void Merge(const MetricSet& other);
  /// Renders all series in the Prometheus text format.
  std::string Render() const;
  std::uint64_t Counter(const std::string& name,
                        const std::string& labels) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>>;
  struct Series {
    std::string name;
    std::string labels;
    auto operator<=>(const Series&) const = default;
  };
  struct HistogramSeries {
    HistogramSeries();
    Histogram histogram;
    double sum_ms = 0;
    std::uint64_t count = 0;
  };

  std::map<Series, std::uint64_t> m_counters;
  std::map<Series, HistogramSeries> m_histograms;
};

/// Formats key="value" with the value escaped.
std::string FormatLabel(std::string_view key, std::string_view value);

}  // namespace cowslipknot
