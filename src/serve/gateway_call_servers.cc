#include <algorithm>

#include "cowslipknot/gateway/server_pause.h"
#include "serve/gateway_call.h"

/// Selects the servers of a call.
namespace cowslipknot::gateway {
namespace {

/// Retry-After when no server accepted the request. By then, the servers that
/// rejected it have usually finished some of their other work.
constexpr Milliseconds kNoServerRetryDelay(400);
/// Permits that are asked for before servers that name a limit are left out.
constexpr std::uint32_t kMaxPermitRequests = 2;

}  // namespace

bool Call::HasOtherServer() const {
  const SnapshotPtr latest = m_worker.GetSnapshot();
  const auto servers =
      latest->servers.find(PickService(*m_route, RequestHash()));
  if (servers == latest->servers.end()) return false;
  const auto now = TimeSinceBoot();
  return std::any_of(servers->second.begin(), servers->second.end(),
                     [this, now](const Backend& server) {
                       const auto excluded =
                           std::find(m_excluded_servers.begin(),
                                     m_excluded_servers.end(), server.entry.id);
                       return excluded == m_excluded_servers.end() &&
                              server.state->MayGetRequests(now) &&
                              !server.state->IsEjected(now) &&
                              !server.state->Limit(now);
                     });
}

Result<Backend> Call::ChooseServer() {
  const SnapshotPtr latest = m_worker.GetSnapshot();
  const std::uint64_t hash = RequestHash();
  const ServiceId& service = PickService(*m_route, hash);
  const auto servers = latest->servers.find(service);
  if (servers == latest->servers.end()) {
    return Fail(ResultCode::kNoServer, service.Text());
  }
  PlacementRequest request;
  request.prompt = m_request.prompt.value_or(TokenCount(0));
  request.parts = m_request.prompt_parts;
  request.latency_target = m_route->latency_target;
  request.tried = m_excluded_servers;
  request.excludes_limited = m_permit_requests >= kMaxPermitRequests;
  PlacementContext context;
  context.domain = m_worker.GetSettings().domain;
  context.now = TimeSinceBoot();
  context.instances_in_domain = latest->instances_in_domain;
  context.draw = m_worker.Draw();
  const std::vector<Backend>& candidates =
      ServersOfVersion(*latest, service, servers->second, hash);
  const auto placement = SelectBackend(request, candidates, context);
  if (!placement) return tl::make_unexpected(placement.error());
  m_placement = *placement;
  return candidates[placement->index];
}

const std::vector<Backend>& Call::ServersOfVersion(
    const Snapshot& latest, const ServiceId& service,
    const std::vector<Backend>& servers, std::uint64_t hash) {
  m_move_key = MoveId();
  const auto found = latest.moves.find(service);
  if (found == latest.moves.end()) return servers;
  const MovedService& moved = found->second;
  if (moved.IsUndecided()) m_move_key = EvidenceKey(moved.move);
  m_new_version = moved.move.order.to;
  const bool to_new =
      RoutesToNewVersion(moved.move, hash, !m_tried_servers.empty());
  const auto& chosen = to_new ? moved.new_servers : moved.old_servers;
  return chosen.empty() ? servers : chosen;
}

Awaitable<Result<Backend>> Call::AcquireServer() {
  m_permit_requests = 0;
  while (true) {
    auto server = ChooseServer();
    // Without a retry the server is not used, so that its permit would be lost.
    const bool needs_permit =
        server && server->state->Limit(TimeSinceBoot()) && MaySpendRetry();
    if (!needs_permit) co_return server;
    ++m_permit_requests;
    const bool permitted = co_await m_worker.Permits().Acquire(server->entry);
    const BackendState& state = *server->state;
    const bool usable =
        state.MayGetRequests(TimeSinceBoot()) && IsListed(server->entry);
    if (permitted && usable) co_return server;
    m_excluded_servers.push_back(server->entry.id);
  }
}

bool Call::IsListed(const ServerEntry& server) const {
  const SnapshotPtr latest = m_worker.GetSnapshot();
  const auto servers = latest->servers.find(server.service);
  if (servers == latest->servers.end()) return false;
  return std::any_of(servers->second.begin(), servers->second.end(),
                     [&server](const Backend& listed) {
                       return listed.entry.id == server.id;
                     });
}

bool Call::RepeatsRequest() const {
  return !m_tried_servers.empty() && m_reached_server;
}

bool Call::MaySpendRetry() const {
  return !RepeatsRequest() || m_worker.Retries().HasRetry();
}

bool Call::TrySpendRetry() {
  return !RepeatsRequest() || m_worker.Retries().TrySpend();
}

Milliseconds Call::NoServerRetryDelay() {
  const SnapshotPtr latest = m_worker.GetSnapshot();
  const auto servers =
      latest->servers.find(PickService(*m_route, RequestHash()));
  if (servers == latest->servers.end()) return kNoServerRetryDelay;
  const RequestAge age{m_age + ElapsedSince(m_started), TimeLeft()};
  const auto planned =
      m_worker.Room().ReturnDelay(*m_route, servers->first, age);
  if (planned) return *planned;
  const Milliseconds earliest =
      m_worker.Permits()
          .ReturnDelay(servers->first, servers->second)
          .value_or(Milliseconds(0));
  return CallerRetryDelay(servers->second, TimeSinceBoot(), kNoServerRetryDelay,
                          m_worker.Draw(), earliest);
}

}  // namespace cowslipknot::gateway
