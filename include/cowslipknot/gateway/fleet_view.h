#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cowslipknot/gateway/usage.h"
#include "cowslipknot/ids.h"

/// The serving gateway instances, as an instance sees them.
namespace cowslipknot::gateway {

/// What instances need to know of each other to share limits and exchange
/// frames.
struct InstanceSummary {
  NodeId node;
  DomainId domain;
  std::optional<Endpoint> peers;  ///< where it accepts frames
  std::uint64_t started_ms = 0;   ///< tells processes of a node apart
  auto operator<=>(const InstanceSummary&) const = default;
};

/// Whether two summaries are of one process. Instances that are started
/// together may have the same start time.
bool IsSameProcess(const InstanceSummary& left, const InstanceSummary& right);

/// The instances that may be serving, and their demand.
///
/// Either summarized from the reports in the store, or received from a relay.
struct FleetView {
  std::vector<InstanceSummary> serving;  ///< ordered by node and start
  std::map<WorkspaceId, double> demand;  ///< per second, over all instances
};

/// Summarizes the reports of the serving instances.
FleetView SummarizeReports(const std::vector<const InstanceReport*>& serving);

/// A digest of the instances that may be serving; differs if any differs.
std::uint64_t DigestInstances(const std::vector<InstanceSummary>& serving);

/// Selects the instances of a failure domain that read the store for the
/// others: the processes that have run longest, so that instances agree and
/// additions change nothing.
///
/// The calls to the store then grow with the failure domains instead of with
/// the instances. A domain with few instances has no relays: each reads the
/// store itself.
/// @return the relays, the first one to use first; empty if there are none
std::vector<InstanceSummary> SelectRelays(const FleetView& fleet,
                                          const DomainId& domain);

}  // namespace cowslipknot::gateway
