#pragma once

#include <list>
#include <map>
#include <string>

#include "cowslipknot/gateway/fleet_view.h"
#include "cowslipknot/gateway/registration_log.h"
#include "cowslipknot/gateway/settings.h"
#include "protocol/peer_frame.h"
#include "protocol/platform_adapter.h"

namespace cowslipknot::gateway {

/// Passes on what this instance reads from the store to the instances of its
/// failure domain that follow it, and gathers their reports. Runs on the
/// control thread.
///
/// An update carries the age of what it holds, and an instance that has not
/// read the store recently sends none: its followers then read the store
/// themselves, so that a relay without the store delays nobody past a bound.
class StoreRelay {
 public:
  using Time = std::chrono::nanoseconds;

  StoreRelay(const Settings& settings, asio::any_io_executor executor,
             std::uint64_t started_ms)
      : m_settings(settings),
        m_executor(std::move(executor)),
        m_started_ms(started_ms) {}

  /// Longest time that a relay waits for a change of the configuration.
  static Milliseconds ConfigurationPoll(const Settings& settings);
  /// Interval between a relay's reads of the registrations.
  static Milliseconds RegistrationsInterval(const Settings& settings);
  /// How long a relay may hold back an update without changes.
  static Milliseconds MaxHold(const Settings& settings);

  /// Records rows of the configuration's table.
  /// @param complete   the rows are all rows of the table
  /// @param confirmed  when the store confirmed them, in TimeSinceBoot()
  void OnConfiguration(const StoreRows& rows, bool complete, Time confirmed);
  /// Records the version of the configuration in force here.
  void OnConfigurationInForce(std::uint64_t version) {
    m_configuration_in_force = version;
  }
  /// Records the usable registrations.
  /// @param position  of the store that they reflect
  void OnRegistrations(const std::vector<ServerEntry>& usable,
                       const StorePosition& position);
  /// Records that the store was asked for registrations at `sent_at`.
  void OnRegistrationsRead(Time sent_at) { m_registrations_read_at = sent_at; }
  /// Records the instances, the moves and the window last reported.
  void OnFleet(FleetView fleet, std::vector<StoreRow> moves,
               std::uint64_t reported_window);
  /// Stops sending updates until the store has been read again.
  void OnStoreLost();
  /// Sets whether this instance reads the store itself. While it follows
  /// another relay it sends no updates, so that ages do not add up.
  void SetReadsStore(bool reads_store);

  /// Answers a request of a follower, after at most the time that it allows.
  Awaitable<PeerFrame> Answer(PeerFrame request);

  bool HasFollowers(Time now) const;
  /// Takes the reports of followers that are not written yet, by key.
  std::map<std::string, StoreRow> TakeReports() {
    return std::exchange(m_reports, {});
  }
  /// Returns reports that could not be written, unless newer ones have arrived.
  void KeepReports(std::map<std::string, StoreRow> reports);

 private:
  /// Until when updates may be sent.
  Time FreshUntil() const;
  bool HasNews(const wire::FollowRequestT& request) const;
  std::unique_ptr<wire::FollowUpdateT> BuildUpdate(
      const wire::FollowRequestT& request, Time now) const;
  Awaitable<void> WaitForNews(Milliseconds hold);
  void NotifyFollowers();

  const Settings& m_settings;
  asio::any_io_executor m_executor;
  std::uint64_t m_started_ms;
  bool m_reads_store = true;
  std::map<std::string, StoreRow> m_configuration;  ///< rows by key
  StorePosition m_configuration_position;
  std::uint64_t m_configuration_in_force = 0;
  Time m_configuration_confirmed{0};
  RegistrationLog m_registrations;
  Time m_registrations_read_at{0};
  FleetView m_fleet;
  Time m_fleet_read_at{0};
  std::uint64_t m_instances_digest = 0;
  std::vector<StoreRow> m_moves;
  StorePosition m_moves_position;
  std::uint64_t m_reported_window = 0;
  Time m_last_request{0};
  std::map<std::string, StoreRow> m_reports;
  std::list<asio::steady_timer*> m_waiting;
};

}  // namespace cowslipknot::gateway
