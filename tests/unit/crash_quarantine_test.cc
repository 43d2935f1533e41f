#include "cowslipknot/coordination/crash_quarantine.h"

#include <rapidcheck.h>

#include "unit_test.h"

using namespace cowslipknot;

namespace {

using Time = CrashQuarantine::Time;
using Verdict = CrashQuarantine::Verdict;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Time kStart = seconds(100);
constexpr SuspectId Part(std::uint64_t value) {
  return {SuspectId::Kind::kPromptPart, value};
}

constexpr SuspectId Request(std::uint64_t value) {
  return {SuspectId::Kind::kRequest, value};
}

constexpr SuspectId kCommon = Part(1);  ///< first in all prompts of a route
constexpr SuspectId kBad = Part(2);     ///< crashes servers
constexpr SuspectId kOther = Part(3);

ServerBoot Boot(int number) {
  return {ServerId("s" + std::to_string(number)), number};
}

bool NoTrials(const Quarantine&) { return false; }
bool RunTrials(const Quarantine&) { return true; }

void Crash(CrashQuarantine& quarantine, int server, const Suspects& parts,
           Time at) {
  quarantine.RecordBreakOff(Boot(server), parts, at);
  quarantine.ConfirmCrash(Boot(server));
}

/// Records an answer that was complete at once.
void Complete(CrashQuarantine& quarantine, const Suspects& suspects, Time at) {
  quarantine.RecordCompletion(suspects, at, at);
}

/// Crashes one second apart by the bad part, the last one at kStart + `count`
/// seconds.
void CrashTimes(CrashQuarantine& quarantine, int count) {
  for (int i = 1; i <= count; ++i)
    Crash(quarantine, i, {kCommon, kBad}, kStart + seconds(i));
}

bool IsRefused(CrashQuarantine& quarantine, const Suspects& parts,
               Time now = kStart + seconds(10)) {
  return quarantine.Decide(parts, now, NoTrials).verdict == Verdict::kRefuse;
}

}  // namespace

// Guards against servers that crash one after the other: nothing connected
// their crashes with the prompts that they were answering.
Test(crash_quarantine, a_part_that_three_crashes_share_is_refused) {
  CrashQuarantine quarantine;
  Complete(quarantine, {kCommon, kOther}, kStart);
  CrashTimes(quarantine, 2);
  cr_expect_not(IsRefused(quarantine, {kCommon, kBad}));
  CrashTimes(quarantine, 3);
  cr_expect(IsRefused(quarantine, {kCommon, kBad}));
  cr_expect(IsRefused(quarantine, {kOther, kBad}));
  cr_expect_not(IsRefused(quarantine, {kCommon, kOther}));
  cr_expect_not(IsRefused(quarantine, {kCommon}));
}

Test(crash_quarantine, parts_that_no_answer_tells_apart_are_refused_together) {
  CrashQuarantine quarantine;
  CrashTimes(quarantine, 3);
  cr_expect(IsRefused(quarantine, {kCommon, kBad}));
  cr_expect_not(IsRefused(quarantine, {kCommon, kOther}));
  Complete(quarantine, {kCommon}, kStart + seconds(4));
  cr_expect(IsRefused(quarantine, {kOther, kBad}));
}

// Guards against BUDGET of review/8: no answer had been completed since the
// start, so that all parts that the crashed servers had in flight were one
// quarantine, which held no request.
Test(crash_quarantine, answers_in_progress_tell_parts_apart) {
  CrashQuarantine quarantine;
  for (int i = 1; i <= 3; ++i)
    Crash(quarantine, i, {kCommon, kOther, kBad}, kStart + seconds(i));
  cr_expect_not(IsRefused(quarantine, {kCommon, kBad}));
  quarantine.RecordProgress({kCommon}, kStart + seconds(3));
  quarantine.RecordProgress({kOther}, kStart + seconds(3));
  cr_expect(IsRefused(quarantine, {kCommon, kBad}));
  cr_expect(IsRefused(quarantine, {kBad}));
  cr_expect_not(IsRefused(quarantine, {kCommon, kOther}));
}

