#include "serve/gateway_duties.h"

#include <algorithm>
#include <charconv>

#include "coordination/move_controller.h"
#include "cowslipknot/events.h"
#include "serve/own_rows.h"

namespace cowslipknot::gateway {
namespace {

/// A lease lasts 6/5 of the deployment's bound on silence, so that one slow
/// call to the store does not end it.
constexpr int kLeaseNumerator = 6;
constexpr int kLeaseDenominator = 5;
/// Renewals come with the holder's reports, 1 s and two calls apart.
constexpr Milliseconds kLeastLease(3600);
/// A process this young may succeed one that held the lease lately. It takes
/// no released lease, so that holders never act in turns.
constexpr Milliseconds kYoungForLease(5000);
/// After the removal bound an instance without the store serves no keyed
/// requests; this much later its part of the limits is dealt anew.
constexpr Milliseconds kLifetimeMargin(1000);
/// A sample of the store's clock is replaced by one this much worse at most.
constexpr std::chrono::milliseconds kRoundTripSlack(3);

std::optional<std::uint64_t> ParseWhole(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc()) return std::nullopt;
  return number;
}

}  // namespace

void ClusterClock::NoteStoreTime(Milliseconds store_time,
                                 std::chrono::nanoseconds asked,
                                 std::chrono::nanoseconds answered) {
  const auto round_trip = answered - asked;
  const auto middle = asked + round_trip / 2;
  const Sample sample{store_time - middle, round_trip};
  if (!m_sample || round_trip <= m_sample->round_trip + kRoundTripSlack) {
    m_sample = sample;
  }
}

std::optional<Milliseconds> ClusterClock::ProposeOffset(
    WallTime wall, std::chrono::nanoseconds now) const {
  if (!m_sample) return std::nullopt;
  const auto store_now = now + m_sample->store_minus_boot;
  return Milliseconds(wall.Count()) -
         std::chrono::duration_cast<Milliseconds>(store_now);
}

std::optional<std::chrono::nanoseconds> ClusterClock::FromBoot() const {
  if (!m_sample || !m_offset) return std::nullopt;
  return m_sample->store_minus_boot + *m_offset;
}

Duties::Duties(const Settings& settings, const Dialect& dialect)
    : m_settings(settings),
      m_dialect(dialect),
      m_started(static_cast<std::uint64_t>(NowWall().Count())),
      m_report_key(std::string(own_rows::kReportPrefix) + settings.node.Text() +
                   "/" + std::to_string(m_started)),
      m_instances(settings.revoke + kLifetimeMargin),
      m_lease(settings.node,
              std::max(settings.lease * kLeaseNumerator / kLeaseDenominator,
                       kLeastLease)) {}

std::optional<std::int64_t> Duties::SharedNowMs() const {
  const auto offset = m_clock.FromBoot();
  if (!offset) return std::nullopt;
  return std::chrono::duration_cast<Milliseconds>(BootTime() + *offset).count();
}

bool Duties::SucceedsLatePredecessor() const {
  const auto now = SharedNowMs();
  const InstanceReport* predecessor =
      m_instances.Predecessor(m_settings.node, m_started);
  if (!now || predecessor == nullptr || predecessor->stopping) return false;
  return *now - predecessor->as_of_ms < m_settings.revoke.count();
}

Awaitable<Result<StoreRows>> Duties::Change(StoreChange change) {
  const auto asked = BootTime();
  auto changed = co_await m_dialect.change_store(std::move(change));
  if (changed) m_clock.NoteStoreTime(changed->store_time, asked, BootTime());
  co_return changed;
}

InstanceReport Duties::BuildReport(const Input& input) {
  InstanceReport report;
  report.node = m_settings.node;
  report.domain = m_settings.domain;
  report.peers = m_settings.peers;
  report.started = m_started;
  report.sequence = ++m_sequence;
  report.as_of_ms = SharedNowMs().value_or(0);
  report.revision = input.revision;
  report.stopping = input.stopping;
  report.demand = input.demand;
  report.busy = input.busy;
  m_usage.Merge(input.usage);
  if (m_done && *m_done > own_rows::kWindowsKept)
    m_usage.Forget(*m_done - own_rows::kWindowsKept);
  report.usage = m_usage;
  m_evidence = input.evidence;
  std::erase_if(m_evidence, [this](const auto& item) {
    return std::none_of(m_orders.begin(), m_orders.end(), [&](auto& order) {
      return MoveKey(order.second) == item.first;
    });
  });
  if (!m_evidence.empty()) report.evidence = EncodeEvidence(m_evidence);
  return report;
}

bool Duties::MayTakeLease(LeaseView::Time now) const {
  if (m_lease.MayTake(now)) return true;
  if (m_lease.IsReleased()) return BootTime() - m_began >= kYoungForLease;
  // A former process on the same machine has ended.
  const InstanceReport* former =
      m_instances.Predecessor(m_settings.node, m_started);
  return m_lease.IsOfFormerProcess() && former != nullptr && former->peers &&
         former->peers == m_settings.peers;
}

