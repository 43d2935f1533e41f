#include "cowslipknot/gateway/prompt_quarantine.h"

#include <rapidcheck.h>

#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

using Time = PromptQuarantine::Time;
using Verdict = PromptQuarantine::Verdict;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Time kStart = seconds(100);
constexpr std::uint64_t kCommon = 1;  ///< first part of all prompts of a route
constexpr std::uint64_t kBad = 2;     ///< crashes servers
constexpr std::uint64_t kOther = 3;

ServerBoot Boot(int number) {
  return {ServerId("s" + std::to_string(number)), number};
}

bool NoTrials(const Quarantine&) { return false; }
bool RunTrials(const Quarantine&) { return true; }

void Crash(PromptQuarantine& quarantine, int server, const SharedParts& parts,
           Time at) {
  quarantine.RecordBreakOff(Boot(server), parts, at);
  quarantine.ConfirmCrash(Boot(server));
}

/// Crashes one second apart by the bad part, the last one at kStart + `count`
/// seconds.
void CrashTimes(PromptQuarantine& quarantine, int count) {
  for (int i = 1; i <= count; ++i)
    Crash(quarantine, i, {kCommon, kBad}, kStart + seconds(i));
}

bool IsRefused(PromptQuarantine& quarantine, const SharedParts& parts,
               Time now = kStart + seconds(10)) {
  return quarantine.Decide(parts, now, NoTrials).verdict == Verdict::kRefuse;
}

}  // namespace

// Guards against servers that crash one after the other: nothing connected
// their crashes with the prompts that they were answering.
Test(prompt_quarantine, a_part_that_three_crashes_share_is_refused) {
  PromptQuarantine quarantine;
  quarantine.RecordCompletion({kCommon, kOther}, kStart);
  CrashTimes(quarantine, 2);
  cr_expect_not(IsRefused(quarantine, {kCommon, kBad}));
  CrashTimes(quarantine, 3);
  cr_expect(IsRefused(quarantine, {kCommon, kBad}));
  cr_expect(IsRefused(quarantine, {kOther, kBad}));
  cr_expect_not(IsRefused(quarantine, {kCommon, kOther}));
  cr_expect_not(IsRefused(quarantine, {kCommon}));
}

Test(prompt_quarantine, parts_that_no_answer_tells_apart_are_refused_together) {
  PromptQuarantine quarantine;
  CrashTimes(quarantine, 3);
  cr_expect(IsRefused(quarantine, {kCommon, kBad}));
  cr_expect_not(IsRefused(quarantine, {kCommon, kOther}));
  quarantine.RecordCompletion({kCommon}, kStart + seconds(4));
  cr_expect(IsRefused(quarantine, {kOther, kBad}));
}

Test(prompt_quarantine, requests_that_ran_beside_the_cause_are_not_refused) {
  PromptQuarantine quarantine;
  for (int i = 1; i <= 12; ++i) {
    Crash(quarantine, i, {kCommon, kBad}, kStart + seconds(i));
    Crash(quarantine, i, {kCommon, kOther}, kStart + seconds(i));
  }
  quarantine.RecordCompletion({kCommon, kOther}, kStart + seconds(2));
  cr_expect(IsRefused(quarantine, {kCommon, kBad}, kStart + seconds(13)));
  cr_expect_not(IsRefused(quarantine, {kCommon, kOther}, kStart + seconds(13)));
}

Test(prompt_quarantine, servers_that_crash_together_condemn_no_common_part) {
  PromptQuarantine quarantine;
  quarantine.RecordCompletion({kCommon}, kStart);
  for (int i = 1; i <= 20; ++i)
    Crash(quarantine, i, {kCommon, kOther}, kStart + milliseconds(5 * i));
  cr_expect_not(IsRefused(quarantine, {kCommon, kOther}));
}

// Guards against a series of crashes so fast that most of them are not counted.
Test(prompt_quarantine, a_fast_series_of_crashes_counts_in_full) {
  PromptQuarantine quarantine;
  quarantine.RecordCompletion({kCommon}, kStart);
  for (int i = 1; i <= 3; ++i)
    Crash(quarantine, i, {kCommon, kBad}, kStart + milliseconds(70 * i));
  cr_expect(IsRefused(quarantine, {kCommon, kBad}));
  cr_expect_not(IsRefused(quarantine, {kCommon}));
}

Test(prompt_quarantine, new_parts_at_servers_lost_together_are_not_refused) {
  PromptQuarantine quarantine;
  for (int i = 1; i <= 6; ++i)
    Crash(quarantine, i, {kCommon, kOther}, kStart + milliseconds(5 * i));
  cr_expect_not(IsRefused(quarantine, {kCommon, kOther}));
}

Test(prompt_quarantine, connections_that_break_without_a_crash_do_not_count) {
  PromptQuarantine quarantine;
  for (int i = 1; i <= 20; ++i) {
    quarantine.RecordBreakOff(Boot(i), {kCommon, kBad}, kStart + seconds(i));
    quarantine.DiscardCrash(Boot(i));
  }
  cr_expect_not(IsRefused(quarantine, {kCommon, kBad}, kStart + seconds(30)));
  cr_expect(quarantine.MayRetry({kCommon, kBad}));
}

Test(prompt_quarantine, a_part_that_was_harmless_before_is_refused_later) {
  PromptQuarantine quarantine;
  quarantine.RecordCompletion({kCommon, kBad}, kStart);
  CrashTimes(quarantine, 4);
  quarantine.RecordCompletion({kCommon}, kStart + seconds(4));
  cr_expect_not(IsRefused(quarantine, {kCommon, kBad}));
  CrashTimes(quarantine, 5);
  quarantine.RecordCompletion({kCommon}, kStart + seconds(5));
  cr_expect(IsRefused(quarantine, {kCommon, kBad}));
  cr_expect_not(IsRefused(quarantine, {kCommon}));
}