// Guards against sound prompts that are refused since a server crashes for
// another reason before any answer was complete.
Test(crash_quarantine, a_first_part_is_not_refused_for_crashes_of_others) {
  CrashQuarantine quarantine;
  Crash(quarantine, 100, {kCommon}, kStart);
  quarantine.RecordProgress({kCommon}, kStart + seconds(1) / 2);
  CrashTimes(quarantine, 3);
  cr_expect(IsRefused(quarantine, {kCommon, kBad}));
  cr_expect_not(IsRefused(quarantine, {kCommon, kOther}));
}

// Guards against a part that crashes servers only some time after they began to
// answer: the progress of each answer must not clear it of the crash before.
Test(crash_quarantine, a_part_that_crashes_servers_late_is_refused) {
  CrashQuarantine quarantine;
  CrashQuarantine other;
  Complete(quarantine, {kCommon}, kStart);
  for (int i = 1; i <= 5; ++i) {
    const Time at = kStart + seconds(2 * i);
    quarantine.RecordProgress({kCommon, kBad}, at - seconds(1));
    quarantine.RecordBreakOff(Boot(i), {kCommon, kBad}, at,
                              AnswerStage::kInProgress);
    quarantine.RecordBreakOff(Boot(i), {kCommon}, at);
    quarantine.ConfirmCrash(Boot(i));
    other.Merge(quarantine.Export());
  }
  for (auto* instance : {&quarantine, &other}) {
    cr_expect(IsRefused(*instance, {kCommon, kBad}, kStart + seconds(11)));
    cr_expect_not(IsRefused(*instance, {kCommon}, kStart + seconds(11)));
  }
}

Test(crash_quarantine, an_answer_in_progress_clears_no_request) {
  CrashQuarantine quarantine;
  const SuspectId request{SuspectId::Kind::kRequest, 7};
  for (int i = 1; i <= 3; ++i)
    Crash(quarantine, i, {request}, kStart + seconds(i));
  quarantine.RecordProgress({request}, kStart + seconds(4));
  cr_expect(IsRefused(quarantine, {request}));
}

Test(crash_quarantine, progress_of_other_instances_counts) {
  CrashQuarantine sender;
  CrashQuarantine receiver;
  for (auto* instance : {&sender, &receiver}) {
    for (int i = 1; i <= 3; ++i)
      Crash(*instance, i, {kCommon, kOther, kBad}, kStart + seconds(i));
  }
  sender.RecordProgress({kCommon, kOther}, kStart + seconds(3));
  cr_expect_not(IsRefused(receiver, {kCommon, kBad}));
  receiver.Merge(sender.Export());
  cr_expect(IsRefused(receiver, {kCommon, kBad}));
}

Test(answer_progress, an_answer_is_harmless_once_after_a_second) {
  AnswerProgress progress;
  int shown = 0;
  for (int i = 0; i <= 20; ++i)
    shown += progress.OnReceived(kStart + milliseconds(100 * i)) ? 1 : 0;
  cr_expect_eq(shown, 1);
}

// A process that was paused reads what arrived before a crash after it.
Test(answer_progress, a_long_pause_does_not_make_an_answer_harmless) {
  AnswerProgress progress;
  cr_expect_not(progress.OnReceived(kStart));
  cr_expect_not(progress.OnReceived(kStart + seconds(30)));
  cr_expect_not(progress.OnReceived(kStart + seconds(60)));
}

Test(crash_quarantine, requests_that_ran_beside_the_cause_are_not_refused) {
  CrashQuarantine quarantine;
  for (int i = 1; i <= 12; ++i) {
    Crash(quarantine, i, {kCommon, kBad}, kStart + seconds(i));
    Crash(quarantine, i, {kCommon, kOther}, kStart + seconds(i));
  }
  Complete(quarantine, {kCommon, kOther}, kStart + seconds(2));
  cr_expect(IsRefused(quarantine, {kCommon, kBad}, kStart + seconds(13)));
  cr_expect_not(IsRefused(quarantine, {kCommon, kOther}, kStart + seconds(13)));
}

Test(crash_quarantine, servers_that_crash_together_condemn_no_common_part) {
  CrashQuarantine quarantine;
  Complete(quarantine, {kCommon}, kStart);
  for (int i = 1; i <= 20; ++i)
    Crash(quarantine, i, {kCommon, kOther}, kStart + milliseconds(5 * i));
  cr_expect_not(IsRefused(quarantine, {kCommon, kOther}));
}

