#pragma once

#include <functional>

#include "coordination/row_writer.h"
#include "cowslipknot/settings.h"
#include "cowslipknot/state/configuration.h"

namespace cowslipknot {

inline constexpr const char* kConfigurationKey = "configuration";

/// Holds the latest configuration known to this instance and publishes new
/// ones.
///
/// Revisions only increase. A revision exists once the table service has
/// accepted it. Instances then receive it from the table or from any peer. Runs
/// on the control thread.
class ConfigurationManager {
 public:
  ConfigurationManager(const Settings& settings, PlatformClient& platform,
                       RowWriter& rows, std::function<void()> on_change)
      : m_settings(settings),
        m_platform(platform),
        m_rows(rows),
        m_on_change(std::move(on_change)) {}

  /// Reads the configuration from the table if it has changed.
  /// @return false when the platform does not respond
  Awaitable<bool> Poll();

  /// Installs a configuration from a peer or the table if it is newer.
  /// @return an error if it cannot be decoded
  Result<void> InstallIfNewer(std::string_view encoded);

  /// Publishes `next` as the successor of `base`.
  ///
  /// @return the accepted revision; kRevisionConflict when the table holds
  ///         another revision than `base`; kPlatformUnavailable when the
  ///         platform does not respond, with unknown execution if the revision
  ///         may have been accepted
  Awaitable<Result<Revision>> Publish(Revision base, Configuration next);

  /// Null until a configuration has been received.
  const ConfigurationPtr& Current() const { return m_current; }
  Revision CurrentRevision() const;

 private:
  void Install(Configuration configuration);

  const Settings& m_settings;
  PlatformClient& m_platform;
  RowWriter& m_rows;
  std::function<void()> m_on_change;
  ConfigurationPtr m_current;
  std::uint64_t m_row_version = 0;
};

}  // namespace cowslipknot
