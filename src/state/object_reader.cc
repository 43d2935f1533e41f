#include "state/object_reader.h"

#include <algorithm>
#include <sstream>

namespace cowslipknot {
namespace {

constexpr std::int64_t kMaxDurationMs = 30LL * 24 * 3600000;

}  // namespace

ObjectReader::ObjectReader(const toml::table& table, std::string kind,
                           const std::string& file,
                           std::vector<ObjectProblem>& problems)
    : m_table(table),
      m_kind(std::move(kind)),
      m_file(file),
      m_problems(problems) {}

void ObjectReader::Report(const std::string& message) {
  const std::string object = m_name.empty() ? m_kind : m_kind + " " + m_name;
  const auto line = static_cast<int>(m_table.source().begin.line);
  m_problems.push_back({m_file, line, object, message});
}

const toml::node* ObjectReader::Find(const std::string& key, bool required) {
  m_known.push_back(key);
  const toml::node* node = m_table.get(key);
  if (node == nullptr && required) Report("'" + key + "' is missing");
  return node;
}

void ObjectReader::ReportInvalidValue(const std::string& key,
                                      const std::string& expected) {
  Report("'" + key + "' must be " + expected);
}

std::string ObjectReader::Name() {
  m_name = String("name", true);
  return m_name;
}

std::string ObjectReader::String(const std::string& key, bool required) {
  const toml::node* node = Find(key, required);
  if (node == nullptr) return {};
  const auto text = node->value_exact<std::string>();
  if (!text || text->empty()) {
    ReportInvalidValue(key, "a non-empty string");
    return {};
  }
  return *text;
}

std::vector<std::string> ObjectReader::StringList(const std::string& key) {
  const toml::node* node = Find(key, true);
  if (node == nullptr) return {};
  const toml::array* list = node->as_array();
  if (list == nullptr || list->empty()) {
    ReportInvalidValue(key, "a non-empty list of strings");
    return {};
  }
  std::vector<std::string> texts;
  for (const toml::node& item : *list) {
    const auto text = item.value_exact<std::string>();
    if (text) {
      texts.push_back(*text);
    } else {
      ReportInvalidValue(key, "a non-empty list of strings");
    }
  }
  return texts;
}

bool ObjectReader::Flag(const std::string& key, bool fallback) {
  const toml::node* node = Find(key, false);
  if (node == nullptr) return fallback;
  const auto flag = node->value_exact<bool>();
  if (!flag) ReportInvalidValue(key, "true or false");
  return flag.value_or(fallback);
}

double ObjectReader::Number(const std::string& key, double fallback, double low,
                            double high) {
  const toml::node* node = Find(key, false);
  if (node == nullptr) return fallback;
  const auto number = node->value<double>();
  if (!number || *number < low || *number > high) {
    std::ostringstream expected;
    expected << "a number from " << low << " to " << high;
    ReportInvalidValue(key, expected.str());
    return fallback;
  }
  return *number;
}

std::int64_t ObjectReader::Integer(const std::string& key,
                                   std::int64_t fallback, std::int64_t low,
                                   std::int64_t high) {
  const toml::node* node = Find(key, false);
  if (node == nullptr) return fallback;
  const auto number = node->value_exact<std::int64_t>();
  if (!number || *number < low || *number > high) {
    ReportInvalidValue(key, "an integer from " + std::to_string(low) + " to " +
                                std::to_string(high));
    return fallback;
  }
  return *number;
}

Milliseconds ObjectReader::Duration(const std::string& key,
                                    Milliseconds fallback) {
  return Milliseconds(Integer(key, fallback.count(), 1, kMaxDurationMs));
}

std::size_t ObjectReader::Choice(const std::string& key,
                                 const std::vector<std::string>& choices) {
  const toml::node* node = Find(key, false);
  if (node == nullptr) return 0;
  const auto text = node->value_exact<std::string>();
  const auto found =
      std::find(choices.begin(), choices.end(), text.value_or(std::string()));
  if (found == choices.end()) {
    std::string expected = "one of";
    for (const auto& choice : choices) expected += " '" + choice + "'";
    ReportInvalidValue(key, expected);
    return 0;
  }
  return static_cast<std::size_t>(found - choices.begin());
}

void ObjectReader::Finish() {
  for (const auto& [key, node] : m_table) {
    const std::string name(key.str());
    if (std::find(m_known.begin(), m_known.end(), name) != m_known.end()) {
      continue;
    }
    const std::string suggestion = SuggestName(name, m_known);
    Report("unknown key '" + name + "'" +
           (suggestion.empty() ? "" : "; did you mean '" + suggestion + "'?"));
  }
}

}  // namespace cowslipknot