// Guards against a series of crashes so fast that most of them are not counted.
Test(crash_quarantine, a_fast_series_of_crashes_counts_in_full) {
  CrashQuarantine quarantine;
  Complete(quarantine, {kCommon}, kStart);
  for (int i = 1; i <= 3; ++i)
    Crash(quarantine, i, {kCommon, kBad}, kStart + milliseconds(70 * i));
  cr_expect(IsRefused(quarantine, {kCommon, kBad}));
  cr_expect_not(IsRefused(quarantine, {kCommon}));
}

Test(crash_quarantine, new_parts_at_servers_lost_together_are_not_refused) {
  CrashQuarantine quarantine;
  for (int i = 1; i <= 6; ++i)
    Crash(quarantine, i, {kCommon, kOther}, kStart + milliseconds(5 * i));
  cr_expect_not(IsRefused(quarantine, {kCommon, kOther}));
}

Test(crash_quarantine, connections_that_break_without_a_crash_do_not_count) {
  CrashQuarantine quarantine;
  for (int i = 1; i <= 20; ++i) {
    quarantine.RecordBreakOff(Boot(i), {kCommon, kBad}, kStart + seconds(i));
    quarantine.DiscardCrash(Boot(i));
  }
  cr_expect_not(IsRefused(quarantine, {kCommon, kBad}, kStart + seconds(30)));
  cr_expect(quarantine.MayRetry({kCommon, kBad}));
}

Test(crash_quarantine, a_part_that_was_harmless_before_is_refused_later) {
  CrashQuarantine quarantine;
  Complete(quarantine, {kCommon, kBad}, kStart);
  CrashTimes(quarantine, 4);
  Complete(quarantine, {kCommon}, kStart + seconds(4));
  cr_expect_not(IsRefused(quarantine, {kCommon, kBad}));
  CrashTimes(quarantine, 5);
  Complete(quarantine, {kCommon}, kStart + seconds(5));
  cr_expect(IsRefused(quarantine, {kCommon, kBad}));
  cr_expect_not(IsRefused(quarantine, {kCommon}));
}

Test(crash_quarantine, a_request_that_crashed_two_servers_is_not_retried) {
  CrashQuarantine quarantine;
  Complete(quarantine, {kCommon}, kStart);
  quarantine.RecordBreakOff(Boot(1), {kCommon, kBad}, kStart + seconds(1));
  cr_expect(quarantine.MayRetry({kCommon, kBad}));
  quarantine.RecordBreakOff(Boot(2), {kCommon, kBad}, kStart + seconds(2));
  cr_expect_not(quarantine.MayRetry({kCommon, kBad}));
  cr_expect(quarantine.MayRetry({kCommon, kOther}));
}

Test(crash_quarantine, a_waiting_request_is_not_sent_after_the_verdict) {
  CrashQuarantine quarantine;
  Complete(quarantine, {kCommon, kBad}, kStart);
  CrashTimes(quarantine, 5);
  Complete(quarantine, {kCommon}, kStart + seconds(5));
  cr_expect_not(quarantine.MayRetry({kCommon, kBad}));
  cr_expect(quarantine.MayRetry({kCommon, kOther}));
}

Test(crash_quarantine, one_trial_follows_each_growing_delay) {
  CrashQuarantine quarantine;
  CrashTimes(quarantine, 3);
  const Suspects parts{kCommon, kBad};
  const Time last_crash = kStart + seconds(3);
  const auto verdict = [&](Time now) {
    return quarantine.Decide(parts, now, RunTrials).verdict;
  };
  cr_expect(verdict(last_crash + seconds(59)) == Verdict::kRefuse);
  cr_expect(verdict(last_crash + seconds(60)) == Verdict::kTrial);
  cr_expect(verdict(last_crash + seconds(61)) == Verdict::kRefuse);
  const Time second_crash = last_crash + seconds(62);
  Crash(quarantine, 9, parts, second_crash);
  cr_expect(verdict(second_crash + seconds(119)) == Verdict::kRefuse);
  cr_expect(verdict(second_crash + seconds(120)) == Verdict::kTrial);
  Complete(quarantine, parts, second_crash + seconds(120));
  cr_expect(verdict(second_crash + seconds(121)) == Verdict::kSend);
  cr_expect(quarantine.Active().empty());
}

