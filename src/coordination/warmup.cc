#include "cowslipknot/coordination/warmup.h"

#include <algorithm>

#include "cowslipknot/coordination/permit_granter.h"

namespace cowslipknot {
namespace {

/// From the use of a permit until its request is sent, at most.
constexpr std::chrono::milliseconds kMaxConnectTime(250);

}  // namespace

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
  // A permit may be used at the end of its lifetime, and the request sent when
  // its connection is open: those of this time before may be used with those of
  // one second.
  const double seconds =
      1 +
      std::chrono::duration<double>(kPermitLifetime + kMaxConnectTime).count();
  const double rate = (tolerated - kMaxBurstOfGranters) /
                      (seconds * (1 + kSubstituteFraction) + kBurstPerRate);
  return RequestRate(std::clamp(rate, 0.0, tolerance.rate.Count()));
}

}  // namespace cowslipknot
