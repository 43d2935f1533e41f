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
#include "cowslipknot/store_position.h"
#include "transport/asio.h"

/// Interface between the gateway and the platform it runs on, in the gateway's
/// own types.
///
/// A platform adapter implements it; no header, field or path is named here.
namespace cowslipknot::gateway {

/// Properties that a caller's request states in its header.
struct CallerRequest {
  RequestId id;
  std::string api_key;  ///< empty if the request has none
  std::optional<Milliseconds> deadline;
  std::optional<TokenCount> prompt;  ///< absent if no size is stated
  TokenCount max_output;
  std::vector<PromptPart> prompt_parts;        ///< in prompt order
  std::optional<std::uint64_t> last_event_id;  ///< id of the last one received
};

/// Fields that an attempt adds to the caller's request.
struct AttemptFields {
  ServerId server;  ///< any other server rejects the attempt
  WorkspaceId workspace;
  Milliseconds time_left{0};
  std::optional<std::uint32_t> priority;  ///< model servers only; 0 is first
  std::optional<std::uint64_t> last_event_id;
};

/// Properties that a server's response states in its header.
struct BackendResponse {
  RequestId id;  ///< of the request that it responds to; empty if unstated
  bool is_signed = false;     ///< signed by a server that ran the request
  bool not_executed = false;  ///< the request did not run
  bool is_leaving = false;    ///< the addressed server is shutting down
  /// Time in seconds for which a server that has no capacity wants no request;
  /// as stated, NaN if it is not a number.
  std::optional<double> retry_after_s;
  /// Requests a second that the addressed server takes from all instances
  /// together; as stated, NaN if it is not a number.
  std::optional<double> limit_per_s;
};

/// A row of the platform's store.
struct StoreRow {
  std::string table;
  std::string key;
  std::string value;
  StorePosition position;  ///< when it was written; unknown: no such row
  bool removed = false;
};

/// A snapshot of rows, or the rows that changed.
struct StoreRows {
  std::vector<StoreRow> rows;
  StorePosition position;      ///< newest position of the store
  Milliseconds store_time{0};  ///< the store's monotonic clock, of this era
  bool truncated = false;      ///< more rows follow
};

/// A change that is applied atomically.
struct StoreTransaction {
  std::vector<StoreRow> conditions;  ///< table, key and expected position
  std::vector<StoreRow> writes;      ///< table, key and value
  std::vector<StoreRow> removals;    ///< table and key
};

/// Outcome of a platform call made by the holder of a lease.
enum class CloudCallOutcome : std::uint8_t { kAccepted, kRejected, kUnknown };

/// The instance that makes such a call, and the epoch of its lease.
struct LeaseHolder {
  NodeId node;
  Epoch epoch;
  /// How long the instance may still act as the holder. A call is not sent, or
  /// is given up, when none is left.
  std::function<Milliseconds()> time_left;
};

/// Number of requests that started to run in one window, by workspace.
struct UsageReport {
  std::uint64_t window = 0;
  std::map<WorkspaceId, std::uint64_t> counts;
};

/// Names of the tables and keys that the platform writes.
struct StoreNames {
  std::string configuration_table;
  std::string configuration_key;
  std::string server_table;
};

struct PlatformAdapter {
  StoreNames names;

  /// Reads a caller's request. @return kMalformedRequest with the reason
  std::function<Result<CallerRequest>(const http::request_header<>&)>
      decode_caller_request;
  /// Rewrites a caller's header into the one that is sent to a server.
  std::function<void(http::request_header<>&, const CallerRequest&,
                     const AttemptFields&)>
      prepare_attempt_header;
  std::function<BackendResponse(const http::response_header<>&)>
      decode_backend_response;

  /// @return kInvalidObjects if the bytes are not a valid configuration
  std::function<Result<Configuration>(std::string_view)> decode_configuration;
  /// @return kInvalidObjects if the row is not a usable registration
  std::function<Result<ServerEntry>(const std::string&, std::string_view)>
      decode_server;

  /// Whether a key of the configuration table holds an order for a move.
  std::function<bool(std::string_view key)> is_move_order_key;
  /// @return kInvalidObjects if the bytes are not a valid order
  std::function<Result<MoveOrder>(std::string_view)> decode_move_order;
  /// The failure domain that the order of such a key evacuates; nothing for
  /// other keys. An id may be empty, which names no domain.
  std::function<std::optional<DomainId>(std::string_view key)> evacuated_domain;
  /// The row that reports the state of a move to the operator.
  std::function<StoreRow(const VersionMove&)> encode_move_status;

  // Calls to the platform, made on the control thread.
  std::function<Awaitable<Result<StoreRows>>(std::string table)> read_table;
  /// Returns rows changed after `since`; waits for the first one. Rows of an
  /// answer from another era are not the changes since that position.
  /// @return kHistoryLost if the full table must be read again
  std::function<Awaitable<Result<StoreRows>>(
      std::string table, StorePosition since, Milliseconds wait)>
      watch_table;
  /// @return kRevisionConflict if a condition failed
  std::function<Awaitable<Result<StoreRows>>(StoreTransaction)>
      commit_transaction;
  std::function<Awaitable<CloudCallOutcome>(LeaseHolder, UsageReport)>
      report_usage;
  std::function<Awaitable<CloudCallOutcome>(LeaseHolder, CapacityOrder)>
      order_capacity;
  /// Gives up the calls in flight that need the lease; they cannot arrive
  /// later.
  std::function<void()> abort_holder_calls;
};

}  // namespace cowslipknot::gateway