Test(crash_quarantine, an_instance_that_runs_no_trials_refuses) {
  CrashQuarantine quarantine;
  CrashTimes(quarantine, 3);
  const auto decision =
      quarantine.Decide({kCommon, kBad}, kStart + minutes(10), NoTrials);
  cr_expect(decision.verdict == Verdict::kRefuse);
  cr_expect_gt(decision.until_trial.count(), 0);
}

// Guards against instances that each see too few crashes for a verdict.
Test(crash_quarantine, instances_share_their_evidence) {
  std::vector<CrashQuarantine> instances(3);
  for (int i = 0; i < 3; ++i)
    Crash(instances[i], i, {kCommon, kBad}, kStart + seconds(i));
  Complete(instances[0], {kCommon}, kStart + seconds(2));
  for (const auto& sender : instances) {
    for (auto& receiver : instances) receiver.Merge(sender.Export());
  }
  for (auto& instance : instances) {
    cr_expect(IsRefused(instance, {kOther, kBad}));
    cr_expect_not(IsRefused(instance, {kCommon, kOther}));
  }
}

Test(crash_quarantine, evidence_survives_encoding) {
  CrashQuarantine sender;
  CrashTimes(sender, 3);
  Complete(sender, {kCommon}, kStart + seconds(3));
  const Time now = kStart + seconds(10);
  const std::string text = EncodeCrashEvidence(sender.Export(), now);
  const Time other_clock = seconds(5000);
  CrashQuarantine receiver;
  receiver.Merge(DecodeCrashEvidence(text, other_clock));
  cr_expect(IsRefused(receiver, {kOther, kBad}, other_clock));
  cr_expect_not(IsRefused(receiver, {kCommon}, other_clock));
  cr_expect(EncodeCrashEvidence(receiver.Export(), other_clock) == text);
}

Test(crash_quarantine, unreadable_evidence_is_ignored) {
  for (const char* text :
       {"", "{", "[]", "{\"crashes\":[{}],\"completions\":{}}",
        "{\"crashes\":[],\"completions\":{\"x\":1}}"}) {
    cr_expect(DecodeCrashEvidence(text, kStart).Empty(), "%s", text);
  }
}

Test(crash_quarantine, merging_twice_or_in_any_order_changes_nothing) {
  const bool holds = rc::check([] {
    std::vector<CrashEvidence> pieces;
    const int count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i) {
      CrashEvidence piece;
      piece.crashes.push_back(
          {Boot(*rc::gen::inRange(0, 5)),
           kStart + seconds(*rc::gen::inRange(0, 20)),
           {Part(*rc::gen::inRange<std::uint64_t>(1, 5)), kBad},
           {}});
      if (*rc::gen::arbitrary<bool>())
        piece.crashes.back().in_progress.insert(kBad);
      piece.progress[Part(*rc::gen::inRange<std::uint64_t>(1, 5))] =
          kStart + seconds(*rc::gen::inRange(0, 20));
      piece.completions[Part(*rc::gen::inRange<std::uint64_t>(1, 5))] =
          kStart + seconds(*rc::gen::inRange(0, 20));
      pieces.push_back(piece);
    }
    CrashQuarantine forward;
    CrashQuarantine backward;
    for (const auto& piece : pieces) forward.Merge(piece);
    for (const auto& piece : pieces) forward.Merge(piece);
    for (auto piece = pieces.rbegin(); piece != pieces.rend(); ++piece)
      backward.Merge(*piece);
    const Time now = kStart + seconds(30);
    RC_ASSERT(EncodeCrashEvidence(forward.Export(), now) ==
              EncodeCrashEvidence(backward.Export(), now));
    RC_ASSERT(forward.Active().size() == backward.Active().size());
  });
  cr_expect(holds);
}

