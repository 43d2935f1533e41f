#include "serve/worker.h"

#include "cowslipknot/coordination/choose_server.h"
#include "cowslipknot/coordination/server_pause.h"
#include "cowslipknot/events.h"
#include "protocol/server_notices.h"
#include "serve/model_run.h"

namespace cowslipknot {
namespace {

constexpr double kRetryShare = 0.1;
constexpr double kRetryReserve = 50;
constexpr std::size_t kMaxTrackedBlocks = 32768;
constexpr std::size_t kMaxFinishedRuns = 256;
constexpr ByteCount kMaxResponse(16 << 20);

/// The connections that one traffic thread may hold.
ConnectionShares ShareOfThread(const Settings& settings) {
  const std::size_t descriptors = AvailableDescriptors(kUnlimitedConnections);
  return DivideDescriptors(descriptors / settings.traffic_threads);
}

}  // namespace

AdmissionTicket::~AdmissionTicket() {
  if (m_worker != nullptr) m_worker->ReleaseTokens(m_cost);
}

Worker::Worker(const Settings& settings, std::size_t index,
               const ControlHooks& hooks)
    : m_settings(settings),
      m_hooks(hooks),
      m_caller_connections(std::make_shared<ConnectionLimit>(
          "callers", ShareOfThread(settings).callers)),
      m_http(HttpClient::Create(m_context.get_executor(), kMaxResponse,
                                ShareOfThread(settings).servers)),
      m_random(settings.seed + index + 1),
      m_crashes(m_context.get_executor(), hooks.executor, hooks.crashes),
      m_retries(kRetryShare, kRetryReserve),
      m_queue(TokenCount(settings.in_flight_tokens.Count() /
                         settings.traffic_threads)) {
  m_caller_connections->SetObserver([this](LimitAction action) {
    m_metrics.Add("cowslipknot_connection_limit_total",
                  FormatLabel("action", Describe(action)));
  });
}

UnitDraw Worker::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

Awaitable<Result<AdmissionTicket>> Worker::Admit(AdmissionRequest request) {
  request.ticket = ++m_next_ticket;
  if (m_queue.Submit(request) == Admission::kAdmitted) {
    co_return AdmissionTicket(*this, request.cost);
  }
  auto admitted = std::make_shared<asio::steady_timer>(m_context);
  m_waiting_admissions[request.ticket] = admitted;
  const auto wait = request.deadline.Count() - NowWall().Count();
  admitted->expires_after(Milliseconds(std::max<std::int64_t>(0, wait)));
  co_await admitted->async_wait(kAsTuple);
  const bool refused = m_waiting_admissions.erase(request.ticket) > 0;
  if (!refused) co_return AdmissionTicket(*this, request.cost);
  m_queue.Cancel(request.ticket);
  co_return Fail(ResultCode::kOverLimit);
}

void Worker::ReleaseTokens(TokenCount cost) {
  for (const std::uint64_t ticket : m_queue.Release(cost, NowWall())) {
    const auto waiting = m_waiting_admissions.find(ticket);
    if (waiting == m_waiting_admissions.end()) continue;
    const auto timer = waiting->second;
    m_waiting_admissions.erase(waiting);
    timer->cancel();
  }
}

void Worker::RecordServerNotices(const ServerView& server,
                                 const http::response_header<>& header,
                                 const AnsweredRequest& request) {
  const ServerNotices notices = DecodeServerNotices(header, request.id);
  if (notices.retry_after_s)
    PauseServer(server, *notices.retry_after_s, request);
  RecordLimit(server, notices, request);
  if (!notices.is_leaving || IsDisabled(m_settings, "leaving")) return;
  if (!RecordLeaving(*server.load)) return;
  m_metrics.Add("cowslipknot_server_leavings_total",
                FormatLabel("pool", server.record.pool.Text()));
  m_hooks.on_leaving_answer(server.record.id, server.record.incarnation,
                            request.read_at);
}

void Worker::RecordLimit(const ServerView& server, const ServerNotices& notices,
                         const AnsweredRequest& request) {
  const std::optional<double>& limit_per_s = notices.limit_per_s;
  // Only the process that has the request can say that there is no limit.
  const bool is_of_request = notices.answers_request;
  LimitStatement statement;
  statement.sent = request.sent_at;
  statement.read = request.read_at;
  if (limit_per_s) {
    const auto reading = BoundLimit(*limit_per_s);
    const bool is_odd = !reading || reading->is_adjusted;
    if (is_odd &&
        m_odd_limits.ShouldLog(server.record.id.Text(), TimeSinceBoot())) {
      LogEvent(reading ? Event::kLimitAdjusted : Event::kLimitUnreadable,
               {{"server", server.record.id.Text()},
                {"request", std::string(request.id)},
                {"stated_per_s", std::to_string(*limit_per_s)}});
    }
    if (!reading) return;
    statement.limit = reading->limit;
  } else if (!server.load->limited || !is_of_request) {
    return;
  }
  m_hooks.on_limit_statement(server.record.id, server.record.incarnation,
                             statement);
}

Awaitable<bool> Worker::AcquirePermit(ServerView server) {
  if (!server.load->limited) co_return true;
  const bool permitted = co_await m_hooks.acquire_permit(
      server.record.id, server.record.incarnation);
  m_metrics.Add("cowslipknot_server_permits_total",
                FormatLabel("pool", server.record.pool.Text()) + "," +
                    FormatLabel("outcome", permitted ? "granted" : "denied"));
  co_return permitted;
}

void Worker::PauseServer(const ServerView& server, double seconds,
                         const AnsweredRequest& request) {
  const ServerPause pause = BoundPause(seconds);
  RecordPause(*server.load, TimeSinceBoot() + pause.length);
  m_metrics.Add("cowslipknot_server_pauses_total",
                FormatLabel("pool", server.record.pool.Text()));
  LogEvent(pause.is_adjusted ? Event::kPauseAdjusted : Event::kServerPaused,
           {{"server", server.record.id.Text()},
            {"request", std::string(request.id)},
            {"stated_s", std::to_string(seconds)},
            {"pause_ms", std::to_string(pause.length.count())},
            {"age_ms", FormatAgeMs(request.read_at)}});
}

void Worker::MatchPrefix(RequestCost& cost) const {
  for (std::size_t depth = cost.blocks.size(); depth > 0; --depth) {
    const auto found = m_block_servers.find(cost.blocks[depth - 1]);
    if (found == m_block_servers.end()) continue;
    cost.last_prefix_server = found->second;
    cost.prefix = TokenCount(depth * kBlockTokens);
    return;
  }
}

void Worker::RecordPrefix(const RequestCost& cost, const ServerId& server) {
  for (const std::uint64_t block : cost.blocks) {
    if (m_block_servers.insert_or_assign(block, server).second) {
      m_block_insertion_order.push_back(block);
    }
  }
  while (m_block_insertion_order.size() > kMaxTrackedBlocks) {
    m_block_servers.erase(m_block_insertion_order.front());
    m_block_insertion_order.pop_front();
  }
}

void Worker::AddRun(const std::shared_ptr<ModelRun>& run) {
  m_runs[run->Id()] = run;
  m_run_order.push_back(run->Id());
  EvictFinishedRuns();
}

std::shared_ptr<ModelRun> Worker::FindRun(const RequestId& id) const {
  const auto found = m_runs.find(id);
  return found == m_runs.end() ? nullptr : found->second;
}

void Worker::EvictFinishedRuns() {
  std::size_t unexamined = m_run_order.size();
  while (m_run_order.size() > kMaxFinishedRuns && unexamined-- > 0) {
    const RequestId oldest = m_run_order.front();
    m_run_order.pop_front();
    const auto run = FindRun(oldest);
    if (run && !run->Finished()) {
      m_run_order.push_back(oldest);
    } else {
      m_runs.erase(oldest);
    }
  }
}

}  // namespace cowslipknot
