#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cowslipknot/ids.h"

namespace cowslipknot {

/// Counters and histograms of one thread. Copies of several threads' sets are
/// merged when metrics are read, so that recording takes no lock.
class MetricSet {
 public:
  /// @param labels  as rendered, for example route="drafts",outcome="ok"
  void Add(const std::string& name, const std::string& labels,
           std::uint64_t count = 1);
  void Observe(const std::string& name, const std::string& labels,
               Milliseconds value);
  void Merge(const MetricSet& other);
  /// The Prometheus text format.
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
  struct Distribution {
    Distribution();
    Histogram histogram;
    double sum_ms = 0;
    std::uint64_t count = 0;
  };

  std::map<Series, std::uint64_t> m_counters;
  std::map<Series, Distribution> m_distributions;
};

/// key="value", with the value escaped.
std::string Label(std::string_view key, std::string_view value);

}  // namespace cowslipknot
