#include "serve/gateway_worker.h"

#include <xxhash.h>

namespace cowslipknot::gateway {
namespace {

constexpr ByteCount kMaxResponse(64 << 20);
/// Instances that may be added beside the known ones without notice.
constexpr double kUnknownInstances = 4;
/// Part of the retry slack that is used; the rest absorbs what instances that
/// were replaced have spent.
constexpr double kSlackPart = 0.6;
constexpr double kRatioPart = 0.7;
constexpr double kFewestInstances = 5;

double RetryReserve(const Settings& settings) {
  return settings.retry_slack * kSlackPart /
         (kFewestInstances + kUnknownInstances);
}

}  // namespace

Worker::Worker(const Settings& settings, const Dialect& dialect)
    : m_settings(settings),
      m_dialect(dialect),
      m_http(HttpClient::Create(m_context.get_executor(), kMaxResponse)),
      m_quota(settings.quota),
      m_links(m_context.get_executor(), settings),
      m_lenders(m_links, settings),
      m_retries(settings.retry_ratio * kRatioPart, RetryReserve(settings)),
      m_random(XXH3_64bits(settings.node.Text().data(),
                           settings.node.Text().size())) {}

void Worker::SetSnapshot(SnapshotPtr snapshot) {
  m_snapshot = std::move(snapshot);
  for (const auto& [workspace, share] : m_snapshot->shares) {
    m_quota.SetShare(workspace, share);
  }
  m_lenders.Update(m_snapshot->pooled, m_snapshot->homes,
                   m_snapshot->configuration);
}

bool Worker::KeysAreFresh() const {
  const auto confirmed = m_confirmed.load();
  if (confirmed.count() == 0) return false;
  return BootTime() - confirmed < m_settings.revoke;
}

void Worker::NoteBegan(const WorkspaceId& workspace) {
  const auto offset = m_clock_offset.load();
  if (offset.count() == 0 || workspace.Empty()) return;
  const auto now =
      std::chrono::duration_cast<Milliseconds>(BootTime() + offset);
  m_usage.Note(static_cast<std::uint64_t>(now / m_settings.usage_window),
               workspace);
}

}  // namespace cowslipknot::gateway
