#pragma once

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/object_reader.h"

namespace cowslipknot {

/// Parses a settings file.
/// @return nullopt if the text is not valid TOML; adds the error to `problems`
std::optional<toml::table> ParseToml(std::string_view text,
                                     const std::string& file,
                                     std::vector<ObjectProblem>& problems);

/// Reads a required "IP:port" field and reports an invalid one.
Endpoint ReadEndpoint(ObjectReader& reader, const std::string& key);

/// Reads the [sections] of a settings file one at a time. A required section
/// that is missing is an error.
class SectionReader {
 public:
  SectionReader(const toml::table& root, const std::string& file,
                std::vector<ObjectProblem>& problems)
      : m_root(root), m_file(file), m_problems(problems) {}

  template <class Read>
  void Section(const std::string& name, bool required, Read read) {
    const toml::table* table = Find(name, required);
    if (table == nullptr) return;
    ObjectReader reader(*table, name, m_file, m_problems);
    read(reader);
    reader.Finish();
  }

  /// Reports unknown sections, which are those not yet read.
  void Finish();

 private:
  const toml::table* Find(const std::string& name, bool required);

  const toml::table& m_root;
  const std::string& m_file;
  std::vector<ObjectProblem>& m_problems;
  std::vector<std::string> m_known;
};

}  // namespace cowslipknot
