#pragma once

#include <functional>
#include <memory>
#include <random>

#include "base/clock.h"
#include "cowslipknot/coordination/membership.h"
#include "cowslipknot/settings.h"
#include "protocol/peer_frame.h"

namespace cowslipknot {

/// Gossips records among entry instances and detects failed instances.
///
/// Probes and their responses carry recent updates. Instances whose states
/// still differ when no updates are left to send exchange their full state.
/// Runs on the control thread.
class GossipNode {
 public:
  struct Hooks {
    /// Called with each record that changed the local state, including member
    /// records, and the instance that sent it.
    std::function<void(const GossipRecord&, const NodeId& sender)> on_record;
    /// Called when a member is declared failed, here or by a peer. May be
    /// called repeatedly for one member.
    std::function<void(const NodeId&)> on_failed;
    /// Whether a record other than a member record may be merged.
    std::function<bool(const GossipRecord&)> accepts_record;
  };

  GossipNode(const Settings& settings, const asio::any_io_executor& executor,
             Hooks hooks);

  /// Probes members periodically. Never returns.
  Awaitable<void> Run();

  /// Handles Probe, ProbeFor and Exchange frames.
  Awaitable<PeerFrame> Handle(const PeerFrame& frame);

  /// Sends a frame to a known member.
  /// @return the response, or kPeerUnreachable when the member is unknown
  Awaitable<Result<PeerFrame>> Call(const NodeId& node, PeerFrame frame);
  Awaitable<Result<PeerFrame>> CallAddress(const Endpoint& peer,
                                           PeerFrame frame,
                                           Milliseconds timeout);

  /// Publishes a record of this instance to all members.
  void Publish(const GossipRecord& record);

  Membership& Members() { return m_membership; }
  const RecordSet& Records() const { return m_records; }
  const LinkTraffic& Traffic() const { return m_client.Traffic(); }
  /// Probes immediately instead of at the next interval, to send updates
  /// sooner.
  void ProbeNow() { m_probe_timer.cancel(); }

 private:
  Awaitable<void> Probe(ProbeTarget target);
  Awaitable<void> ExchangeState(Endpoint peer);
  void OnMemberFailed(const NodeId& node);
  void MergeRecords(const PeerFrame& frame);
  PeerFrame BuildGossipFrame(wire::Kind kind);
  UnitDraw Draw();

  const Settings& m_settings;
  asio::any_io_executor m_executor;
  Hooks m_hooks;
  RecordSet m_records;
  Membership m_membership;
  FrameClient m_client;
  std::mt19937_64 m_random;
  asio::steady_timer m_probe_timer;
  SteadyClock::time_point m_last_exchange{};
};

}  // namespace cowslipknot
