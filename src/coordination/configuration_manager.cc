#include "coordination/configuration_manager.h"

#include "base/clock.h"
#include "cowslipknot/events.h"

namespace cowslipknot {
namespace {

constexpr Milliseconds kPublishTimeout(10000);

}  // namespace

Revision ConfigurationManager::CurrentRevision() const {
  return m_current ? m_current->revision : Revision(0);
}

void ConfigurationManager::Install(Configuration configuration) {
  const Revision revision = configuration.revision;
  m_current = std::make_shared<const Configuration>(std::move(configuration));
  LogEvent(Event::kRevisionInForce,
           {{"revision", std::to_string(revision.Count())}});
  m_on_change();
}

Result<void> ConfigurationManager::InstallIfNewer(std::string_view encoded) {
  auto decoded = DecodeConfiguration(encoded);
  if (!decoded) {
    LogEvent(Event::kConfigurationUnreadable,
             {{"detail", decoded.error().detail}});
    return tl::make_unexpected(decoded.error());
  }
  const bool only_newer = !IsDisabled(m_settings, "revision");
  if (only_newer && decoded->revision <= CurrentRevision()) return {};
  if (decoded->revision == CurrentRevision()) return {};
  Install(std::move(*decoded));
  return {};
}

Awaitable<bool> ConfigurationManager::Poll() {
  auto row = co_await m_platform.Read(kConfigurationKey, m_row_version);
  if (!row) co_return false;
  if (row->version == 0 || row->version == m_row_version) co_return true;
  if (InstallIfNewer(row->value)) m_row_version = row->version;
  co_return true;
}

Awaitable<Result<Revision>> ConfigurationManager::Publish(Revision base,
                                                          Configuration next) {
  auto row = co_await m_platform.Read(kConfigurationKey);
  if (!row) {
    co_return Fail(ResultCode::kPlatformUnavailable, row.error().detail);
  }
  Revision stored(0);
  if (row->version != 0) {
    const auto published = DecodeConfiguration(row->value);
    if (!published) co_return tl::make_unexpected(published.error());
    stored = published->revision;
  }
  if (stored != base) {
    co_return Fail(ResultCode::kRevisionConflict,
                   "revision " + std::to_string(stored.Count()) +
                       " is in force, but the change is based on revision " +
                       std::to_string(base.Count()));
  }
  next.revision = Revision(base.Count() + 1);
  RowChange change{kConfigurationKey, row->version, EncodeConfiguration(next)};
  auto written = co_await m_rows.Write(std::move(change),
                                       SteadyClock::now() + kPublishTimeout);
  if (!written) {
    co_return Fail(ResultCode::kPlatformUnavailable,
                   "no response from the platform; the revision may have been "
                   "accepted",
                   Execution::kUnknown);
  }
  if (!written->applied) {
    co_return Fail(ResultCode::kRevisionConflict,
                   "another change was accepted concurrently");
  }
  LogEvent(Event::kRevisionPublished,
           {{"revision", std::to_string(next.revision.Count())}});
  const Revision revision = next.revision;
  if (revision > CurrentRevision()) Install(std::move(next));
  co_return revision;
}

}  // namespace cowslipknot
