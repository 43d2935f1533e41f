#include <rapidcheck.h>

#include <fstream>
#include <set>
#include <sstream>

#include "base/line_rate_limiter.h"
#include "cowslipknot/gateway/instance_table.h"
#include "cowslipknot/gateway/load_meter.h"
#include "cowslipknot/gateway/response_time_bound.h"
#include "cowslipknot/gateway/routes.h"
#include "cowslipknot/gateway/server_registry.h"
#include "cowslipknot/gateway/settings.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

using Time = std::chrono::nanoseconds;
constexpr Time kNow = std::chrono::seconds(50);

gateway::Route MakeRoute(const std::string& name, const std::string& prefix) {
  gateway::Route route;
  route.name = RouteId(name);
  route.host = "h.example";
  route.path_prefix = prefix;
  route.services = {{ServiceId("s"), 1}};
  return route;
}

std::string FindRouteName(const RouteTable& table, const std::string& host,
                          const std::string& target) {
  const gateway::Route* route = table.Find(host, target);
  return route == nullptr ? "" : route->name.Text();
}

/// A position of a store that has been restored once.
StorePosition At(std::uint64_t version) {
  return {StoreEra(1), StoreVersion(version)};
}

ServerEntry MakeEntry(const std::string& id) {
  ServerEntry entry;
  entry.id = ServerId(id);
  entry.service = ServiceId("s");
  entry.slots = 4;
  return entry;
}

}  // namespace

Test(route_table, the_longest_prefix_of_the_host_wins) {
  gateway::Configuration configuration;
  configuration.routes = {MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/"),
                          MakeRoute("root", "/")};
  configuration.routes[2].host = "other.example";
  const RouteTable table(configuration);
  cr_expect_eq(FindRouteName(table, "h.example", "/a/b/c"), "long");
  cr_expect_eq(FindRouteName(table, "H.Example:8080", "/a/x?/a/b/"), "short");
  cr_expect_eq(FindRouteName(table, "h.example", "/a"), "");
  cr_expect_eq(FindRouteName(table, "h.example", "/ab/c"), "");
  cr_expect_eq(FindRouteName(table, "other.example", "/a/b/c"), "root");
}

Test(route_table, a_traffic_split_follows_its_weights) {
  gateway::Route route = MakeRoute("r", "/");
  route.services = {{ServiceId("a"), 90}, {ServiceId("b"), 10}};
  int to_b = 0;
  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    if (PickService(route, hash).Text() == "b") ++to_b;
  }
  cr_expect_eq(to_b, 100);
}

Test(server_registry, a_draining_or_removed_server_is_not_usable) {
  ServerRegistry registry(Milliseconds(2000));
  registry.Replace({MakeEntry("a"), MakeEntry("b")}, kNow);
  ServerEntry draining = MakeEntry("a");
  draining.state = ServerState::kDraining;
  cr_expect(registry.Apply({{draining.id, draining}}, kNow));
  cr_expect_eq(registry.UsableServers().size(), 1u);
  cr_expect(registry.Apply({{ServerId("b"), std::nullopt}}, kNow));
  cr_expect(registry.UsableServers().empty());
}

Test(server_registry, a_heartbeat_without_new_data_is_no_change) {
  ServerRegistry registry(Milliseconds(2000));
  registry.Replace({MakeEntry("a")}, kNow);
  cr_expect_not(registry.Apply({{ServerId("a"), MakeEntry("a")}}, kNow));
}

Test(server_registry,
     an_entry_that_expired_in_an_outage_is_kept_until_its_server_can_renew) {
  ServerRegistry registry(Milliseconds(2000));
  registry.OnRead(kNow);
  registry.Replace({MakeEntry("a"), MakeEntry("b")}, kNow);
  const Time outage_end = kNow + std::chrono::seconds(9);
  registry.OnReadFailed(outage_end);
  registry.OnRead(outage_end);
  registry.Replace({}, outage_end);
  cr_expect_eq(registry.UsableServers().size(), 2u);
  registry.Apply({{ServerId("a"), MakeEntry("a")}},
                 outage_end + std::chrono::seconds(1));
  cr_expect(registry.Expire(outage_end + std::chrono::seconds(2)));
  cr_expect_eq(registry.UsableServers().size(), 1u);
  cr_expect_eq(registry.UsableServers().front().id.Text(), "a");
}