Test(crash_quarantine, memory_is_bounded) {
  CrashQuarantine quarantine;
  for (int i = 0; i < 1000; ++i) {
    Suspects parts;
    for (std::uint64_t part = 0; part < 300; ++part)
      parts.push_back(Part(1000 + 1000 * static_cast<std::uint64_t>(i) + part));
    Crash(quarantine, i, parts, kStart + seconds(i));
  }
  const auto evidence = quarantine.Export();
  cr_expect_leq(evidence.crashes.size(), 64);
  for (const auto& crash : evidence.crashes)
    cr_expect_leq(crash.suspects.size(), 256);
}

namespace {

constexpr SuspectId kCrashing = Request(1);
constexpr SuspectId kSound = Request(2);

/// Crashes by one request, a second apart, the last one at kStart + `last`.
void CrashByRequest(CrashQuarantine& quarantine, int first, int last,
                    const Suspects& suspects = {kCrashing}) {
  for (int i = first; i <= last; ++i)
    Crash(quarantine, i, suspects, kStart + seconds(i));
}

}  // namespace

// Guards against BUDGET of issue 39: a request without shared parts was sent to
// one server after the other.
Test(crash_quarantine, a_request_that_crashed_three_servers_is_refused) {
  CrashQuarantine quarantine;
  CrashByRequest(quarantine, 1, 2);
  cr_expect_not(IsRefused(quarantine, {kCrashing}));
  CrashByRequest(quarantine, 3, 3);
  cr_expect(IsRefused(quarantine, {kCrashing}));
  cr_expect_not(IsRefused(quarantine, {kSound}));
}

Test(crash_quarantine, a_request_beside_the_cause_is_not_refused) {
  CrashQuarantine quarantine;
  CrashByRequest(quarantine, 1, 3, {kCrashing, kSound});
  cr_expect_not(IsRefused(quarantine, {kSound}), "nothing tells them apart");
  CrashByRequest(quarantine, 4, 4);
  cr_expect(IsRefused(quarantine, {kCrashing}));
  cr_expect_not(IsRefused(quarantine, {kSound}));
}

Test(crash_quarantine, requests_that_nothing_tells_apart_are_all_refused) {
  CrashQuarantine quarantine;
  CrashByRequest(quarantine, 1, 4, {kCrashing, kSound});
  cr_expect(IsRefused(quarantine, {kCrashing}));
  cr_expect(IsRefused(quarantine, {kSound}));
  Complete(quarantine, {kSound}, kStart + seconds(5));
  cr_expect_not(IsRefused(quarantine, {kSound}));
  cr_expect(IsRefused(quarantine, {kCrashing}));
}

Test(crash_quarantine, a_request_answered_since_is_not_refused) {
  CrashQuarantine quarantine;
  for (int i = 1; i <= 20; ++i) {
    Crash(quarantine, i, {kSound}, kStart + seconds(i));
    Complete(quarantine, {kSound}, kStart + seconds(i) + seconds(1) / 2);
  }
  cr_expect_not(IsRefused(quarantine, {kSound}, kStart + seconds(21)));
}

// Guards against a part that is condemned by the crashes of one request, which
// its caller repeats, and against one that is not when others follow.
Test(crash_quarantine, a_part_of_one_request_is_refused_once_others_crash) {
  CrashQuarantine quarantine;
  CrashByRequest(quarantine, 1, 3, {kBad, kCrashing});
  cr_expect(IsRefused(quarantine, {kBad, kCrashing}));
  cr_expect_not(IsRefused(quarantine, {kBad, kSound}));
  CrashByRequest(quarantine, 4, 4, {kBad, kSound});
  cr_expect(IsRefused(quarantine, {kBad, Request(9)}));
}

Test(crash_quarantine, trials_of_a_request_cost_a_bounded_number_of_servers) {
  CrashQuarantine quarantine;
  CrashByRequest(quarantine, 1, 3);
  Time now = kStart + seconds(3);
  int trials = 0;
  for (; now < kStart + std::chrono::hours(48); now += minutes(1)) {
    const auto decision = quarantine.Decide({kCrashing}, now, RunTrials);
    if (decision.verdict != Verdict::kTrial) continue;
    ++trials;
    Crash(quarantine, 100 + trials, {kCrashing}, now + seconds(1));
  }
  cr_expect_eq(trials, 3);
  cr_expect(IsRefused(quarantine, {kCrashing}, now));
}

