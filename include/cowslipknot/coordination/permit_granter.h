#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cowslipknot/ids.h"

/// Permits to send requests to a server that limits its requests from all
/// instances together.
///
/// Each limited server has one main granter among the instances. While it does
/// not respond, a substitute in each of a few failure domains grants a small
/// part of the limit, so that the sum stays within the tolerance.
namespace cowslipknot {

/// An instance that may grant permits.
struct PermitInstance {
  NodeId node;
  DomainId domain;
  auto operator<=>(const PermitInstance&) const = default;
};

/// Failure domains with a substitute, of each server.
inline constexpr std::size_t kMaxSubstituteDomains = 3;
/// Fraction of the limit that all substitutes grant together.
inline constexpr double kSubstituteFraction = 0.4;
/// Tokens that the bucket of a granter holds at most for a low limit, and what
/// the main granter's holds in addition for each request a second of the limit.
inline constexpr double kMainBurst = 2;
inline constexpr double kSubstituteBurst = 1;
inline constexpr double kBurstPerRate = 0.05;
/// Tokens that the buckets of all granters of a server hold together, for a low
/// limit.
inline constexpr double kMaxBurstOfGranters =
    kMainBurst + kSubstituteBurst * kMaxSubstituteDomains;

/// Selects the main granter of a server. Instances that know of the same
/// instances agree.
/// @return nothing if there are none
std::optional<NodeId> ChooseGranter(
    const ServerId& server, const std::vector<PermitInstance>& instances);

/// Selects the substitute of a failure domain.
/// @return nothing if the domain has none
std::optional<NodeId> ChooseSubstitute(
    const ServerId& server, const DomainId& domain,
    const std::vector<PermitInstance>& instances);

/// Fraction of the limit that each substitute grants.
double SubstituteShare(const std::vector<PermitInstance>& instances);

enum class GranterRole : std::uint8_t { kNone, kMain, kSubstitute };

/// The role of an instance for a server.
GranterRole FindRole(const ServerId& server, const NodeId& self,
                     const std::vector<PermitInstance>& instances);

/// Whether a permit may be had, and when it is worth asking again.
struct PermitAnswer {
  std::uint32_t permits = 0;
  std::chrono::milliseconds wait{0};  ///< zero if permits were granted
};

/// Grants permits for one server from a token bucket.
///
/// An instance that takes over the role waits until all instances must know of
/// the change, so that two granters do not add up. Its bucket starts empty.
/// Reads no clock: readings of a monotonic clock are arguments.
/// Single-threaded.
class PermitGranter {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param hand_over  maximum time until all instances know of a change
  explicit PermitGranter(Milliseconds hand_over) : m_hand_over(hand_over) {}

  /// @param since  when the instance took over the role, if it changes
  void SetRole(GranterRole role, Time since);
  GranterRole Role() const { return m_role; }

  /// Grants permits within the limit.
  /// @param share  fraction of the limit that this granter grants
  /// @return nothing if this instance may not grant in this role now
  std::optional<PermitAnswer> Ask(GranterRole role, const NodeId& asker,
                                  RequestRate limit, double share, Time now);

 private:
  void Refill(Time now);
  /// Assigns the next free token to an asker.
  std::chrono::milliseconds ScheduleAsker(const NodeId& asker, Time now);

  Milliseconds m_hand_over;
  GranterRole m_role = GranterRole::kNone;
  Time m_since{0};
  double m_per_s = 0;
  double m_capacity = 0;
  double m_level = 0;
  Time m_updated{0};
  std::map<NodeId, Time> m_next_asks;  ///< of askers that wait
};

/// Permits that one instance holds for a server.
class HeldPermits {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param now  when they were granted; later they become void
  void Add(std::uint32_t permits, Time now);
  /// Uses one. @return false if there is none
  bool Take(Time now);

 private:
  std::uint32_t m_permits = 0;
  Time m_valid_until{0};
};

/// Time for which a permit is valid. A process that was paused meanwhile must
/// not use it.
inline constexpr std::chrono::milliseconds kPermitLifetime(250);

}  // namespace cowslipknot