Test(server_registry,
     a_peers_leaving_notice_removes_only_the_named_server_process) {
  ServerRegistry registry(Milliseconds(2000));
  ServerEntry entry = MakeEntry("a");
  entry.started_ms = 7;
  registry.Replace({entry}, kNow);
  cr_expect_not(registry.OnServerLeaving(ServerId("other"), 7, kNow));
  cr_expect_not(registry.OnServerLeaving(entry.id, 6, kNow),
                "the notice names an earlier start");
  cr_expect(registry.OnServerLeaving(entry.id, 7, kNow));
  cr_expect(registry.UsableServers().empty());
  cr_expect_not(registry.OnServerLeaving(entry.id, 7, kNow));
}

// Guards against a delayed registration that makes a leaving server usable.
Test(server_registry, a_leaving_response_holds_until_a_later_start_registers) {
  ServerRegistry registry(Milliseconds(2000));
  ServerEntry entry = MakeEntry("a");
  entry.started_ms = 7;
  entry.position = At(10);
  registry.Replace({entry}, kNow, At(10));
  cr_expect(registry.OnLeavingResponse(entry.id, 7, kNow));
  cr_expect_not(registry.OnLeavingResponse(entry.id, 7, kNow));
  entry.position = At(20);
  cr_expect_not(registry.Apply({{entry.id, entry}}, kNow));
  registry.Replace({entry}, kNow, At(21));
  cr_expect(registry.UsableServers().empty());
  registry.Apply({{entry.id, std::nullopt, At(22)}}, kNow);
  entry.position = At(23);
  registry.Apply({{entry.id, entry}}, kNow);
  cr_expect(registry.UsableServers().empty());
  entry.started_ms = 8;
  entry.position = At(24);
  cr_expect(registry.Apply({{entry.id, entry}}, kNow));
  cr_expect_eq(registry.UsableServers().size(), 1u);
  cr_expect_not(registry.OnLeavingResponse(entry.id, 7, kNow),
                "a late response of the process before");
  cr_expect_eq(registry.UsableServers().size(), 1u);
}

Test(server_registry, a_leaving_response_may_come_before_the_registration) {
  ServerRegistry registry(Milliseconds(2000));
  ServerEntry entry = MakeEntry("a");
  entry.started_ms = 7;
  cr_expect_not(registry.OnLeavingResponse(entry.id, 7, kNow));
  registry.Replace({entry}, kNow);
  cr_expect(registry.UsableServers().empty());
}

Test(response_time_bound, a_late_response_is_dated_by_the_store_clock) {
  using std::chrono::milliseconds;
  ResponseTimeBound bound;
  const Time start = std::chrono::seconds(100);
  // The store's clock reads 40 ms in the response to a call sent at `start`.
  cr_expect_eq(bound.EarliestResponseTime(start, Milliseconds(40)).count(),
               start.count());
  // The store made this response 3 s later, no matter when the call was sent.
  const Time late_response =
      bound.EarliestResponseTime(start + milliseconds(10), Milliseconds(3040));
  cr_expect_eq(late_response.count(), (start + milliseconds(3000)).count());
  // A later call tightens the bound on the offset between the two clocks.
  const Time tighter_bound = bound.EarliestResponseTime(
      start + milliseconds(4030), Milliseconds(4040));
  cr_expect_eq(tighter_bound.count(), (start + milliseconds(4030)).count());
  // A reading lower than the previous one comes from a different clock.
  const Time after_clock_change =
      bound.EarliestResponseTime(start + milliseconds(9000), Milliseconds(5));
  cr_expect_eq(after_clock_change.count(),
               (start + milliseconds(9000)).count());
}

Test(response_time_bound, bound_lies_between_the_call_and_its_response) {
  cr_assert(rc::check([] {
    ResponseTimeBound bound;
    const Time offset = std::chrono::milliseconds(*rc::gen::inRange(0, 100000));
    Time now = std::chrono::seconds(1000);
    for (int call = 0; call < 20; ++call) {
      const Time sent = now;
      now += std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
      const auto store_time =
          std::chrono::duration_cast<Milliseconds>(now - offset);
      RC_ASSERT(bound.EarliestResponseTime(sent, store_time) <= now);
      RC_ASSERT(bound.EarliestResponseTime(sent, store_time) >= sent);
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
    }
  }));
}

Test(server_registry, without_an_outage_a_removal_takes_effect_at_once) {
  ServerRegistry registry(Milliseconds(2000));
  registry.Replace({MakeEntry("a"), MakeEntry("b")}, kNow);
  registry.OnRead(kNow);
  cr_expect(registry.Replace({MakeEntry("a")}, kNow));
  cr_expect_eq(registry.UsableServers().size(), 1u);
}

