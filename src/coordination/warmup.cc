#include "cowslipknot/coordination/warmup.h"

#include <algorithm>

#include "cowslipknot/coordination/permit_granter.h"

namespace cowslipknot {

WarmupEvidence::Time ColdUntil(const WarmupEvidence& evidence,
                               const ColdTolerance& tolerance) {
  if (!evidence.returned_at) return evidence.stated_until;
  return std::max(evidence.stated_until,
                  *evidence.returned_at + tolerance.duration);
}

RequestRate ColdPermitRate(const ColdTolerance& tolerance,
                           const ColdOverage& overage) {
  const double tolerated =
      overage.ratio * tolerance.rate.Count() + overage.slack;
  // Permits of one second may be used together with those that were granted
  // within a permit's lifetime before it.
  const double seconds =
      1 + std::chrono::duration<double>(kPermitLifetime).count();
  const double rate = (tolerated - kMaxBurstOfGranters) /
                      (seconds * (1 + kSubstituteFraction) + kBurstPerRate);
  return RequestRate(std::clamp(rate, 0.0, tolerance.rate.Count()));
}

}  // namespace cowslipknot
