#pragma once

#include <cstdint>

/// Comparison of two error rates that may be looked at after every request.
namespace cowslipknot {

/// Requests seen and how many of them were bad.
struct Tally {
  std::uint64_t seen = 0;
  std::uint64_t bad = 0;
  Tally& operator+=(const Tally& other) {
    seen += other.seen;
    bad += other.bad;
    return *this;
  }
};

struct RateBounds {
  double low = 0;
  double high = 1;
};

/// Bounds on a rate that hold at all times together with probability
/// 1 - alpha (beta-binomial mixture; Robbins 1970).
RateBounds ConfidenceSequence(const Tally& tally, double alpha);

/// How far the new version's rate may exceed the old one's, at most, with
/// probability 1 - alpha at all times together.
double BoundExcess(const Tally& old_version, const Tally& new_version,
                   double alpha);

enum class Verdict : std::uint8_t { kUndecided, kGood, kBad };

/// Compares a new version's rate with the old one's.
///
/// kBad: the new rate is higher, by at least half of `margin` as measured.
/// kGood: the new rate exceeds the old by less than `margin`.
/// @param alpha  bounds the chance that a verdict is ever wrong
Verdict CompareRates(const Tally& old_version, const Tally& new_version,
                     double margin, double alpha);

}  // namespace cowslipknot
