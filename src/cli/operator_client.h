#pragma once

#include <boost/json.hpp>
#include <string>

#include "cli/options.h"

namespace cowslipknot {

/// Blocking client of one instance's operator API.
class OperatorClient {
 public:
  explicit OperatorClient(const Options& options) : m_options(options) {}

  Result<boost::json::value> Get(const std::string& path);
  Result<boost::json::value> Post(const std::string& path,
                                  const boost::json::value& body);

 private:
  Result<boost::json::value> Call(bool post, const std::string& path,
                                  std::string body);

  const Options& m_options;
};

/// The process's exit code for an error.
int ExitCodeOf(const Error& error);

}  // namespace cowslipknot
