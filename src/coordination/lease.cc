#include "cowslipknot/coordination/lease.h"

#include <algorithm>
#include <boost/json.hpp>

namespace cowslipknot {
namespace {

namespace json = boost::json;

/// The holder stops acting after this fraction of the lease duration.
constexpr double kHolderFraction = 0.7;
/// Another instance takes the lease only after this multiple of its duration
/// without a change. The gap to kHolderFraction is the safety margin.
constexpr double kTakeoverFactor = 1.3;
/// The holder renews the lease after this fraction of its duration.
constexpr double kRenewFraction = 0.25;

LeaseView::Time After(LeaseView::Time start, Milliseconds duration,
                      double factor) {
  const auto ms = static_cast<double>(duration.count()) * factor;
  return start + Milliseconds(static_cast<std::int64_t>(ms));
}

}  // namespace

std::string EncodeLease(const LeaseRow& row) {
  json::object encoded;
  encoded["holder"] = row.holder.Text();
  encoded["epoch"] = row.epoch.Count();
  encoded["renewal"] = row.renewal;
  encoded["era"] = row.era.Count();
  encoded["process"] = row.process;
  return json::serialize(encoded);
}

std::optional<LeaseRow> DecodeLease(const std::string& text) {
  LeaseRow row;
  try {
    const json::value parsed = json::parse(text);
    row.holder = NodeId(std::string(parsed.at("holder").as_string()));
    row.epoch = Epoch(parsed.at("epoch").to_number<std::uint64_t>());
    row.renewal = parsed.at("renewal").to_number<std::uint64_t>();
    if (const auto* era = parsed.as_object().if_contains("era")) {
      row.era = StoreEra(era->to_number<std::uint64_t>());
    }
    if (const auto* process = parsed.as_object().if_contains("process")) {
      row.process = process->to_number<std::uint64_t>();
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return row;
}

std::optional<Epoch> EpochOf(const LeaseRow& row,
                             const StorePosition& position) {
  if (row.epoch.Count() > 0) return row.epoch;
  if (!IsCurrent(row, position)) return std::nullopt;
  return EpochAt(position);
}

void LeaseView::Observe(const std::optional<LeaseRow>& row,
                        const StorePosition& position, Time now) {
  if (m_observed && position == m_position) return;
  if (m_observed && position.era < m_position.era) return;
  if (row && m_sent && *row == m_sent->row && IsCurrent(*row, position)) {
    RecordOwnWrite(*row, position, m_sent->sent);
    return;
  }
  m_observed = true;
  m_row = row;
  m_position = position;
  m_row_seen = now;
  m_written_here = false;
  if (!HasCurrentRow()) return;
  m_renewed.reset();
  m_epoch = EpochOf(*m_row, m_position).value_or(Epoch(0));
}

void LeaseView::RecordSent(const LeaseRow& row, Time sent) {
  // Either of two equal writes may be the one that takes effect.
  if (m_sent && m_sent->row == row) return;
  m_sent = SentRow{row, sent};
}

void LeaseView::RecordRefused(Time sent) {
  if (m_sent && m_sent->sent == sent) m_sent.reset();
}

void LeaseView::RecordOwnWrite(const LeaseRow& row,
                               const StorePosition& position, Time sent) {
  if (!IsCurrent(row, position)) return;
  const Epoch epoch = EpochOf(row, position).value_or(Epoch(0));
  if (epoch != m_epoch && !MayAct(sent)) m_first_epoch = epoch;
  m_observed = true;
  m_row = row;
  m_position = position;
  m_row_seen = sent;
  m_written_here = true;
  m_epoch = epoch;
  m_renewed.reset();
  if (row.holder == m_self) m_renewed = sent;
}

std::chrono::nanoseconds LeaseView::TimeToAct(Time now) const {
  if (!m_renewed) return std::chrono::nanoseconds(0);
  const auto left = After(*m_renewed, m_duration, kHolderFraction) - now;
  return std::max<std::chrono::nanoseconds>(left, std::chrono::nanoseconds(0));
}

bool LeaseView::MayAcquire(Time now) const {
  if (!m_observed) return false;
  // In the first era no row was lost.
  if (!m_position.IsKnown() && m_position.era == StoreEra(0)) return true;
  return now >= After(m_row_seen, m_duration, kTakeoverFactor);
}

bool LeaseView::ShouldRenew(Time now) const {
  if (!MayAct(now)) return false;
  return !m_written_here ||
         now >= After(*m_renewed, m_duration, kRenewFraction);
}

LeaseRow LeaseView::ReleasedRow() const {
  LeaseRow row = NextRow();
  row.holder = NodeId();
  return row;
}

LeaseRow LeaseView::NextRow() const {
  LeaseRow next;
  next.holder = m_self;
  next.era = m_position.era;
  next.process = m_process;
  if (m_row) next.renewal = m_row->renewal + 1;
  const bool renews = m_written_here && m_row->holder == m_self;
  if (renews) next.epoch = m_epoch;
  return next;
}

}  // namespace cowslipknot
