#include "cowslipknot/events.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <chrono>

#include "base/bounded_appender.h"

namespace cowslipknot {
namespace {

constexpr auto kTable = std::to_array<EventRow>({
    {Event::kStarted, "info", "started", "the instance started"},
    {Event::kReady, "info", "ready", "the instance takes requests"},
    {Event::kDraining, "info", "draining", "the instance is stopping"},
    {Event::kStopped, "info", "stopped", "the instance stopped"},
    {Event::kSettingsRejected, "error", "settings_rejected",
     "the settings have an error"},
    {Event::kSettingsReloaded, "info", "settings_reloaded",
     "the settings file was read again"},
    {Event::kRevisionInForce, "info", "revision_in_force",
     "a configuration revision is in force here"},
    {Event::kRevisionIgnored, "warn", "revision_ignored",
     "an older revision was offered"},
    {Event::kRevisionPublished, "info", "revision_published",
     "a revision was accepted by the table service"},
    {Event::kConfigurationUnreadable, "error", "configuration_unreadable",
     "a configuration could not be decoded"},
    {Event::kMemberJoined, "info", "member_joined",
     "an entry instance is alive"},
    {Event::kMemberSuspected, "warn", "member_suspected",
     "an entry instance does not answer"},
    {Event::kMemberDead, "warn", "member_dead",
     "an entry instance is taken for dead"},
    {Event::kServerLeaving, "info", "server_leaving",
     "a backend server gets no new work"},
    {Event::kServerEjected, "warn", "server_ejected",
     "a backend server is avoided after failures"},
    {Event::kServerRegistered, "info", "server_registered",
     "a backend server may get work"},
    {Event::kServerGone, "info", "server_gone",
     "a backend server left or lapsed and gets no work"},
    {Event::kRegistrationUnreadable, "warn", "registration_unreadable",
     "a row names no backend server to use"},
    {Event::kAttemptFailed, "warn", "attempt_failed",
     "an attempt at a backend server failed"},
    {Event::kRequestResumed, "info", "request_resumed",
     "a stream goes on at another attempt"},
    {Event::kRequestKept, "info", "request_kept",
     "a peer's request is held in case it stops"},
    {Event::kRequestTakenOver, "info", "request_taken_over",
     "a peer's request runs here now"},
    {Event::kRequestHandedOver, "info", "request_handed_over",
     "a peer runs a request of this instance now"},
    {Event::kOutcomeUnknown, "warn", "outcome_unknown",
     "a call that may not be repeated has an unknown outcome"},
    {Event::kRequestRefused, "info", "request_refused",
     "a request was refused and has not run"},
    {Event::kRequestFailed, "warn", "request_failed",
     "a request ended without a whole answer"},
    {Event::kAttemptStarted, "info", "attempt_started",
     "a request is sent to a backend server"},
    {Event::kRequestDone, "info", "request_done",
     "a caller has a whole answer of a server"},
    {Event::kMoveStep, "info", "move_step", "a move changed phase or share"},
    {Event::kMoveTakenBack, "warn", "move_taken_back",
     "a move's new version is no longer used here"},
    {Event::kLeaseTaken, "info", "lease_taken", "the lease is held here"},
    {Event::kLeaseLost, "warn", "lease_lost", "the lease is not held here"},
    {Event::kUsageReported, "info", "usage_reported",
     "the usage of a window was accepted"},
    {Event::kUsageNotAccepted, "warn", "usage_not_accepted",
     "the usage of a window was not accepted; it is sent again"},
    {Event::kCapacityOrdered, "info", "capacity_ordered",
     "a number of backend servers was ordered"},
    {Event::kCapacityNotAccepted, "warn", "capacity_not_accepted",
     "an order for backend servers was not accepted"},
    {Event::kInstancesKnown, "info", "instances_known",
     "the number of instances that may be serving changed"},
    {Event::kQuotaHomeSilent, "warn", "quota_home_silent",
     "the instance that lends a limit does not answer"},
    {Event::kQuotaHomeChanged, "info", "quota_home_changed",
     "limits whose home is here were added or dropped"},
    {Event::kPlatformLost, "warn", "platform_lost",
     "the platform does not answer"},
    {Event::kPlatformBack, "info", "platform_back",
     "the platform answers again"},
    {Event::kHistoryLost, "warn", "history_lost",
     "the store dropped changes; the table is read anew"},
    {Event::kClusterClockSet, "info", "cluster_clock_set",
     "the shared time of day is known"},
    {Event::kFrameRejected, "warn", "frame_rejected",
     "a peer's frame failed verification"},
    {Event::kLinesDropped, "warn", "lines_dropped",
     "log lines were left out to bound their volume"},
});

log4cplus::Logger& TheLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

std::string& NodeName() {
  static std::string name;
  return name;
}

const EventRow& Describe(Event event) {
  return *std::find_if(
      kTable.begin(), kTable.end(),
      [event](const EventRow& row) { return row.event == event; });
}

log4cplus::LogLevel ToLogLevel(std::string_view level) {
  if (level == "error") return log4cplus::ERROR_LOG_LEVEL;
  if (level == "warn") return log4cplus::WARN_LOG_LEVEL;
  return log4cplus::INFO_LOG_LEVEL;
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
  for (const auto& [key, value] : fields) line[key] = value;
  return boost::json::serialize(line);
}

std::string DescribeDropped(std::uint64_t lines) {
  return FormatEvent(Event::kLinesDropped, {{"lines", std::to_string(lines)}});
}

}  // namespace

std::span<const EventRow> EventTable() { return kTable; }

void StartLog(const std::string& node, LogTarget target) {
  static const log4cplus::Initializer initializer;
  NodeName() = node;
  const bool to_error = target == LogTarget::kStandardError;
  log4cplus::SharedAppenderPtr appender(new BoundedAppender(
      to_error ? STDERR_FILENO : STDOUT_FILENO, DescribeDropped));
  TheLogger().removeAllAppenders();
  TheLogger().addAppender(appender);
  TheLogger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void LogEvent(Event event, std::initializer_list<EventField> fields) {
  if (NodeName().empty()) return;
  const auto level = ToLogLevel(Describe(event).level);
  TheLogger().log(level, FormatEvent(event, fields));
}

}  // namespace cowslipknot
