#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "cowslipknot/ids.h"

/// Rendezvous hashing: instances agree on an owner without talking.
namespace cowslipknot {

/// The weight of `candidate` for `key`; the highest weight owns the key.
std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view candidate);

/// An entry instance that could hold a request for another.
struct HolderCandidate {
  NodeId node;
  bool draining = false;
};

/// Orders the instances that should take over a request, best first.
///
/// Any instance computes the same order from the same members. Draining
/// instances are left out, and so is a whole domain whose reclaim was
/// announced.
/// @param self  the asking instance, which is left out
std::vector<NodeId> RankHolders(const RequestId& request, const NodeId& self,
                                const std::vector<HolderCandidate>& members);

}  // namespace cowslipknot
