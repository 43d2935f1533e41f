#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "cowslipknot/ids.h"

/// Priority-based admission to a service that lacks room.
namespace cowslipknot {

/// Rank of a request among the priorities of its service.
struct Urgency {
  std::uint32_t rank = 0;     ///< 0 is the most urgent
  std::uint32_t classes = 1;  ///< number of ranks
};

/// Largest share of a rank that is refused, so that each is served a minimum.
inline constexpr double kMaxRefusedShare = 0.75;

/// How much of a service's requests are refused, by what the attempts at its
/// servers met. The level lies between 0 and the number of ranks; each unit
/// stands for one rank, the least urgent first.
///
/// Reads no clock: the time is an argument. Single-threaded.
class ShedLevel {
 public:
  using Time = std::chrono::nanoseconds;

  /// Sets the number of ranks. With fewer than two the level stays 0.
  void SetClasses(std::uint32_t classes);
  std::uint32_t Classes() const { return m_classes; }

  /// Records an attempt that should have its first event within a time.
  /// @return identifies the attempt
  std::uint64_t RecordSent(Milliseconds target, Time now);
  /// Records the first event of an attempt.
  void RecordFirstEvent(std::uint64_t attempt, Time now);
  /// Records that the server was full.
  void RecordRefused(std::uint64_t attempt, Time now);
  /// Records that an attempt ended otherwise; it counts if it was late.
  void Forget(std::uint64_t attempt, Time now);

  /// Applies what was recorded up to a time.
  /// @return the level
  double Update(Time now);
  /// Takes the mean with the level of another instance.
  void Average(double other);
  /// Share of a rank's requests to refuse.
  double RefusedShare(const Urgency& urgency) const;
  /// The same for a caller that returns as it was told and can be on time: as
  /// for the next more urgent rank.
  double RefusedShareOfReturn(const Urgency& urgency) const;
  /// Attempts a second that servers have served in time of late.
  RequestRate ServedRate(Time now) const;

 private:
  void CountLate(Time now);
  void Decay(Time now);
  double ShareAbove(double base) const;

  std::uint32_t m_classes = 1;
  double m_level = 0;
  Time m_updated{0};
  Time m_decayed{0};
  /// Recent attempts by outcome, as exponentially decaying counts.
  double m_in_time = 0;
  double m_late = 0;
  double m_refused = 0;
  std::uint64_t m_sent = 0;  ///< the latest identifier
  /// Attempts without a first event that are not late yet, and their due time.
  std::map<std::uint64_t, Time> m_waiting;
};

}  // namespace cowslipknot
