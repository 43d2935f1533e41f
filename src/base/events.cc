#include "cowslipknot/events.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>

#include "base/bounded_appender.h"
#include "base/last_words.h"

namespace cowslipknot {
namespace {

constexpr std::size_t kMaxFieldBytes = 1024;

constexpr auto kEvents = std::to_array<EventRow>({
    {Event::kStarted, "info", "started", "the instance started"},
    {Event::kReady, "info", "ready", "the instance accepts requests"},
    {Event::kDraining, "info", "draining", "the instance is draining"},
    {Event::kStopped, "info", "stopped", "the instance stopped"},
    {Event::kSettingsRejected, "error", "settings_rejected",
     "the settings are invalid"},
    {Event::kSettingsReloaded, "info", "settings_reloaded",
     "the settings file was reloaded"},
    {Event::kSignalIgnored, "info", "signal_ignored",
     "a signal without a meaning for the instance was received"},
    {Event::kStartWaiting, "warn", "start_waiting",
     "the instance cannot start yet and tries again"},
    {Event::kStartFailed, "error", "start_failed",
     "the instance could not start; the process ends"},
    {Event::kUnexpectedEnd, "error", "unexpected_end",
     "a crash or an exception ends the process"},
    {Event::kRevisionInForce, "info", "revision_in_force",
     "a configuration revision took effect on this instance"},
    {Event::kRevisionIgnored, "warn", "revision_ignored",
     "an older configuration revision was received and ignored"},
    {Event::kRevisionPublished, "info", "revision_published",
     "the table service accepted a configuration revision"},
    {Event::kConfigurationUnreadable, "error", "configuration_unreadable",
     "a configuration could not be decoded"},
    {Event::kMemberJoined, "info", "member_joined",
     "an entry instance is alive"},
    {Event::kMemberSuspected, "warn", "member_suspected",
     "an entry instance does not respond to probes"},
    {Event::kMemberFailed, "warn", "member_dead",
     "an entry instance was declared failed"},
    {Event::kServerLeaving, "info", "server_leaving",
     "a backend server is leaving and receives no new requests"},
    {Event::kServerEjected, "warn", "server_ejected",
     "a backend server was ejected after consecutive failures"},
    {Event::kServerRegistered, "info", "server_registered",
     "a backend server registered and may receive requests"},
    {Event::kServerGone, "info", "server_gone",
     "a backend server left or its registration lapsed; it receives no "
     "requests"},
    {Event::kRegistrationUnreadable, "warn", "registration_unreadable",
     "a row holds no valid registration of a backend server"},
    {Event::kEvacuationBegun, "info", "evacuation_begun",
     "the servers of a failure domain get no new requests from this instance"},
    {Event::kEvacuationEnded, "info", "evacuation_ended",
     "the servers of a failure domain may get requests again"},
    {Event::kEvacuationEmpty, "warn", "evacuation_empty",
     "an evacuated failure domain has no backend servers"},
    {Event::kEvacuationLeavesNone, "warn", "evacuation_leaves_none",
     "all servers of a service are in evacuated failure domains; its requests "
     "are refused"},
    {Event::kEvacuationInForce, "info", "evacuation_in_force",
     "all serving instances have evacuated a failure domain"},
    {Event::kAttemptFailed, "warn", "attempt_failed",
     "an attempt to run a request on a backend server failed"},
    {Event::kRequestResumed, "info", "request_resumed",
     "a stream was resumed by another attempt"},
    {Event::kRequestBackedUp, "info", "request_kept",
     "a peer's request is kept for failover"},
    {Event::kRequestTakenOver, "info", "request_taken_over",
     "this instance took over a peer's request"},
    {Event::kRequestHandedOver, "info", "request_handed_over",
     "a peer took over a request of this instance"},
    {Event::kOutcomeUnknown, "warn", "outcome_unknown",
     "the outcome of a request that must not be retried is unknown"},
    {Event::kRequestRefused, "info", "request_refused",
     "a request was rejected without being run"},
    {Event::kRequestFailed, "warn", "request_failed",
     "a request ended without a complete response"},
    {Event::kAttemptStarted, "info", "attempt_started",
     "a request is being sent to a backend server"},
    {Event::kRequestDone, "info", "request_done",
     "a caller received the complete response of a backend server"},
    {Event::kRequestUnreadable, "info", "request_unreadable",
     "a connection ended before its request was read completely"},
    {Event::kHandlerFailed, "error", "handler_failed",
     "an exception ended the handling of a request"},
    {Event::kStreamStalled, "warn", "stream_stalled",
     "a server sends nothing, and the stream waits for it"},
    {Event::kResponseSkipped, "warn", "response_skipped",
     "a server sent a response that does not belong to the waiting request"},
    {Event::kServerPaused, "info", "server_paused",
     "a server refused a request and asked for none for a while"},
    {Event::kPauseAdjusted, "warn", "pause_adjusted",
     "a server asked for no requests for a time that is not usable as stated"},
    {Event::kEarlierNoticesApplied, "info", "earlier_notices_applied",
     "a server's process is listed; what its answers said before binds"},
    {Event::kStreamLate, "info", "stream_late",
     "a complete stream missed a target of its route, with the cause"},
    {Event::kServerChecked, "info", "server_checked",
     "a server whose answer broke off was checked for a crash"},
    {Event::kPromptQuarantined, "warn", "prompt_quarantined",
     "requests, or parts of prompts, crashed several servers; these requests, "
     "or those with all of the parts, are rejected"},
    {Event::kQuarantineTrial, "info", "quarantine_trial",
     "a quarantined request is sent to learn whether it still crashes servers"},
    {Event::kQuarantineEnded, "info", "quarantine_ended",
     "these requests, or those with these parts, are no longer rejected"},
    {Event::kRetryWithheld, "warn", "retry_withheld",
     "a request is not sent to another server, since it may have crashed the "
     "last ones"},
    {Event::kLoopRestarted, "error", "loop_restarted",
     "a loop failed or ended, and starts again"},
    {Event::kTaskFailed, "error", "task_failed", "an exception ended a task"},
    {Event::kCallbackFailed, "error", "callback_failed",
     "an exception left a callback of an event loop, which goes on"},
    {Event::kConnectionLimitReached, "warn", "connection_limit_reached",
     "a listener holds as many connections as its part of the descriptors "
     "allows; its longest idle one is closed, or accepting pauses"},
    {Event::kAcceptFailed, "warn", "accept_failed",
     "a connection could not be accepted"},
    {Event::kDescriptorsExhausted, "warn", "descriptors_exhausted",
     "a connection could not be opened for lack of a resource of this "
     "instance"},
    {Event::kServerLimited, "info", "server_limited",
     "a server named a limit on its requests from all instances together"},
    {Event::kServerLimitEnded, "info", "server_limit_ended",
     "a server names no limit on its requests any more"},
    {Event::kLimitAdjusted, "warn", "limit_adjusted",
     "a server named a limit that is not usable as stated"},
    {Event::kLimitUnreadable, "warn", "limit_unreadable",
     "a server named a limit that is not a number; the one known is kept"},
    {Event::kPermitGranterUnresponsive, "warn", "permit_granter_unresponsive",
     "the instance that grants requests to a limited server does not respond"},
    {Event::kServerCold, "info", "server_cold",
     "a server is cold; requests to it need permits until it is warm"},
    {Event::kShortageBegan, "warn", "shortage_began",
     "a service lacks room; less urgent requests to it are refused"},
    {Event::kShortageEnded, "info", "shortage_ended",
     "no request is refused any more for want of room at a service"},
    {Event::kMoveStep, "info", "move_step", "a move changed phase or share"},
    {Event::kMoveRolledBack, "warn", "move_taken_back",
     "a move was rolled back on this instance; its new version is not used"},
    {Event::kLeaseTaken, "info", "lease_taken",
     "this instance acquired the lease"},
    {Event::kLeaseLost, "warn", "lease_lost",
     "this instance no longer holds the lease"},
    {Event::kMoveHalted, "warn", "move_halted",
     "this instance sends no requests to the new version until the move is "
     "decided"},
    {Event::kMoveEvidence, "info", "move_evidence",
     "results of the old and new version so far, over all instances"},
    {Event::kMoveDecisionHeld, "warn", "move_decision_held",
     "a move stays undecided, since its decision might leave no server"},
    {Event::kUsageReported, "info", "usage_reported",
     "the usage report of a window was accepted"},
    {Event::kUsageNotAccepted, "warn", "usage_not_accepted",
     "the usage report of a window was not accepted and will be retried"},
    {Event::kCapacityOrdered, "info", "capacity_ordered",
     "a number of backend servers was ordered"},
    {Event::kCapacityNotAccepted, "warn", "capacity_not_accepted",
     "an order for backend servers was not accepted"},
    {Event::kReportsNotRelayed, "warn", "reports_not_relayed",
     "reports of other instances were not written and will be retried"},
    {Event::kRelayFollowed, "info", "relay_followed",
     "this instance receives the store's contents from another instance"},
    {Event::kRelayLost, "warn", "relay_lost",
     "an instance that relays the store's contents does not respond or has "
     "lost the store"},
    {Event::kRelayLeft, "info", "relay_left",
     "this instance reads the store itself again"},
    {Event::kUsageSkipped, "warn", "usage_skipped",
     "windows are not reported: they are too old, or may have been reported "
     "before the store was restored, with counts that are lost"},
    {Event::kInstancesKnown, "info", "instances_known",
     "the number of instances that may be serving changed"},
    {Event::kQuotaLenderUnresponsive, "warn", "quota_home_silent",
     "the instance that lends from a quota does not respond"},
    {Event::kQuotaLendersChanged, "info", "quota_home_changed",
     "the set of quotas that this instance lends from changed"},
    {Event::kPlatformLost, "warn", "platform_lost",
     "the platform does not respond"},
    {Event::kPlatformBack, "info", "platform_back",
     "the platform responds again"},
    {Event::kHistoryLost, "warn", "history_lost",
     "the store no longer has the requested changes; the full table is read"},
    {Event::kClusterClockSet, "info", "cluster_clock_set",
     "the cluster's shared wall clock was set"},
    {Event::kStoreRestored, "warn", "store_restored",
     "the store was restored from a copy; the full table is read"},
    {Event::kFrameRejected, "warn", "frame_rejected",
     "a peer's frame failed verification"},
    {Event::kLinesDropped, "warn", "lines_dropped",
     "log lines were dropped by the rate limit or for a slow reader"},
});

std::atomic<bool> g_started{false};

log4cplus::Logger& RootLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

std::string& NodeName() {
  static std::string name;
  return name;
}

const EventRow& Describe(Event event) {
  return *std::find_if(
      kEvents.begin(), kEvents.end(),
      [event](const EventRow& row) { return row.event == event; });
}

log4cplus::LogLevel ToLogLevel(std::string_view level) {
  if (level == "error") return log4cplus::ERROR_LOG_LEVEL;
  if (level == "warn") return log4cplus::WARN_LOG_LEVEL;
  return log4cplus::INFO_LOG_LEVEL;
}

/// Cuts a long text between characters, so that a line stays valid JSON and
/// within what a pipe accepts at once.
std::string_view Shorten(std::string_view text) {
  if (text.size() <= kMaxFieldBytes) return text;
  std::size_t end = kMaxFieldBytes;
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0) == 0x80) {
    --end;
  }
  return text.substr(0, end);
}

