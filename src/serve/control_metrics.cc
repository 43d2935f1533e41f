#include "serve/control.h"
#include "transport/event_loop.h"

// Sums the metrics of the traffic threads and adds those of the control thread.
namespace cowslipknot {

Awaitable<MetricSet> Control::CollectMetrics() {
  MetricSet sum;
  for (const auto& worker : m_workers) {
    auto copy = [](Worker& source) -> Awaitable<MetricSet> {
      co_return source.Metrics();
    };
    sum.Merge(co_await RunOn(worker->Executor(), copy(*worker)));
  }
  const LinkTraffic& called = m_gossip->Traffic();
  sum.Add("cowslipknot_peer_bytes_total", FormatLabel("direction", "sent"),
          called.sent + m_served_traffic->sent);
  sum.Add("cowslipknot_peer_bytes_total", FormatLabel("direction", "received"),
          called.received + m_served_traffic->received);
  sum.Add("cowslipknot_platform_calls_total", FormatLabel("kind", "read"),
          m_platform->CallCounts().reads);
  sum.Add("cowslipknot_platform_calls_total", FormatLabel("kind", "write"),
          m_platform->CallCounts().writes);
  sum.Add("cowslipknot_platform_failures_total", "",
          m_platform->CallCounts().failures);
  AddFailureCounts(sum);
  co_return sum;
}

}  // namespace cowslipknot