namespace {

constexpr Milliseconds kGrace(2000);
constexpr Milliseconds kSilenceLimit(4800);  // of heartbeats every 1,200 ms
constexpr Milliseconds kShortestOutage(2400);

/// A registry with one server, read at kNow. Its next read is sent at `read`,
/// after one at `failed` had failed, and no longer lists the server.
ServerRegistry RemoveAfterOutage(Time failed, Time read) {
  ServerRegistry registry(kGrace, kSilenceLimit);
  registry.OnRead(kNow);
  registry.Replace({MakeEntry("a")}, kNow);
  registry.OnReadFailed(failed);
  registry.OnRead(read);
  registry.Replace({}, read);
  return registry;
}

}  // namespace

// Guards against one failed call of an instance keeping servers in use whose
// registration has ended: none can lapse in so short an outage.
Test(server_registry, an_outage_too_short_for_a_lapse_keeps_no_server) {
  const Time read = kNow + kShortestOutage - Milliseconds(1);
  cr_expect(RemoveAfterOutage(kNow, read).UsableServers().empty());
  const Time later = kNow + kShortestOutage;
  cr_expect_eq(RemoveAfterOutage(later, later).UsableServers().size(), 1u);
}

// Guards against a grace period that a late read stretches.
Test(server_registry, a_grace_period_starts_with_the_last_failed_read) {
  const Time failed = kNow + std::chrono::seconds(8);
  const Time read = kNow + std::chrono::seconds(9);
  ServerRegistry registry = RemoveAfterOutage(failed, read);
  cr_assert(registry.NextLapse().has_value());
  cr_expect(*registry.NextLapse() == failed + kGrace);
  cr_expect_not(registry.ExpireLapsed(failed + kGrace - Milliseconds(1), {}));
  cr_expect(registry.ExpireLapsed(failed + kGrace, {}));
  cr_expect(registry.UsableServers().empty());
  cr_expect_not(registry.NextLapse().has_value());
}

Test(server_registry, further_reads_do_not_stretch_a_grace_period) {
  const Time failed = kNow + std::chrono::seconds(9);
  ServerRegistry registry = RemoveAfterOutage(failed, failed);
  registry.OnReadFailed(failed + Milliseconds(500));
  registry.OnRead(failed + Milliseconds(600));
  registry.Replace({}, failed + Milliseconds(600));
  cr_assert(registry.NextLapse().has_value());
  cr_expect(*registry.NextLapse() == failed + kGrace);
}

// Guards against the grace period of a restore being begun by each table's
// read.
Test(server_registry, a_restore_begins_one_grace_period) {
  ServerRegistry registry(kGrace, kSilenceLimit);
  registry.OnRead(kNow);
  registry.Replace({MakeEntry("a")}, kNow);
  registry.OnRestored(StoreEra(2), kNow);
  registry.OnRestored(StoreEra(2), kNow + Milliseconds(1200));
  registry.Replace({}, kNow + Milliseconds(1200));
  cr_assert(registry.NextLapse().has_value());
  cr_expect(*registry.NextLapse() == kNow + kGrace);
}

namespace {

InstanceReport MakeReport(const std::string& node, std::uint64_t started,
                          std::uint64_t sequence) {
  InstanceReport report;
  report.node = NodeId(node);
  report.domain = DomainId("d");
  report.started_ms = started;
  report.sequence = sequence;
  return report;
}

}  // namespace

Test(instance_table, silent_stopping_and_replaced_processes_are_not_serving) {
  InstanceTable table{Milliseconds(6000)};
  InstanceReport stopping = MakeReport("b", 1, 1);
  stopping.stopping = true;
  table.Observe({{"a/1", MakeReport("a", 1, 1)},
                 {"a/2", MakeReport("a", 2, 1)},
                 {"b/1", stopping},
                 {"c/1", MakeReport("c", 1, 1)}},
                kNow);
  cr_expect_eq(table.Serving(kNow).size(), 2u);
  table.Observe(
      {{"a/2", MakeReport("a", 2, 2)}, {"c/1", MakeReport("c", 1, 1)}},
      kNow + std::chrono::seconds(4));
  cr_expect_eq(table.Serving(kNow + std::chrono::seconds(5)).size(), 2u);
  cr_expect_eq(table.Serving(kNow + std::chrono::seconds(7)).size(), 1u);
}

