#include "cowslipknot/coordination/lease.h"

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
constexpr double kRenewFraction = 0.3;

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
  return json::serialize(encoded);
}

std::optional<LeaseRow> DecodeLease(const std::string& text) {
  LeaseRow row;
  try {
    const json::value parsed = json::parse(text);
    row.holder = NodeId(std::string(parsed.at("holder").as_string()));
    row.epoch = Epoch(parsed.at("epoch").to_number<std::uint64_t>());
    row.renewal = parsed.at("renewal").to_number<std::uint64_t>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return row;
}

void LeaseView::Observe(const std::optional<LeaseRow>& row,
                        const StorePosition& position, Time now) {
  if (m_observed && position == m_position) return;
  m_observed = true;
  m_row = row;
  m_position = position;
  m_row_seen = now;
  m_written_here = false;
}

void LeaseView::RecordOwnWrite(const LeaseRow& row,
                               const StorePosition& position, Time sent) {
  Observe(row, position, sent);
  m_renewed = sent;
  m_written_here = true;
}

bool LeaseView::MayAct(Time now) const {
  if (!IsNamedHolder() || !m_written_here) return false;
  return now < After(m_renewed, m_duration, kHolderFraction);
}

bool LeaseView::MayAcquire(Time now) const {
  if (!m_observed) return false;
  if (!m_row) return true;
  return now >= After(m_row_seen, m_duration, kTakeoverFactor);
}

bool LeaseView::ShouldRenew(Time now) const {
  return MayAct(now) && now >= After(m_renewed, m_duration, kRenewFraction);
}

LeaseRow LeaseView::ReleasedRow() const {
  // Keep the epoch, so that the next holder's epoch is higher.
  LeaseRow row = NextRow();
  row.holder = NodeId();
  return row;
}

LeaseRow LeaseView::NextRow() const {
  LeaseRow next;
  next.holder = m_self;
  if (!m_row) {
    next.epoch = Epoch(1);
    return next;
  }
  next.renewal = m_row->renewal + 1;
  next.epoch = m_written_here ? m_row->epoch : Epoch(m_row->epoch.Count() + 1);
  return next;
}

}  // namespace cowslipknot
