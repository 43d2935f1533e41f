#pragma once

#include <string>
#include <vector>

#include "cowslipknot/coordination/choose_server.h"
#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "cowslipknot/state/objects.h"

namespace cowslipknot {

/// Settings of one entry instance, read from its TOML file.
struct Settings {
  NodeId node;
  DomainId domain;
  Endpoint callers;
  Endpoint operators;
  Endpoint peers;
  Endpoint peers_advertised;  ///< address that peers use; default: `peers`
  Endpoint platform;
  Milliseconds platform_poll_interval{2000};
  Milliseconds platform_timeout{1000};
  std::vector<Endpoint> seeds;
  std::string peer_token;
  std::string operator_token;
  std::uint32_t traffic_threads = 2;
  RoutingPolicy policy = RoutingPolicy::kPredicted;
  ByteCount max_header_size{16 << 10};
  ByteCount max_body_size{8 << 20};
  /// Limit on the tokens of requests admitted at the same time.
  TokenCount in_flight_tokens{400000};
  Milliseconds probe_interval{500};
  Milliseconds probe_timeout{400};
  Milliseconds suspicion_timeout{2500};
  Milliseconds drain_grace{1000};  ///< listeners stay open after SIGTERM
  Milliseconds drain_timeout{20000};
  /// Unfinished requests are handed over this long before `drain_timeout`.
  Milliseconds hand_over_margin{1500};
  std::uint64_t seed = 1;
  bool trace = false;
  /// Mechanisms that an experiment disables to measure their effect.
  std::vector<std::string> disabled;
};

/// Parses and validates a settings file.
/// @return the settings, or all problems found
tl::expected<Settings, std::vector<ObjectProblem>> ParseSettings(
    std::string_view text, const std::string& file);

/// Whether `experiment.disable` lists a mechanism.
bool IsDisabled(const Settings& settings, std::string_view mechanism);

}  // namespace cowslipknot
