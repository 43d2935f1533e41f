#include "cowslipknot/coordination/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace cowslipknot {
namespace {

constexpr double kPriorWeight = 0.5;  ///< both parameters of the beta prior
constexpr int kBisectionSteps = 40;

double LogBeta(double left, double right) {
  return std::lgamma(left) + std::lgamma(right) - std::lgamma(left + right);
}

/// Logarithm of the likelihood ratio of the mixture to the rate `rate`.
double LogEvidenceAgainst(const RequestCounts& counts, double rate) {
  const auto bad = static_cast<double>(counts.bad);
  const auto good = static_cast<double>(counts.total - counts.bad);
  const double mixture = LogBeta(bad + kPriorWeight, good + kPriorWeight) -
                         LogBeta(kPriorWeight, kPriorWeight);
  double likelihood = 0;
  if (bad > 0) likelihood += bad * std::log(rate);
  if (good > 0) likelihood += good * std::log1p(-rate);
  return mixture - likelihood;
}

/// Finds the rate between `inside` and `outside` at which the evidence reaches
/// the limit. Rounds outwards.
double Bisect(const RequestCounts& counts, double inside, double outside,
              double limit) {
  for (int i = 0; i < kBisectionSteps; ++i) {
    const double middle = (inside + outside) / 2;
    if (LogEvidenceAgainst(counts, middle) < limit) {
      inside = middle;
    } else {
      outside = middle;
    }
  }
  return outside;
}

double Rate(const RequestCounts& counts) {
  if (counts.total == 0) return 0;
  return static_cast<double>(counts.bad) / static_cast<double>(counts.total);
}

}  // namespace

RateBounds ConfidenceSequence(const RequestCounts& counts, double alpha) {
  if (counts.total == 0) return {};
  const double limit = -std::log(alpha);
  const double rate = Rate(counts);
  RateBounds bounds;
  bounds.low = counts.bad == 0 ? 0 : Bisect(counts, rate, 0, limit);
  bounds.high = counts.bad == counts.total ? 1 : Bisect(counts, rate, 1, limit);
  return bounds;
}

double BoundExcess(const RequestCounts& old_version,
                   const RequestCounts& new_version, double alpha) {
  const RateBounds old_bounds = ConfidenceSequence(old_version, alpha / 2);
  const RateBounds new_bounds = ConfidenceSequence(new_version, alpha / 2);
  return new_bounds.high - old_bounds.low;
}

Verdict CompareRates(const RequestCounts& old_version,
                     const RequestCounts& new_version, double margin,
                     double alpha) {
  const RateBounds old_bounds = ConfidenceSequence(old_version, alpha / 2);
  const RateBounds new_bounds = ConfidenceSequence(new_version, alpha / 2);
  const double excess = Rate(new_version) - Rate(old_version);
  if (new_bounds.low > old_bounds.high && excess >= margin / 2) {
    return Verdict::kBad;
  }
  const bool close = BoundExcess(old_version, new_version, alpha) < margin;
  return close ? Verdict::kGood : Verdict::kUndecided;
}

}  // namespace cowslipknot
