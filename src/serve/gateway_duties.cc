#include "serve/gateway_duties.h"

#include <algorithm>
#include <charconv>

#include "coordination/move_controller.h"
#include "cowslipknot/events.h"

namespace cowslipknot::gateway {
namespace {

constexpr char kTable[] = "cowslipknot";
constexpr char kLeaseKey[] = "lease";
constexpr char kClockKey[] = "clock";
constexpr char kDoneKey[] = "usage_done";
constexpr std::string_view kReportPrefix = "report/";
constexpr std::string_view kMovePrefix = "move/";
constexpr std::string_view kUsagePrefix = "usage/";

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
/// After a window's end, the instances have written its counts.
constexpr Milliseconds kCountsWritten(1500);
/// Part of the time until usage is due that instances without the store are
/// waited for.
constexpr double kWaitPart = 0.8;
/// Windows kept after their report was accepted.
constexpr std::uint64_t kWindowsKept = 4;
constexpr std::uint64_t kMaxWindowsBehind = 6;
/// A sample of the store's clock is replaced by one this much worse at most.
constexpr std::chrono::milliseconds kRoundTripSlack(3);

StoreRow Row(std::string key, std::string value = {},
             std::uint64_t version = 0) {
  StoreRow row;
  row.table = kTable;
  row.key = std::move(key);
  row.value = std::move(value);
  row.version = version;
  return row;
}

std::optional<std::uint64_t> ParseWhole(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc()) return std::nullopt;
  return number;
}

std::string UsageKey(std::uint64_t window) {
  return std::string(kUsagePrefix) + std::to_string(window);
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
      m_report_key(std::string(kReportPrefix) + settings.node.Text() + "/" +
                   std::to_string(m_started)),
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
  report.stopping = input.stopping;
  report.demand = input.demand;
  report.busy = input.busy;
  m_usage.Merge(input.usage);
  if (m_done && *m_done > kWindowsKept) m_usage.Forget(*m_done - kWindowsKept);
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
  change.conditions.push_back(Row(m_report_key, {}, m_report_version));
  change.writes.push_back(Row(m_report_key, EncodeReport(BuildReport(input))));
  m_lease_sent.reset();
  if (renews || takes || releases) {
    StoreChange with_lease = change;
    const LeaseRow lease = releases ? m_lease.ReleasedRow() : m_lease.NextRow();
    with_lease.conditions.push_back(Row(kLeaseKey, {}, m_lease.Version()));
    with_lease.writes.push_back(Row(kLeaseKey, EncodeLease(lease)));
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
  const auto rows = co_await m_dialect.read_table(kTable);
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
    if (row.key == kLeaseKey) {
      lease = DecodeLease(row.value);
      lease_version = row.version;
    } else if (row.key == kClockKey) {
      const auto offset = ParseWhole(row.value);
      if (offset && !m_clock.HasOffset()) {
        m_clock.SetOffset(Milliseconds(*offset));
        LogEvent(Event::kClusterClockSet, {{"offset_ms", row.value}});
      }
    } else if (row.key == kDoneKey) {
      m_done = ParseWhole(row.value);
      m_done_version = row.version;
    } else if (row.key.starts_with(kMovePrefix)) {
      auto move = DecodeMove(row.value);
      if (!move) continue;
      const ServiceId service = move->order.service;
      moves[service] = {std::move(*move), row.version};
    } else if (row.key.starts_with(kReportPrefix)) {
      if (row.key == m_report_key) m_report_version = row.version;
      auto report = DecodeReport(row.value);
      if (report) reports[row.key] = std::move(*report);
    } else if (row.key.starts_with(kUsagePrefix)) {
      const std::string_view key = row.key;
      const auto window = ParseWhole(key.substr(kUsagePrefix.size()));
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
  change.conditions.push_back(Row(kClockKey));
  change.writes.push_back(Row(kClockKey, std::to_string(offset->count())));
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

Awaitable<Result<WindowCounts>> Duties::CommitUsage(std::uint64_t window) {
  const auto known = m_committed.find(window);
  if (known != m_committed.end()) co_return known->second;
  const WindowCounts counts = m_instances.Sum(window);
  StoreChange change;
  change.conditions.push_back(Row(UsageKey(window)));
  change.writes.push_back(Row(UsageKey(window), EncodeCounts(counts)));
  if (window >= kWindowsKept) {
    const std::uint64_t old = window - kWindowsKept;
    change.removals.push_back(Row(UsageKey(old)));
    for (const auto& key : m_instances.Obsolete(old, BootTime())) {
      change.removals.push_back(Row(key));
    }
  }
  const auto changed = co_await Change(std::move(change));
  if (!changed) co_return tl::make_unexpected(changed.error());
  m_committed[window] = counts;
  co_return counts;
}

Awaitable<bool> Duties::SendUsage(std::uint64_t window) {
  auto counts = co_await CommitUsage(window);
  if (!counts || !HoldsLease()) co_return false;
  UsageReport report;
  report.window = window;
  report.counts = std::move(*counts);
  DutyHolder holder;
  holder.node = m_settings.node;
  holder.epoch = m_lease.CurrentEpoch();
  const CallOutcome outcome =
      co_await m_dialect.report_usage(std::move(holder), std::move(report));
  if (outcome != CallOutcome::kAccepted) {
    LogEvent(Event::kUsageNotAccepted, {{"window", std::to_string(window)}});
    co_return false;
  }
  LogEvent(Event::kUsageReported, {{"window", std::to_string(window)}});
  m_done = window;
  StoreChange change;
  change.conditions.push_back(Row(kDoneKey, {}, m_done_version));
  change.writes.push_back(Row(kDoneKey, std::to_string(window)));
  const auto changed = co_await Change(std::move(change));
  if (changed) m_done_version = changed->version;
  co_return true;
}

Awaitable<void> Duties::ReportUsage() {
  const auto now = SharedNowMs();
  if (!now) co_return;
  const std::int64_t length = m_settings.usage_window.count();
  const auto current = static_cast<std::uint64_t>(*now / length);
  // The first report is of the first window in which a request began, or the
  // latest whose counts are written.
  const auto written =
      static_cast<std::uint64_t>((*now - kCountsWritten.count()) / length);
  const std::uint64_t first = m_instances.FirstWindow().value_or(written - 1);
  std::uint64_t window = m_done ? *m_done + 1 : std::min(first, written - 1);
  if (current > kMaxWindowsBehind) {
    window = std::max(window, current - kMaxWindowsBehind);
  }
  for (; window < current; ++window) {
    const std::int64_t end = static_cast<std::int64_t>(window + 1) * length;
    const auto patience = static_cast<std::int64_t>(
        static_cast<double>(m_settings.usage_due.count()) * kWaitPart);
    if (*now < end + kCountsWritten.count()) co_return;
    const bool whole = m_instances.Complete(end, BootTime());
    if (!whole && *now < end + patience) co_return;
    if (!co_await SendUsage(window)) co_return;
  }
}

std::map<ServiceId, VersionMove> Duties::Moves() const {
  std::map<ServiceId, VersionMove> moves;
  for (const auto& [service, order] : m_orders) {
    VersionMove& move = moves[service];
    move.order = order;
    const auto stored = m_moves.find(service);
    const bool known = stored != m_moves.end() &&
                       stored->second.move.order.revision == order.revision;
    if (!known) continue;  // The new version gets nothing before a decision.
    move = stored->second.move;
    const auto own = m_evidence.find(MoveKey(order));
    const bool undecided = move.state.phase != MovePhase::kDone;
    if (own == m_evidence.end() || !undecided) continue;
    if (!FindHarm(order, own->second).empty()) move.state.share = 0;
  }
  return moves;
}

bool Duties::IsMoving() const {
  const auto moves = Moves();
  return std::any_of(moves.begin(), moves.end(), [](const auto& item) {
    const MovePhase phase = item.second.state.phase;
    return phase == MovePhase::kRunning || phase == MovePhase::kWatching;
  });
}

MoveEvidence Duties::EvidenceOf(const MoveId& key) const {
  MoveEvidence sum;
  for (const auto* report : m_instances.Serving(BootTime())) {
    const EvidenceByMove evidence = DecodeEvidence(report->evidence);
    const auto found = evidence.find(key);
    if (found != evidence.end()) Accumulate(sum, found->second);
  }
  return sum;
}

Awaitable<void> Duties::StepMoves() {
  const auto now = SharedNowMs();
  if (!now) co_return;
  const auto orders = m_orders;
  for (const auto& [service, order] : orders) {
    const auto stored = m_moves.find(service);
    const bool known = stored != m_moves.end() &&
                       stored->second.move.order.revision == order.revision;
    StoredMove next;
    if (stored != m_moves.end()) next.version = stored->second.version;
    next.move.order = order;
    if (known) {
      const auto state = NextState(stored->second.move,
                                   EvidenceOf(MoveKey(order)), WallTime(*now));
      if (!state) continue;
      next.move.state = *state;
    } else {
      const bool timed = order.seen.Count() > 0;
      next.move.state = FirstState(m_settings.exposure_share,
                                   timed ? order.seen : WallTime(*now));
    }
    if (!HoldsLease()) co_return;
    const std::string key = std::string(kMovePrefix) + service.Text();
    StoreChange change;
    change.conditions.push_back(Row(key, {}, next.version));
    change.writes.push_back(Row(key, EncodeMove(next.move)));
    change.writes.push_back(m_dialect.move_status(next.move));
    const auto changed = co_await Change(std::move(change));
    if (!changed) co_return;
    next.version = changed->version;
    LogEvent(Event::kMoveStep,
             {{"move", MoveKey(order).Text()},
              {"to", order.to.Text()},
              {"phase", std::string(MovePhaseName(next.move.state.phase))},
              {"share", std::to_string(next.move.state.share)},
              {"reason", next.move.state.reason}});
    m_moves[service] = next;
  }
}

std::map<DomainId, DomainCapacity> Duties::DomainCapacities(
    const ServiceId& service, const std::vector<ServerEntry>& servers) const {
  std::map<DomainId, DomainCapacity> domains;
  for (const auto& server : servers) {
    if (server.service != service) continue;
    DomainCapacity& capacity = domains[server.domain];
    ++(server.reclaimable ? capacity.reclaimable : capacity.firm);
  }
  for (const auto* report : m_instances.Serving(BootTime())) {
    const auto busy = report->busy.find(service);
    if (busy != report->busy.end())
      domains[report->domain].busy += busy->second;
  }
  return domains;
}

Awaitable<void> Duties::OrderCapacity(ConfigurationPtr configuration,
                                      std::vector<ServerEntry> servers) {
  for (const auto& [name, service] : configuration->services) {
    if (!service.scaling) continue;
    // The servers of both versions run side by side until a move is decided.
    const auto move = m_moves.find(name);
    const bool moving = m_orders.contains(name) && move != m_moves.end() &&
                        move->second.move.state.phase != MovePhase::kDone &&
                        move->second.move.state.phase != MovePhase::kTakenBack;
    if (moving) continue;
    auto planner = m_planners.try_emplace(name, name, *service.scaling).first;
    auto domains = DomainCapacities(name, servers);
    auto orders = planner->second.Plan(domains, BootTime());
    // What is not to be had is made up for in the same turn.
    bool replanned = false;
    for (std::size_t i = 0; i < orders.size(); ++i) {
      const CapacityOrder order = orders[i];
      if (!HoldsLease()) co_return;
      DutyHolder holder;
      holder.node = m_settings.node;
      holder.epoch = m_lease.CurrentEpoch();
      const CallOutcome outcome =
          co_await m_dialect.order_capacity(std::move(holder), order);
      const bool accepted = outcome == CallOutcome::kAccepted;
      if (accepted) planner->second.NoteAccepted(order, BootTime());
      if (outcome == CallOutcome::kRejected) {
        planner->second.NoteUnavailable(order, BootTime());
      }
      LogEvent(accepted ? Event::kCapacityOrdered : Event::kCapacityNotAccepted,
               {{"service", name.Text()},
                {"domain", order.domain.Text()},
                {"servers", std::to_string(order.servers)},
                {"reclaimable", order.reclaimable ? "true" : "false"},
                {"busy", std::to_string(domains[order.domain].busy)},
                {"firm", std::to_string(domains[order.domain].firm)}});
      if (outcome == CallOutcome::kUnknown) co_return;
      if (accepted || replanned || i + 1 < orders.size()) continue;
      replanned = true;
      const auto more = planner->second.Plan(domains, BootTime());
      orders.insert(orders.end(), more.begin(), more.end());
    }
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
