#include "cowslipknot/coordination/fair_queue.h"

#include <algorithm>
#include <tuple>

namespace cowslipknot {
namespace {

/// Patient requests count as interactive after half of their time to the
/// deadline, so that interactive requests cannot starve them.
bool RanksAsInteractive(const AdmissionRequest& request, WallTime now) {
  if (request.request_class == RequestClass::kInteractive) return true;
  const std::int64_t half =
      (request.arrived.Count() + request.deadline.Count()) / 2;
  return now.Count() >= half;
}

}  // namespace

bool FairQueue::Fits(TokenCount cost) const {
  // A request larger than the limit is admitted when nothing else is in flight.
  // It would never be admitted otherwise.
  if (m_in_flight.Count() == 0) return true;
  return m_in_flight.Count() + cost.Count() <= m_limit.Count();
}

void FairQueue::Admit(const AdmissionRequest& request) {
  m_in_flight = TokenCount(m_in_flight.Count() + request.cost.Count());
  double& virtual_time = m_virtual_time[request.workspace];
  m_virtual_now = std::max(m_virtual_now, virtual_time);
  virtual_time = std::max(virtual_time, m_virtual_now) +
                 static_cast<double>(request.cost.Count()) / request.weight;
}

Admission FairQueue::Submit(const AdmissionRequest& request) {
  if (m_waiting.empty() && Fits(request.cost)) {
    Admit(request);
    return Admission::kAdmitted;
  }
  m_waiting.emplace(request.ticket, request);
  return Admission::kQueued;
}

std::map<std::uint64_t, AdmissionRequest>::iterator FairQueue::SelectNext(
    WallTime now) {
  const auto rank = [this, now](const AdmissionRequest& request) {
    return std::tuple(!RanksAsInteractive(request, now),
                      m_virtual_time[request.workspace], request.deadline,
                      request.ticket);
  };
  return std::min_element(m_waiting.begin(), m_waiting.end(),
                          [&rank](const auto& left, const auto& right) {
                            return rank(left.second) < rank(right.second);
                          });
}

std::vector<std::uint64_t> FairQueue::Release(TokenCount cost, WallTime now) {
  m_in_flight = TokenCount(m_in_flight.Count() -
                           std::min(m_in_flight.Count(), cost.Count()));
  std::vector<std::uint64_t> admitted;
  while (!m_waiting.empty()) {
    const auto next = SelectNext(now);
    if (!Fits(next->second.cost)) break;
    Admit(next->second);
    admitted.push_back(next->first);
    m_waiting.erase(next);
  }
  return admitted;
}

void FairQueue::Cancel(std::uint64_t ticket) { m_waiting.erase(ticket); }

}  // namespace cowslipknot