Awaitable<Result<void>> Duties::WriteReport(Input input) {
  const auto now = LeaseNow();
  const bool renews = m_lease.ShouldRenew(now);
  const bool takes = !input.stopping && m_table_read && MayTakeLease(now);
  const bool releases = input.stopping && m_lease.MayAct(now);
  StoreChange change;
  change.conditions.push_back(
      own_rows::Row(m_report_key, {}, m_report_version));
  change.writes.push_back(
      own_rows::Row(m_report_key, EncodeReport(BuildReport(input))));
  m_lease_sent.reset();
  if (renews || takes || releases) {
    StoreChange with_lease = change;
    const LeaseRow lease = releases ? m_lease.ReleasedRow() : m_lease.NextRow();
    with_lease.conditions.push_back(
        own_rows::Row(own_rows::kLeaseKey, {}, m_lease.Version()));
    with_lease.writes.push_back(
        own_rows::Row(own_rows::kLeaseKey, EncodeLease(lease)));
    m_lease_sent = SentLease{lease, now};
    const auto changed = co_await Change(std::move(with_lease));
    if (changed) {
      m_report_version = changed->version;
      m_lease.NoteOwnWrite(lease, changed->version, now);
      co_return Result<void>();
    }
    // Where another instance took the lease, the report still has to be
    // written; other failures may have taken effect.
    if (changed.error().code != ResultCode::kRevisionConflict) {
      co_return tl::make_unexpected(changed.error());
    }
  }
  const auto changed = co_await Change(std::move(change));
  if (!changed) co_return tl::make_unexpected(changed.error());
  m_report_version = changed->version;
  co_return Result<void>();
}

Awaitable<Result<void>> Duties::ReadTable() {
  const auto asked = BootTime();
  const auto rows = co_await m_dialect.read_table(own_rows::kTable);
  if (!rows) co_return tl::make_unexpected(rows.error());
  const auto now = BootTime();
  m_clock.NoteStoreTime(rows->store_time, asked, now);
  std::map<std::string, InstanceReport> reports;
  std::optional<LeaseRow> lease;
  std::uint64_t lease_version = 0;
  m_report_version = 0;
  m_committed.clear();
  std::map<ServiceId, StoredMove> moves;
  for (const auto& row : rows->rows) {
    if (row.key == own_rows::kLeaseKey) {
      lease = DecodeLease(row.value);
      lease_version = row.version;
    } else if (row.key == own_rows::kClockKey) {
      const auto offset = ParseWhole(row.value);
      if (offset && !m_clock.HasOffset()) {
        m_clock.SetOffset(Milliseconds(*offset));
        LogEvent(Event::kClusterClockSet, {{"offset_ms", row.value}});
      }
    } else if (row.key == own_rows::kDoneKey) {
      m_done = ParseWhole(row.value);
      m_done_version = row.version;
    } else if (row.key.starts_with(own_rows::kMovePrefix)) {
      auto move = DecodeMove(row.value);
      if (!move) continue;
      const ServiceId service = move->order.service;
      moves[service] = {std::move(*move), row.version};
    } else if (row.key.starts_with(own_rows::kReportPrefix)) {
      if (row.key == m_report_key) m_report_version = row.version;
      auto report = DecodeReport(row.value);
      if (report) reports[row.key] = std::move(*report);
    } else if (row.key.starts_with(own_rows::kUsagePrefix)) {
      const std::string_view key = row.key;
      const auto window = ParseWhole(key.substr(own_rows::kUsagePrefix.size()));
      auto counts = DecodeCounts(row.value);
      if (window && counts) m_committed[*window] = std::move(*counts);
    }
  }
  m_instances.Observe(std::move(reports), now);
  m_moves = std::move(moves);
  // A write whose answer was lost has taken effect if its row is found.
  const bool own = lease && m_lease_sent && *lease == m_lease_sent->row;
  if (own && lease_version != m_lease.Version()) {
    m_lease.NoteOwnWrite(*lease, lease_version, m_lease_sent->sent);
  } else {
    m_lease.Observe(lease, lease_version, LeaseNow());
  }
  m_table_read = true;
  const bool held = HoldsLease();
  if (held != m_lease_held) {
    LogEvent(held ? Event::kLeaseTaken : Event::kLeaseLost,
             {{"epoch", std::to_string(m_lease.CurrentEpoch().Count())}});
    m_lease_held = held;
  }
  co_return Result<void>();
}

Awaitable<void> Duties::StoreClock() {
  const auto offset = m_clock.ProposeOffset(NowWall(), BootTime());
  if (!offset) co_return;
  StoreChange change;
  change.conditions.push_back(own_rows::Row(own_rows::kClockKey));
  change.writes.push_back(
      own_rows::Row(own_rows::kClockKey, std::to_string(offset->count())));
  // If another instance was first, or the answer is lost, the row is read.
  co_await Change(std::move(change));
}

Awaitable<Result<void>> Duties::Exchange(Input input) {
  const auto written = co_await WriteReport(std::move(input));
  // The table shows what became of a write whose condition failed or whose
  // answer was lost.
  const auto read = co_await ReadTable();
  if (!read) co_return read;
  if (!m_clock.HasOffset()) co_await StoreClock();
  co_return Result<void>();
}

Awaitable<void> Duties::Leave(Input input) {
  const auto written = co_await WriteReport(std::move(input));
  if (!written) {
    LogEvent(Event::kPlatformLost, {{"detail", written.error().detail}});
  }
}

Awaitable<void> Duties::Perform(ConfigurationPtr configuration,
                                std::vector<ServerEntry> servers) {
  if (!HoldsLease()) {
    // A later turn as holder starts from what is then observed.
    m_planners.clear();
    co_return;
  }
  co_await StepMoves();
  if (m_settings.reports_usage) co_await ReportUsage();
  if (!m_settings.orders_capacity || !configuration) co_return;
  co_await OrderCapacity(std::move(configuration), std::move(servers));
}

}  // namespace cowslipknot::gateway
