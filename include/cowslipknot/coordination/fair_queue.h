#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/state/objects.h"

namespace cowslipknot {

/// A request that asks to be admitted.
struct AdmissionRequest {
  std::uint64_t ticket = 0;  ///< chosen by the caller; unique
  WorkspaceId workspace;
  double weight = 1;
  TokenCount cost;
  RequestClass request_class = RequestClass::kInteractive;
  WallTime arrived;
  WallTime give_up;  ///< refused if not admitted by then
};

enum class Admission : std::uint8_t { kAdmitted, kQueued };

/// Bounds the tokens in flight and shares them among workspaces by weight.
///
/// Interactive requests go first, the earliest deadline first among those of
/// one workspace; patient ones fill the rest and rank as interactive once half
/// of their wait has passed. Pure: time is an argument. Single-threaded.
class FairQueue {
 public:
  explicit FairQueue(TokenCount limit) : m_limit(limit) {}

  Admission Offer(const AdmissionRequest& request);

  /// Returns an admitted request's tokens.
  /// @return tickets that are admitted now
  std::vector<std::uint64_t> Release(TokenCount cost, WallTime now);

  /// Drops a ticket that no longer waits.
  void Withdraw(std::uint64_t ticket);

  TokenCount InFlight() const { return m_in_flight; }
  std::size_t Waiting() const { return m_waiting.size(); }

 private:
  bool Fits(TokenCount cost) const;
  void Admit(const AdmissionRequest& request);
  std::map<std::uint64_t, AdmissionRequest>::iterator Next(WallTime now);

  TokenCount m_limit;
  TokenCount m_in_flight;
  std::map<std::uint64_t, AdmissionRequest> m_waiting;
  std::map<WorkspaceId, double> m_virtual_time;  ///< tokens over weight
  double m_virtual_now = 0;
};

}  // namespace cowslipknot
