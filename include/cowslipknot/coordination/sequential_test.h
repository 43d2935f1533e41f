#pragma once

#include <cstdint>

/// Sequential comparison of two error rates. Unlike a fixed-size test, it stays
/// valid when it is evaluated after every request.
namespace cowslipknot {

/// The number of requests observed, and how many of them were bad.
struct RequestCounts {
  std::uint64_t total = 0;
  std::uint64_t bad = 0;
  RequestCounts& operator+=(const RequestCounts& other) {
    total += other.total;
    bad += other.bad;
    return *this;
  }
};

struct RateBounds {
  double low = 0;
  double high = 1;
};

/// A confidence sequence: bounds on a rate that hold at all times
/// simultaneously with probability 1 - alpha (beta-binomial mixture; Robbins
/// 1970).
RateBounds ConfidenceSequence(const RequestCounts& counts, double alpha);

/// Upper bound on the difference between the new version's rate and the old
/// one's that holds at all times simultaneously with probability 1 - alpha.
double BoundExcess(const RequestCounts& old_version,
                   const RequestCounts& new_version, double alpha);

enum class Verdict : std::uint8_t { kUndecided, kGood, kBad };

/// Compares a new version's rate with the old one's.
///
/// kBad: the new rate is significantly higher, and the measured difference is
/// at least half of `margin`.
/// kGood: the new rate exceeds the old one by less than `margin`.
/// @param alpha  bound on the probability that any verdict is ever wrong
Verdict CompareRates(const RequestCounts& old_version,
                     const RequestCounts& new_version, double margin,
                     double alpha);

}  // namespace cowslipknot
