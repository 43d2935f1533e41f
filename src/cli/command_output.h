#pragma once

#include <string>
#include <vector>

#include "cowslipknot/result.h"
#include "cowslipknot/state/objects.h"

/// File reading and error output shared by all commands.
namespace cowslipknot {

/// Prints an error with its result code. @return the process's exit code
int PrintError(const Error& error);

/// Prints a command-line usage error. @return the process's exit code
int PrintUsageError(const std::string& message);

/// Prints all problems found in a file. @return the process's exit code
int PrintProblems(const std::vector<ObjectProblem>& problems);

/// @return the file's content, or kInvalidSettings when it cannot be read
Result<std::string> ReadFile(const std::string& path);

}  // namespace cowslipknot
