#include "protocol/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace cowslipknot {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kEventEndCrLf = "\r\n\r\n";
constexpr std::string_view kIdField = "id:";

}  // namespace

void EventSplitter::NoteEvent(std::string_view event) {
  ++m_events;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view()
                                          : event.substr(end + 1);
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto [rest, error] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc()) m_last_id = id;
  }
}

std::string EventSplitter::Feed(std::string_view bytes) {
  m_rest += bytes;
  std::size_t cut = 0;
  while (true) {
    const std::size_t from = std::max(cut, m_scanned);
    const std::size_t plain = m_rest.find(kEventEnd, from);
    const std::size_t crlf = m_rest.find(kEventEndCrLf, from);
    if (plain == std::string::npos && crlf == std::string::npos) break;
    const std::size_t end =
        crlf < plain ? crlf + kEventEndCrLf.size() : plain + kEventEnd.size();
    const std::string_view buffered = m_rest;
    NoteEvent(buffered.substr(cut, end - cut));
    cut = end;
    m_scanned = cut;
  }
  if (m_rest.size() - cut > kMaxEventBytes) cut = m_rest.size();
  std::string whole = m_rest.substr(0, cut);
  m_rest.erase(0, cut);
  const std::size_t overlap = kEventEndCrLf.size() - 1;
  m_scanned = m_rest.size() > overlap ? m_rest.size() - overlap : 0;
  return whole;
}

}  // namespace cowslipknot
