#include <algorithm>

#include "cowslipknot/events.h"
#include "serve/gateway_fleet_coordinator.h"
#include "serve/store_rows.h"

/// Reports that a relay writes for the instances that follow it.
namespace cowslipknot::gateway {
namespace {

/// Bounds of one transaction, below the store's limits of 100 entries, each
/// report being a condition and a write, and 1 MB.
constexpr std::size_t kMaxReportsPerTransaction = 40;
constexpr std::size_t kMaxTransactionBytes = 500'000;

}  // namespace

StoreRow FleetCoordinator::PrepareReport(const ReportInput& input) {
  m_report_position_known = false;
  const InstanceReport report = BuildReport(input);
  return store_rows::MakeRow(m_report_key, EncodeReport(report));
}

void FleetCoordinator::ApplyRelayed(std::optional<std::vector<StoreRow>> moves,
                                    std::uint64_t reported_window) {
  if (moves) ApplyMoveRows(*moves);
  if (reported_window > 0) m_usage_progress.RecordDone(reported_window);
}

std::vector<StoreRow> FleetCoordinator::MoveRows() const {
  std::vector<StoreRow> rows;
  for (const auto& [service, stored] : m_moves) {
    if (!stored.position.IsKnown()) continue;
    rows.push_back(store_rows::MakeRow(
        std::string(store_rows::kMovePrefix) + service.Text(),
        EncodeMove(stored.move), stored.position));
  }
  return rows;
}

Awaitable<std::map<std::string, StoreRow>>
FleetCoordinator::WriteRelayedReports(std::map<std::string, StoreRow> reports) {
  // An instance that leaves, or that left this relay, writes its own.
  std::erase_if(reports, [this](const auto& item) {
    const auto report = DecodeReport(item.second.value);
    return report && m_instances.IsSuperseded(item.first, report->sequence);
  });
  std::map<std::string, StoreRow> unwritten;
  while (!reports.empty()) {
    StoreTransaction transaction;
    std::map<std::string, StoreRow> batch;
    std::size_t bytes = 0;
    while (!reports.empty() && batch.size() < kMaxReportsPerTransaction &&
           bytes < kMaxTransactionBytes) {
      auto item = reports.extract(reports.begin());
      const StoreRow& row = item.mapped();
      const auto known = m_row_positions.find(row.key);
      transaction.conditions.push_back(store_rows::MakeRow(
          row.key, {},
          known == m_row_positions.end() ? StorePosition{} : known->second));
      transaction.writes.push_back(store_rows::MakeRow(row.key, row.value));
      bytes += row.value.size();
      batch.insert(std::move(item));
    }
    const auto changed = co_await CommitTransaction(std::move(transaction));
    if (changed) {
      for (const auto& [key, row] : batch)
        m_row_positions[key] = changed->position;
      continue;
    }
    // After a conflict, the next read of the table shows the positions.
    LogEvent(Event::kReportsNotRelayed,
             {{"reports", std::to_string(batch.size())},
              {"detail", changed.error().detail}});
    unwritten.merge(batch);
  }
  co_return unwritten;
}

}  // namespace cowslipknot::gateway
