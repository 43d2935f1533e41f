#pragma once

#include <string>

namespace cowslipknot {

/// Writes lines to a descriptor without blocking on its reader, and never
/// joins parts of two lines. Not thread-safe.
class LineWriter {
 public:
  explicit LineWriter(int descriptor);

  /// Writes a line, without its newline; longer lines than a pipe accepts at
  /// once are cut.
  /// @return false if the line was dropped
  bool Write(const std::string& line);

  /// The descriptor that is written to.
  int Descriptor() const { return m_descriptor; }

 private:
  /// Returns how many bytes were written.
  std::size_t WriteSome(const std::string& text) const;

  int m_descriptor;
  bool m_socket;
  std::string m_rest;  ///< end of a line whose begin was written
};

}  // namespace cowslipknot
