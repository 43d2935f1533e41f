#include "state/section_reader.h"

#include <algorithm>

#include "base/endpoint_text.h"

namespace cowslipknot {

std::optional<toml::table> ParseToml(std::string_view text,
                                     const std::string& file,
                                     std::vector<ObjectProblem>& problems) {
  toml::parse_result parsed = toml::parse(text);
  if (parsed) return std::move(parsed).table();
  const toml::parse_error& error = parsed.error();
  problems.push_back({file, static_cast<int>(error.source().begin.line), "file",
                      std::string(error.description())});
  return std::nullopt;
}

Endpoint ReadEndpoint(ObjectReader& reader, const std::string& key) {
  const std::string text = reader.String(key, true);
  if (text.empty()) return {};
  const auto endpoint = ParseEndpointText(text);
  if (!endpoint) reader.Report("'" + key + "' must be an IP address and port");
  return endpoint.value_or(Endpoint());
}

const toml::table* SectionReader::Find(const std::string& name, bool required) {
  m_known.push_back(name);
  const toml::node* node = m_root.get(name);
  if (node == nullptr) {
    if (required) m_problems.push_back({m_file, 1, name, "section is missing"});
    return nullptr;
  }
  const toml::table* table = node->as_table();
  if (table == nullptr) {
    const auto line = static_cast<int>(node->source().begin.line);
    m_problems.push_back({m_file, line, name, "must be a section"});
  }
  return table;
}

void SectionReader::Finish() {
  for (const auto& [key, node] : m_root) {
    const std::string name(key.str());
    if (std::find(m_known.begin(), m_known.end(), name) != m_known.end()) {
      continue;
    }
    const std::string suggestion = SuggestName(name, m_known);
    const auto line = static_cast<int>(node.source().begin.line);
    m_problems.push_back(
        {m_file, line, name,
         "unknown section" + (suggestion.empty()
                                  ? std::string()
                                  : "; did you mean '" + suggestion + "'?")});
  }
}

}  // namespace cowslipknot
