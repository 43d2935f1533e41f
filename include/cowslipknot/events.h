#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace cowslipknot {

/// Log events and their numbers, which do not change. docs/events.md lists
/// them.
enum class Event : std::uint16_t {
  kStarted = 100,
  kReady = 101,
  kDraining = 102,
  kStopped = 103,
  kSettingsRejected = 104,
  kSettingsReloaded = 105,
  kSignalIgnored = 120,
  kStartWaiting = 121,
  kStartFailed = 122,
  kUnexpectedEnd = 123,
  kRevisionInForce = 200,
  kRevisionIgnored = 201,
  kRevisionPublished = 202,
  kConfigurationUnreadable = 203,
  kMemberJoined = 300,
  kMemberSuspected = 301,
  kMemberFailed = 302,
  kServerLeaving = 400,
  kServerEjected = 401,
  kServerRegistered = 402,
  kServerGone = 403,
  kRegistrationUnreadable = 404,
  kEvacuationBegun = 420,
  kEvacuationEnded = 421,
  kEvacuationEmpty = 422,
  kEvacuationLeavesNone = 423,
  kEvacuationInForce = 424,
  kAttemptFailed = 500,
  kRequestResumed = 501,
  kRequestBackedUp = 502,
  kRequestTakenOver = 503,
  kRequestHandedOver = 504,
  kOutcomeUnknown = 505,
  kRequestRefused = 506,
  kRequestFailed = 507,
  kAttemptStarted = 508,
  kRequestDone = 509,
  kRequestUnreadable = 510,
  kHandlerFailed = 511,
  kStreamStalled = 512,
  kResponseSkipped = 515,
  kServerPaused = 516,
  kPauseAdjusted = 517,
  kEarlierNoticesApplied = 518,
  kStreamLate = 519,
  kServerChecked = 520,
  kPromptQuarantined = 521,
  kQuarantineTrial = 522,
  kQuarantineEnded = 523,
  kRetryWithheld = 524,
  kLoopRestarted = 540,
  kTaskFailed = 541,
  kCallbackFailed = 542,
  kConnectionLimitReached = 560,
  kAcceptFailed = 561,
  kDescriptorsExhausted = 562,
  kServerLimited = 580,
  kServerLimitEnded = 581,
  kLimitAdjusted = 582,
  kLimitUnreadable = 583,
  kPermitGranterUnresponsive = 584,
  kServerCold = 586,
  kShortageBegan = 590,
  kShortageEnded = 591,
  kMoveStep = 600,
  kMoveRolledBack = 601,
  kLeaseTaken = 602,
  kLeaseLost = 603,
  kMoveHalted = 604,
  kMoveEvidence = 605,
  kMoveDecisionHeld = 606,
  kUsageReported = 610,
  kUsageNotAccepted = 611,
  kCapacityOrdered = 612,
  kCapacityNotAccepted = 613,
  kReportsNotRelayed = 614,
  kRelayFollowed = 615,
  kRelayLost = 616,
  kRelayLeft = 617,
  kUsageSkipped = 618,
  kInstancesKnown = 619,
  kQuotaLenderUnresponsive = 620,
  kQuotaLendersChanged = 621,
  kPlatformLost = 700,
  kPlatformBack = 701,
  kHistoryLost = 702,
  kClusterClockSet = 703,
  kStoreRestored = 704,
  kFrameRejected = 800,
  kLinesDropped = 900,
};

struct EventRow {
  Event event;
  std::string_view level;  ///< "info", "warn" or "error"
  std::string_view name;
  std::string_view message;
};

/// All events, ordered by number.
std::span<const EventRow> EventTable();

using EventField = std::pair<std::string_view, std::string>;

enum class LogTarget : std::uint8_t { kStandardError, kStandardOutput };

/// Initializes log4cplus; a further call changes node and target. Each event is
/// written as one line that holds a JSON object.
void StartLog(const std::string& node,
              LogTarget target = LogTarget::kStandardError);

/// Writes one event; does nothing before StartLog(). Thread-safe.
void LogEvent(Event event, std::initializer_list<EventField> fields = {});

}  // namespace cowslipknot
