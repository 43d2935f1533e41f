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
/// Prompts of more tokens keep a server busy for long enough (some 50 ms) that
/// other instances should know.
constexpr double kToldTokens = 1000;
/// With more instances only longer prompts are told, so that the notices each
/// instance reads do not grow with their number.
constexpr double kInstancesToldAll = 40;

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
                           settings.node.Text().size())) {
  m_links.Handle(wire::Kind::PromptSent,
                 [this](const PeerFrame& frame) { return NotePrompt(frame); });
}

void Worker::SetSnapshot(SnapshotPtr snapshot) {
  m_snapshot = std::move(snapshot);
  m_states.clear();
  for (const auto& [service, servers] : m_snapshot->servers) {
    for (const auto& server : servers) m_states[server.entry.id] = server.state;
  }
  for (const auto& [workspace, share] : m_snapshot->shares) {
    m_quota.SetShare(workspace, share);
  }
  m_lenders.Update(m_snapshot->pooled, m_snapshot->homes,
                   m_snapshot->configuration);
}

void Worker::TellPrompt(const ServerId& server, TokenCount uncached) {
  const auto instances = static_cast<double>(m_snapshot->instances);
  const double least =
      kToldTokens * std::max(1.0, instances / kInstancesToldAll);
  if (static_cast<double>(uncached.Count()) < least) return;
  PeerFrame frame;
  frame.kind = wire::Kind::PromptSent;
  frame.sender = m_settings.node.Text();
  frame.text = server.Text();
  frame.amount = uncached.Count();
  m_links.Broadcast(m_snapshot->peers, frame);
}

PeerFrame Worker::NotePrompt(const PeerFrame& frame) {
  const auto state = m_states.find(ServerId(frame.text));
  if (state != m_states.end()) {
    state->second->NoteRemote(TokenCount(frame.amount), BootTime());
  }
  return PeerFrame();
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
