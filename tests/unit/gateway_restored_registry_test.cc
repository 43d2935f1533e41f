#include <rapidcheck.h>

#include "cowslipknot/gateway/registration_log.h"
#include "cowslipknot/gateway/server_registry.h"
#include "unit_test.h"

/// The server registry across restores of the store from a copy.
using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

using Time = std::chrono::nanoseconds;
constexpr Time kNow = std::chrono::seconds(50);
constexpr Milliseconds kGrace(2000);
constexpr Milliseconds kSilenceLimit(4800);

StorePosition In(std::uint64_t era, std::uint64_t version) {
  return {StoreEra(era), StoreVersion(version)};
}

ServerEntry MakeServer(const std::string& id, const StorePosition& position,
                       ServerState state = ServerState::kReady,
                       std::int64_t started_ms = 7) {
  ServerEntry entry;
  entry.id = ServerId(id);
  entry.service = ServiceId("s");
  entry.state = state;
  entry.started_ms = started_ms;
  entry.position = position;
  return entry;
}

ServerRegistry MakeRegistry() { return ServerRegistry(kGrace, kSilenceLimit); }

}  // namespace

// Guards against registrations and drains that are dropped since their versions
// are below those of the era before.
Test(restored_registry, a_later_era_replaces_what_was_known_whatever_versions) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace({MakeServer("a", In(1, 90)), MakeServer("b", In(1, 95))},
                   kNow, In(1, 99));
  registry.Replace({MakeServer("a", In(2, 70), ServerState::kDraining),
                    MakeServer("b", In(2, 60))},
                   kNow, In(2, 71));
  const auto usable = registry.UsableServers();
  cr_assert_eq(usable.size(), 1u);
  cr_expect_eq(usable.front().id.Text(), "b");
}

// Guards against requests to a server that was leaving before the restore.
Test(restored_registry, a_leaving_process_stays_so_although_the_copy_has_it) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace({MakeServer("a", In(1, 80))}, kNow, In(1, 80));
  registry.Apply(
      {{ServerId("a"), MakeServer("a", In(1, 95), ServerState::kDraining)}},
      kNow);
  registry.Replace({MakeServer("a", In(2, 80))}, kNow, In(2, 90));
  cr_expect(registry.UsableServers().empty());
  registry.Expire(kNow + kSilenceLimit, In(2, 120));
  cr_expect(registry.UsableServers().empty());
  registry.Apply(
      {{ServerId("a"), MakeServer("a", In(2, 130), ServerState::kReady, 8)}},
      kNow);
  cr_expect_eq(registry.UsableServers().size(), 1u, "a new process");
}

// Guards against requests to a server that was leaving before the restore: its
// row was read after a peer's notice, whose position is a later one.
Test(restored_registry,
     a_leaving_process_of_a_notice_stays_so_once_it_is_read) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace({MakeServer("a", In(1, 80))}, kNow, In(1, 80));
  cr_expect(registry.OnServerLeaving(ServerId("a"), 7, kNow, In(1, 97)));
  registry.Apply(
      {{ServerId("a"), MakeServer("a", In(1, 95), ServerState::kDraining)}},
      kNow);
  registry.Replace({MakeServer("a", In(2, 80))}, kNow, In(2, 90));
  registry.Expire(kNow + kSilenceLimit, In(2, 120));
  cr_expect(registry.UsableServers().empty());
}

// Guards against requests to a server whose end only a peer had told of.
Test(restored_registry, a_notice_before_the_restore_holds_after_it) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace({MakeServer("a", In(1, 80))}, kNow, In(1, 80));
  cr_expect(registry.OnServerLeaving(ServerId("a"), 7, kNow, In(1, 95)));
  registry.Replace({MakeServer("a", In(2, 80))}, kNow, In(2, 90));
  cr_expect(registry.UsableServers().empty());
}

