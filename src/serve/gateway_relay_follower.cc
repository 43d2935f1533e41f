#include <algorithm>

#include "base/endpoint_text.h"
#include "cowslipknot/events.h"
#include "serve/follow_codec.h"
#include "serve/gateway_control_plane.h"
#include "transport/event_loop.h"

/// Follows a relay of this instance's failure domain instead of reading the
/// store.
namespace cowslipknot::gateway {
namespace {

/// Time beyond the hold until a relay that does not respond counts as lost.
constexpr Milliseconds kRelayResponseTimeout(250);
/// Delay until a lost relay is asked again.
constexpr Milliseconds kRelayRetryDelay(3000);
/// Interval between checks for a relay while this instance reads the store.
constexpr Milliseconds kRelayCheckInterval(500);

/// Whether an answer is one to follow.
Result<void> CheckAnswer(const Result<PeerFrame>& answer) {
  if (!answer) return tl::make_unexpected(answer.error());
  if (!answer->update || !answer->update->configuration)
    return Fail(ResultCode::kPlatformUnavailable,
                "the relay has lost the store");
  return CheckUpdate(*answer->update);
}

}  // namespace

Awaitable<void> ControlPlane::WhileFollowing() {
  while (m_following) co_await m_following_ended.async_wait(kAsTuple);
}

void ControlPlane::SetFollowing(bool following) {
  if (following == m_following) return;
  m_following = following;
  m_relay.SetReadsStore(!following);
  if (!following) LogEvent(Event::kRelayLeft);
  // Wakes the loops that read the store.
  if (!following) m_following_ended.cancel();
}

bool ControlPlane::IsRelay() const {
  const auto relays = SelectRelays(m_fleet, m_settings.domain);
  return std::any_of(relays.begin(), relays.end(),
                     [this](const InstanceSummary& relay) {
                       return relay.node == m_settings.node;
                     });
}

std::optional<InstanceSummary> ControlPlane::ChooseRelay() const {
  if (!m_configuration || !m_servers_known) return std::nullopt;
  // Only the store has the offset of the shared clock, by which requests are
  // counted, and all reports, which the holder of the lease needs.
  if (!m_coordinator.ClockOffset() || m_coordinator.HoldsLease())
    return std::nullopt;
  if (IsRelay()) return std::nullopt;
  const auto relays = SelectRelays(m_fleet, m_settings.domain);
  const auto now = TimeSinceBoot();
  for (const auto& relay : relays) {
    const auto retry_at = m_relay_retry_at.find(relay.node);
    if (retry_at == m_relay_retry_at.end() || now >= retry_at->second)
      return relay;
  }
  return std::nullopt;
}

Awaitable<void> ControlPlane::FollowRelays() {
  // The loops that read the store wait while a relay is followed.
  SetFollowing(false);
  while (true) {
    const auto relay = ChooseRelay();
    if (!relay) {
      SetFollowing(false);
      co_await SleepFor(kRelayCheckInterval);
      continue;
    }
    bool followed = false;
    try {
      followed = co_await FollowOnce(*relay);
    } catch (const std::exception&) {
      RecordTaskFailure("follow relay", std::current_exception());
    }
    if (followed) continue;
    m_relay_retry_at[relay->node] = TimeSinceBoot() + kRelayRetryDelay;
    // The next relay, or the store, receives the report.
    m_report_due = std::chrono::nanoseconds(0);
  }
}

Awaitable<PeerFrame> ControlPlane::BuildFollowRequest(
    const InstanceSummary& relay) {
  PeerFrame frame;
  frame.kind = wire::Kind::FollowStore;
  frame.follow = std::make_unique<wire::FollowRequestT>();
  const TableCursor& cursor = m_configuration_cursor;
  if (!cursor.needs_full_read)
    frame.follow->configuration = PackPosition(cursor.since);
  const bool is_same_relay =
      m_following && IsSameProcess(m_followed_relay, relay);
  if (is_same_relay) {
    frame.follow->relay_started_ms = relay.started_ms;
    frame.follow->registrations_cursor = m_relay_cursor;
    frame.follow->instances_digest = m_instances_digest;
    frame.follow->moves = PackPosition(m_relay_moves_position);
  }
  frame.follow->hold_ms =
      static_cast<std::uint32_t>(StoreRelay::MaxHold(m_settings).count());
  // Before the first update, reports are still written to the store.
  if (m_following && TimeSinceBoot() >= m_report_due) {
    FleetCoordinator::ReportInput input = co_await CollectReportInput();
    frame.follow->report = PackRow(m_coordinator.PrepareReport(input));
    m_report_due = TimeSinceBoot() + NextReportDelay();
  }
  co_return frame;
}

Awaitable<bool> ControlPlane::FollowOnce(InstanceSummary relay) {
  PeerFrame frame = co_await BuildFollowRequest(relay);
  const Milliseconds timeout =
      StoreRelay::MaxHold(m_settings) + kRelayResponseTimeout;
  const auto sent_at = TimeSinceBoot();
  const auto answer = co_await RunOn(
      m_worker.Context().get_executor(),
      m_worker.Links().Call(*relay.peers, std::move(frame), timeout));
  const auto checked = CheckAnswer(answer);
  if (!checked) {
    LogEvent(Event::kRelayLost, {{"relay", relay.node.Text()},
                                 {"after_ms", FormatAgeMs(sent_at)},
                                 {"detail", checked.error().detail}});
    co_return false;
  }
  // What a relay has read counts as the store's response.
  if (!m_following) SetStoreReachable(true, m_adapter.names.server_table);
  if (!m_following || m_followed_relay.node != relay.node) {
    LogEvent(Event::kRelayFollowed,
             {{"relay", relay.node.Text()},
              {"address", FormatEndpoint(*relay.peers)}});
  }
  SetFollowing(true);
  const wire::FollowUpdateT& update = *answer->update;
  ApplyUpdate(update, relay);
  if (update.configuration_in_force > ConfigurationInForce())
    co_await AskForConfiguration(relay);
  ConfirmUpdate(update, sent_at);
  co_return true;
}

void ControlPlane::ConfirmUpdate(const wire::FollowUpdateT& update,
                                 std::chrono::nanoseconds sent_at) {
  if (update.configuration_in_force > ConfigurationInForce()) return;
  // The relay answered after `sent_at`, so its age counts from then at the
  // latest.
  const auto confirmed = sent_at - Milliseconds(update.configuration_age_ms);
  OnConfigurationConfirmed(confirmed);
  StoreRows no_changes;
  no_changes.position = UnpackPosition(update.configuration);
  m_confirmed_era = std::max(m_confirmed_era, no_changes.position.era);
  m_relay.OnConfiguration(no_changes, false, confirmed);
}

void ControlPlane::ApplyUpdate(const wire::FollowUpdateT& update,
                               const InstanceSummary& relay) {
  StoreRows rows;
  rows.position = UnpackPosition(update.configuration);
  for (const auto& packed : update.configuration_rows) {
    if (packed) {
      rows.rows.push_back(
          UnpackRow(*packed, m_adapter.names.configuration_table));
    }
  }
  TableCursor& cursor = m_configuration_cursor;
  // A complete list from a relay that lags behind may lack newer rows.
  const bool is_full_read =
      update.configuration_complete && rows.position >= cursor.since;
  ApplyConfiguration(rows, is_full_read);
  m_relay.OnConfiguration(rows, is_full_read, std::chrono::nanoseconds(0));
  cursor.since = std::max(cursor.since, rows.position);
  if (is_full_read) cursor.needs_full_read = false;
  m_followed_relay = relay;
  ApplyUpdatedServers(update);
  ApplyUpdatedFleet(update);
}

void ControlPlane::ApplyUpdatedServers(const wire::FollowUpdateT& update) {
  std::vector<ServerChange> changes;
  std::vector<ServerEntry> entries;
  for (const auto& packed : update.registrations) {
    if (!packed) continue;
    changes.push_back(UnpackServer(*packed));
    if (changes.back().entry) entries.push_back(*changes.back().entry);
  }
  m_relay_cursor = update.registrations_cursor;
  m_registry.EndGrace(TimeSinceBoot());
  const StorePosition position = UnpackPosition(update.registrations_position);
  m_servers_position = std::max(m_servers_position, position);
  const auto now = TimeSinceBoot();
  bool changed = update.registrations_complete
                     ? m_registry.Replace(entries, now, position)
                     : m_registry.Apply(changes, now);
  changed = m_registry.Expire(now, m_servers_position) || changed;
  if (changed) Publish();
}

void ControlPlane::ApplyUpdatedFleet(const wire::FollowUpdateT& update) {
  FleetView fleet;
  for (const auto& packed : update.demand) {
    if (packed) fleet.demand[WorkspaceId(packed->workspace)] = packed->per_s;
  }
  fleet.serving = m_fleet.serving;
  if (!update.instances.empty()) {
    fleet.serving.clear();
    for (const auto& packed : update.instances) {
      if (packed) fleet.serving.push_back(UnpackInstance(*packed));
    }
  }
  m_fleet = std::move(fleet);
  OnInstancesRead();
  std::optional<std::vector<StoreRow>> moves;
  const StorePosition moves_position = UnpackPosition(update.moves_position);
  if (moves_position != m_relay_moves_position) {
    moves.emplace();
    for (const auto& packed : update.moves) {
      if (packed) moves->push_back(UnpackRow(*packed, std::string()));
    }
  }
  m_relay_moves_position = moves_position;
  const bool moved = moves.has_value();
  m_coordinator.ApplyRelayed(std::move(moves), update.reported_window);
  if (moved) Publish();
  UpdateFromFleet();
}

}  // namespace cowslipknot::gateway
