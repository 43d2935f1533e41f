#include "serve/fleet_status.h"

#include "base/endpoint_text.h"
#include "cowslipknot/coordination/lease.h"
#include "cowslipknot/gateway/usage.h"
#include "cowslipknot/state/configuration.h"
#include "serve/own_rows.h"

namespace cowslipknot::gateway {
namespace {

namespace json = boost::json;

/// The gateways' own rows, and how many could not be read.
struct FleetRows {
  json::array instances;
  json::array moves;
  json::value lease;
  std::string usage_done;
  std::uint64_t unreadable = 0;
};

json::object DescribeInstance(const InstanceReport& report) {
  json::object row;
  row["node"] = report.node.Text();
  row["domain"] = report.domain.Text();
  row["started"] = report.started;
  row["report"] = report.sequence;
  row["as_of_ms"] = report.as_of_ms;
  row["revision"] = report.revision;
  row["stopping"] = report.stopping;
  double demand = 0;
  for (const auto& [workspace, value] : report.demand) demand += value;
  row["demand_per_s"] = static_cast<std::int64_t>(demand);
  return row;
}

json::object DescribeMoveRow(const VersionMove& move) {
  json::object row;
  row["service"] = move.order.service.Text();
  row["to"] = move.order.to.Text();
  row["phase"] = MovePhaseName(move.state.phase);
  row["share"] = move.state.share;
  row["reason"] = move.state.reason;
  return row;
}

void ReadOwnRow(const StoreRow& row, FleetRows& found) {
  if (row.key.starts_with(own_rows::kReportPrefix)) {
    const auto report = DecodeReport(row.value);
    found.unreadable += report ? 0 : 1;
    if (report) found.instances.push_back(DescribeInstance(*report));
  } else if (row.key.starts_with(own_rows::kMovePrefix)) {
    const auto move = DecodeMove(row.value);
    found.unreadable += move ? 0 : 1;
    if (move) found.moves.push_back(DescribeMoveRow(*move));
  } else if (row.key == own_rows::kLeaseKey) {
    const auto lease = DecodeLease(row.value);
    found.unreadable += lease ? 0 : 1;
    if (!lease) return;
    found.lease = json::object({{"holder", lease->holder.Text()},
                                {"epoch", lease->epoch.Count()},
                                {"renewal", lease->renewal}});
  } else if (row.key == own_rows::kDoneKey) {
    found.usage_done = row.value;
  }
}

json::object DescribeServer(const ServerEntry& entry) {
  json::object row;
  row["server"] = entry.id.Text();
  row["service"] = entry.service.Text();
  row["domain"] = entry.domain.Text();
  row["version"] = entry.version.Text();
  row["address"] = FormatEndpoint(entry.address);
  row["state"] = entry.state == ServerState::kReady ? "ready" : "draining";
  row["reclaimable"] = entry.reclaimable;
  return row;
}

}  // namespace

Awaitable<Result<json::object>> ReadFleetStatus(const Dialect& dialect) {
  const auto own = co_await dialect.read_table(own_rows::kTable);
  if (!own) co_return tl::make_unexpected(own.error());
  const auto servers = co_await dialect.read_table(dialect.names.server_table);
  if (!servers) co_return tl::make_unexpected(servers.error());
  const auto operators =
      co_await dialect.read_table(dialect.names.configuration_table);
  if (!operators) co_return tl::make_unexpected(operators.error());

  FleetRows found;
  for (const auto& row : own->rows) ReadOwnRow(row, found);
  json::array listed;
  for (const auto& row : servers->rows) {
    const auto entry = dialect.decode_server(row.key, row.value);
    found.unreadable += entry ? 0 : 1;
    if (entry) listed.push_back(DescribeServer(*entry));
  }
  json::object status;
  status["revision"] = 0;
  for (const auto& row : operators->rows) {
    if (row.key != dialect.names.configuration_key) continue;
    const auto configuration = dialect.decode_configuration(row.value);
    found.unreadable += configuration ? 0 : 1;
    if (configuration) status["revision"] = configuration->version;
  }
  status["lease"] = std::move(found.lease);
  status["usage_done"] = found.usage_done;
  status["unreadable_rows"] = found.unreadable;
  status["instances"] = std::move(found.instances);
  status["servers"] = std::move(listed);
  status["moves"] = std::move(found.moves);
  co_return status;
}

}  // namespace cowslipknot::gateway
