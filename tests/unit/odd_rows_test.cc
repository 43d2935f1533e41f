#include <rapidcheck.h>

#include "coordination/move_controller.h"
#include "cowslipknot/coordination/crash_quarantine.h"
#include "cowslipknot/coordination/lease.h"
#include "cowslipknot/gateway/usage.h"
#include "cowslipknot/gateway/version_move.h"
#include "serve/row_log_filter.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

const char kReport[] =
    R"({"node":"n","domain":"d","peers":"127.0.0.1:80","started":1,)"
    R"("sequence":2,"as_of_ms":3,"revision":4,"stopping":false,)"
    R"("demand":{"w":5},"busy":{"s":1.5},"usage":{"6":{"w":7}}})";
const char kMove[] =
    R"({"service":"s","to":"v2","duration_ms":1000,"revision":3,"phase":1,)"
    R"("share":0.5,"started_ms":5,"full_since_ms":6,"reason":""})";
const char kPrompts[] =
    R"({"crashes":[{"server":"s","started":1,"age_ms":2,"parts":["3"]}],)"
    R"("completions":{"4":5}})";
const char kLease[] = R"({"holder":"n","epoch":3,"renewal":4})";
const char kEvidence[] = R"({"m@1":{"r":[9,1,9,1,9,1,9,1,5,5]}})";

const std::vector<std::string> kNumbersOutOfRange = {
    "1e308", "-1e308", "1e999", "-5",  "18446744073709551616",
    "[1]",   "null",   "\"1\"", "true"};

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  const std::size_t found = text.find(from);
  cr_assert_neq(found, std::string::npos);
  return text.replace(found, from.size(), to);
}

}  // namespace

// Guards against a report of another writer whose numbers make sums and
// conversions overflow at every instance that reads it.
Test(odd_rows, a_report_with_a_number_out_of_range_is_rejected) {
  cr_assert(DecodeReport(kReport).has_value());
  for (const std::string field :
       {"\"as_of_ms\":3", "\"demand\":{\"w\":5", "\"busy\":{\"s\":1.5",
        "\"usage\":{\"6\":{\"w\":7"}) {
    const std::string name = field.substr(0, field.rfind(':') + 1);
    for (const std::string& number : kNumbersOutOfRange) {
      cr_expect_not(
          DecodeReport(Replaced(kReport, field, name + number)).has_value(),
          "%s%s", name.c_str(), number.c_str());
    }
  }
  for (const std::string window :
       {"-1", " 6", "6x", "", "99999999999999999999"})
    cr_expect_not(DecodeReport(Replaced(kReport, "\"6\"", "\"" + window + "\""))
                      .has_value());
  const auto report = DecodeReport(Replaced(kReport, ":80", ":0"));
  cr_assert(report.has_value());
  cr_expect_not(report->peers.has_value(), "no instance listens on port 0");
}

// Guards against a report that its own reader rejects, or that can't be
// encoded.
Test(odd_rows, a_report_with_extreme_demand_can_be_read) {
  InstanceReport report = *DecodeReport(kReport);
  report.demand[WorkspaceId("w")] = 1e300;
  report.busy[ServiceId("s")] = 1e300;
  cr_expect(DecodeReport(EncodeReport(report)).has_value());
}

Test(odd_rows, a_move_with_a_number_out_of_range_is_rejected) {
  cr_assert(DecodeMove(kMove).has_value());
  for (const std::string field :
       {"\"duration_ms\":1000", "\"revision\":3", "\"phase\":1",
        "\"share\":0.5", "\"started_ms\":5", "\"full_since_ms\":6"}) {
    const std::string name = field.substr(0, field.rfind(':') + 1);
    for (const std::string& number : kNumbersOutOfRange) {
      cr_expect_not(
          DecodeMove(Replaced(kMove, field, name + number)).has_value(), "%s%s",
          name.c_str(), number.c_str());
    }
  }
}

Test(odd_rows, ages_of_prompt_evidence_stay_in_range) {
  constexpr std::chrono::hours kNow{1};
  cr_assert_eq(DecodeCrashEvidence(kPrompts, kNow).crashes.size(), 1u);
  for (const std::string age :
       {"9223372036854775807", "-9223372036854775808"}) {
    const auto evidence = DecodeCrashEvidence(
        Replaced(kPrompts, "\"age_ms\":2", "\"age_ms\":" + age), kNow);
    cr_assert_eq(evidence.crashes.size(), 1u);
    cr_expect(evidence.crashes[0].at.count() > 0);
    cr_expect(evidence.crashes[0].at <= kNow);
  }
  for (const std::string age : {"1e308", "null", "[]"}) {
    cr_expect(DecodeCrashEvidence(
                  Replaced(kPrompts, "\"age_ms\":2", "\"age_ms\":" + age), kNow)
                  .crashes.empty());
  }
}

// Guards against a row of another writer that ends the process.
Test(odd_rows, mutated_rows_never_crash_the_decoders) {
  const std::vector<std::string> pieces = {
      "1e308", "-1e308", "1e999", "-1",    "18446744073709551616",
      "9e18",  "null",   "true",  "[]",    "{}",
      "\"\"",  "[[[[",   "\xff",  "\"1\"", "9223372036854775807"};
  cr_assert(rc::check([&pieces](std::size_t at, std::size_t length,
                                std::size_t piece, bool is_number) {
    for (const std::string document :
         {kReport, kMove, kPrompts, kLease, kEvidence}) {
      std::string mutated = document;
      std::size_t from = at % document.size();
      std::size_t count = length % 20;
      if (is_number) {
        from = document.find_first_of("0123456789", from);
        if (from == std::string::npos) from = document.size();
        const std::size_t end = document.find_first_not_of("0123456789", from);
        count = end == std::string::npos ? 0 : end - from;
      }
      mutated.replace(from, count, pieces[piece % pieces.size()]);
      if (const auto report = DecodeReport(mutated)) EncodeReport(*report);
      if (const auto move = DecodeMove(mutated)) EncodeMove(*move);
      DecodeCounts(mutated);
      DecodeCrashEvidence(mutated, std::chrono::hours(1));
      DecodeLease(mutated);
      DecodeEvidence(mutated);
    }
  }));
}

Test(row_log_filter, a_row_is_logged_once_in_a_while_and_few_rows_at_all) {
  RowLogFilter filter;
  cr_expect(filter.ShouldLog("a", std::chrono::seconds(1)));
  cr_expect_not(filter.ShouldLog("a", std::chrono::seconds(10)));
  cr_expect(filter.ShouldLog("b", std::chrono::seconds(10)));
  cr_expect(filter.ShouldLog("a", std::chrono::seconds(11)));
  int logged = 0;
  for (int i = 0; i < 1000; ++i)
    logged += filter.ShouldLog(std::to_string(i), std::chrono::seconds(12));
  cr_expect_lt(logged, 100);
}