// Guards against a notice that arrives after the restore has been read.
Test(restored_registry, a_notice_of_the_era_before_takes_a_server_out) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace({MakeServer("a", In(2, 120))}, kNow, In(2, 121));
  cr_expect(registry.OnServerLeaving(ServerId("a"), 7, kNow, In(1, 95)));
  cr_expect(registry.UsableServers().empty());
  registry.Apply({{ServerId("a"), MakeServer("a", In(2, 130))}}, kNow);
  cr_expect_eq(registry.UsableServers().size(), 1u, "it has written since");
}

// Guards against a server that is gone and comes back with the copy, and
// against one that is alive and never used again.
Test(restored_registry, a_removed_server_returns_once_it_is_known_to_live) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace(
      {MakeServer("gone", In(1, 80)), MakeServer("lives", In(1, 81)),
       MakeServer("writes", In(1, 82))},
      kNow, In(1, 82));
  registry.Replace({}, kNow, In(1, 95));
  const std::vector<ServerEntry> copy = {MakeServer("gone", In(2, 80)),
                                         MakeServer("lives", In(2, 81)),
                                         MakeServer("writes", In(2, 82))};
  registry.Replace(copy, kNow, In(2, 90));
  cr_expect(registry.UsableServers().empty());
  cr_expect(registry.Apply(
      {{ServerId("writes"), MakeServer("writes", In(2, 93))}}, kNow));
  cr_expect_eq(registry.UsableServers().size(), 1u);
  registry.Apply({{ServerId("gone"), std::nullopt, In(2, 99)}}, kNow);
  cr_expect(registry.Expire(kNow + kSilenceLimit, In(2, 120)));
  const auto usable = registry.UsableServers();
  cr_assert_eq(usable.size(), 2u);
  cr_expect_eq(usable.front().id.Text(), "lives");
  cr_expect(usable.front().position == In(2, 120));
}

// Guards against a second restore that ends the wait of the first one.
Test(restored_registry, a_second_restore_is_no_sign_of_life) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace({MakeServer("a", In(1, 80))}, kNow, In(1, 80));
  registry.Replace({}, kNow, In(1, 95));
  registry.Replace({MakeServer("a", In(2, 80))}, kNow, In(2, 90));
  registry.Replace({MakeServer("a", In(3, 80))}, kNow, In(3, 85));
  cr_expect(registry.UsableServers().empty());
}

// Guards against requests to a server that is gone, while its row, which a
// second restore has written anew, has not outlived the silence limit.
Test(restored_registry, a_second_restore_begins_the_wait_anew) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace({MakeServer("a", In(1, 80))}, kNow, In(1, 80));
  registry.Replace({}, kNow, In(1, 95));
  registry.Replace({MakeServer("a", In(2, 80))}, kNow, In(2, 90));
  const auto second = kNow + std::chrono::seconds(3);
  registry.Replace({MakeServer("a", In(3, 80))}, second, In(3, 85));
  registry.Expire(kNow + kSilenceLimit, In(3, 120));
  cr_expect(registry.UsableServers().empty());
  registry.Expire(second + kSilenceLimit, In(3, 150));
  cr_expect_eq(registry.UsableServers().size(), 1u);
}

// Guards against requests to a server that did not register again after a
// restore, and that a further restore brings back.
Test(restored_registry, a_lapsed_server_waits_when_a_restore_brings_it_back) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace({MakeServer("a", In(1, 80))}, kNow, In(1, 80));
  registry.OnRestored(StoreEra(2), kNow);
  registry.Replace({}, kNow, In(2, 75));
  registry.Expire(kNow + kGrace, In(2, 90));
  cr_assert(registry.UsableServers().empty());
  registry.Replace({MakeServer("a", In(3, 80))}, kNow + kGrace, In(3, 85));
  cr_expect(registry.UsableServers().empty());
}

