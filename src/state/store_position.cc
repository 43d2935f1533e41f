#include "cowslipknot/store_position.h"

#include <charconv>

namespace cowslipknot {

std::string FormatPosition(const StorePosition& position) {
  return std::to_string(position.era.Count()) + "." +
         std::to_string(position.version.Count());
}

std::optional<StorePosition> ParsePosition(std::string_view text) {
  const char* const end = text.data() + text.size();
  std::uint64_t era = 0;
  const auto era_end = std::from_chars(text.data(), end, era);
  const bool has_version =
      era_end.ec == std::errc() && era_end.ptr != end && *era_end.ptr == '.';
  if (!has_version) return std::nullopt;
  std::uint64_t version = 0;
  const auto version_end = std::from_chars(era_end.ptr + 1, end, version);
  if (version_end.ec != std::errc() || version_end.ptr != end)
    return std::nullopt;
  return StorePosition{StoreEra(era), StoreVersion(version)};
}

}  // namespace cowslipknot
