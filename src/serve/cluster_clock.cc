#include "serve/cluster_clock.h"

#include <charconv>

namespace cowslipknot::gateway {
namespace {

/// A new sample of the store's clock replaces the current one only if its round
/// trip is at most this much longer.
constexpr std::chrono::milliseconds kMaxRoundTripIncrease(3);
/// Time for which a process that does not know the shared time waits for one
/// that does: two reports of that one.
constexpr std::chrono::seconds kKnownTimeWait(3);

template <class Number>
bool ParseNumber(std::string_view text, Number& number) {
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

std::string EncodeClock(const ClockRow& row) {
  return std::to_string(row.offset.count()) + " " +
         std::to_string(row.era.Count());
}

std::optional<ClockRow> DecodeClock(std::string_view text) {
  std::int64_t offset = 0;
  std::uint64_t era = 0;
  const std::size_t space = text.find(' ');
  if (!ParseNumber(text.substr(0, space), offset)) return std::nullopt;
  const bool has_era = space != std::string_view::npos;
  if (has_era && !ParseNumber(text.substr(space + 1), era)) return std::nullopt;
  return ClockRow{Milliseconds(offset), StoreEra(era)};
}

void ClusterClock::AddSample(StoreEra era, Milliseconds store_time,
                             std::chrono::nanoseconds sent_at,
                             std::chrono::nanoseconds received_at) {
  if (m_sample && era < m_sample->era) return;
  if (!m_sample || era > m_sample->era) {
    m_earlier_offset = OffsetFromBoot();
    m_offset.reset();
    m_sample.reset();
    m_era_seen = received_at;
  }
  const auto round_trip = received_at - sent_at;
  const auto midpoint = sent_at + round_trip / 2;
  const Sample sample{era, store_time - midpoint, round_trip};
  if (!m_sample || round_trip <= m_sample->round_trip + kMaxRoundTripIncrease) {
    m_sample = sample;
  }
}

bool ClusterClock::SetOffset(const ClockRow& row) {
  if (m_offset || !m_sample || row.era != m_sample->era) return false;
  m_offset = row.offset;
  return true;
}

std::optional<ClockRow> ClusterClock::ProposeOffset(
    WallTime wall, std::chrono::nanoseconds now) const {
  if (!m_sample) return std::nullopt;
  const bool may_be_known =
      m_sample->era > StoreEra(0) && now - m_era_seen < kKnownTimeWait;
  if (!m_earlier_offset && may_be_known) return std::nullopt;
  const auto shared =
      m_earlier_offset ? now + *m_earlier_offset
                       : std::chrono::nanoseconds(Milliseconds(wall.Count()));
  const auto store_now = now + m_sample->store_minus_boot;
  return ClockRow{std::chrono::round<Milliseconds>(shared - store_now),
                  m_sample->era};
}

std::optional<std::chrono::nanoseconds> ClusterClock::OffsetFromBoot() const {
  if (!m_sample || !m_offset) return m_earlier_offset;
  return m_sample->store_minus_boot + *m_offset;
}

}  // namespace cowslipknot::gateway
