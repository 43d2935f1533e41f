#include "cli/command_output.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/operator_client.h"

namespace cowslipknot {

int PrintError(const Error& error) {
  std::cerr << "error " << static_cast<int>(error.code) << " "
            << Describe(error.code).name << ": " << error.detail << "\n";
  return ExitCodeOf(error);
}

int PrintUsageError(const std::string& message) {
  std::cerr << message << "\nTry 'cowslipknot --help'.\n";
  return kExitUsage;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return Fail(ResultCode::kInvalidSettings, "cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int PrintProblems(const std::vector<ObjectProblem>& problems) {
  for (const auto& problem : problems) {
    std::cerr << FormatProblem(problem) << "\n";
  }
  std::cerr << problems.size() << " error(s)\n";
  return kExitInvalid;
}

}  // namespace cowslipknot
