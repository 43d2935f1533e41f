#pragma once

#include <map>
#include <memory>
#include <vector>

#include "coordination/gossip_node.h"
#include "cowslipknot/coordination/rendezvous.h"
#include "serve/model_run.h"

namespace cowslipknot {

/// Backs up requests in flight to peers before this instance stops, and holds
/// the backups of peers.
///
/// A backup is made only once a stop or reclaim has been announced. Its holder
/// takes the request over when the owner hands it over or is declared failed.
/// Backups are not persisted and are discarded when their request ends. Runs on
/// the control thread.
class RequestBackups {
 public:
  using StartRun = std::function<void(const Descriptor&)>;

  RequestBackups(const Settings& settings, GossipNode& gossip,
                 StartRun start_run)
      : m_settings(settings),
        m_gossip(gossip),
        m_start_run(std::move(start_run)) {}

  /// Sends a backup of a request to the first peer that accepts it.
  /// @return false if none does
  Awaitable<bool> BackUp(Descriptor descriptor);
  /// Tells the holder to discard its backup, because the request has ended.
  Awaitable<void> DiscardBackup(RequestId id);
  /// Renews the backup and tells its holder to take the request over.
  /// @return false if no peer does
  Awaitable<bool> HandOver(Descriptor descriptor);
  /// Tells all holders to discard the backups of this instance's requests.
  Awaitable<void> DiscardAllBackups();
  /// Forwards the backups held for other instances to further peers.
  Awaitable<void> ForwardHeldBackups();

  /// Handles Keep, Discard, TakeOver and Lookup frames.
  Awaitable<PeerFrame> Handle(const PeerFrame& frame);
  /// Takes over the requests whose owner is declared failed.
  void OnOwnerFailed(const NodeId& node);

  /// Finds the caller-facing address of the instance that can answer for a
  /// request.
  Awaitable<Result<Endpoint>> Locate(RequestId id);

  /// Whether a backup of a keyed request is held here, or a peer holds one or
  /// has taken the request over. Asks peers only while some instance is
  /// draining or unresponsive, or has recently failed or left.
  Awaitable<bool> HasBackup(RequestId id);

  bool HoldsBackup(const RequestId& id) const {
    return m_held_backups.contains(id);
  }
  std::size_t HeldCount() const { return m_held_backups.size(); }

 private:
  struct HeldBackup {
    NodeId owner;
    Descriptor descriptor;
  };

  std::vector<NodeId> RankedHolders(const RequestId& id) const;
  void TakeOver(const RequestId& id);

  const Settings& m_settings;
  GossipNode& m_gossip;
  StartRun m_start_run;
  std::map<RequestId, HeldBackup> m_held_backups;
  std::map<RequestId, NodeId> m_backup_holders;  ///< of own requests
  /// Requests taken over from peers, with the time of the takeover.
  std::map<RequestId, SteadyClock::time_point> m_running;
};

}  // namespace cowslipknot
