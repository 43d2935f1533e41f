#include "serve/gateway_store_relay.h"

#include <algorithm>

#include "base/clock.h"
#include "serve/follow_codec.h"

namespace cowslipknot::gateway {
namespace {

/// Fraction of the bound on a new configuration (Settings::apply_bound) for
/// which a relay waits for a change. The rest allows its followers to notice
/// that it has lost the store, and to read the store themselves.
constexpr double kConfigurationPollFraction = 0.4;
/// Interval between reads of registrations, as a fraction of the bound on the
/// last request to a leaving server (Settings::drain_bound). The rest allows
/// for one failed call.
constexpr double kRegistrationsIntervalFraction = 0.6;
/// Fraction of the drain bound for which an update is held back.
constexpr double kHoldFraction = 0.2;
/// Time by which a read may be late before the relay stops sending updates.
constexpr Milliseconds kMaxLateness(300);
/// Age of the reports up to which updates are sent: the longest interval
/// between reads and a slow call.
constexpr Milliseconds kMaxFleetAge(4000);
/// An instance that has not asked for this long no longer follows.
constexpr Milliseconds kFollowerTimeout(3000);

/// Has a timer in a list for the lifetime of the object.
class ListEntry {
 public:
  using List = std::list<asio::steady_timer*>;

  ListEntry(List& list, asio::steady_timer* timer)
      : m_list(list), m_position(list.insert(list.end(), timer)) {}
  ListEntry(const ListEntry&) = delete;
  ListEntry& operator=(const ListEntry&) = delete;
  ~ListEntry() { m_list.erase(m_position); }