// Guards against instances that forget since a caller sends many requests.
Test(crash_quarantine, other_requests_displace_no_evidence) {
  CrashQuarantine quarantine;
  Crash(quarantine, 1, {kCrashing, kSound}, kStart + seconds(1));
  Complete(quarantine, {kSound}, kStart + seconds(2));
  for (std::uint64_t i = 0; i < 100000; ++i)
    Complete(quarantine, {Request(1000 + i)}, kStart + seconds(2));
  CrashByRequest(quarantine, 3, 4, {kCrashing, kSound});
  cr_expect(IsRefused(quarantine, {kCrashing}));
  cr_expect_not(IsRefused(quarantine, {kSound}));
  for (int i = 100; i < 1000; ++i) {
    const auto number = static_cast<std::uint64_t>(i);
    Crash(quarantine, i, {Request(number)}, kStart + seconds(i));
  }
  cr_expect(IsRefused(quarantine, {kCrashing}, kStart + seconds(1001)));
}

// Guards against a verdict that is dropped for later ones, so that its request
// comes to servers again.
Test(crash_quarantine, a_quarantined_request_is_displaced_by_no_others) {
  CrashQuarantine quarantine;
  for (int i = 0; i < 90; ++i) {
    const auto request = static_cast<std::uint64_t>(i / 3);
    Crash(quarantine, i, {Request(request)}, kStart + seconds(i));
  }
  for (std::uint64_t request = 0; request < 30; ++request) {
    cr_expect(IsRefused(quarantine, {Request(request)}, kStart + seconds(91)),
              "request %d", static_cast<int>(request));
  }
}

// Guards against a caller that repeats so many requests in turn that crashes of
// one are forgotten before it comes again.
Test(crash_quarantine, many_requests_that_crash_servers_in_turn_are_refused) {
  CrashQuarantine quarantine;
  constexpr int kRequests = 100;
  int crashes = 0;
  for (int i = 0; i < 6 * kRequests; ++i) {
    const Suspects suspects{Request(static_cast<std::uint64_t>(i % kRequests))};
    const Time now = kStart + milliseconds(200 * i);
    if (IsRefused(quarantine, suspects, now)) continue;
    Crash(quarantine, i, suspects, now);
    ++crashes;
  }
  cr_expect_eq(crashes, 3 * kRequests);
}

// Guards against crashes that are forgotten since connections break.
Test(crash_quarantine, connections_that_break_displace_no_crash) {
  CrashQuarantine quarantine;
  CrashByRequest(quarantine, 1, 2);
  for (int i = 100; i < 200; ++i)
    quarantine.RecordBreakOff(Boot(i), {kSound}, kStart + seconds(2));
  for (int i = 100; i < 200; ++i) quarantine.DiscardCrash(Boot(i));
  CrashByRequest(quarantine, 3, 3);
  cr_expect(IsRefused(quarantine, {kCrashing}));
}

// Guards against an instance that refuses what another one's trial has shown to
// be sound, and against a request that is held for its old crashes.
Test(crash_quarantine, a_completed_trial_ends_a_quarantine_at_all_instances) {
  CrashQuarantine trier;
  CrashByRequest(trier, 1, 3);
  CrashQuarantine other;
  other.Merge(trier.Export());
  const Time trial = kStart + seconds(63);
  cr_assert(trier.Decide({kCrashing}, trial, RunTrials).verdict ==
            Verdict::kTrial);
  cr_expect(IsRefused(trier, {kCrashing}, trial + seconds(1)));
  Complete(trier, {kCrashing}, trial);
  other.Merge(trier.Export());
  for (auto* instance : {&trier, &other}) {
    cr_expect_not(IsRefused(*instance, {kCrashing}, trial + seconds(1)));
    cr_expect(instance->MayRetry({kCrashing}));
    for (int i = 100; i < 104; ++i)
      Crash(*instance, i, {kCrashing}, trial + seconds(i));
    cr_expect_not(IsRefused(*instance, {kCrashing}, trial + seconds(104)));
    Crash(*instance, 104, {kCrashing}, trial + seconds(104));
    cr_expect(IsRefused(*instance, {kCrashing}, trial + seconds(105)));
  }
}

