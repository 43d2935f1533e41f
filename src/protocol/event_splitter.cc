#include "protocol/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cowslipknot {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kEventEndCrLf = "\r\n\r\n";
constexpr std::string_view kIdField = "id:";

struct EventFields {
  bool any = false;  ///< not only comments
  std::optional<std::uint64_t> id;
};

EventFields ParseEvent(std::string_view event) {
  EventFields fields;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view()
                                          : event.substr(end + 1);
    fields.any = fields.any ||
                 (!line.empty() && line.front() != ':' && line.front() != '\r');
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto [rest, error] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc()) fields.id = id;
  }
  return fields;
}

}  // namespace

bool EventSplitter::MayFollow(std::uint64_t id) {
  const bool is_first_of_source = std::exchange(m_source_changed, false);
  if (!m_last_id) return true;
  const bool is_successor = id == *m_last_id + 1;
  if (is_first_of_source && !m_has_gaps) return is_successor;
  m_has_gaps = m_has_gaps || !is_successor;
  return id > *m_last_id;
}

bool EventSplitter::RecordEvent(std::string_view event) {
  const EventFields fields = ParseEvent(event);
  if (fields.id && !MayFollow(*fields.id)) return false;
  if (fields.id) m_last_id = fields.id;
  ++m_events;
  if (fields.any) ++m_field_events;
  return true;
}

std::string EventSplitter::Feed(std::string_view bytes) {
  m_buffer += bytes;
  std::size_t consumed = 0;
  while (true) {
    const std::size_t from = std::max(consumed, m_scanned);
    const std::size_t lf_position = m_buffer.find(kEventEnd, from);
    const std::size_t crlf_position = m_buffer.find(kEventEndCrLf, from);
    if (lf_position == std::string::npos && crlf_position == std::string::npos)
      break;
    const std::size_t end = crlf_position < lf_position
                                ? crlf_position + kEventEndCrLf.size()
                                : lf_position + kEventEnd.size();
    const std::string_view buffer = m_buffer;
    if (!RecordEvent(buffer.substr(consumed, end - consumed))) {
      m_out_of_order = true;
      m_buffer.resize(consumed);
      break;
    }
    consumed = end;
    m_scanned = consumed;
  }
  std::string complete = m_buffer.substr(0, consumed);
  m_buffer.erase(0, consumed);
  const std::size_t overlap = kEventEndCrLf.size() - 1;
  m_scanned = m_buffer.size() > overlap ? m_buffer.size() - overlap : 0;
  return complete;
}

}  // namespace cowslipknot
