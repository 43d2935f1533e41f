#pragma once

#include <toml++/toml.h>

#include <string>
#include <vector>

#include "cowslipknot/state/objects.h"

namespace cowslipknot {

/// Reads typed fields of one TOML table and collects problems.
///
/// Call Finish() last: it reports unknown keys, which are those not yet read.
class ObjectReader {
 public:
  ObjectReader(const toml::table& table, std::string kind,
               const std::string& file, std::vector<ObjectProblem>& problems);

  std::string Name();
  bool Has(const std::string& key) const { return m_table.contains(key); }
  std::string String(const std::string& key, bool required);
  std::vector<std::string> StringList(const std::string& key);
  bool Flag(const std::string& key, bool fallback);
  double Number(const std::string& key, double fallback, double low,
                double high);
  std::int64_t Integer(const std::string& key, std::int64_t fallback,
                       std::int64_t low, std::int64_t high);
  Milliseconds Duration(const std::string& key, Milliseconds fallback);
  /// Returns the index of the value in `choices`; 0 if the key is absent.
  std::size_t Choice(const std::string& key,
                     const std::vector<std::string>& choices);
  void Report(const std::string& message);
  void Finish();

 private:
  const toml::node* Find(const std::string& key, bool required);
  void ReportInvalidValue(const std::string& key, const std::string& expected);

  const toml::table& m_table;
  std::string m_kind;
  std::string m_name;
  const std::string& m_file;
  std::vector<ObjectProblem>& m_problems;
  std::vector<std::string> m_known;
};

}  // namespace cowslipknot
