#include <toml++/toml.h>

#include <limits>

#include "cowslipknot/gateway/settings.h"
#include "state/section_reader.h"

namespace cowslipknot::gateway {
namespace {

constexpr double kMaxNumber = 1e9;
constexpr std::int64_t kMinMemoryMb = 32;
constexpr std::int64_t kMinDescriptors = 256;
/// Also the default: without a setting, the limit of the operating system
/// holds.
constexpr std::int64_t kMaxDescriptors =
    std::numeric_limits<std::int32_t>::max();

/// Reads a duration that is given in fractional seconds.
Milliseconds ReadSeconds(ObjectReader& reader, const std::string& key,
                         Milliseconds fallback) {
  constexpr double kMsPerSecond = 1000;
  const double seconds = reader.Number(
      key, static_cast<double>(fallback.count()) / kMsPerSecond, 0, kMaxNumber);
  return Milliseconds(static_cast<std::int64_t>(seconds * kMsPerSecond));
}

void ReadNodeAndEndpoints(SectionReader& sections, Settings& settings) {
  sections.Section("node", true, [&](ObjectReader& reader) {
    settings.node = NodeId(reader.Name());
    settings.domain = DomainId(reader.String("domain", true));
  });
  sections.Section("listen", true, [&](ObjectReader& reader) {
    settings.callers = ReadEndpoint(reader, "callers");
    settings.readiness = ReadEndpoint(reader, "readiness");
    settings.metrics = ReadEndpoint(reader, "metrics");
    if (reader.Has("peers")) settings.peers = ReadEndpoint(reader, "peers");
  });
  sections.Section("store", true, [&](ObjectReader& reader) {
    settings.store = ReadEndpoint(reader, "address");
  });
  sections.Section("cloud", false, [&](ObjectReader& reader) {
    settings.cloud = ReadEndpoint(reader, "address");
    settings.reports_usage = reader.Flag("reports_usage", false);
    settings.orders_capacity = reader.Flag("orders_capacity", false);
  });
}

void ReadLimitsAndBounds(SectionReader& sections, Settings& settings) {
  sections.Section("admission", false, [&](ObjectReader& reader) {
    settings.sheds_under_shortage = reader.Flag("sheds_under_shortage", false);
  });
  sections.Section("limits", false, [&](ObjectReader& reader) {
    settings.max_memory =
        ByteCount(static_cast<std::uint64_t>(
                      reader.Integer("memory_mb", 256, kMinMemoryMb, 1 << 20))
                  << 20);
    settings.max_descriptors = static_cast<std::uint32_t>(reader.Integer(
        "descriptors", kMaxDescriptors, kMinDescriptors, kMaxDescriptors));
  });
  sections.Section("bounds", false, [&](ObjectReader& reader) {
    settings.apply_bound = reader.Duration("apply_ms", settings.apply_bound);
    settings.evacuate_bound =
        reader.Duration("evacuate_ms", settings.evacuate_bound);
    settings.revoke_bound = reader.Duration("revoke_ms", settings.revoke_bound);
    settings.drain_bound = reader.Duration("drain_ms", settings.drain_bound);
    settings.server_heartbeat =
        reader.Duration("heartbeat_ms", settings.server_heartbeat);
    settings.stop_timeout =
        ReadSeconds(reader, "stop_s", settings.stop_timeout);
    settings.lease_timeout =
        reader.Duration("lease_ms", settings.lease_timeout);
    settings.usage_window =
        ReadSeconds(reader, "usage_window_s", settings.usage_window);
    settings.usage_report_timeout =
        ReadSeconds(reader, "usage_due_s", settings.usage_report_timeout);
    settings.quota.window =
        ReadSeconds(reader, "quota_window_s", settings.quota.window);
    settings.quota.overage =
        reader.Number("quota_overage", settings.quota.overage, 0, 1);
    settings.quota.slack =
        reader.Number("quota_slack", settings.quota.slack, 0, kMaxNumber);
    settings.cold_overage.ratio = reader.Number(
        "warmup_overage", settings.cold_overage.ratio, 0, kMaxNumber);
    settings.cold_overage.slack = reader.Number(
        "warmup_slack", settings.cold_overage.slack, 0, kMaxNumber);
    settings.retry_ratio =
        reader.Number("retry_ratio", settings.retry_ratio, 0, 1);
    settings.retry_slack =
        reader.Number("retry_slack", settings.retry_slack, 0, kMaxNumber);
    settings.exposure_share =
        reader.Number("exposure_share", settings.exposure_share, 0, 1);
    settings.exposure_slack =
        reader.Number("exposure_slack", settings.exposure_slack, 0, kMaxNumber);
  });
}

}  // namespace

tl::expected<Settings, std::vector<ObjectProblem>> ParseSettings(
    std::string_view text, const std::string& file) {
  std::vector<ObjectProblem> problems;
  const auto root = ParseToml(text, file, problems);
  if (!root) return tl::make_unexpected(std::move(problems));
  Settings settings;
  SectionReader sections(*root, file, problems);
  ReadNodeAndEndpoints(sections, settings);
  ReadLimitsAndBounds(sections, settings);
  sections.Finish();
  if (settings.usage_window.count() <= 0) {
    problems.push_back(
        {file, 1, "bounds", "'usage_window_s' must be positive"});
  }
  if (!problems.empty()) return tl::make_unexpected(std::move(problems));
  return settings;
}

}  // namespace cowslipknot::gateway
