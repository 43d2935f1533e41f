#pragma once

#include <boost/json.hpp>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "load_options.h"

namespace cowslipknot::load {

/// The result of one request as seen by its caller.
struct Sample {
  std::string kind;            ///< letter, draft, filing or lookup
  std::string outcome;         ///< ok, refused, unknown, wrong, lost or redone
  double first_token_ms = -1;  ///< negative without a token
  double total_ms = 0;
  std::vector<double> token_gaps_ms;  ///< between consecutive tokens
  int resumed = 0;  ///< attempts that resumed or repeated the request
  int broken = 0;   ///< connections lost after sending or while reading
};

/// Collects samples, writes the history file and summarizes the run as JSON.
class LoadReport {
 public:
  explicit LoadReport(const LoadOptions& options);
  /// Appends one event with its time to the history file, if there is one.
  void WriteHistory(const std::string& event, boost::json::object fields);
  void AddSample(Sample sample);
  /// @param elapsed_s  duration of the whole run
  boost::json::object Summary(double elapsed_s) const;

 private:
  const LoadOptions& m_options;
  std::ofstream m_history;
  std::vector<Sample> m_samples;
};

}  // namespace cowslipknot::load
