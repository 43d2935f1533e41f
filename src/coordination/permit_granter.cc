#include "cowslipknot/coordination/permit_granter.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "cowslipknot/coordination/rendezvous.h"

namespace cowslipknot {
namespace {

/// Lowest rate of the main granter: without any request the end of a limit
/// would not be noticed.
constexpr double kProbesPerSecond = 0.2;
/// Limit above which an answer carries several permits, and how many for each
/// request a second, so that not each request waits for an answer.
constexpr double kSinglePermitLimit = 20;
constexpr double kPermitsPerRate = 0.05;
constexpr double kMaxPermits = 50;
/// A token that is free may be had by whoever asks, so nobody stays away for
/// longer.
constexpr std::chrono::milliseconds kMaxWait(1000);

double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Domains in the order of their weight for a server.
std::vector<DomainId> RankDomains(
    const ServerId& server, const std::vector<PermitInstance>& instances) {
  std::set<DomainId> domains;
  for (const auto& instance : instances) domains.insert(instance.domain);
  std::vector<DomainId> ranked(domains.begin(), domains.end());
  std::sort(ranked.begin(), ranked.end(),
            [&server](const DomainId& left, const DomainId& right) {
              return RendezvousWeight(server.Text(), left.Text()) >
                     RendezvousWeight(server.Text(), right.Text());
            });
  return ranked;
}

template <class Predicate>
std::optional<NodeId> ChooseFirst(const ServerId& server,
                                  const std::vector<PermitInstance>& instances,
                                  const Predicate& may_be) {
  std::optional<NodeId> first;
  std::uint64_t highest = 0;
  for (const auto& instance : instances) {
    if (!may_be(instance)) continue;
    const auto weight = RendezvousWeight(server.Text(), instance.node.Text());
    if (first && weight <= highest) continue;
    highest = weight;
    first = instance.node;
  }
  return first;
}

}  // namespace

std::optional<NodeId> ChooseGranter(
    const ServerId& server, const std::vector<PermitInstance>& instances) {
  return ChooseFirst(server, instances, [](const auto&) { return true; });
}

std::optional<NodeId> ChooseSubstitute(
    const ServerId& server, const DomainId& domain,
    const std::vector<PermitInstance>& instances) {
  std::vector<DomainId> domains = RankDomains(server, instances);
  if (domains.size() > kMaxSubstituteDomains)
    domains.resize(kMaxSubstituteDomains);
  if (std::find(domains.begin(), domains.end(), domain) == domains.end())
    return std::nullopt;
  const auto granter = ChooseGranter(server, instances);
  return ChooseFirst(server, instances, [&](const PermitInstance& instance) {
    return instance.domain == domain && instance.node != granter;
  });
}

double SubstituteShare(const std::vector<PermitInstance>& instances) {
  std::set<DomainId> domains;
  for (const auto& instance : instances) domains.insert(instance.domain);
  const std::size_t substitutes =
      std::clamp<std::size_t>(domains.size(), 1, kMaxSubstituteDomains);
  return kSubstituteFraction / static_cast<double>(substitutes);
}

GranterRole FindRole(const ServerId& server, const NodeId& self,
                     const std::vector<PermitInstance>& instances) {
  if (ChooseGranter(server, instances) == self) return GranterRole::kMain;
  for (const auto& instance : instances) {
    if (instance.node != self) continue;
    if (ChooseSubstitute(server, instance.domain, instances) == self)
      return GranterRole::kSubstitute;
  }
  return GranterRole::kNone;
}

void PermitGranter::SetRole(GranterRole role, Time since) {
  if (role == m_role) return;
  m_role = role;
  m_since = since;
  m_per_s = 0;
  m_level = 0;
  m_next_asks.clear();
}

void PermitGranter::Refill(Time now) {
  const double elapsed = std::max(0.0, Seconds(now - m_updated));
  m_level = std::min(m_capacity, m_level + m_per_s * elapsed);
  m_updated = now;
}

std::optional<PermitAnswer> PermitGranter::Ask(GranterRole role,
                                               const NodeId& asker,
                                               RequestRate limit, double share,
                                               Time now) {
  const bool may_grant = role == m_role && role != GranterRole::kNone &&
                         now - m_since >= m_hand_over;
  if (!may_grant) return std::nullopt;
  // The time until now counts at the rate that was in force.
  Refill(now);
  m_per_s = limit.Count() * share;
  m_capacity = kSubstituteBurst;
  if (role == GranterRole::kMain) {
    m_per_s = std::max(m_per_s, kProbesPerSecond);
    m_capacity = kMainBurst + kBurstPerRate * m_per_s;
  }
  m_level = std::min(m_level, m_capacity);
  m_next_asks.erase(asker);
  PermitAnswer answer;
  if (m_level < 1) {
    answer.wait = ScheduleAsker(asker, now);
    return answer;
  }
  const double most =
      m_per_s > kSinglePermitLimit
          ? std::min(kMaxPermits, std::floor(m_per_s * kPermitsPerRate))
          : 1;
  const double granted = std::max(1.0, std::min(most, std::floor(m_level)));
  m_level -= granted;
  answer.permits = static_cast<std::uint32_t>(granted);
  return answer;
}

std::chrono::milliseconds PermitGranter::ScheduleAsker(const NodeId& asker,
                                                       Time now) {
  std::erase_if(m_next_asks,
                [now](const auto& next) { return next.second <= now; });
  const double tokens_ahead = static_cast<double>(m_next_asks.size());
  const double missing = 1 - m_level + tokens_ahead;
  const double max_s = Seconds(kMaxWait);
  const double wait_s = m_per_s * max_s <= missing ? max_s : missing / m_per_s;
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(wait_s));
  m_next_asks[asker] = now + wait;
  return wait;
}

void HeldPermits::Add(std::uint32_t permits, Time now) {
  if (now >= m_valid_until) m_permits = 0;
  m_permits += permits;
  m_valid_until = now + kPermitLifetime;
}

bool HeldPermits::Take(Time now) {
  if (m_permits == 0 || now >= m_valid_until) return false;
  --m_permits;
  return true;
}

}  // namespace cowslipknot
