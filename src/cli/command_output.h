#pragma once

#include <string>
#include <vector>

#include "cowslipknot/result.h"
#include "cowslipknot/state/objects.h"

/// What all commands share: reading a file, and saying what went wrong.
namespace cowslipknot {

/// Prints a numbered error. @return the exit code
int Report(const Error& error);

/// Prints how a command was misused. @return the exit code
int Usage(const std::string& message);

/// Prints each problem of a file. @return the exit code
int PrintProblems(const std::vector<ObjectProblem>& problems);

/// @return kInvalidSettings when the file can't be read
Result<std::string> ReadFile(const std::string& path);

}  // namespace cowslipknot
