#include "cowslipknot/settings.h"

#include <toml++/toml.h>

#include <algorithm>

#include "base/endpoint_text.h"
#include "state/section_reader.h"

namespace cowslipknot {
namespace {

using Problems = std::vector<ObjectProblem>;

constexpr std::size_t kMinTokenLength = 8;

const std::vector<std::string> kPolicies = {"predicted", "round_robin",
                                            "least_outstanding", "affinity"};
const std::vector<std::string> kMechanisms = {
    "claims", "retry",     "leaving",  "hand_over",    "completeness",
    "drain",  "take_back", "revision", "silent_links", "quarantine"};

std::string ReadToken(ObjectReader& reader) {
  std::string token = reader.String("token", true);
  if (!token.empty() && token.size() < kMinTokenLength) {
    reader.Report("'token' must have at least " +
                  std::to_string(kMinTokenLength) + " characters");
  }
  return token;
}

void ReadRequiredSections(SectionReader& sections, Settings& settings) {
  sections.Section("node", true, [&](ObjectReader& reader) {
    settings.node = NodeId(reader.Name());
    settings.domain = DomainId(reader.String("domain", true));
  });
  sections.Section("listen", true, [&](ObjectReader& reader) {
    settings.callers = ReadEndpoint(reader, "callers");
    settings.operators = ReadEndpoint(reader, "operators");
    settings.peers = ReadEndpoint(reader, "peers");
    settings.peers_advertised = settings.peers;
    if (reader.Has("peers_advertised")) {
      settings.peers_advertised = ReadEndpoint(reader, "peers_advertised");
    }
  });
  sections.Section("platform", true, [&](ObjectReader& reader) {
    settings.platform = ReadEndpoint(reader, "address");
    settings.platform_poll_interval =
        reader.Duration("poll_ms", settings.platform_poll_interval);
    settings.platform_timeout =
        reader.Duration("timeout_ms", settings.platform_timeout);
  });
  sections.Section("peers", true, [&](ObjectReader& reader) {
    for (const auto& seed : reader.StringList("seeds")) {
      const auto endpoint = ParseEndpointText(seed);
      if (endpoint) {
        settings.seeds.push_back(*endpoint);
      } else {
        reader.Report("seed '" + seed + "' must be an IP address and port");
      }
    }
    settings.peer_token = ReadToken(reader);
    settings.probe_interval =
        reader.Duration("probe_interval_ms", settings.probe_interval);
    settings.probe_timeout =
        reader.Duration("probe_timeout_ms", settings.probe_timeout);
    settings.suspicion_timeout =
        reader.Duration("suspicion_ms", settings.suspicion_timeout);
  });
  sections.Section("operators", true, [&](ObjectReader& reader) {
    settings.operator_token = ReadToken(reader);
  });
}

void ReadOptionalSections(SectionReader& sections, Settings& settings) {
  sections.Section("traffic", false, [&](ObjectReader& reader) {
    settings.traffic_threads = static_cast<std::uint32_t>(
        reader.Integer("threads", settings.traffic_threads, 1, 64));
    settings.policy =
        static_cast<RoutingPolicy>(reader.Choice("policy", kPolicies));
  });
  sections.Section("limits", false, [&](ObjectReader& reader) {
    settings.max_header_size = ByteCount(static_cast<std::uint64_t>(
        reader.Integer("header_bytes", 16 << 10, 1024, 1 << 20)));
    settings.max_body_size = ByteCount(static_cast<std::uint64_t>(
        reader.Integer("body_bytes", 8 << 20, 1024, 64 << 20)));
    settings.in_flight_tokens = TokenCount(static_cast<std::uint64_t>(
        reader.Integer("in_flight_tokens", 400000, 1000, 1LL << 40)));
  });
  sections.Section("drain", false, [&](ObjectReader& reader) {
    settings.drain_grace = reader.Duration("grace_ms", settings.drain_grace);
    settings.drain_timeout =
        reader.Duration("limit_ms", settings.drain_timeout);
    settings.hand_over_margin =
        reader.Duration("hand_over_margin_ms", settings.hand_over_margin);
  });
  sections.Section("trace", false, [&](ObjectReader& reader) {
    settings.trace = reader.Flag("stdout", settings.trace);
  });
  sections.Section("experiment", false, [&](ObjectReader& reader) {
    settings.seed =
        static_cast<std::uint64_t>(reader.Integer("seed", 1, 0, 1LL << 62));
    if (!reader.Has("disable")) return;
    settings.disabled = reader.StringList("disable");
    for (const auto& name : settings.disabled) {
      if (std::find(kMechanisms.begin(), kMechanisms.end(), name) ==
          kMechanisms.end()) {
        reader.Report("no mechanism is named '" + name + "'");
      }
    }
  });
}

void CheckConsistency(const Settings& settings, const std::string& file,
                      Problems& problems) {
  if (settings.hand_over_margin >= settings.drain_timeout) {
    problems.push_back({file, 1, "drain",
                        "'hand_over_margin_ms' must be less than 'limit_ms'"});
  }
  if (settings.probe_timeout > settings.probe_interval) {
    problems.push_back({file, 1, "peers",
                        "'probe_timeout_ms' must not exceed "
                        "'probe_interval_ms'"});
  }
}

}  // namespace

tl::expected<Settings, Problems> ParseSettings(std::string_view text,
                                               const std::string& file) {
  Problems problems;
  const auto root = ParseToml(text, file, problems);
  if (!root) return tl::make_unexpected(std::move(problems));
  Settings settings;
  SectionReader sections(*root, file, problems);
  ReadRequiredSections(sections, settings);
  ReadOptionalSections(sections, settings);
  sections.Finish();
  CheckConsistency(settings, file, problems);
  if (!problems.empty()) return tl::make_unexpected(std::move(problems));
  return settings;
}

bool IsDisabled(const Settings& settings, std::string_view mechanism) {
  return std::find(settings.disabled.begin(), settings.disabled.end(),
                   mechanism) != settings.disabled.end();
}

}  // namespace cowslipknot
