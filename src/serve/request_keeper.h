#pragma once

#include <map>
#include <memory>
#include <vector>

#include "coordination/peer_mesh.h"
#include "cowslipknot/coordination/rendezvous.h"
#include "serve/model_run.h"

namespace cowslipknot {

/// Passes requests in flight to peers before this instance goes, and holds
/// those of peers.
///
/// A copy is made only once a stop or reclaim has been announced. Its holder
/// runs the request when the owner says so or is taken for dead. Copies are
/// working state and end with their request. Runs on the control thread.
class RequestKeeper {
 public:
  using StartRun = std::function<void(const Descriptor&)>;

  RequestKeeper(const Settings& settings, PeerMesh& mesh, StartRun start_run)
      : m_settings(settings), m_mesh(mesh), m_start_run(std::move(start_run)) {}

  /// Gives a copy of a request to the first peer that takes it.
  Awaitable<bool> Keep(Descriptor descriptor);
  /// Tells the holder that the request has ended here.
  Awaitable<void> Discard(RequestId id);
  /// Tells the holder to go on with the request. @return false if none will
  Awaitable<bool> HandOver(Descriptor descriptor);
  /// Tells all holders that this instance's requests have ended.
  Awaitable<void> DiscardAll();
  /// Passes on the copies held for others.
  Awaitable<void> PassOnHeld();

  /// Answers Keep, Discard, TakeOver and Lookup frames.
  Awaitable<PeerFrame> Handle(const PeerFrame& frame);
  /// Runs what a dead peer left.
  void OwnerDied(const NodeId& node);

  /// The caller-facing address of the instance that knows a request.
  Awaitable<Result<Endpoint>> Locate(RequestId id);

  /// Whether a copy of a keyed request is held or runs here or at a peer.
  /// Asks peers only while some instance is stopping or does not answer.
  Awaitable<bool> FindKept(RequestId id);

  bool Holds(const RequestId& id) const { return m_held.contains(id); }
  std::size_t HeldCount() const { return m_held.size(); }

 private:
  struct Held {
    NodeId owner;
    Descriptor descriptor;
  };

  std::vector<NodeId> Holders(const RequestId& id) const;
  void TakeOver(const RequestId& id);

  const Settings& m_settings;
  PeerMesh& m_mesh;
  StartRun m_start_run;
  std::map<RequestId, Held> m_held;
  std::map<RequestId, NodeId> m_given;  ///< own requests kept by peers
  std::map<RequestId, SteadyClock::time_point> m_running;  ///< taken over here
};

}  // namespace cowslipknot
