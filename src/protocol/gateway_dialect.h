#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/gateway/capacity_plan.h"
#include "cowslipknot/gateway/placement.h"
#include "cowslipknot/gateway/routes.h"
#include "cowslipknot/gateway/server_registry.h"
#include "cowslipknot/gateway/version_move.h"
#include "cowslipknot/result.h"
#include "transport/asio.h"

/// What a gateway needs of the platform that it runs on, in its own types.
///
/// An adapter implements it; nothing here names a header, field or path.
namespace cowslipknot::gateway {

/// What a caller's request says of itself in its header.
struct CallerRequest {
  RequestId id;
  std::string api_key;  ///< empty without one
  std::optional<Milliseconds> deadline;
  std::optional<TokenCount> prompt;  ///< absent without a stated size
  TokenCount most_output;
  std::vector<PromptPart> parts;            ///< in the order of the prompt
  std::optional<std::uint64_t> last_event;  ///< events before were received
};

/// What an attempt tells its server beyond the caller's request.
struct AttemptFields {
  ServerId server;  ///< any other server rejects the attempt
  WorkspaceId workspace;
  Milliseconds time_left{0};
  std::optional<std::uint32_t> priority;  ///< model servers; 0 is first
  std::optional<std::uint64_t> last_event;
};

/// What a server's answer says of itself in its header.
struct BackendAnswer {
  RequestId id;  ///< of the request that it answers; empty if unstated
  bool is_signed = false;     ///< made by a server for a request that ran
  bool not_executed = false;  ///< the request did not run
};

/// A row of the platform's store.
struct StoreRow {
  std::string table;
  std::string key;
  std::string value;
  std::uint64_t version = 0;  ///< 0: no such row
  bool removed = false;
};

/// Rows of one moment, or those that changed.
struct StoreRows {
  std::vector<StoreRow> rows;
  std::uint64_t version = 0;   ///< newest version of the store
  Milliseconds store_time{0};  ///< the store's monotonic clock
  bool truncated = false;      ///< more rows follow
};

/// A change that is applied whole or not at all.
struct StoreChange {
  std::vector<StoreRow> conditions;  ///< table, key and version
  std::vector<StoreRow> writes;      ///< table, key and value
  std::vector<StoreRow> removals;    ///< table and key
};

/// A duty call's outcome.
enum class CallOutcome : std::uint8_t { kAccepted, kRejected, kUnknown };

/// Who performs a duty, and under which lease.
struct DutyHolder {
  NodeId node;
  Epoch epoch;
};

/// Requests that began to run in one window, by workspace.
struct UsageReport {
  std::uint64_t window = 0;
  std::map<WorkspaceId, std::uint64_t> counts;
};

/// The names of the rows that the platform writes.
struct StoreNames {
  std::string configuration_table;
  std::string configuration_key;
  std::string server_table;
};

struct Dialect {
  StoreNames names;

  /// Reads a caller's request. @return kMalformedRequest with the reason
  std::function<Result<CallerRequest>(const http::request_header<>&)>
      read_caller;
  /// Turns a caller's header into the one sent to a server.
  std::function<void(http::request_header<>&, const CallerRequest&,
                     const AttemptFields&)>
      write_attempt;
  std::function<BackendAnswer(const http::response_header<>&)> read_answer;

  /// @return kInvalidObjects when the bytes are no configuration
  std::function<Result<Configuration>(std::string_view)> decode_configuration;
  /// @return kInvalidObjects when the row names no server to use
  std::function<Result<ServerEntry>(const std::string&, std::string_view)>
      decode_server;

  /// Whether a key of the configuration's table orders a move.
  std::function<bool(std::string_view key)> orders_move;
  /// @return kInvalidObjects when the bytes are no order
  std::function<Result<MoveOrder>(std::string_view)> decode_move;
  /// The row by which the operator learns what became of an order.
  std::function<StoreRow(const VersionMove&)> move_status;

  // Calls to the platform; used on the control thread.
  std::function<Awaitable<Result<StoreRows>>(std::string table)> read_table;
  /// Rows changed after `since`; waits for the first one.
  /// @return kHistoryLost when the table must be read anew
  std::function<Awaitable<Result<StoreRows>>(
      std::string table, std::uint64_t since, Milliseconds wait)>
      follow_table;
  /// @return kRevisionConflict when a condition failed
  std::function<Awaitable<Result<StoreRows>>(StoreChange)> change_store;
  std::function<Awaitable<CallOutcome>(DutyHolder, UsageReport)> report_usage;
  std::function<Awaitable<CallOutcome>(DutyHolder, CapacityOrder)>
      order_capacity;
};

}  // namespace cowslipknot::gateway
