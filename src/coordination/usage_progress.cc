#include "cowslipknot/gateway/usage_progress.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace cowslipknot::gateway {
namespace {

namespace json = boost::json;

/// Windows whose counts are remembered; more than are ever reported late.
constexpr std::size_t kRememberedWindows = 64;
constexpr char kCountsField[] = "counts";

bool ParseNumber(std::string_view text, std::uint64_t& number) {
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

std::string EncodeUsageDone(const UsageDoneRow& row) {
  return std::to_string(row.window) + " " + std::to_string(row.era.Count());
}

std::optional<UsageDoneRow> DecodeUsageDone(std::string_view text) {
  UsageDoneRow row;
  const std::size_t space = text.find(' ');
  if (!ParseNumber(text.substr(0, space), row.window)) return std::nullopt;
  if (space == std::string_view::npos) return row;
  std::uint64_t era = 0;
  if (!ParseNumber(text.substr(space + 1), era)) return std::nullopt;
  row.era = StoreEra(era);
  return row;
}

std::string EncodeUsageCounts(const UsageCountsRow& row) {
  json::object encoded;
  encoded["era"] = row.era.Count();
  encoded[kCountsField] = json::parse(EncodeCounts(row.counts));
  return json::serialize(encoded);
}

std::optional<UsageCountsRow> DecodeUsageCounts(std::string_view text) {
  UsageCountsRow row;
  std::optional<WindowCounts> counts;
  try {
    const json::value parsed = json::parse(text);
    const json::value* inner = parsed.as_object().if_contains(kCountsField);
    const bool has_era = inner != nullptr && inner->is_object();
    if (has_era) {
      row.era = StoreEra(parsed.at("era").to_number<std::uint64_t>());
    }
    counts =
        has_era ? DecodeCounts(json::serialize(*inner)) : DecodeCounts(text);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  if (!counts) return std::nullopt;
  row.counts = std::move(*counts);
  return row;
}

void UsageProgress::Observe(const Reading& reading) {
  if (m_era && reading.era < *m_era) return;
  if (!m_era || reading.era > *m_era) {
    const bool reported_all = m_era && m_held && reading.held == m_held;
    m_era = reading.era;
    m_has_done_row = false;
    // Nothing was lost before the first restore.
    if (!reported_all && reading.era > StoreEra(0)) m_awaits_time = true;
  }
  m_held = reading.held;
  if (reading.done) RecordDone(reading.done->window);
  m_has_done_row = reading.done && reading.done->era == reading.era;
  if (m_has_done_row) {
    m_awaits_time = false;
    m_uncertain_until.reset();
  }
  if (m_awaits_time && reading.last_fixed) {
    m_uncertain_until = std::max(m_uncertain_until, reading.last_fixed);
    m_awaits_time = false;
  }
  for (const auto& [window, row] : reading.counts) {
    if (row.era == reading.era) RecordFixed(window, row.counts);
  }
}

void UsageProgress::RecordFixed(std::uint64_t window,
                                const WindowCounts& counts) {
  const auto [known, is_new] = m_fixed.try_emplace(window, Fixed{counts, {}});
  known->second.era = m_era.value_or(StoreEra(0));
  if (known->second.counts != counts) known->second.counts.reset();
  while (m_fixed.size() > kRememberedWindows) m_fixed.erase(m_fixed.begin());
}

void UsageProgress::RecordDone(std::uint64_t window) {
  m_done = std::max(m_done.value_or(window), window);
}

bool UsageProgress::MustSkip(std::uint64_t window) const {
  const auto known = m_fixed.find(window);
  if (known != m_fixed.end()) return !known->second.counts;
  return m_uncertain_until && window <= *m_uncertain_until;
}

std::optional<WindowCounts> UsageProgress::FixedCounts(
    std::uint64_t window) const {
  const auto known = m_fixed.find(window);
  if (known == m_fixed.end()) return std::nullopt;
  return known->second.counts;
}

bool UsageProgress::IsFixedInEra(std::uint64_t window) const {
  const auto known = m_fixed.find(window);
  return known != m_fixed.end() && known->second.era == m_era;
}

bool UsageProgress::IsComplete() const {
  if (!IsReady() || !m_done) return false;
  if (m_uncertain_until && *m_done < *m_uncertain_until) return false;
  return std::all_of(m_fixed.upper_bound(*m_done), m_fixed.end(),
                     [this](const auto& item) {
                       return item.second.era == m_era && item.second.counts;
                     });
}

UsageDoneRow UsageProgress::DoneRow() const {
  UsageDoneRow row;
  row.window = m_done.value_or(0);
  if (IsComplete()) row.era = *m_era;
  return row;
}

bool UsageProgress::NeedsDoneRow() const {
  return IsComplete() && !m_has_done_row;
}

}  // namespace cowslipknot::gateway
