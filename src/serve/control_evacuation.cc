#include <algorithm>
#include <utility>

#include "cowslipknot/coordination/evacuation_request.h"
#include "cowslipknot/events.h"
#include "serve/control.h"

// Evacuation of failure domains by the operator's commands.
namespace cowslipknot {
namespace {

/// A change published beside the request is no reason to refuse it.
constexpr int kMaxAttempts = 3;

}  // namespace

Awaitable<Result<Revision>> Control::ChangeEvacuations(
    EvacuationRequest request) {
  for (int attempt = 1;; ++attempt) {
    const auto current = m_configuration_manager->Current();
    if (!current) co_return Fail(ResultCode::kNoConfiguration);
    if (!m_instances_known) {
      co_return Fail(ResultCode::kPlatformUnavailable,
                     "the instance list has not been received yet");
    }
    std::set<DomainId> listed;
    for (const auto& [id, record] : m_fleet.Records())
      listed.insert(record.domain);
    auto next = DecideEvacuations(current->evacuated, listed, request);
    if (!next) co_return tl::make_unexpected(next.error());
    if (*next == current->evacuated) co_return current->revision;
    Configuration changed = *current;
    changed.evacuated = std::move(*next);
    const auto published = co_await m_configuration_manager->Publish(
        current->revision, std::move(changed));
    const bool overtaken =
        !published && published.error().code == ResultCode::kRevisionConflict;
    if (!overtaken || attempt == kMaxAttempts) co_return published;
    co_await m_configuration_manager->Poll();
  }
}

void Control::LogEvacuations() {
  const auto& current = m_configuration_manager->Current();
  const auto before = std::exchange(m_evacuated, EvacuatedDomains(current));
  if (before == m_evacuated) return;
  const auto count_in = [this](const DomainId& domain) {
    const auto& records = m_fleet.Records();
    return std::count_if(
        records.begin(), records.end(), [&domain](const auto& entry) {
          return entry.second.kind != "entry" && entry.second.domain == domain;
        });
  };
  for (const auto& domain : m_evacuated) {
    if (before.contains(domain)) continue;
    const auto inside = count_in(domain);
    LogEvent(Event::kEvacuationBegun,
             {{"domain", domain.Text()}, {"servers", std::to_string(inside)}});
    if (inside == 0 && m_instances_known)
      LogEvent(Event::kEvacuationEmpty, {{"domain", domain.Text()}});
  }
  for (const auto& domain : before) {
    if (m_evacuated.contains(domain)) continue;
    LogEvent(Event::kEvacuationEnded,
             {{"domain", domain.Text()},
              {"servers", std::to_string(count_in(domain))}});
  }
  if (!current) return;
  const auto all = m_fleet.Available();
  const auto left = m_fleet.Available(m_evacuated);
  std::map<ServiceId, bool> has_server;  // of the services that had one
  for (const auto& [name, version] : current->objects.versions) {
    if (!all.contains(version.pool)) continue;
    bool& has = has_server[version.service];
    has = has || left.contains(version.pool);
  }
  for (const auto& [service, has] : has_server) {
    if (!has)
      LogEvent(Event::kEvacuationLeavesNone, {{"service", service.Text()}});
  }
}

}  // namespace cowslipknot
