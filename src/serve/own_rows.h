#pragma once

#include <string>
#include <string_view>

#include "protocol/gateway_dialect.h"

/// The gateway's own rows in the platform's store.
namespace cowslipknot::gateway::own_rows {

inline constexpr char kTable[] = "cowslipknot";
inline constexpr char kLeaseKey[] = "lease";
inline constexpr char kClockKey[] = "clock";
inline constexpr char kDoneKey[] = "usage_done";
inline constexpr std::string_view kReportPrefix = "report/";
inline constexpr std::string_view kMovePrefix = "move/";
inline constexpr std::string_view kUsagePrefix = "usage/";

/// Windows kept after their report was accepted.
inline constexpr std::uint64_t kWindowsKept = 4;

/// A row of the gateway's table.
inline StoreRow Row(std::string key, std::string value = {},
                    std::uint64_t version = 0) {
  StoreRow row;
  row.table = kTable;
  row.key = std::move(key);
  row.value = std::move(value);
  row.version = version;
  return row;
}

}  // namespace cowslipknot::gateway::own_rows
