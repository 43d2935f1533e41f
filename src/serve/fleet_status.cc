#include "serve/fleet_status.h"

#include "base/endpoint_text.h"
#include "cowslipknot/coordination/lease.h"
#include "cowslipknot/gateway/usage.h"
#include "cowslipknot/gateway/usage_progress.h"
#include "cowslipknot/state/configuration.h"
#include "serve/store_rows.h"

namespace cowslipknot::gateway {
namespace {

namespace json = boost::json;

/// Decoded rows of the gateway's table, and the number of rows that could not
/// be decoded.
struct GatewayRows {
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
  row["started"] = report.started_ms;
  row["report"] = report.sequence;
  row["as_of_ms"] = report.as_of_ms;
  row["revision"] = report.revision;
  row["stopping"] = report.stopping;
  if (!report.evacuated.empty()) {
    json::array evacuated;
    for (const auto& domain : report.evacuated)
      evacuated.emplace_back(domain.Text());
    row["evacuated"] = std::move(evacuated);
  }
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

void DecodeGatewayRow(const StoreRow& row, GatewayRows& found) {
  if (row.key.starts_with(store_rows::kReportPrefix)) {
    const auto report = DecodeReport(row.value);
    found.unreadable += report ? 0 : 1;
    if (report) found.instances.push_back(DescribeInstance(*report));
  } else if (row.key.starts_with(store_rows::kMovePrefix)) {
    const auto move = DecodeMove(row.value);
    found.unreadable += move ? 0 : 1;
    if (move) found.moves.push_back(DescribeMoveRow(*move));
  } else if (row.key == store_rows::kLeaseKey) {
    const auto lease = DecodeLease(row.value);
    found.unreadable += lease ? 0 : 1;
    if (!lease) return;
    json::object description({{"holder", lease->holder.Text()},
                              {"renewal", lease->renewal},
                              {"current", IsCurrent(*lease, row.position)}});
    const auto epoch = EpochOf(*lease, row.position);
    if (epoch) description["epoch"] = epoch->Count();
    found.lease = std::move(description);
  } else if (row.key == store_rows::kUsageDoneKey) {
    const auto done = DecodeUsageDone(row.value);
    found.unreadable += done ? 0 : 1;
    if (done) found.usage_done = std::to_string(done->window);
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

Awaitable<Result<json::object>> ReadFleetStatus(
    const PlatformAdapter& adapter) {
  const auto gateway_rows = co_await adapter.read_table(store_rows::kTable);
  if (!gateway_rows) co_return tl::make_unexpected(gateway_rows.error());
  const auto server_rows =
      co_await adapter.read_table(adapter.names.server_table);
  if (!server_rows) co_return tl::make_unexpected(server_rows.error());
  const auto configuration_rows =
      co_await adapter.read_table(adapter.names.configuration_table);
  if (!configuration_rows)
    co_return tl::make_unexpected(configuration_rows.error());

  GatewayRows found;
  for (const auto& row : gateway_rows->rows) DecodeGatewayRow(row, found);
  json::array server_list;
  for (const auto& row : server_rows->rows) {
    const auto entry = adapter.decode_server(row.key, row.value);
    found.unreadable += entry ? 0 : 1;
    if (entry) server_list.push_back(DescribeServer(*entry));
  }
  json::object status;
  status["revision"] = 0;
  json::array evacuated;
  for (const auto& row : configuration_rows->rows) {
    if (const auto domain = adapter.evacuated_domain(row.key))
      evacuated.emplace_back(domain->Text());
    if (row.key != adapter.names.configuration_key) continue;
    const auto configuration = adapter.decode_configuration(row.value);
    found.unreadable += configuration ? 0 : 1;
    if (configuration) status["revision"] = configuration->version;
  }
  status["evacuated"] = std::move(evacuated);
  status["lease"] = std::move(found.lease);
  status["usage_done"] = found.usage_done;
  status["unreadable_rows"] = found.unreadable;
  status["instances"] = std::move(found.instances);
  status["servers"] = std::move(server_list);
  status["moves"] = std::move(found.moves);
  co_return status;
}

}  // namespace cowslipknot::gateway