// Guards against a sound server that is left alone for the silence limit, since
// a relay that has not read the restore yet does not list it.
Test(restored_registry, a_removal_read_before_a_restore_delays_no_server) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace({MakeServer("a", In(2, 80))}, kNow, In(2, 85));
  registry.Replace({}, kNow, In(1, 95));
  cr_expect(registry.UsableServers().empty());
  registry.Replace({MakeServer("a", In(2, 88))}, kNow, In(2, 90));
  cr_expect_eq(registry.UsableServers().size(), 1u);
}

// Guards against requests to the address of a former process, which another
// server may use since, when the copy has only that one.
Test(restored_registry, a_former_process_does_not_replace_a_later_one) {
  ServerRegistry registry = MakeRegistry();
  const ServerId id("a");
  registry.Replace({MakeServer("a", In(1, 80))}, kNow, In(1, 80));
  registry.Apply({{id, MakeServer("a", In(1, 95), ServerState::kReady, 8)}},
                 kNow);
  registry.OnRestored(StoreEra(2), kNow);
  registry.Replace({MakeServer("a", In(2, 80))}, kNow, In(2, 90));
  cr_assert_eq(registry.UsableServers().size(), 1u);
  cr_expect_eq(registry.UsableServers().front().started_ms, 8);
  registry.Apply({{id, MakeServer("a", In(2, 93), ServerState::kReady, 8)}},
                 kNow);
  registry.Expire(kNow + kGrace, In(2, 120));
  cr_assert_eq(registry.UsableServers().size(), 1u);
  cr_expect_eq(registry.UsableServers().front().started_ms, 8);
}

// Guards against a server that is kept for ever because its former process is
// still listed.
Test(restored_registry, a_later_process_that_does_not_return_is_removed) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace({MakeServer("a", In(1, 95), ServerState::kReady, 8)}, kNow,
                   In(1, 95));
  registry.OnRestored(StoreEra(2), kNow);
  registry.Replace({MakeServer("a", In(2, 80))}, kNow, In(2, 90));
  registry.Expire(kNow + kGrace, In(2, 120));
  cr_expect(registry.UsableServers().empty());
}

// Guards against followers that differ from their relay after restores: the
// relay's removals and returns have positions of several eras.
Test(restored_registry, a_follower_ends_with_the_servers_of_its_relay) {
  cr_assert(rc::check([] {
    ServerRegistry relay = MakeRegistry();
    RegistrationLog log;
    ServerRegistry follower = MakeRegistry();
    std::uint64_t cursor = 0;
    std::uint64_t era = 1;
    std::uint64_t version = 100;
    std::map<std::string, StorePosition> rows;
    Time now = kNow;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      now += std::chrono::seconds(1);
      const std::string id = "s" + std::to_string(*rc::gen::inRange(0, 4));
      const int action = *rc::gen::inRange(0, 4);
      if (action == 0) rows[id] = In(era, ++version);
      if (action == 1 && rows.erase(id) > 0) ++version;
      if (action == 2) {
        // Restored from a copy that is some versions old.
        version -= *rc::gen::inRange<std::uint64_t>(0, 5);
        ++era;
        for (auto& [key, position] : rows)
          position = In(era, std::min(position.version.Count(), version));
      }
      std::vector<ServerEntry> entries;
      entries.reserve(rows.size());
      for (const auto& [key, position] : rows)
        entries.push_back(MakeServer(key, position));
      relay.Replace(entries, now, In(era, version));
      relay.Expire(now, In(era, version));
      log.Update(relay.UsableServers(), In(era, version));
      if (*rc::gen::arbitrary<bool>()) continue;
      const auto changes = log.Since(cursor);
      follower.Apply(changes.changes, now);
      follower.Expire(now, log.Position());
      cursor = changes.cursor;
    }
    // The servers live on, so that each one is used in the end.
    now += kSilenceLimit + kGrace;
    relay.Expire(now, In(era, ++version));
    log.Update(relay.UsableServers(), In(era, version));
    follower.Apply(log.Since(cursor).changes, now);
    now += kSilenceLimit;
    follower.Expire(now, In(era, ++version));
    RC_ASSERT(relay.UsableServers().size() == rows.size());
    RC_ASSERT(follower.UsableServers().size() == rows.size());
  }));
}

