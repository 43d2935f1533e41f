#pragma once

#include <functional>

#include "coordination/row_writer.h"
#include "cowslipknot/settings.h"
#include "cowslipknot/state/configuration.h"

namespace cowslipknot {

inline constexpr const char* kConfigurationKey = "configuration";

/// Holds the newest configuration known here and publishes new ones.
///
/// Revisions only rise. A revision exists once the table service accepted it;
/// from then on it may be learned from the table or from any peer. Runs on the
/// control thread.
class ConfigurationKeeper {
 public:
  ConfigurationKeeper(const Settings& settings, PlatformClient& platform,
                      RowWriter& rows, std::function<void()> on_change)
      : m_settings(settings),
        m_platform(platform),
        m_rows(rows),
        m_on_change(std::move(on_change)) {}

  /// Reads the table's row. @return false when the platform does not answer
  Awaitable<bool> Poll();

  /// Takes a configuration from a peer or the table if it is newer.
  Result<void> Adopt(std::string_view encoded);

  /// Publishes `next` as the successor of `base`.
  ///
  /// @return the accepted revision, or kRevisionConflict when the table holds
  ///         another revision than `base`
  Awaitable<Result<Revision>> Publish(Revision base, Configuration next);

  /// Null until the first is known.
  const ConfigurationPtr& Current() const { return m_current; }
  Revision CurrentRevision() const;

 private:
  void Accept(Configuration configuration);

  const Settings& m_settings;
  PlatformClient& m_platform;
  RowWriter& m_rows;
  std::function<void()> m_on_change;
  ConfigurationPtr m_current;
  std::uint64_t m_row_version = 0;
};

}  // namespace cowslipknot
