#pragma once

#include <boost/json/value.hpp>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

namespace cowslipknot {

/// Latest Unix time that is accepted from others: the end of the year 9999.
inline constexpr std::int64_t kMaxUnixMs = 253402300799999;

/// Converts a JSON number to an integer and drops its fraction.
/// @return none if the value is no number or is not between `min` and `max`
template <std::integral Integer>
std::optional<Integer> ToInteger(
    const boost::json::value& value,
    Integer min = std::numeric_limits<Integer>::min(),
    Integer max = std::numeric_limits<Integer>::max()) {
  using Limits = std::numeric_limits<Integer>;
  // The first power of two past the type; exact as a double, unlike its
  // largest value.
  constexpr double kEnd =
      2.0 * static_cast<double>(Integer{1} << (Limits::digits - 1));
  constexpr double kFirst = Limits::is_signed ? -kEnd : 0;
  std::optional<Integer> number;
  if (const auto* integer = value.if_int64()) {
    if (std::in_range<Integer>(*integer))
      number = static_cast<Integer>(*integer);
  } else if (const auto* natural = value.if_uint64()) {
    if (std::in_range<Integer>(*natural))
      number = static_cast<Integer>(*natural);
  } else if (const auto* real = value.if_double()) {
    if (*real >= kFirst && *real < kEnd) number = static_cast<Integer>(*real);
  }
  if (!number || *number < min || *number > max) return std::nullopt;
  return number;
}

/// @return none if the value is no number or is not between `min` and `max`
inline std::optional<double> ToDouble(const boost::json::value& value,
                                      double min, double max) {
  if (!value.is_number()) return std::nullopt;
  const auto number = value.to_number<double>();
  if (!(number >= min && number <= max)) return std::nullopt;
  return number;
}

}  // namespace cowslipknot