// Guards against a prompt with long answers that is blamed for servers which
// end in turn: each answer that is complete was sent before the crashes.
Test(crash_quarantine, a_long_answer_completed_between_crashes_clears) {
  CrashQuarantine quarantine;
  for (int i = 1; i <= 10; ++i) {
    Crash(quarantine, i, {kSound}, kStart + seconds(i));
    quarantine.RecordCompletion({kSound}, kStart + seconds(i - 10),
                                kStart + seconds(i) + milliseconds(500));
  }
  cr_expect_not(IsRefused(quarantine, {kSound}, kStart + seconds(11)));
}

// Guards against trials at each instance, and against a trial that others take
// for the end of the quarantine while it runs.
Test(crash_quarantine, a_trial_under_way_admits_no_other_request) {
  CrashQuarantine quarantine;
  CrashByRequest(quarantine, 1, 3);
  const Time trial = kStart + seconds(63);
  cr_assert(quarantine.Decide({kCrashing}, trial, RunTrials).verdict ==
            Verdict::kTrial);
  for (int i = 0; i < 59; ++i) {
    const auto decision =
        quarantine.Decide({kCrashing}, trial + seconds(i), RunTrials);
    cr_expect(decision.verdict == Verdict::kRefuse);
    cr_expect_gt(decision.until_trial.count(), 0);
  }
}

Test(crash_quarantine, a_request_is_told_by_all_its_fields) {
  const SuspectId request = IdentifyRequest({"POST", "/a", "key", "body"});
  cr_expect(request == IdentifyRequest({"POST", "/a", "key", "body"}));
  cr_expect(request != IdentifyRequest({"POST", "/a", "key", "other"}));
  cr_expect(request != IdentifyRequest({"POST", "/ak", "ey", "body"}));
  cr_expect(request != IdentifyRequest({"POST", "/a", "key", "body", ""}));
}

Test(crash_quarantine, evidence_of_requests_survives_encoding) {
  CrashQuarantine sender;
  CrashByRequest(sender, 1, 3, {kCommon, kCrashing, kSound});
  Complete(sender, {kCommon, kSound}, kStart + seconds(4));
  const Time now = kStart + seconds(10);
  for (const auto& evidence : {sender.Export(), sender.ExportQuarantined()}) {
    CrashQuarantine receiver;
    receiver.Merge(
        DecodeCrashEvidence(EncodeCrashEvidence(evidence, now), now));
    cr_expect(IsRefused(receiver, {kCrashing}));
    cr_expect_not(IsRefused(receiver, {kCommon, kSound}));
  }
}

namespace {

constexpr Time kContact = seconds(3);

/// Sends the crashing request as a call would that may try `attempts` servers.
/// Each server crashes `kCrashAfter` after it has begun.
/// @return when servers crashed
std::vector<Time> SendCrashing(CrashQuarantine& quarantine, Time now,
                               int attempts, int& boots) {
  constexpr Time kCrashAfter = milliseconds(10);
  std::vector<Time> crashes;
  const auto verdict = quarantine.Decide({kCrashing}, now, RunTrials).verdict;
  if (verdict == Verdict::kRefuse) return crashes;
  std::vector<ServerBoot> pending;
  for (int i = 0; i < attempts; ++i) {
    if (i > 0 && !quarantine.MayRetry({kCrashing})) break;
    now += kCrashAfter;
    pending.push_back(Boot(++boots));
    quarantine.RecordBreakOff(pending.back(), {kCrashing}, now);
    crashes.push_back(now);
  }
  for (const auto& boot : pending) quarantine.ConfirmCrash(boot);
  return crashes;
}

}  // namespace

// Guards against BUDGET of issue 39 where each call ends several servers at
// once: their crashes count as one, so more calls are sent than are allowed.
Test(crash_quarantine, retries_that_crash_at_once_count_against_the_request) {
  for (const int attempts : {2, 3}) {
    CrashQuarantine quarantine;
    std::vector<Time> crashes;
    int boots = 0;
    for (Time now = kStart; now < kStart + std::chrono::hours(2);
         now += milliseconds(3500)) {
      for (const Time at : SendCrashing(quarantine, now, attempts, boots))
        crashes.push_back(at);
    }
    cr_assert_geq(crashes.size(), 3);
    const auto later = std::ranges::count_if(
        crashes, [&](const Time at) { return at > crashes[2] + kContact; });
    cr_expect_leq(later, 3, "%d attempts: %d later", attempts,
                  static_cast<int>(later));
  }
}