std::string FormatEvent(Event event, std::initializer_list<EventField> fields) {
  const EventRow& row = Describe(event);
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  boost::json::object line;
  line["time_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  line["level"] = row.level;
  line["event"] = static_cast<std::uint16_t>(event);
  line["name"] = row.name;
  line["node"] = NodeName();
  for (const auto& [key, value] : fields) line[key] = Shorten(value);
  return boost::json::serialize(line);
}

std::string FormatDroppedLines(std::uint64_t lines) {
  return FormatEvent(Event::kLinesDropped, {{"lines", std::to_string(lines)}});
}

}  // namespace

std::span<const EventRow> EventTable() { return kEvents; }

void StartLog(const std::string& node, LogTarget target) {
  static const log4cplus::Initializer initializer;
  NodeName() = node;
  const bool to_error = target == LogTarget::kStandardError;
  auto* const bounded = new BoundedAppender(
      to_error ? STDERR_FILENO : STDOUT_FILENO, FormatDroppedLines);
  log4cplus::SharedAppenderPtr appender(bounded);
  SetLastWords(bounded->Descriptor(), node);
  RootLogger().removeAllAppenders();
  RootLogger().addAppender(appender);
  RootLogger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
  g_started = true;
}

void LogEvent(Event event, std::initializer_list<EventField> fields) {
  if (!g_started) return;
  const auto level = ToLogLevel(Describe(event).level);
  RootLogger().log(level, FormatEvent(event, fields));
}

}  // namespace cowslipknot
