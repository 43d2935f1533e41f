#include <map>

#include "serve/gateway_fleet_coordinator.h"
#include "serve/store_rows.h"
#include "unit_test.h"

/// The final report of an instance across a restore of the store from a copy.
using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

/// A store of one table, in memory.
class FakeStore {
 public:
  StoreRows Read() const {
    StoreRows rows;
    rows.position = m_position;
    rows.store_time = Milliseconds(1000);
    for (const auto& [key, row] : m_rows) rows.rows.push_back(row);
    return rows;
  }

  Result<StoreRows> Commit(const StoreTransaction& transaction) {
    for (const auto& condition : transaction.conditions) {
      const auto row = m_rows.find(condition.key);
      const StoreVersion found =
          row == m_rows.end() ? StoreVersion(0) : row->second.position.version;
      if (found != condition.position.version)
        return Fail(ResultCode::kRevisionConflict);
    }
    m_position.version = StoreVersion(m_position.version.Count() + 1);
    for (StoreRow row : transaction.writes) {
      row.position = m_position;
      m_rows[row.key] = row;
    }
    StoreRows changed;
    changed.position = m_position;
    changed.store_time = Milliseconds(1000);
    return changed;
  }

  /// Comes back from a copy that was made before the first write.
  void RestoreEmpty() {
    m_rows.clear();
    m_position = {StoreEra(m_position.era.Count() + 1), StoreVersion(0)};
  }

  const std::map<std::string, StoreRow>& Rows() const { return m_rows; }

 private:
  std::map<std::string, StoreRow> m_rows;
  StorePosition m_position{StoreEra(1), StoreVersion(0)};
};

PlatformAdapter MakeAdapter(FakeStore& store) {
  PlatformAdapter adapter;
  adapter.read_table = [&store](std::string) -> Awaitable<Result<StoreRows>> {
    co_return store.Read();
  };
  adapter.abort_holder_calls = [] {};
  adapter.commit_transaction =
      [&store](StoreTransaction transaction) -> Awaitable<Result<StoreRows>> {
    co_return store.Commit(transaction);
  };
  return adapter;
}

Awaitable<void> LeaveAfterRestore(FleetCoordinator& coordinator,
                                  FakeStore& store) {
  FleetCoordinator::ReportInput input;
  co_await coordinator.Exchange(input);
  store.RestoreEmpty();
  input.stopping = true;
  co_await coordinator.Leave(input);
}

Settings MakeSettings(const std::string& node) {
  Settings settings;
  settings.node = NodeId(node);
  return settings;
}

/// Whether the store has a final report of a node.
bool HasFinalReport(const FakeStore& store, const NodeId& node) {
  for (const auto& [key, row] : store.Rows()) {
    if (!key.starts_with(store_rows::kReportPrefix)) continue;
    const auto report = DecodeReport(row.value);
    cr_assert(report.has_value());
    if (report->node == node) return report->stopping;
  }
  return false;
}

Awaitable<void> LeaveWithReportAtRelay(FleetCoordinator& follower,
                                       FleetCoordinator& relay) {
  FleetCoordinator::ReportInput input;
  std::map<std::string, StoreRow> reports;
  StoreRow first = follower.PrepareReport(input);
  const std::string key = first.key;
  reports[key] = std::move(first);
  co_await relay.WriteRelayedReports(std::move(reports));
  reports.clear();
  reports[key] = follower.PrepareReport(input);
  input.stopping = true;
  co_await follower.Leave(input);
  auto unwritten = co_await relay.WriteRelayedReports(std::move(reports));
  const FleetCoordinator::ReportInput own;
  co_await relay.Exchange(own);
  co_await relay.WriteRelayedReports(std::move(unwritten));
}

}  // namespace

// Guards against a final report, with the last counts of usage, that is lost
// since it was bound to the position of a report from before a restore.
Test(final_report, a_restore_does_not_lose_it) {
  FakeStore store;
  const PlatformAdapter adapter = MakeAdapter(store);
  const Settings settings = MakeSettings("n1");
  FleetCoordinator coordinator(settings, adapter);
  asio::io_context context;
  asio::co_spawn(context, LeaveAfterRestore(coordinator, store),
                 asio::detached);
  context.run();
  cr_expect(HasFinalReport(store, settings.node));
}

// Guards against a final report that is replaced by an earlier one, which its
// relay could not write before.
Test(final_report, an_earlier_one_at_the_relay_does_not_replace_it) {
  FakeStore store;
  const PlatformAdapter adapter = MakeAdapter(store);
  const Settings settings = MakeSettings("n1");
  const Settings relay_settings = MakeSettings("relay");
  FleetCoordinator follower(settings, adapter);
  FleetCoordinator relay(relay_settings, adapter);
  asio::io_context context;
  asio::co_spawn(context, LeaveWithReportAtRelay(follower, relay),
                 asio::detached);
  context.run();
  cr_expect(HasFinalReport(store, settings.node));
}
