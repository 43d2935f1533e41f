#pragma once

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/object_reader.h"

namespace cowslipknot {

/// Parses a settings file.
/// @return nothing when it is no TOML; the problem is then added
std::optional<toml::table> ParseToml(std::string_view text,
                                     const std::string& file,
                                     std::vector<ObjectProblem>& problems);

/// Reads a required "IP:port" field; reports what is no endpoint.
Endpoint ReadEndpoint(ObjectReader& reader, const std::string& key);

/// Reads one [section] at a time; a section that is missing is an error.
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

  /// Reports the sections that nothing asked for.
  void Finish();

 private:
  const toml::table* Find(const std::string& name, bool required);

  const toml::table& m_root;
  const std::string& m_file;
  std::vector<ObjectProblem>& m_problems;
  std::vector<std::string> m_known;
};

}  // namespace cowslipknot
