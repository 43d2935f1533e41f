#include "serve/server_permits.h"

#include <algorithm>
#include <set>

#include "base/clock.h"
#include "transport/event_loop.h"

namespace cowslipknot::gateway {
namespace {

constexpr Milliseconds kNoticeTimeout(250);

/// The value of the label `outcome`; nothing for other events.
std::optional<std::string> OutcomeOf(PermitEvent event) {
  switch (event) {
    case PermitEvent::kGranted:
      return "granted";
    case PermitEvent::kDenied:
      return "denied";
    case PermitEvent::kNoGranter:
      return "no_granter";
    case PermitEvent::kLimitBegun:
    case PermitEvent::kColdBegun:
      break;
  }
  return std::nullopt;
}

}  // namespace

ServerPermits::ServerPermits(PeerLinks& links, asio::any_io_executor executor,
                             const Settings& settings, MetricSet& metrics)
    : m_links(links),
      m_executor(std::move(executor)),
      m_settings(settings),
      m_metrics(metrics),
      m_book({settings.node, settings.domain, true}, MakeHooks()) {
  const auto handle = [this](const PeerFrame& frame) {
    return m_book.Handle(frame);
  };
  m_links.SetHandler(wire::Kind::AskPermit, handle);
  m_links.SetHandler(wire::Kind::ServerLimits, handle);
}

PermitBook::Hooks ServerPermits::MakeHooks() {
  PermitBook::Hooks hooks;
  hooks.call = [this](NodeId node, PeerFrame frame) {
    return CallInstance(std::move(node), std::move(frame));
  };
  hooks.tell = [this](const std::optional<NodeId>& granter,
                      const PermitBook::NoticeBuilder& build_notice) {
    Tell(granter, build_notice);
  };
  hooks.find_server =
      [this](const ServerId& id) -> std::optional<PermitServer> {
    const Backend* server = FindServer(id);
    if (server == nullptr) return std::nullopt;
    return PermitServer{server->entry.started_ms, server->cold_rate};
  };
  hooks.record = [this](const ServerBoot& process, const PermitState& state) {
    const Backend* server = FindServer(process.server);
    if (server == nullptr || server->entry.started_ms != process.started_ms)
      return;
    server->state->RecordLimit(state.limit);
    if (state.cold_rate)
      server->state->RecordCold(state.cold_until, *state.cold_rate);
    server->state->Withhold(state.withheld_until);
  };
  hooks.count = [this](const ServerId& id, PermitEvent event) {
    Count(id, event);
  };
  hooks.knows_instances = [this] {
    // Without frames, each instance would grant from a bucket of its own.
    if (!m_settings.peers && m_serving.size() > 1) return false;
    return TimeSinceBoot() - m_instances_read_at < PermitBook::kHandOver;
  };
  return hooks;
}

void ServerPermits::Update(
    const KnownInstances& instances,
    const std::map<ServiceId, std::vector<Backend>>& servers) {
  m_registered.clear();
  for (const auto& [service, backends] : servers) {
    for (const auto& backend : backends)
      m_registered[backend.entry.id] = backend;
  }
  m_book.UpdateServers();
  const auto now = TimeSinceBoot();
  for (const auto& [server, backend] : m_registered) {
    if (!backend.cold_rate || now >= backend.cold_until) continue;
    m_book.OnCold({server, backend.entry.started_ms}, backend.cold_until);
  }
  std::erase_if(m_returns, [&servers](const auto& item) {
    return !servers.contains(item.first);
  });
  if (instances.serving != m_serving) UpdateInstances(instances);
}

void ServerPermits::UpdateInstances(const KnownInstances& instances) {
  const auto before = std::exchange(m_serving, instances.serving);
  PermitInstances granting;
  m_addresses.clear();
  m_peers.clear();
  for (const auto& instance : m_serving) {
    const bool is_self = instance.node == m_settings.node;
    // An instance that accepts no frames grants its own part to itself.
    if (m_settings.peers ? !instance.peers : !is_self) continue;
    granting.granters.push_back({instance.node, instance.domain});
    if (is_self) continue;
    m_addresses[instance.node] = *instance.peers;
    m_peers.push_back(*instance.peers);
  }
  if (!m_settings.peers && !m_serving.empty())
    granting.fraction = 1 / static_cast<double>(m_serving.size());
  const bool is_first = m_book.Granters().empty();
  granting.since = TimeSinceBoot();
  if (is_first && instances.inherits) granting.since -= PermitBook::kHandOver;
  m_book.UpdateInstances(std::move(granting));
  TellNewInstances(before);
}

void ServerPermits::TellNewInstances(
    const std::vector<InstanceSummary>& before) {
  const std::set<InstanceSummary> known(before.begin(), before.end());
  std::vector<Endpoint> added;
  for (const auto& instance : m_serving) {
    const bool other = instance.peers && instance.node != m_settings.node;
    if (other && !known.contains(instance)) added.push_back(*instance.peers);
  }
  if (added.empty()) return;
  const auto notice = m_book.BuildNoticeOfGranted();
  if (notice) m_links.Broadcast(added, *notice);
}

void ServerPermits::OnUnreachable(const Backend& server) {
  if (!server.cold_rate) return;
  // It may start at the end of the ejection, and register as cold later.
  const Time until = server.state->EjectedUntil() + 2 * server.cold_duration;
  m_book.OnCold({server.entry.id, server.entry.started_ms}, until);
}

void ServerPermits::OnStatement(const Backend& server,
                                const LimitStatement& statement) {
  m_book.OnStatement({server.entry.id, server.entry.started_ms}, statement);
}

bool ServerPermits::ShouldLogOddLimit(const ServerId& server) {
  return m_odd_limits.ShouldLog(server.Text(), TimeSinceBoot());
}

Awaitable<bool> ServerPermits::Acquire(ServerEntry server) {
  ServerBoot start{server.id, server.started_ms};
  co_return co_await m_book.Acquire(std::move(start));
}

Awaitable<Result<PeerFrame>> ServerPermits::CallInstance(NodeId node,
                                                         PeerFrame frame) {
  const auto address = m_addresses.find(node);
  if (address == m_addresses.end())
    co_return Fail(ResultCode::kPeerUnreachable, node.Text());
  co_return co_await m_links.Call(address->second, std::move(frame),
                                  PermitBook::kAskTimeout);
}

void ServerPermits::Tell(const std::optional<NodeId>& granter,
                         const PermitBook::NoticeBuilder& build_notice) {
  const auto address = granter ? m_addresses.find(*granter) : m_addresses.end();
  if (address == m_addresses.end()) {
    m_links.Broadcast(m_peers, build_notice());
    return;
  }
  Spawn(m_executor, "tell permit granter",
        TellGranter(address->second, build_notice));
}

Awaitable<void> ServerPermits::TellGranter(
    Endpoint granter, PermitBook::NoticeBuilder build_notice) {
  PeerFrame notice = build_notice();
  const auto answer = co_await m_links.Call(std::move(granter),
                                            std::move(notice), kNoticeTimeout);
  if (!answer) m_links.Broadcast(m_peers, build_notice());
}

std::optional<Milliseconds> ServerPermits::ReturnDelay(
    const ServiceId& service, const std::vector<Backend>& servers) {
  const auto now = TimeSinceBoot();
  double total = 0;
  for (const auto& server : servers) {
    if (server.state->IsLeaving()) continue;
    const auto limit = server.state->Limit(now);
    if (!limit) return std::nullopt;
    total += limit->Count();
  }
  const double instances =
      static_cast<double>(std::max<std::size_t>(1, m_book.Granters().size()));
  const RequestRate share(total / instances);
  return std::chrono::ceil<Milliseconds>(m_returns[service].Join(share, now));
}

const Backend* ServerPermits::FindServer(const ServerId& server) const {
  const auto found = m_registered.find(server);
  return found == m_registered.end() ? nullptr : &found->second;
}

void ServerPermits::Count(const ServerId& server, PermitEvent event) {
  const Backend* registered = FindServer(server);
  if (registered == nullptr) return;
  const std::string service =
      FormatLabel("service", registered->entry.service.Text());
  if (const auto outcome = OutcomeOf(event)) {
    m_metrics.Add("cowslipknot_server_permits_total",
                  service + "," + FormatLabel("outcome", *outcome));
    return;
  }
  m_metrics.Add(event == PermitEvent::kColdBegun
                    ? "cowslipknot_cold_servers_total"
                    : "cowslipknot_server_limits_total",
                service);
}

}  // namespace cowslipknot::gateway
