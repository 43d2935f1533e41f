#include <algorithm>

#include "cowslipknot/events.h"
#include "serve/gateway_control_plane.h"
#include "transport/event_loop.h"

/// A configuration that the store lost when it was restored from a copy:
/// instances that have it in force pass it on to those that read an older one.
namespace cowslipknot::gateway {
namespace {

/// Time after a start or a restore for which instances are asked although their
/// reports show no later configuration. Later their reports have come back.
constexpr Milliseconds kAskPeriod(10000);
/// Instances that are asked after each exchange of reports.
constexpr std::size_t kPeersAsked = 3;
constexpr Milliseconds kAnswerTimeout(300);
/// Instances that are asked before the first confirmation of an era.
constexpr std::size_t kPeersAskedFirst = 12;
/// Time for which a new process waits until it knows the other instances, and
/// the interval at which it looks.
constexpr Milliseconds kFirstExchangeTimeout(1000);
constexpr Milliseconds kFirstExchangePoll(5);
constexpr std::string_view kAskTask = "ask for configuration";

/// Whether a row of the store replaces one of the same configuration version:
/// a peer sent that, or the store lost it and has the version anew.
bool ReplacesSameVersion(const StoreRow& row, const StoreRow& in_force) {
  return row.position.era > in_force.position.era ||
         (row.position.IsKnown() && !in_force.position.IsKnown());
}

}  // namespace

void ControlPlane::InstallConfiguration(Configuration decoded,
                                        const StoreRow& row) {
  const std::uint64_t in_force = ConfigurationInForce();
  if (decoded.version < in_force) return;
  if (m_configuration && decoded.version == in_force) {
    if (!ReplacesSameVersion(row, m_configuration_row)) return;
    m_configuration_row.position = row.position;
    if (row.value == m_configuration_row.value) return;
  }
  // Built first, so that an exception leaves the former configuration whole.
  StoreRow in_force_row = row;
  auto configuration =
      std::make_shared<const Configuration>(std::move(decoded));
  auto routes = std::make_shared<const RouteTable>(*configuration);
  m_configuration_row = std::move(in_force_row);
  m_configuration = std::move(configuration);
  m_routes = std::move(routes);
  m_publication_due = true;
  m_relay.OnConfigurationInForce(m_configuration->version);
  LogEvent(Event::kRevisionInForce,
           {{"revision", std::to_string(m_configuration->version)},
            {"routes", std::to_string(m_configuration->routes.size())}});
  Publish();
}

Awaitable<PeerFrame> ControlPlane::AnswerConfiguration(
    std::uint64_t known_version) {
  PeerFrame answer;
  if (ConfigurationInForce() > known_version)
    answer.text = m_configuration_row.value;
  AddRecords(answer, m_coordinator.ExportMoves());
  co_return answer;
}

void ControlPlane::AskPeersForConfiguration() {
  const bool asks_others = TimeSinceBoot() - m_ask_since < kAskPeriod;
  std::vector<InstanceSummary> later;
  std::vector<InstanceSummary> others;
  for (const auto* report :
       m_coordinator.Instances().Serving(TimeSinceBoot())) {
    if (!report->peers || report->peers == m_settings.peers) continue;
    auto& peers = report->revision > ConfigurationInForce() ? later : others;
    peers.push_back(
        {report->node, report->domain, report->peers, report->started_ms});
  }
  // In turn, since some may be gone.
  if (asks_others && !others.empty()) {
    const std::size_t first = m_next_peer_to_ask % others.size();
    std::rotate(others.begin(),
                others.begin() + static_cast<std::ptrdiff_t>(first),
                others.end());
    m_next_peer_to_ask += kPeersAsked;
    later.insert(later.end(), others.begin(), others.end());
  }
  later.resize(std::min(later.size(), kPeersAsked));
  for (auto& peer : later)
    Spawn(m_context.get_executor(), kAskTask, AskForConfiguration(peer));
}

Awaitable<void> ControlPlane::AskBeforeConfirming(StoreEra era) {
  if (era <= m_confirmed_era) co_return;
  m_confirmed_era = era;
  m_ask_since = TimeSinceBoot();
  const auto known_by = m_started_at + kFirstExchangeTimeout;
  while (m_fleet.serving.empty() && TimeSinceBoot() < known_by)
    co_await SleepFor(kFirstExchangePoll);
  struct Pending {
    asio::steady_timer answered;
    std::size_t peers = 0;
  };
  auto pending = std::make_shared<Pending>(
      Pending{asio::steady_timer(m_context, kAnswerTimeout)});
  for (const auto& peer : SamplePeers(kPeersAskedFirst)) {
    ++pending->peers;
    asio::co_spawn(m_context, AskForConfiguration(peer),
                   [pending](const std::exception_ptr& failure) {
                     if (failure) RecordTaskFailure(kAskTask, failure);
                     if (--pending->peers == 0) pending->answered.cancel();
                   });
  }
  if (pending->peers > 0) co_await pending->answered.async_wait(kAsTuple);
}

std::vector<InstanceSummary> ControlPlane::SamplePeers(
    std::size_t limit) const {
  std::vector<InstanceSummary> others;
  for (const auto& instance : m_fleet.serving) {
    if (instance.peers && instance.peers != m_settings.peers)
      others.push_back(instance);
  }
  if (others.size() <= limit) return others;
  std::vector<InstanceSummary> sample;
  sample.reserve(limit);
  for (std::size_t i = 0; i < limit; ++i)
    sample.push_back(others[i * others.size() / limit]);
  return sample;
}

Awaitable<void> ControlPlane::AskForConfiguration(InstanceSummary peer) {
  PeerFrame frame;
  frame.kind = wire::Kind::AskConfiguration;
  frame.digest = ConfigurationInForce();
  const auto answer = co_await RunOn(
      m_worker.Context().get_executor(),
      m_worker.Links().Call(*peer.peers, std::move(frame), kAnswerTimeout));
  // A peer that gives no answer is asked again while its report shows a later
  // configuration.
  if (!answer) co_return;
  if (!answer->text.empty()) ApplyPeerConfiguration(*answer);
  ApplyPeerMoves(ExtractRecords(*answer));
}

void ControlPlane::ApplyPeerMoves(const std::vector<GossipRecord>& moves) {
  const bool moved = m_coordinator.ImportMoves(moves);
  const StorePosition& position = m_configuration_cursor.since;
  bool ordered = false;
  for (const auto& record : moves) {
    auto move = DecodeMove(record.payload);
    if (!move || record.version == 0) continue;
    ordered = m_move_orders.PutLost(std::move(move->order), position,
                                    TimeSinceBoot()) ||
              ordered;
  }
  if (ordered) m_coordinator.SetOrders(m_move_orders.ByService());
  if (moved || ordered) Publish();
}

void ControlPlane::ApplyPeerConfiguration(const PeerFrame& answer) {
  auto decoded = m_adapter.decode_configuration(answer.text);
  if (!decoded) {
    LogEvent(Event::kConfigurationUnreadable,
             {{"sender", answer.sender}, {"detail", decoded.error().detail}});
    return;
  }
  StoreRow row;
  row.table = m_adapter.names.configuration_table;
  row.key = m_adapter.names.configuration_key;
  row.value = answer.text;
  if (decoded->version > ConfigurationInForce())
    InstallConfiguration(std::move(*decoded), row);
}

}  // namespace cowslipknot::gateway
