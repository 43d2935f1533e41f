#include "serve/control.h"
#include "transport/event_loop.h"

/// Queries the live instances for the revisions in force there.
namespace cowslipknot {
namespace {

constexpr std::size_t kMaxConcurrentQueries = 16;

}  // namespace

Awaitable<std::map<NodeId, Revision>> Control::CollectRevisions() {
  struct RevisionQuery {
    explicit RevisionQuery(asio::io_context& context) : done(context) {}
    std::map<NodeId, Revision> revisions;
    std::vector<NodeId> waiting;
    std::size_t running = 0;
    asio::steady_timer done;
    void RecordEnd() {
      if (--running == 0) done.cancel();
    }
  };
  auto query = std::make_shared<RevisionQuery>(m_context);
  query->revisions[m_settings.node] =
      m_configuration_manager->CurrentRevision();
  for (const auto& member : m_gossip->Members().Live()) {
    if (member.info.node == m_settings.node) continue;
    query->waiting.push_back(member.info.node);
  }
  auto ask = [](Control& control,
                std::shared_ptr<RevisionQuery> shared) -> Awaitable<void> {
    while (!shared->waiting.empty()) {
      const NodeId node = shared->waiting.back();
      shared->waiting.pop_back();
      PeerFrame frame;
      frame.kind = wire::Kind::AskRevision;
      const auto answer =
          co_await control.m_gossip->Call(node, std::move(frame));
      if (answer) shared->revisions[node] = Revision(answer->digest);
    }
    shared->RecordEnd();
  };
  query->done.expires_at(SteadyClock::time_point::max());
  query->running = kMaxConcurrentQueries;
  for (std::size_t i = 0; i < kMaxConcurrentQueries; ++i) {
    Spawn(m_context.get_executor(), "ask revision", ask(*this, query),
          [query] { query->RecordEnd(); });
  }
  while (query->running > 0) {
    co_await query->done.async_wait(kAsTuple);
  }
  co_return query->revisions;
}

}  // namespace cowslipknot