// Guards against taking instances for silent after a store outage longer than a
// report's lifetime.
Test(instance_table, a_store_outage_does_not_count_as_silence) {
  InstanceTable table(Milliseconds(6000));
  std::map<std::string, InstanceReport> reports;
  reports["report/a/1"] = MakeReport("a", 1, 1);
  reports["report/a/1"].as_of_ms = 1000;
  table.Observe(reports, kNow);
  const Time outage_end = kNow + std::chrono::seconds(8);
  table.Observe(reports, outage_end);
  cr_expect_eq(table.Serving(outage_end).size(), 1u);
  cr_expect_not(table.IsWindowComplete(0, 5000, outage_end),
                "its counts are not reported yet");
  // Missing reports count as silence while the store responds.
  Time now = outage_end;
  for (int read = 0; read < 3; ++read) {
    now += std::chrono::seconds(3);
    table.Observe(reports, now);
  }
  cr_expect(table.Serving(now).empty());
}

// Guards against closing a usage window too early: an instance that is
// disconnected from the store for longer than a report's lifetime serves for a
// while and writes its counts after it has reconnected.
Test(instance_table, a_window_waits_for_the_counts_of_disconnected_instances) {
  InstanceTable table(Milliseconds(6000));
  InstanceReport disconnected = MakeReport("a", 1, 1);
  disconnected.as_of_ms = 1000;
  std::uint64_t sequence = 0;
  Time now = kNow;
  for (; now < kNow + std::chrono::seconds(9); now += std::chrono::seconds(3)) {
    InstanceReport other = MakeReport("b", 1, ++sequence);
    other.as_of_ms = 20000;
    table.Observe({{"a/1", disconnected}, {"b/1", other}}, now);
  }
  cr_expect_eq(table.Serving(now).size(), 1u);
  cr_expect_not(table.IsWindowComplete(5000, 10000, now),
                "the disconnected instance may have served in this window");
  cr_expect(table.IsWindowComplete(7000, 12000, now),
            "the disconnected instance had stopped serving by then");
}

Test(instance_table, counts_of_ended_processes_stay_in_the_sum_of_a_window) {
  InstanceTable table{Milliseconds(6000)};
  InstanceReport replaced = MakeReport("a", 1, 1);
  replaced.usage.Record(7, WorkspaceId("w"), 3);
  InstanceReport running = MakeReport("a", 2, 1);
  running.usage.Record(7, WorkspaceId("w"), 2);
  running.as_of_ms = 40000;
  table.Observe({{"a/1", replaced}, {"a/2", running}}, kNow);
  cr_expect_eq(table.SumWindow(7).at(WorkspaceId("w")), 5u);
  cr_expect(table.IsWindowComplete(35000, 40000, kNow));
  cr_expect_not(table.IsWindowComplete(35001, 40001, kNow));
  cr_expect_eq(table.ObsoleteKeys(8, kNow).size(), 1u);
  cr_expect(table.ObsoleteKeys(7, kNow).empty());
}

Test(instance_report, round_trips_through_its_encoding) {
  cr_assert(rc::check([] {
    InstanceReport report = MakeReport("n", 1, 2);
    report.stopping = *rc::gen::arbitrary<bool>();
    report.as_of_ms = *rc::gen::inRange<std::int64_t>(0, 1LL << 40);
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 1 << 20);
    report.usage.Record(5, WorkspaceId("w"), count);
    report.demand[WorkspaceId("w")] = 12;
    report.busy[ServiceId("s")] = 1.5;
    report.prompt_evidence = R"({"crashes":[]})";
    const auto decoded = DecodeReport(EncodeReport(report));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->usage.Windows() == report.usage.Windows());
    RC_ASSERT(decoded->stopping == report.stopping);
    RC_ASSERT(decoded->as_of_ms == report.as_of_ms);
    RC_ASSERT(decoded->busy == report.busy);
    RC_ASSERT(decoded->prompt_evidence == report.prompt_evidence);
  }));
}

Test(instance_report, malformed_text_is_rejected) {
  cr_assert(rc::check([](const std::string& text) {
    DecodeReport(text);
    DecodeCounts(text);
  }));
  cr_expect_not(DecodeReport("{\"node\":3}").has_value());
}

Test(usage, a_report_is_sent_at_the_end_of_each_window) {
  cr_assert(rc::check([] {
    const Milliseconds window(5000);
    const Milliseconds offset(*rc::gen::inRange(0, 600));
    std::int64_t now = 1000000000LL + *rc::gen::inRange(0, 100000);
    std::set<std::int64_t> reported;
    const std::int64_t begin = now;
    while (now < begin + 60000) {
      const auto delay =
          DelayBeforeReport(now, window, Milliseconds(3000), offset);
      RC_ASSERT(delay.count() > 0 && delay.count() <= 3000);
      now += delay.count();
      reported.insert(now - offset.count());
    }
    for (std::int64_t end = begin - begin % 5000 + 10000; end < begin + 55000;
         end += 5000) {
      RC_ASSERT(reported.contains(end));
    }
  }));
}

