#include "cowslipknot/gateway/usage.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "base/endpoint_text.h"
#include "base/json_number.h"

namespace cowslipknot::gateway {
namespace {

namespace json = boost::json;

/// Largest rate of a report; it fits into an integer.
constexpr double kMaxRate = 1e18;
/// Largest number of servers of a report.
constexpr double kMaxServers = 1e6;
/// Windows behind the current one that are reported although they are late.
constexpr std::uint64_t kMinWindowsBehind = 6;
/// Less than the windows whose counts UsageProgress remembers.
constexpr std::uint64_t kMaxWindowsBehind = 48;

double RequireAmount(const json::value& value, double max) {
  const auto amount = ToDouble(value, 0, max);
  if (!amount) throw std::invalid_argument("amount");
  return *amount;
}

std::uint64_t RequireWindow(std::string_view text) {
  std::uint64_t window = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), window);
  if (error != std::errc() || end != text.data() + text.size())
    throw std::invalid_argument("window");
  return window;
}

json::object CountsToJson(const WindowCounts& counts) {
  json::object object;
  for (const auto& [workspace, count] : counts) {
    object[workspace.Text()] = count;
  }
  return object;
}

WindowCounts CountsFromJson(const json::object& object) {
  WindowCounts counts;
  for (const auto& [workspace, count] : object) {
    counts[WorkspaceId(std::string(workspace))] =
        count.to_number<std::uint64_t>();
  }
  return counts;
}

}  // namespace

void UsageLedger::Merge(const UsageLedger& other) {
  for (const auto& [window, counts] : other.m_windows) {
    for (const auto& [workspace, count] : counts) {
      m_windows[window][workspace] += count;
    }
  }
}

void UsageLedger::DropBefore(std::uint64_t window) {
  m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
}

std::uint64_t MaxWindowsBehind(Milliseconds window, Milliseconds due) {
  const auto until_due = (due + window - Milliseconds(1)) / window;
  return std::clamp(static_cast<std::uint64_t>(until_due), kMinWindowsBehind,
                    kMaxWindowsBehind);
}

Milliseconds DelayBeforeReport(std::int64_t now_ms, Milliseconds window,
                               Milliseconds pause, Milliseconds offset) {
  const std::int64_t elapsed = (now_ms - offset.count()) % window.count();
  const Milliseconds remaining =
      window - Milliseconds(std::max<std::int64_t>(0, elapsed));
  return std::min(pause, remaining);
}

std::string EncodeCounts(const WindowCounts& counts) {
  return json::serialize(CountsToJson(counts));
}

std::optional<WindowCounts> DecodeCounts(std::string_view text) {
  try {
    return CountsFromJson(json::parse(text).as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string EncodeReport(const InstanceReport& report) {
  json::object object;
  object["node"] = report.node.Text();
  object["domain"] = report.domain.Text();
  if (report.peers) object["peers"] = FormatEndpoint(*report.peers);
  object["started"] = report.started_ms;
  object["sequence"] = report.sequence;
  object["as_of_ms"] = report.as_of_ms;
  object["revision"] = report.revision;
  object["stopping"] = report.stopping;
  json::object demand;
  for (const auto& [workspace, value] : report.demand) {
    demand[workspace.Text()] =
        static_cast<std::int64_t>(std::min(value, kMaxRate));
  }
  object["demand"] = std::move(demand);
  json::object busy;
  for (const auto& [service, servers] : report.busy) {
    busy[service.Text()] = std::min(servers, kMaxServers);
  }
  object["busy"] = std::move(busy);
  json::object windows;
  for (const auto& [window, counts] : report.usage.Windows()) {
    windows[std::to_string(window)] = CountsToJson(counts);
  }
  object["usage"] = std::move(windows);
  if (!report.evidence.empty()) object["evidence"] = report.evidence;
  if (!report.prompt_evidence.empty())
    object["prompt_evidence"] = report.prompt_evidence;
  if (!report.evacuated.empty()) {
    json::array evacuated;
    for (const auto& domain : report.evacuated)
      evacuated.emplace_back(domain.Text());
    object["evacuated"] = std::move(evacuated);
  }
  return json::serialize(object);
}

std::optional<InstanceReport> DecodeReport(std::string_view text) {
  InstanceReport report;
  try {
    const json::value parsed = json::parse(text);
    report.node = NodeId(std::string(parsed.at("node").as_string()));
    report.domain = DomainId(std::string(parsed.at("domain").as_string()));
    if (const auto* peers = parsed.as_object().if_contains("peers")) {
      const auto address = ParseEndpointText(peers->as_string());
      if (address && address->port != 0) report.peers = *address;
    }
    report.started_ms = parsed.at("started").to_number<std::uint64_t>();
    report.sequence = parsed.at("sequence").to_number<std::uint64_t>();
    const auto as_of =
        ToInteger<std::int64_t>(parsed.at("as_of_ms"), 0, kMaxUnixMs);
    if (!as_of) return std::nullopt;
    report.as_of_ms = *as_of;
    if (const auto* revision = parsed.as_object().if_contains("revision")) {
      report.revision = revision->to_number<std::uint64_t>();
    }
    report.stopping = parsed.at("stopping").as_bool();
    for (const auto& [workspace, value] : parsed.at("demand").as_object()) {
      report.demand[WorkspaceId(std::string(workspace))] =
          RequireAmount(value, kMaxRate);
    }
    for (const auto& [service, servers] : parsed.at("busy").as_object()) {
      report.busy[ServiceId(std::string(service))] =
          RequireAmount(servers, kMaxServers);
    }
    if (const auto* evidence = parsed.as_object().if_contains("evidence")) {
      report.evidence = std::string(evidence->as_string());
    }
    if (const auto* prompts =
            parsed.as_object().if_contains("prompt_evidence")) {
      report.prompt_evidence = std::string(prompts->as_string());
    }
    if (const auto* evacuated = parsed.as_object().if_contains("evacuated")) {
      for (const auto& domain : evacuated->as_array())
        report.evacuated.emplace_back(std::string(domain.as_string()));
    }
    for (const auto& [window, counts] : parsed.at("usage").as_object()) {
      for (const auto& [workspace, count] :
           CountsFromJson(counts.as_object())) {
        report.usage.Record(RequireWindow(window), workspace, count);
      }
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return report;
}

}  // namespace cowslipknot::gateway