// Guards against a leaving server that a source which lags behind lists anew,
// where the notice came while its registration was missing.
Test(server_registry, a_notice_of_leaving_holds_for_a_server_not_listed) {
  ServerRegistry registry = MakeRegistry();
  cr_expect_not(registry.OnServerLeaving(ServerId("a"), 7, kNow, In(1, 95)));
  registry.Apply({{ServerId("a"), MakeServer("a", In(1, 90)), {}}}, kNow);
  cr_expect(registry.UsableServers().empty());
  registry.Apply({{ServerId("a"), MakeServer("a", In(1, 96)), {}}}, kNow);
  cr_expect_eq(registry.UsableServers().size(), 1u);
}

// Guards against a decision in favor of servers that have ended: a restored
// store lists them until it has missed their heartbeats.
Test(restored_registry, a_server_is_known_to_run_once_its_row_is_written) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace({MakeServer("a", In(2, 80)), MakeServer("b", In(2, 81))},
                   kNow, In(2, 90));
  cr_expect_eq(registry.UsableServers().size(), 2u);
  cr_expect(registry.RunningServers(kNow).empty());
  registry.Apply({{ServerId("b"), MakeServer("b", In(2, 92))}}, kNow);
  const auto running = registry.RunningServers(kNow);
  cr_assert_eq(running.size(), 1u);
  cr_expect_eq(running.front().id.Text(), "b");
  cr_expect_eq(registry.RunningServers(kNow + kSilenceLimit).size(), 1u);
  cr_expect_eq(registry.RunningServers(kNow + 2 * kSilenceLimit).size(), 2u,
               "not removed in spite of its silence");
}

Test(restored_registry, a_restore_leaves_open_which_servers_run) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace({MakeServer("a", In(1, 80))}, kNow, In(1, 80));
  registry.Apply({{ServerId("a"), MakeServer("a", In(1, 85))}}, kNow);
  cr_expect_eq(registry.RunningServers(kNow).size(), 1u);
  registry.Replace({MakeServer("a", In(2, 82))}, kNow, In(2, 84));
  cr_expect_eq(registry.UsableServers().size(), 1u);
  cr_expect(registry.RunningServers(kNow).empty());
}

Test(restored_registry, an_outage_of_the_store_leaves_open_which_servers_run) {
  ServerRegistry registry = MakeRegistry();
  registry.OnRead(kNow);
  registry.Replace({MakeServer("a", In(1, 80))}, kNow, In(1, 80));
  registry.Apply({{ServerId("a"), MakeServer("a", In(1, 85))}}, kNow);
  const Time back = kNow + std::chrono::seconds(6);
  registry.OnReadFailed(back - std::chrono::seconds(1));
  registry.OnRead(back);
  registry.Replace({MakeServer("a", In(1, 85))}, back, In(1, 86));
  cr_expect(registry.RunningServers(back).empty());
  registry.Apply({{ServerId("a"), MakeServer("a", In(1, 88))}}, back);
  cr_expect_eq(registry.RunningServers(back).size(), 1u);
}

Test(restored_registry, a_new_process_is_not_known_to_run_by_a_former_row) {
  ServerRegistry registry = MakeRegistry();
  registry.Replace({MakeServer("a", In(1, 80))}, kNow, In(1, 80));
  registry.Apply({{ServerId("a"), MakeServer("a", In(1, 85))}}, kNow);
  registry.Apply(
      {{ServerId("a"), MakeServer("a", In(1, 90), ServerState::kReady, 8)}},
      kNow);
  cr_expect(registry.RunningServers(kNow).empty());
}
