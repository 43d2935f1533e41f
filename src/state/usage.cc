#include "cowslipknot/gateway/usage.h"

#include <boost/json.hpp>

#include "base/endpoint_text.h"

namespace cowslipknot::gateway {
namespace {

namespace json = boost::json;

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
    demand[workspace.Text()] = static_cast<std::int64_t>(value);
  }
  object["demand"] = std::move(demand);
  json::object busy;
  for (const auto& [service, servers] : report.busy) {
    busy[service.Text()] = servers;
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
      if (address) report.peers = *address;
    }
    report.started_ms = parsed.at("started").to_number<std::uint64_t>();
    report.sequence = parsed.at("sequence").to_number<std::uint64_t>();
    report.as_of_ms = parsed.at("as_of_ms").to_number<std::int64_t>();
    if (const auto* revision = parsed.as_object().if_contains("revision")) {
      report.revision = revision->to_number<std::uint64_t>();
    }
    report.stopping = parsed.at("stopping").as_bool();
    for (const auto& [workspace, value] : parsed.at("demand").as_object()) {
      report.demand[WorkspaceId(std::string(workspace))] =
          value.to_number<double>();
    }
    for (const auto& [service, servers] : parsed.at("busy").as_object()) {
      report.busy[ServiceId(std::string(service))] =
          servers.to_number<double>();
    }
    if (const auto* evidence = parsed.as_object().if_contains("evidence")) {
      report.evidence = std::string(evidence->as_string());
    }
    if (const auto* prompts =
            parsed.as_object().if_contains("prompt_evidence")) {
      report.prompt_evidence = std::string(prompts->as_string());
    }
    for (const auto& [window, counts] : parsed.at("usage").as_object()) {
      for (const auto& [workspace, count] :
           CountsFromJson(counts.as_object())) {
        report.usage.Record(std::stoull(std::string(window)), workspace, count);
      }
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return report;
}

}  // namespace cowslipknot::gateway
