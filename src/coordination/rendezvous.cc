#include "cowslipknot/coordination/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace cowslipknot {
namespace {

struct WeightedNode {
  std::uint64_t weight;
  NodeId node;
};

bool HasHigherWeight(const WeightedNode& left, const WeightedNode& right) {
  return left.weight > right.weight;
}

}  // namespace

std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view candidate) {
  const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

std::vector<NodeId> RankInstances(
    const RequestId& request, const NodeId& self,
    const std::vector<CandidateInstance>& members) {
  std::vector<WeightedNode> ranked;
  for (const auto& member : members) {
    if (member.draining || member.node == self) continue;
    ranked.push_back(
        {RendezvousWeight(request.Text(), member.node.Text()), member.node});
  }
  std::sort(ranked.begin(), ranked.end(), HasHigherWeight);
  std::vector<NodeId> nodes;
  nodes.reserve(ranked.size());
  for (auto& entry : ranked) nodes.push_back(std::move(entry.node));
  return nodes;
}

}  // namespace cowslipknot
