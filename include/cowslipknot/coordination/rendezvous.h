#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "cowslipknot/ids.h"

/// Rendezvous hashing: instances agree on an owner without communicating.
namespace cowslipknot {

/// The weight of `candidate` for `key`. The candidate with the highest weight
/// owns the key.
std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view candidate);

/// An instance that could hold a request on behalf of another instance.
struct CandidateInstance {
  NodeId node;
  bool draining = false;
};

/// Ranks the instances that should take over a request, best first.
///
/// Every instance computes the same order from the same members. Draining
/// instances are excluded, and with them every instance of a failure domain
/// whose reclaim was announced, provided that the caller marks these as
/// draining.
/// @param self  the calling instance, which is excluded
std::vector<NodeId> RankInstances(
    const RequestId& request, const NodeId& self,
    const std::vector<CandidateInstance>& members);

}  // namespace cowslipknot
