#pragma once

#include <set>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "cowslipknot/state/configuration.h"

/// What an operator's command changes in the evacuation of failure domains.
namespace cowslipknot {

enum class EvacuationAction : std::uint8_t { kBegin, kEnd };

struct EvacuationRequest {
  DomainId domain;
  EvacuationAction action = EvacuationAction::kBegin;
};

/// The failure domains that a configuration evacuates; none without one.
const std::set<DomainId>& EvacuatedDomains(const ConfigurationPtr& current);

/// Decides which failure domains are evacuated after a request.
///
/// @param in_force  those evacuated before
/// @param listed    the failure domains of the instance list
/// @return `in_force` if it is so already; kMalformedRequest for an empty
///         name; kUnknownDomain; kNotEvacuated for the end of what is not
Result<std::set<DomainId>> DecideEvacuations(const std::set<DomainId>& in_force,
                                             const std::set<DomainId>& listed,
                                             const EvacuationRequest& request);

}  // namespace cowslipknot
