#pragma once

#include <functional>
#include <memory>
#include <random>

#include "base/clock.h"
#include "cowslipknot/coordination/membership.h"
#include "cowslipknot/settings.h"
#include "protocol/peer_frame.h"

namespace cowslipknot {

/// Spreads records among entry instances and watches who is alive.
///
/// Each probe carries news both ways. States that still differ when no news is
/// left are exchanged whole. Runs on the control thread.
class PeerMesh {
 public:
  struct Hooks {
    /// A record that was news, from `sender`; member records included.
    std::function<void(const SpreadRecord&, const NodeId& sender)> on_record;
    /// A member is dead, as found here or told by a peer. May be repeated.
    std::function<void(const NodeId&)> on_dead;
    /// Whether a record that is no member's may be merged.
    std::function<bool(const SpreadRecord&)> accepts;
  };

  PeerMesh(const Settings& settings, const asio::any_io_executor& executor,
           Hooks hooks);

  Awaitable<void> Run();

  /// Answers Probe, ProbeFor and Exchange frames.
  Awaitable<PeerFrame> Handle(const PeerFrame& frame);

  /// Sends a frame to a live member.
  Awaitable<Result<PeerFrame>> Call(const NodeId& node, PeerFrame frame);
  Awaitable<Result<PeerFrame>> CallAddress(const Endpoint& peer,
                                           PeerFrame frame,
                                           Milliseconds timeout);

  /// Spreads a record of this instance.
  void Spread(const SpreadRecord& record);

  Membership& Members() { return m_membership; }
  const RecordSet& Records() const { return m_records; }
  const LinkTraffic& Traffic() const { return m_client.Traffic(); }
  /// Probes at once instead of at the next interval, to pass on news.
  void Hurry() { m_pause.cancel(); }

 private:
  Awaitable<void> Probe(ProbeTarget target);
  Awaitable<void> ExchangeAll(Endpoint peer);
  void NoteDeath(const NodeId& node);
  void MergeAll(const PeerFrame& frame);
  PeerFrame NewsFrame(wire::Kind kind);
  UnitDraw Draw();

  const Settings& m_settings;
  asio::any_io_executor m_executor;
  Hooks m_hooks;
  RecordSet m_records;
  Membership m_membership;
  FrameClient m_client;
  std::mt19937_64 m_random;
  asio::steady_timer m_pause;
  SteadyClock::time_point m_last_exchange{};
};

}  // namespace cowslipknot