Test(prompt_quarantine, a_request_that_crashed_two_servers_is_not_retried) {
  PromptQuarantine quarantine;
  quarantine.RecordCompletion({kCommon}, kStart);
  quarantine.RecordBreakOff(Boot(1), {kCommon, kBad}, kStart + seconds(1));
  cr_expect(quarantine.MayRetry({kCommon, kBad}));
  quarantine.RecordBreakOff(Boot(2), {kCommon, kBad}, kStart + seconds(2));
  cr_expect_not(quarantine.MayRetry({kCommon, kBad}));
  cr_expect(quarantine.MayRetry({kCommon, kOther}));
}

Test(prompt_quarantine, a_waiting_request_is_not_sent_after_the_verdict) {
  PromptQuarantine quarantine;
  quarantine.RecordCompletion({kCommon, kBad}, kStart);
  CrashTimes(quarantine, 5);
  quarantine.RecordCompletion({kCommon}, kStart + seconds(5));
  cr_expect_not(quarantine.MayRetry({kCommon, kBad}));
  cr_expect(quarantine.MayRetry({kCommon, kOther}));
}

Test(prompt_quarantine, one_trial_follows_each_growing_delay) {
  PromptQuarantine quarantine;
  CrashTimes(quarantine, 3);
  const SharedParts parts{kCommon, kBad};
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
  quarantine.RecordCompletion(parts, second_crash + seconds(120));
  cr_expect(verdict(second_crash + seconds(121)) == Verdict::kSend);
  cr_expect(quarantine.Active().empty());
}

Test(prompt_quarantine, an_instance_that_runs_no_trials_refuses) {
  PromptQuarantine quarantine;
  CrashTimes(quarantine, 3);
  const auto decision =
      quarantine.Decide({kCommon, kBad}, kStart + minutes(10), NoTrials);
  cr_expect(decision.verdict == Verdict::kRefuse);
  cr_expect_gt(decision.until_trial.count(), 0);
}

// Guards against instances that each see too few crashes for a verdict.
Test(prompt_quarantine, instances_share_their_evidence) {
  std::vector<PromptQuarantine> instances(3);
  for (int i = 0; i < 3; ++i)
    Crash(instances[i], i, {kCommon, kBad}, kStart + seconds(i));
  instances[0].RecordCompletion({kCommon}, kStart + seconds(2));
  for (const auto& sender : instances) {
    for (auto& receiver : instances) receiver.Merge(sender.Export());
  }
  for (auto& instance : instances) {
    cr_expect(IsRefused(instance, {kOther, kBad}));
    cr_expect_not(IsRefused(instance, {kCommon, kOther}));
  }
}

Test(prompt_quarantine, evidence_survives_encoding) {
  PromptQuarantine sender;
  CrashTimes(sender, 3);
  sender.RecordCompletion({kCommon}, kStart + seconds(3));
  const Time now = kStart + seconds(10);
  const std::string text = EncodePromptEvidence(sender.Export(), now);
  const Time other_clock = seconds(5000);
  PromptQuarantine receiver;
  receiver.Merge(DecodePromptEvidence(text, other_clock));
  cr_expect(IsRefused(receiver, {kOther, kBad}, other_clock));
  cr_expect_not(IsRefused(receiver, {kCommon}, other_clock));
  cr_expect(EncodePromptEvidence(receiver.Export(), other_clock) == text);
}

Test(prompt_quarantine, unreadable_evidence_is_ignored) {
  for (const char* text :
       {"", "{", "[]", "{\"crashes\":[{}],\"completions\":{}}",
        "{\"crashes\":[],\"completions\":{\"x\":1}}"}) {
    cr_expect(DecodePromptEvidence(text, kStart).Empty(), "%s", text);
  }
}

Test(prompt_quarantine, merging_twice_or_in_any_order_changes_nothing) {
  const bool holds = rc::check([] {
    std::vector<PromptEvidence> pieces;
    const int count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i) {
      PromptEvidence piece;
      piece.crashes.push_back({Boot(*rc::gen::inRange(0, 5)),
                               kStart + seconds(*rc::gen::inRange(0, 20)),
                               {*rc::gen::inRange<std::uint64_t>(1, 5), kBad}});
      piece.completions[*rc::gen::inRange<std::uint64_t>(1, 5)] =
          kStart + seconds(*rc::gen::inRange(0, 20));
      pieces.push_back(piece);
    }
    PromptQuarantine forward;
    PromptQuarantine backward;
    for (const auto& piece : pieces) forward.Merge(piece);
    for (const auto& piece : pieces) forward.Merge(piece);
    for (auto piece = pieces.rbegin(); piece != pieces.rend(); ++piece)
      backward.Merge(*piece);
    const Time now = kStart + seconds(30);
    RC_ASSERT(EncodePromptEvidence(forward.Export(), now) ==
              EncodePromptEvidence(backward.Export(), now));
    RC_ASSERT(forward.Active().size() == backward.Active().size());
  });
  cr_expect(holds);
}

Test(prompt_quarantine, memory_is_bounded) {
  PromptQuarantine quarantine;
  for (int i = 0; i < 1000; ++i) {
    SharedParts parts;
    for (std::uint64_t part = 0; part < 300; ++part)
      parts.push_back(1000 + 1000 * static_cast<std::uint64_t>(i) + part);
    Crash(quarantine, i, parts, kStart + seconds(i));
  }
  const auto evidence = quarantine.Export();
  cr_expect_leq(evidence.crashes.size(), 64);
  for (const auto& crash : evidence.crashes)
    cr_expect_leq(crash.parts.size(), 256);
}
