#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/state/objects.h"

namespace cowslipknot {

/// A request to be admitted by a FairQueue.
struct AdmissionRequest {
  std::uint64_t ticket = 0;  ///< chosen by the caller; unique
  WorkspaceId workspace;
  double weight = 1;  ///< of the workspace, for weighted fair sharing
  TokenCount cost;
  RequestClass request_class = RequestClass::kInteractive;
  WallTime arrived;
  WallTime deadline;  ///< for admission
};

enum class Admission : std::uint8_t { kAdmitted, kQueued };

/// Limits the tokens in flight and shares them among workspaces by weight
/// (weighted fair queueing).
///
/// Interactive requests are admitted first. Requests of the same class and
/// workspace are ordered by their deadline. Patient requests use the remaining
/// capacity and count as interactive once half of their time to the deadline
/// has passed. Does not read a clock: the time is an argument. Does not drop
/// requests whose deadline has passed; the caller cancels them.
/// Single-threaded.
class FairQueue {
 public:
  explicit FairQueue(TokenCount limit) : m_limit(limit) {}

  /// Admits the request, or queues it when the limit is reached.
  Admission Submit(const AdmissionRequest& request);

  /// Releases the tokens of an admitted request that has ended.
  /// @return tickets of the queued requests that are admitted as a result
  std::vector<std::uint64_t> Release(TokenCount cost, WallTime now);

  /// Removes a queued request whose caller no longer waits.
  void Cancel(std::uint64_t ticket);

  TokenCount InFlight() const { return m_in_flight; }
  std::size_t Waiting() const { return m_waiting.size(); }

 private:
  bool Fits(TokenCount cost) const;
  void Admit(const AdmissionRequest& request);
  std::map<std::uint64_t, AdmissionRequest>::iterator SelectNext(WallTime now);

  TokenCount m_limit;
  TokenCount m_in_flight;
  std::map<std::uint64_t, AdmissionRequest> m_waiting;
  /// Admitted tokens divided by weight.
  std::map<WorkspaceId, double> m_virtual_time;
  double m_virtual_now = 0;
};

}  // namespace cowslipknot
