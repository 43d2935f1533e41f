#include "serve/gateway_worker.h"

#include <xxhash.h>

#include <algorithm>

#include "cowslipknot/events.h"

namespace cowslipknot::gateway {
namespace {

/// Largest response body, as a fraction of the process's memory, so that a few
/// servers that send without end do not exhaust it.
constexpr std::uint64_t kMaxResponseFraction = 64;
/// Received data that all connections may hold, as a fraction of the process's
/// memory. The rest is for buffers of ordinary size and the process itself.
constexpr std::uint64_t kReceivedFraction = 4;
/// Memory that the ordinary buffers of callers' connections may take, as a
/// fraction of the process's, and what those of one connection take: a request
/// as it is read, parsed and sent on.
constexpr std::uint64_t kConnectionsFraction = 2;
constexpr std::uint64_t kConnectionBytes = 64 << 10;
/// Instances that may have been added without being known here.
constexpr double kUnseenInstances = 4;
/// Fractions of the retry slack and ratio that are used. The rest of the slack
/// covers retries spent by instances that have since been replaced.
constexpr double kRetrySlackFraction = 0.6;
constexpr double kRetryRatioFraction = 0.7;
constexpr double kMinInstances = 5;
/// Minimum size of an announced prompt. Longer prompts keep a server busy for
/// some 50 ms or more, which other instances should take into account.
constexpr double kMinAnnouncedTokens = 1000;
/// With more instances the minimum size rises in proportion, so that the number
/// of notices each instance receives does not grow with the number of
/// instances.
constexpr double kUnscaledInstances = 40;

double RetryReserve(const Settings& settings) {
  return settings.retry_slack * kRetrySlackFraction /
         (kMinInstances + kUnseenInstances);
}

/// Whether an entry is of a later process of the same server, at its address.
bool IsLater(const ServerEntry& entry, const ServerEntry& former) {
  return entry.id == former.id && entry.address == former.address &&
         entry.started_ms > former.started_ms;
}

/// When a server started, in TimeSinceBoot(), as far as the clocks agree.
std::chrono::nanoseconds StartOf(const ServerEntry& entry) {
  constexpr Milliseconds kMaxAge = std::chrono::days(365);
  const Milliseconds age(NowWall().Count() - entry.started_ms);
  return TimeSinceBoot() - std::clamp(age, -kMaxAge, kMaxAge);
}

}  // namespace

Worker::Worker(const Settings& settings, const PlatformAdapter& adapter)
    : m_settings(settings),
      m_adapter(adapter),
      m_memory(std::make_shared<MemoryBudget>(
          ByteCount(settings.max_memory.Count() / kReceivedFraction))),
      m_connection_shares(
          DivideDescriptors(AvailableDescriptors(settings.max_descriptors))),
      m_caller_connections(std::make_shared<ConnectionLimit>(
          "callers",
          std::min<std::size_t>(m_connection_shares.callers,
                                settings.max_memory.Count() /
                                    kConnectionsFraction / kConnectionBytes))),
      m_http(HttpClient::Create(
          m_context.get_executor(),
          ByteCount(settings.max_memory.Count() / kMaxResponseFraction),
          m_connection_shares.servers)),
      m_quota(settings.quota),
      m_links(m_context.get_executor(), settings, m_memory),
      m_quota_peers(m_links, settings),
      m_permits(m_links, m_context.get_executor(), settings, m_metrics),
      m_crashes(m_links, m_context.get_executor(), settings,
                [this] { return m_snapshot->peers; }),
      m_room(
          m_links, m_context.get_executor(), settings, m_metrics,
          [this] { return m_snapshot->peers; }, [this] { return Draw(); }),
      m_retries(settings.retry_ratio * kRetryRatioFraction,
                RetryReserve(settings)),
      m_random(XXH3_64bits(settings.node.Text().data(),
                           settings.node.Text().size())) {
  m_caller_connections->SetObserver([this](LimitAction action) {
    m_metrics.Add("cowslipknot_connection_limit_total",
                  FormatLabel("action", Describe(action)));
  });
  m_http->SetLossObserver(
      [this](const Endpoint& address, std::chrono::nanoseconds opened_at) {
        const auto found = m_states_by_address.find(address);
        if (found == m_states_by_address.end()) return;
        if (const auto state = found->second.lock())
          state->Notices().RecordLost(opened_at);
      });
  m_links.SetHandler(wire::Kind::PromptSent, [this](const PeerFrame& frame) {
    return OnPromptSent(frame);
  });
}

void Worker::SetSnapshot(SnapshotPtr snapshot) {
  m_snapshot = std::move(snapshot);
  m_backend_states.clear();
  for (const auto& [service, servers] : m_snapshot->servers) {
    for (const auto& server : servers) {
      m_backend_states[server.entry.id] = server.state;
      m_states_by_address[server.entry.address] = server.state;
    }
  }
  std::erase_if(m_states_by_address,
                [](const auto& item) { return item.second.expired(); });
  m_permits.Update(m_snapshot->known_instances, m_snapshot->servers);
  m_room.Update(m_snapshot->configuration);
  for (const auto& [workspace, share] : m_snapshot->quota_shares) {
    m_quota.SetShare(workspace, share);
  }
  m_quota_peers.Update(m_snapshot->lent_shares, m_snapshot->quota_lenders,
                       m_snapshot->configuration);
}

void Worker::AnnouncePrompt(const ServerId& server, TokenCount uncached) {
  const auto instances = static_cast<double>(m_snapshot->instances);
  const double min_tokens =
      kMinAnnouncedTokens * std::max(1.0, instances / kUnscaledInstances);
  if (static_cast<double>(uncached.Count()) < min_tokens) return;
  PeerFrame frame;
  frame.kind = wire::Kind::PromptSent;
  frame.sender = m_settings.node.Text();
  frame.text = server.Text();
  frame.amount = uncached.Count();
  m_links.Broadcast(m_snapshot->peers, frame);
}

PeerFrame Worker::OnPromptSent(const PeerFrame& frame) {
  const auto state = m_backend_states.find(ServerId(frame.text));
  if (state != m_backend_states.end()) {
    state->second->RecordRemotePrompt(TokenCount(frame.amount),
                                      TimeSinceBoot());
  }
  return PeerFrame();
}

void Worker::OnLeavingResponse(const Backend& server,
                               std::chrono::nanoseconds read_at) {
  if (!server.state->RecordLeaving()) return;
  m_metrics.Add("cowslipknot_server_leavings_total",
                FormatLabel("service", server.entry.service.Text()));
  if (m_on_leaving_response) {
    m_on_leaving_response(server.entry.id, server.entry.started_ms, read_at);
  }
}

Backend Worker::ProcessOf(const Backend& server,
                          const AnswerTimes& times) const {
  const auto servers = m_snapshot->servers.find(server.entry.service);
  if (servers == m_snapshot->servers.end()) return server;
  const auto listed =
      std::ranges::find_if(servers->second, [&server](const Backend& other) {
        return other.entry.id == server.entry.id;
      });
  if (listed == servers->second.end() || !IsLater(listed->entry, server.entry))
    return server;
  const bool is_of_listed = server.state->Notices().IsOfNext(
      times, StartOf(listed->entry), TimeSinceBoot());
  return is_of_listed ? *listed : server;
}

void Worker::ApplyNotice(const Backend& server, const ProcessNotice& notice) {
  if (notice.is_leaving) OnLeavingResponse(server, notice.times.read);
  if (notice.limit) m_permits.OnStatement(server, *notice.limit);
  if (notice.paused_until) server.state->RecordPause(*notice.paused_until);
  if (notice.excess_wait_ms)
    server.state->RecordExcessWait(*notice.excess_wait_ms, notice.times.read);
}

void Worker::ApplyEarlierNotices(BackendState& former, const Backend& server) {
  m_http->CloseEndedIdle(server.entry.address);
  const auto notices =
      former.Notices().OfNext(StartOf(server.entry), TimeSinceBoot());
  if (notices.empty()) return;
  LogEvent(Event::kEarlierNoticesApplied,
           {{"server", server.entry.id.Text()},
            {"notices", std::to_string(notices.size())},
            {"age_ms", FormatAgeMs(notices.front().times.read)}});
  for (const auto& notice : notices) ApplyNotice(server, notice);
}

bool Worker::MayEndBeforeStop(const Route& route, Milliseconds until_limit) {
  const auto until_end = m_stop.TimeLeft();
  if (!until_end) return true;
  StopForecast forecast;
  forecast.until_end = *until_end;
  forecast.until_limit = until_limit;
  forecast.recent = m_durations.Count(route.name, *until_end, TimeSinceBoot());
  return gateway::MayEndBeforeStop(route, forecast);
}

bool Worker::KeysAreFresh() const {
  const auto confirmed = m_confirmed_at.load();
  if (confirmed.count() == 0) return false;
  return TimeSinceBoot() - confirmed < m_settings.revoke_bound;
}

void Worker::RecordRequestStart(const WorkspaceId& workspace) {
  const auto offset = m_clock_offset.load();
  if (offset.count() == 0 || workspace.Empty()) return;
  const auto now =
      std::chrono::duration_cast<Milliseconds>(TimeSinceBoot() + offset);
  m_usage.Record(static_cast<std::uint64_t>(now / m_settings.usage_window),
                 workspace);
}

}  // namespace cowslipknot::gateway
