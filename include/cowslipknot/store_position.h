#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipknot/ids.h"

namespace cowslipknot {

/// Number of times that the store has been restored from a copy.
using StoreEra = Quantity<struct StoreEraTag>;
/// Counts the transactions of the store. A restored store continues from its
/// copy, so that it assigns some versions a second time.
using StoreVersion = Quantity<struct StoreVersionTag>;

/// A position in the history of the store.
///
/// Any position of a later era follows all positions of the eras before it,
/// whatever the versions are: a row that is read after a restore is what the
/// store holds now, and a version from before says nothing about it.
struct StorePosition {
  StoreEra era;
  StoreVersion version;  ///< 0: no row, or unknown

  auto operator<=>(const StorePosition&) const = default;
  bool IsKnown() const { return version.Count() > 0; }
};

/// Formats a position as "ERA.VERSION".
std::string FormatPosition(const StorePosition& position);
/// @return nothing when the text is not a position
std::optional<StorePosition> ParsePosition(std::string_view text);

}  // namespace cowslipknot
