#pragma once

#include <boost/json.hpp>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "load_options.h"

namespace cowslipknot::load {

/// The outcome of one request as its caller saw it.
struct Sample {
  std::string kind;     ///< letter, draft, filing or lookup
  std::string outcome;  ///< ok, refused, unknown, wrong or lost
  double first_ms = -1;
  double total_ms = 0;
  std::vector<double> gaps_ms;  ///< between tokens
  int resumed = 0;              ///< times that the caller asked again
  int broken = 0;               ///< connections that broke after a request
};

/// Gathers samples, writes the history and prints the summary as JSON.
class LoadReport {
 public:
  explicit LoadReport(const LoadOptions& options);
  void Write(const std::string& what, boost::json::object fields);
  void Add(Sample sample);
  boost::json::object Summary(double elapsed_s) const;

 private:
  const LoadOptions& m_options;
  std::ofstream m_history;
  std::vector<Sample> m_samples;
};

}  // namespace cowslipknot::load