Test(usage, a_window_is_reported_until_its_report_is_due) {
  cr_assert(rc::check([] {
    const Milliseconds window(*rc::gen::inRange(1000, 10000));
    const Milliseconds due(*rc::gen::inRange(1000, 40000));
    const std::uint64_t behind = MaxWindowsBehind(window, due);
    const std::int64_t now = 1000000000LL + *rc::gen::inRange(0, 100000);
    const std::int64_t current = now / window.count();
    const std::int64_t dropped =
        current - static_cast<std::int64_t>(behind) - 1;
    RC_ASSERT((dropped + 1) * window.count() + due.count() <= now);
  }));
  cr_expect(MaxWindowsBehind(Milliseconds(1000), Milliseconds(6000)) == 6);
  cr_expect(MaxWindowsBehind(Milliseconds(5000), Milliseconds(10000)) == 6);
  cr_expect(MaxWindowsBehind(Milliseconds(1000), Milliseconds(15000)) == 15);
}

Test(load_meter, measures_the_servers_kept_busy_by_constant_load) {
  LoadMeter meter;
  for (int ms = 0; ms < 20000; ms += 50) {
    meter.Record(ServiceId("s"), 100, kNow + std::chrono::milliseconds(ms));
  }
  const auto busy = meter.BusyServers(kNow + std::chrono::seconds(20));
  cr_expect_float_eq(busy.at(ServiceId("s")), 2.0, 0.1);
}

Test(line_rate_limiter, lines_per_second_are_limited_after_a_burst) {
  LineRateLimiter limiter(100, 50);
  int allowed = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    if (limiter.TryAcquire(kNow + std::chrono::milliseconds(ms))) ++allowed;
  }
  cr_expect_leq(allowed, 1051);
  cr_expect_geq(allowed, 1040);
}

namespace {

const char kSettings[] =
    "[node]\nname = \"n\"\ndomain = \"d\"\n"
    "[listen]\ncallers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\n"
    "metrics = \"127.0.0.1:3\"\n[store]\naddress = \"127.0.0.1:4\"\n";

}  // namespace

Test(gateway_settings, seconds_and_fractions_are_read) {
  const auto settings = gateway::ParseSettings(
      std::string(kSettings) + "[bounds]\nstop_s = 7.5\nretry_ratio = 0.3\n",
      "f");
  cr_assert(settings.has_value());
  cr_expect_eq(settings->stop_timeout.count(), 7500);
  cr_expect_float_eq(settings->retry_ratio, 0.3, 1e-9);
  cr_expect_not(settings->reports_usage);
}

Test(gateway_settings, the_example_file_is_valid) {
  std::ifstream file(std::string(SOURCE_DIR) + "/examples/gateway.toml");
  std::ostringstream text;
  text << file.rdbuf();
  cr_expect(gateway::ParseSettings(text.str(), "gateway.toml").has_value());
}

Test(gateway_settings, all_errors_are_reported_together) {
  const auto settings = gateway::ParseSettings(
      "[node]\nname = \"n\"\n[listen]\ncallers = \"x\"\n"
      "[bounds]\nretry_ratio = 7\nusage_window_s = 0\n",
      "f");
  cr_assert_not(settings.has_value());
  std::string text;
  for (const auto& problem : settings.error()) {
    text += FormatProblem(problem) + "\n";
  }
  for (const auto* expected : {"domain", "callers", "readiness", "store",
                               "retry_ratio", "usage_window_s"}) {
    cr_expect(text.find(expected) != std::string::npos, "%s in %s", expected,
              text.c_str());
  }
}

Test(gateway_settings, requests_are_refused_under_shortage_only_if_asked_for) {
  const auto silent = gateway::ParseSettings(kSettings, "f");
  cr_assert(silent.has_value());
  cr_expect_not(silent->sheds_under_shortage);
  const auto asked = gateway::ParseSettings(
      std::string(kSettings) + "[admission]\nsheds_under_shortage = true\n",
      "f");
  cr_assert(asked.has_value());
  cr_expect(asked->sheds_under_shortage);
  const auto wrong = gateway::ParseSettings(
      std::string(kSettings) +
          "[admission]\nsheds_under_shortage = 2\nother = 1\n",
      "f");
  cr_assert_not(wrong.has_value());
  cr_expect_eq(wrong.error().size(), 2u);
}
