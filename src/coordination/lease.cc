#include "cowslipknot/coordination/lease.h"

#include <boost/json.hpp>

namespace cowslipknot {
namespace {

namespace json = boost::json;

/// A holder stops acting after this part of the lease.
constexpr double kHolderPart = 0.7;
/// Another instance waits for this part before it takes the lease.
constexpr double kTakerPart = 1.3;
constexpr double kRenewPart = 0.3;

LeaseView::Time After(LeaseView::Time start, Milliseconds duration,
                      double part) {
  const auto ms = static_cast<double>(duration.count()) * part;
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
                        std::uint64_t version, Time now) {
  if (m_observed && version == m_version) return;
  m_observed = true;
  m_row = row;
  m_version = version;
  m_changed = now;
  m_own_write = false;
}

void LeaseView::NoteOwnWrite(const LeaseRow& row, std::uint64_t version,
                             Time sent) {
  Observe(row, version, sent);
  m_held_since = sent;
  m_own_write = true;
}

bool LeaseView::MayAct(Time now) const {
  if (!IsOwn() || !m_own_write) return false;
  return now < After(m_held_since, m_duration, kHolderPart);
}

bool LeaseView::MayTake(Time now) const {
  if (!m_observed) return false;
  if (!m_row) return true;
  return now >= After(m_changed, m_duration, kTakerPart);
}

bool LeaseView::ShouldRenew(Time now) const {
  return MayAct(now) && now >= After(m_held_since, m_duration, kRenewPart);
}

LeaseRow LeaseView::ReleasedRow() const {
  // The epoch stays, so that the next holder's is higher.
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
  next.epoch = m_own_write ? m_row->epoch : Epoch(m_row->epoch.Count() + 1);
  return next;
}

}  // namespace cowslipknot
