#include "serve/control.h"

#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "cowslipknot/events.h"
#include "transport/event_loop.h"

namespace cowslipknot {
namespace {

namespace json = boost::json;

constexpr ByteCount kMaxPlatformResponse(64 << 20);
constexpr Milliseconds kClaimBatchDelay(2);
constexpr Milliseconds kMoveStepInterval(500);
constexpr int kMaxFetchAttempts = 10;
constexpr Milliseconds kFetchRetryDelay(100);
constexpr std::string_view kRevisionKey = "revision/latest";
constexpr std::string_view kLeavingPrefix = "leaving/";
constexpr std::string_view kRollbackPrefix = "taken_back/";
constexpr std::string_view kHolderPrefix = "holder/";
constexpr std::int64_t kLeavingRecordValidityPeriodMs = 3600000;

/// The payload of a leaving record is the wall time of its creation.
bool IsRecentLeavingRecord(const GossipRecord& record) {
  std::int64_t created_ms = 0;
  const char* const begin = record.payload.data();
  const auto [end, error] =
      std::from_chars(begin, begin + record.payload.size(), created_ms);
  if (error != std::errc()) return false;
  return NowWall().Count() - created_ms < kLeavingRecordValidityPeriodMs;
}

}  // namespace

Control::Control(const Settings& settings, Workers& workers)
    : m_settings(settings),
      m_workers(workers),
      m_http(
          HttpClient::Create(m_context.get_executor(), kMaxPlatformResponse)),
      m_platform(std::make_unique<PlatformClient>(m_http, settings.platform,
                                                  settings.platform_timeout)),
      m_rows(std::make_unique<RowWriter>(m_context.get_executor(), *m_platform,
                                         kClaimBatchDelay)),
      m_claims(std::make_unique<ClaimWriter>(m_context.get_executor(),
                                             *m_platform, *m_rows)),
      m_random(settings.seed) {
  GossipNode::Hooks hooks;
  hooks.on_record = [this](const GossipRecord& record, const NodeId& sender) {
    OnRecord(record, sender);
  };
  hooks.on_failed = [this](const NodeId& node) {
    m_backups->OnOwnerFailed(node);
  };
  hooks.accepts_record = [this](const GossipRecord& record) {
    return AcceptsRecord(record);
  };
  m_gossip = std::make_unique<GossipNode>(settings, m_context.get_executor(),
                                          std::move(hooks));
  m_configuration_manager = std::make_unique<ConfigurationManager>(
      settings, *m_platform, *m_rows, [this] {
        PublishSnapshot();
        LogEvacuations();
      });
  m_moves = std::make_unique<MoveController>(
      settings, *m_platform, *m_rows, *m_gossip, *m_configuration_manager);
  m_backups = std::make_unique<RequestBackups>(
      settings, *m_gossip,
      [this](const Descriptor& descriptor) { StartTakenOverRun(descriptor); });
  m_permits = MakePermitBook();
  m_crashes = MakeCrashWatch();
  BuildHooks();
}

void Control::BuildHooks() {
  const auto executor = m_context.get_executor();
  m_hooks.executor = executor;
  BuildPermitHooks();
  if (!IsDisabled(m_settings, "quarantine")) m_hooks.crashes = m_crashes.get();
  m_hooks.on_leaving_answer = [this, executor](
                                  const ServerId& id, Incarnation incarnation,
                                  std::chrono::nanoseconds read_at) {
    asio::post(executor, [this, id, incarnation, read_at] {
      OnLeavingAnswer(id, incarnation, read_at);
    });
  };
  m_hooks.back_up = [this](std::shared_ptr<ModelRun> run) -> Awaitable<bool> {
    co_return co_await RunOn(m_hooks.executor, BackUpRun(run));
  };
  m_hooks.discard_backup = [this, executor](const RequestId& id) {
    Spawn(executor, "discard backup", m_backups->DiscardBackup(id));
  };
  m_hooks.holds_backup = [this](RequestId id) -> Awaitable<bool> {
    co_return m_backups->HoldsBackup(id);
  };
  m_hooks.has_backup = [this](RequestId id) {
    return m_backups->HasBackup(std::move(id));
  };
  m_hooks.locate = [this](RequestId id) {
    return m_backups->Locate(std::move(id));
  };
  if (!m_settings.trace) return;
  m_hooks.trace = [executor,
                   write = MakeTraceSink(STDOUT_FILENO)](std::string line) {
    asio::post(executor, [write, line = std::move(line)] { write(line); });
  };
}

void Control::Start(const std::shared_ptr<tcp::acceptor>& peers) {
  const auto executor = m_context.get_executor();
  SpawnLoop(executor, "gossip", [this] { return m_gossip->Run(); });
  SpawnLoop(executor, "poll platform", [this] { return PollPlatform(); });
  SpawnLoop(executor, "step moves", [this] { return StepMoves(); });
  SpawnLoop(executor, "exchange crash evidence",
            [this] { return m_crashes->ExchangeEvidence(); });
  const std::size_t descriptors = AvailableDescriptors(kUnlimitedConnections);
  const auto limit = std::make_shared<ConnectionLimit>(
      "peers", DivideDescriptors(descriptors).peers);
  auto serve = [this, peers, limit] {
    return ServeFrames(
        peers, [this](const FrameBytes& bytes) { return HandleFrame(bytes); },
        m_served_traffic, nullptr, limit);
  };
  SpawnLoop(executor, "serve peers", serve, WhenClosed(peers));
}

void Control::PublishSnapshot() {
  auto snapshot = std::make_shared<FleetSnapshot>();
  snapshot->configuration = m_configuration_manager->Current();
  snapshot->domain = m_settings.domain;
  snapshot->servers =
      m_fleet.Available(EvacuatedDomains(snapshot->configuration));
  snapshot->rolled_back = m_moves->RolledBackMoves();
  UpdatePermits();
  snapshot->members = m_gossip->Members().LiveCount();
  snapshot->draining = m_draining;
  snapshot->instances_known = m_instances_known;
  if (snapshot->configuration) {
    for (const auto& [name, workspace] :
         snapshot->configuration->objects.workspaces) {
      for (const auto& key : workspace.api_keys) {
        snapshot->api_keys[key] = name;
      }
    }
  }
  m_gossip->Members().UpdateSelf(m_draining);
  const Revision revision = m_configuration_manager->CurrentRevision();
  if (revision > Revision(0)) {
    m_gossip->Publish({std::string(kRevisionKey), revision.Count(), ""});
  }
  m_gossip->ProbeNow();
  for (const auto& worker : m_workers) {
    asio::post(worker->Executor(), [target = worker.get(), snapshot] {
      target->SetSnapshot(snapshot);
    });
  }
}

bool Control::AcceptsRecord(const GossipRecord& record) const {
  if (record.key.starts_with(kLeavingPrefix)) {
    return !IsDisabled(m_settings, "leaving") && IsRecentLeavingRecord(record);
  }
  return record.key == kRevisionKey ||
         record.key.starts_with(kRollbackPrefix) ||
         record.key.starts_with(kHolderPrefix);
}

void Control::OnRecord(const GossipRecord& record, const NodeId& sender) {
  UpdatePermits();
  if (record.key == kRevisionKey) {
    m_highest_known_revision =
        std::max(m_highest_known_revision, Revision(record.version));
    if (m_fetching_configuration ||
        m_highest_known_revision <=
            m_configuration_manager->CurrentRevision()) {
      return;
    }
    m_fetching_configuration = true;
    Spawn(m_context.get_executor(), "fetch configuration",
          FetchConfiguration(sender),
          [this] { m_fetching_configuration = false; });
    return;
  }
  if (record.key.starts_with(kLeavingPrefix)) {
    const std::string rest = record.key.substr(kLeavingPrefix.size());
    const std::size_t slash = rest.rfind('/');
    if (slash == std::string::npos) return;
    std::uint64_t incarnation = 0;
    const char* const digits = rest.data() + slash + 1;
    std::from_chars(digits, rest.data() + rest.size(), incarnation);
    MarkLeaving(ServerId(rest.substr(0, slash)), Incarnation(incarnation));
    return;
  }
  if (record.key.starts_with(kRollbackPrefix)) PublishSnapshot();
}

void Control::MarkLeaving(const ServerId& id, Incarnation incarnation) {
  if (IsDisabled(m_settings, "leaving")) return;
  if (!m_fleet.MarkLeaving(id, incarnation)) return;
  LogEvent(Event::kServerLeaving,
           {{"server", id.Text()},
            {"incarnation", std::to_string(incarnation.Count())}});
  AnnounceLeaving(id, incarnation);
}

void Control::OnLeavingAnswer(const ServerId& id, Incarnation incarnation,
                              std::chrono::nanoseconds read_at) {
  if (!m_fleet.MarkLeaving(id, incarnation)) return;
  LogEvent(Event::kServerLeaving,
           {{"server", id.Text()},
            {"incarnation", std::to_string(incarnation.Count())},
            {"age_ms", FormatAgeMs(read_at)}});
  AnnounceLeaving(id, incarnation);
}

void Control::AnnounceLeaving(const ServerId& id, Incarnation incarnation) {
  m_gossip->Publish(
      {LeavingKey(id, incarnation), 1, std::to_string(NowWall().Count())});
  PublishSnapshot();
}

Awaitable<void> Control::FetchConfiguration(NodeId first) {
  NodeId peer = std::move(first);
  for (int i = 0; i < kMaxFetchAttempts; ++i) {
    PeerFrame frame;
    frame.kind = wire::Kind::FetchConfiguration;
    const auto answer = co_await m_gossip->Call(peer, std::move(frame));
    if (answer && !answer->text.empty())
      m_configuration_manager->InstallIfNewer(answer->text);
    if (m_configuration_manager->CurrentRevision() >= m_highest_known_revision)
      break;
    // The peer did not respond, or forwarded the announcement of the revision
    // before it had the revision itself, so another peer is asked.
    co_await SleepFor(kFetchRetryDelay);
    const auto members = m_gossip->Members().Live();
    std::uniform_int_distribution<std::size_t> pick(0, members.size() - 1);
    peer = members[pick(m_random)].info.node;
  }
  m_fetching_configuration = false;
}

Awaitable<bool> Control::PollInstances() {
  const auto delta = co_await m_platform->Instances(m_instance_sequence);
  if (!delta) co_return false;
  const bool first = !m_instances_known;
  m_instances_known = true;
  if (first || !delta->changed.empty() || !delta->removed.empty()) {
    for (const auto& id : delta->removed) m_fleet.Remove(id);
    ApplyInstances(delta->changed);
  }
  // Last, so that changes that could not be applied are read again.
  m_instance_sequence = delta->sequence;
  co_return true;
}

void Control::ApplyInstances(std::vector<InstanceRecord> rows) {
  if (IsDisabled(m_settings, "leaving")) {
    for (auto& row : rows) row.leaving = false;
  }
  for (const auto& row : rows) {
    if (!row.leaving) continue;
    const bool own = row.id.Text() == m_settings.node.Text();
    if (own && m_reclaim_handler) m_reclaim_handler();
    if (row.kind != "entry") MarkLeaving(row.id, row.incarnation);
  }
  m_fleet.Apply(rows);
  PublishSnapshot();
}

std::string Control::EncodeInstances() const {
  json::array rows;
  for (const auto& [id, record] : m_fleet.Records()) {
    rows.push_back(EncodeInstance(record));
  }
  return json::serialize(rows);
}

Awaitable<void> Control::FetchInstances() {
  for (const auto& member : m_gossip->Members().Live()) {
    if (member.info.node == m_settings.node) continue;
    PeerFrame frame;
    frame.kind = wire::Kind::FetchInstances;
    const auto answer =
        co_await m_gossip->Call(member.info.node, std::move(frame));
    if (!answer || answer->text.empty()) continue;
    error_code error;
    const json::value parsed = json::parse(answer->text, error);
    if (error || !parsed.is_array()) continue;
    std::vector<InstanceRecord> rows;
    for (const auto& value : parsed.get_array()) {
      auto record = DecodeInstance(value);
      if (record) rows.push_back(std::move(*record));
    }
    m_instances_known = true;
    ApplyInstances(std::move(rows));
    co_return;
  }
}

Awaitable<void> Control::PollPlatform() {
  std::uniform_real_distribution<double> jitter(0.8, 1.0);
  while (true) {
    const bool listed = co_await PollInstances();
    if (!listed && !m_instances_known) co_await FetchInstances();
    const bool polled = co_await m_configuration_manager->Poll();
    const bool reachable = listed && polled;
    if (reachable != m_platform_reachable) {
      LogEvent(reachable ? Event::kPlatformBack : Event::kPlatformLost);
      m_platform_reachable = reachable;
    }
    const auto pause = std::chrono::duration_cast<Milliseconds>(
        m_settings.platform_poll_interval * jitter(m_random));
    UpdatePermits();
    co_await SleepFor(pause);
  }
}

Awaitable<void> Control::StepMoves() {
  while (true) {
    co_await SleepFor(kMoveStepInterval);
    EvidenceByMove sum;
    for (const auto& worker : m_workers) {
      auto copy = [](Worker& source) -> Awaitable<EvidenceByMove> {
        co_return source.Evidence();
      };
      const auto part = co_await RunOn(worker->Executor(), copy(*worker));
      for (const auto& [key, evidence] : part) Accumulate(sum[key], evidence);
    }
    co_await m_moves->RecordLocalEvidence(std::move(sum));
    co_await m_moves->Step();
  }
}

Awaitable<FrameBytes> Control::HandleFrame(FrameBytes bytes) {
  const auto frame = DecodeFrame(bytes, m_settings.peer_token);
  if (!frame) {
    LogEvent(Event::kFrameRejected, {{"detail", frame.error().detail}});
    co_return FrameBytes();
  }
  PeerFrame answer;
  switch (frame->kind) {
    case wire::Kind::Probe:
    case wire::Kind::ProbeFor:
    case wire::Kind::Exchange:
      answer = co_await m_gossip->Handle(*frame);
      break;
    case wire::Kind::FetchConfiguration:
      answer.kind = wire::Kind::Answer;
      if (m_configuration_manager->Current()) {
        answer.text = EncodeConfiguration(*m_configuration_manager->Current());
      }
      break;
    case wire::Kind::AskRevision:
      answer.kind = wire::Kind::Answer;
      answer.digest = m_configuration_manager->CurrentRevision().Count();
      break;
    case wire::Kind::FetchInstances:
      answer.kind = wire::Kind::Answer;
      if (m_instances_known) answer.text = EncodeInstances();
      break;
    case wire::Kind::Evidence:
      answer = m_moves->Handle(*frame);
      break;
    case wire::Kind::Keep:
    case wire::Kind::Discard:
    case wire::Kind::TakeOver:
    case wire::Kind::Lookup:
      answer = co_await m_backups->Handle(*frame);
      break;
    case wire::Kind::AskPermit:
    case wire::Kind::ServerLimits:
      answer = HandlePermitFrame(*frame);
      break;
    case wire::Kind::ServerCrashed:
    case wire::Kind::ExchangePromptEvidence:
      answer = m_crashes->Handle(*frame);
      break;
    default:
      co_return FrameBytes();
  }
  answer.token = m_settings.peer_token;
  answer.sender = m_settings.node.Text();
  co_return EncodeFrame(answer);
}

}  // namespace cowslipknot