// Guards against a table full of evidence in use: the crashes of a further
// request, which explain nothing yet, displace each other, so that it is never
// held.
Test(crash_quarantine, many_quarantines_hide_no_further_crashing_request) {
  CrashQuarantine quarantine;
  constexpr int kRequests = 30;
  for (int request = 0; request < kRequests; ++request) {
    const auto number = 100 + static_cast<std::uint64_t>(request);
    for (int i = 0; i < 3; ++i) {
      const int boot = 3 * request + i;
      Crash(quarantine, boot, {Request(number)}, kStart + seconds(boot));
    }
  }
  const Time now = kStart + seconds(3 * kRequests);
  for (int request = 0; request < kRequests; ++request) {
    const auto number = 100 + static_cast<std::uint64_t>(request);
    cr_expect(IsRefused(quarantine, {Request(number)}, now), "request %d",
              request);
  }
}

// The same where the bound is reached: the oldest quarantine gives way.
Test(crash_quarantine, a_full_table_still_holds_the_latest_request) {
  CrashQuarantine quarantine;
  constexpr int kRequests = 300;
  for (int request = 0; request < kRequests; ++request) {
    const auto number = 100 + static_cast<std::uint64_t>(request);
    for (int i = 0; i < 3; ++i) {
      const int boot = 3 * request + i;
      Crash(quarantine, boot, {Request(number)}, kStart + seconds(boot));
    }
    cr_assert(IsRefused(quarantine, {Request(number)},
                        kStart + seconds(3 * request + 3)),
              "request %d", request);
  }
}

// Guards against a request that hides among the parts of its own prompt.
Test(crash_quarantine, a_request_with_many_harmless_parts_is_refused) {
  CrashQuarantine quarantine;
  Suspects suspects;
  for (std::uint64_t part = 0; part < 300; ++part)
    suspects.push_back(Part(1000 + part));
  const Suspects parts = suspects;
  suspects.push_back(kCrashing);
  for (int i = 1; i <= 12; ++i) {
    Crash(quarantine, i, suspects, kStart + seconds(i));
    Complete(quarantine, parts, kStart + seconds(i) + milliseconds(1));
  }
  cr_expect(IsRefused(quarantine, suspects, kStart + seconds(13)));
}

// Guards against a notice that is too large to be read where many servers with
// many requests are lost at once.
Test(crash_quarantine, a_notice_of_many_crashes_can_be_read) {
  CrashQuarantine sender;
  std::set<ServerBoot> boots;
  for (int i = 0; i < 64; ++i) {
    Suspects suspects;
    for (int j = 0; j < 256; ++j) {
      const std::uint64_t value =
          0xfedcba9800000000 + static_cast<std::uint64_t>(256 * i + j);
      suspects.push_back(Request(value));
    }
    Complete(sender, suspects, kStart);
    Crash(sender, i, suspects, kStart + seconds(1));
    boots.insert(Boot(i));
  }
  const Time now = kStart + seconds(2);
  const std::string text = EncodeCrashEvidence(sender.Export(boots), now);
  cr_expect_not(DecodeCrashEvidence(text, now).Empty(), "%zu bytes",
                text.size());
}

// Guards against a quarantine that ends by itself, since each exchange makes
// the last completed answer a little later.
Test(crash_quarantine, exchanges_do_not_move_a_completion_past_the_crashes) {
  CrashQuarantine first;
  CrashQuarantine second;
  Complete(first, {kCrashing}, kStart);
  CrashByRequest(first, 1, 5);
  Time now = kStart + seconds(6);
  const auto send = [&now](const CrashQuarantine& from, CrashQuarantine& to) {
    const std::string text = EncodeCrashEvidence(from.Export(), now);
    now += std::chrono::microseconds(300);  // on the way
    to.Merge(DecodeCrashEvidence(text, now));
  };
  int exchanges = 0;
  for (; exchanges < 3600; ++exchanges) {
    send(first, second);
    send(second, first);
    if (first.Active().empty()) break;
    now += seconds(1);
  }
  cr_expect_eq(exchanges, 3600, "it ended after %d", exchanges);
}