 private:
  List& m_list;
  List::iterator m_position;
};

Milliseconds Fraction(Milliseconds bound, double fraction) {
  return Milliseconds(static_cast<Milliseconds::rep>(
      static_cast<double>(bound.count()) * fraction));
}

}  // namespace

Milliseconds StoreRelay::ConfigurationPoll(const Settings& settings) {
  // Orders to evacuate a domain are rows of the same table.
  return Fraction(std::min(settings.apply_bound, settings.evacuate_bound),
                  kConfigurationPollFraction);
}

Milliseconds StoreRelay::RegistrationsInterval(const Settings& settings) {
  return Fraction(settings.drain_bound, kRegistrationsIntervalFraction);
}

Milliseconds StoreRelay::MaxHold(const Settings& settings) {
  return Fraction(settings.drain_bound, kHoldFraction);
}

void StoreRelay::OnConfiguration(const StoreRows& rows, bool complete,
                                 Time confirmed) {
  if (complete) {
    // Rows that are missing have been removed; followers learn of it by their
    // position.
    for (auto& [key, row] : m_configuration) {
      if (row.removed) continue;
      row.removed = true;
      row.value.clear();
      row.position = rows.position;
    }
  }
  for (const auto& row : rows.rows) m_configuration[row.key] = row;
  const bool changed = complete || !rows.rows.empty();
  m_configuration_position = std::max(m_configuration_position, rows.position);
  m_configuration_confirmed = std::max(m_configuration_confirmed, confirmed);
  if (changed) NotifyFollowers();
}

void StoreRelay::OnRegistrations(const std::vector<ServerEntry>& usable,
                                 const StorePosition& position) {
  if (m_registrations.Update(usable, position)) NotifyFollowers();
}

void StoreRelay::OnFleet(FleetView fleet, std::vector<StoreRow> moves,
                         std::uint64_t reported_window) {
  m_fleet = std::move(fleet);
  m_fleet_read_at = TimeSinceBoot();
  m_reported_window = reported_window;
  const std::uint64_t digest = DigestInstances(m_fleet.serving);
  StorePosition moves_position;
  for (const auto& row : moves)
    moves_position = std::max(moves_position, row.position);
  const bool changed =
      digest != m_instances_digest || moves_position != m_moves_position;
  m_instances_digest = digest;
  m_moves = std::move(moves);
  m_moves_position = moves_position;
  if (changed) NotifyFollowers();
}

void StoreRelay::OnStoreLost() {
  m_registrations_read_at = Time(0);
  NotifyFollowers();
}

void StoreRelay::SetReadsStore(bool reads_store) {
  m_reads_store = reads_store;
  if (reads_store) return;
  m_fleet_read_at = Time(0);
  OnStoreLost();
}

void StoreRelay::NotifyFollowers() {
  for (auto* timer : m_waiting) timer->cancel();
}

bool StoreRelay::HasFollowers(Time now) const {
  return m_last_request.count() > 0 && now - m_last_request < kFollowerTimeout;
}

void StoreRelay::KeepReports(std::map<std::string, StoreRow> reports) {
  // insert() does not replace newer reports of the same instance.
  m_reports.insert(std::make_move_iterator(reports.begin()),
                   std::make_move_iterator(reports.end()));
}

StoreRelay::Time StoreRelay::FreshUntil() const {
  if (!m_reads_store || m_configuration.empty()) return Time(0);
  return std::min(
      {m_configuration_confirmed + ConfigurationPoll(m_settings) + kMaxLateness,
       m_registrations_read_at + RegistrationsInterval(m_settings) +
           kMaxLateness,
       m_fleet_read_at + kMaxFleetAge});
}

bool StoreRelay::HasNews(const wire::FollowRequestT& request) const {
  if (request.relay_started_ms != m_started_ms) return true;
  if (request.registrations_cursor != m_registrations.Cursor()) return true;
  if (request.instances_digest != m_instances_digest) return true;
  if (UnpackPosition(request.moves) != m_moves_position) return true;
  const StorePosition known = UnpackPosition(request.configuration);
  return std::any_of(
      m_configuration.begin(), m_configuration.end(),
      [&known](const auto& item) { return item.second.position > known; });
}

Awaitable<void> StoreRelay::WaitForNews(Milliseconds hold) {
  asio::steady_timer timer(m_executor, hold);
  const ListEntry waiting(m_waiting, &timer);
  co_await timer.async_wait(kAsTuple);
}

Awaitable<PeerFrame> StoreRelay::Answer(PeerFrame request) {
  PeerFrame answer;
  if (!request.follow) co_return answer;
  const wire::FollowRequestT& follow = *request.follow;
  m_last_request = TimeSinceBoot();
  if (m_last_request >= FreshUntil()) co_return answer;
  if (follow.report) {
    StoreRow row = UnpackRow(*follow.report, std::string());
    m_reports[row.key] = std::move(row);
  }
  if (!HasNews(follow)) {
    const Milliseconds hold(std::min<Milliseconds::rep>(
        follow.hold_ms, MaxHold(m_settings).count()));
    const auto fresh_for = std::chrono::duration_cast<Milliseconds>(
        FreshUntil() - TimeSinceBoot());
    co_await WaitForNews(std::min(hold, fresh_for));
  }
  const Time now = TimeSinceBoot();
  if (now < FreshUntil()) answer.update = BuildUpdate(follow, now);
  co_return answer;
}

std::unique_ptr<wire::FollowUpdateT> StoreRelay::BuildUpdate(
    const wire::FollowRequestT& request, Time now) const {
  auto update = std::make_unique<wire::FollowUpdateT>();
  const StorePosition known = UnpackPosition(request.configuration);
  update->configuration = PackPosition(m_configuration_position);
  update->configuration_in_force = m_configuration_in_force;
  update->configuration_complete = !known.IsKnown();
  for (const auto& [key, row] : m_configuration) {
    if (row.position <= known) continue;
    if (update->configuration_complete && row.removed) continue;
    update->configuration_rows.push_back(PackRow(row));
  }
  // Rounded up, so that a confirmation never counts as more recent.
  update->configuration_age_ms = static_cast<std::uint64_t>(
      std::chrono::ceil<Milliseconds>(now - m_configuration_confirmed).count());
  update->relay_started_ms = m_started_ms;
  const bool is_own_cursor = request.relay_started_ms == m_started_ms;
  const auto registrations =
      m_registrations.Since(is_own_cursor ? request.registrations_cursor : 0);
  update->registrations_cursor = registrations.cursor;
  update->registrations_complete = registrations.complete;
  update->registrations_position = PackPosition(m_registrations.Position());
  for (const auto& change : registrations.changes)
    update->registrations.push_back(PackServer(change));
  update->instances_digest = m_instances_digest;
  if (request.instances_digest != m_instances_digest) {
    for (const auto& instance : m_fleet.serving)
      update->instances.push_back(PackInstance(instance));
  }
  for (const auto& [workspace, rate] : m_fleet.demand) {
    auto packed = std::make_unique<wire::WorkspaceDemandT>();
    packed->workspace = workspace.Text();
    packed->per_s = rate;
    update->demand.push_back(std::move(packed));
  }
  update->moves_position = PackPosition(m_moves_position);
  if (!is_own_cursor || UnpackPosition(request.moves) != m_moves_position) {
    for (const auto& row : m_moves) update->moves.push_back(PackRow(row));
  }
  update->reported_window = m_reported_window;
  return update;
}

}  // namespace cowslipknot::gateway
