#include "cowslipknot/gateway/fleet_view.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

#include "base/endpoint_text.h"

namespace cowslipknot::gateway {
namespace {

/// In a domain with fewer instances, relaying saves less than the second relay
/// costs.
constexpr std::size_t kMinRelayedInstances = 4;
/// Relays of a domain. The second one is read from while the first one does not
/// respond.
constexpr std::size_t kRelaysPerDomain = 2;

}  // namespace

FleetView SummarizeReports(const std::vector<const InstanceReport*>& serving) {
  FleetView view;
  for (const auto* report : serving) {
    view.serving.push_back(
        {report->node, report->domain, report->peers, report->started_ms});
    for (const auto& [workspace, rate] : report->demand) {
      view.demand[workspace] += rate;
    }
  }
  std::sort(view.serving.begin(), view.serving.end());
  return view;
}

std::uint64_t DigestInstances(const std::vector<InstanceSummary>& serving) {
  std::string text;
  for (const auto& instance : serving) {
    text += instance.node.Text() + ' ' + instance.domain.Text() + ' ';
    if (instance.peers) text += FormatEndpoint(*instance.peers);
    text += ' ' + std::to_string(instance.started_ms) + '\n';
  }
  return XXH3_64bits(text.data(), text.size());
}

bool IsSameProcess(const InstanceSummary& left, const InstanceSummary& right) {
  return left.node == right.node && left.started_ms == right.started_ms;
}

std::vector<InstanceSummary> SelectRelays(const FleetView& fleet,
                                          const DomainId& domain) {
  std::vector<InstanceSummary> candidates;
  for (const auto& instance : fleet.serving) {
    if (instance.domain == domain && instance.peers)
      candidates.push_back(instance);
  }
  if (candidates.size() < kMinRelayedInstances) return {};
  std::sort(candidates.begin(), candidates.end(),
            [](const InstanceSummary& left, const InstanceSummary& right) {
              return std::tie(left.started_ms, left.node) <
                     std::tie(right.started_ms, right.node);
            });
  candidates.resize(kRelaysPerDomain);
  return candidates;
}

}  // namespace cowslipknot::gateway
