#pragma once

#include <string>
#include <string_view>

#include "protocol/platform_adapter.h"

/// Keys of the rows that gateway instances write to the platform's store.
namespace cowslipknot::gateway::store_rows {

inline constexpr char kTable[] = "cowslipknot";
inline constexpr char kLeaseKey[] = "lease";
inline constexpr char kClockKey[] = "clock";
inline constexpr char kUsageDoneKey[] = "usage_done";
inline constexpr std::string_view kReportPrefix = "report/";
inline constexpr std::string_view kMovePrefix = "move/";
inline constexpr std::string_view kUsagePrefix = "usage/";

/// Number of usage windows retained after their report was accepted.
inline constexpr std::uint64_t kRetainedWindows = 4;

/// Makes a row of the gateway's table.
inline StoreRow MakeRow(std::string key, std::string value = {},
                        const StorePosition& position = {}) {
  StoreRow row;
  row.table = kTable;
  row.key = std::move(key);
  row.value = std::move(value);
  row.position = position;
  return row;
}

}  // namespace cowslipknot::gateway::store_rows
