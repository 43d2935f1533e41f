#pragma once

#include <exception>
#include <string>
#include <string_view>

namespace cowslipknot {

/// Exit codes of a process that has no thread left to start, and of one that
/// was ended by another exception.
inline constexpr int kExitNoThread = 7;
inline constexpr int kExitException = 8;

/// Returns the exit code of a process that an exception ends.
int ExceptionExitCode(const std::exception& error);

/// Sets the descriptor and node of WriteUnexpectedEnd().
void SetLastWords(int descriptor, const std::string& node);

/// Makes a crash, an abort, a failed system call filter, SIGQUIT and
/// std::terminate write one log line before their default action; without a
/// thread left, std::terminate exits with kExitNoThread. May run before static
/// constructors, some of which start threads.
/// @param descriptor  where to write until SetLastWords() is called
void InstallLastWords(int descriptor);

/// Writes the event unexpected_end without the logger, whose lock may be held.
/// Async-signal-safe; only the first call writes.
/// @param key  "signal" or "detail"
void WriteUnexpectedEnd(std::string_view key, std::string_view value);

}  // namespace cowslipknot
