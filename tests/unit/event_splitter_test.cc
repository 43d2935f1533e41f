#include "protocol/event_splitter.h"

#include <rapidcheck.h>

#include "unit_test.h"

using namespace cowslipknot;

Test(event_splitter,
     a_partial_event_is_held_back_and_discarded_before_a_resume) {
  EventSplitter splitter;
  cr_expect_eq(splitter.Feed("id: 4\ndata: x\n\nid: 5\nda"),
               "id: 4\ndata: x\n\n");
  cr_expect_eq(splitter.LastId().value_or(0), 4u);
  splitter.DiscardPartialEvent();
  cr_expect_eq(splitter.Feed("id: 5\ndata: y\n\n"), "id: 5\ndata: y\n\n");
  cr_expect_eq(splitter.LastId().value_or(0), 5u);
  cr_expect(splitter.PartialEvent().empty());
}

Test(event_splitter, no_part_of_an_event_without_end_is_passed_on) {
  EventSplitter splitter;
  const std::string piece(1 << 10, 'x');
  for (std::size_t i = 0; i <= EventSplitter::kMaxEventBytes / piece.size();
       ++i) {
    cr_assert(splitter.Feed(piece).empty());
  }
  cr_expect(splitter.IsOverlong());
  splitter.DiscardPartialEvent();
  cr_expect_not(splitter.IsOverlong());
}

// Guards against pieces of a resumed stream that come twice or are missing.
Test(event_splitter,
     another_source_goes_on_at_the_successor_of_the_last_event) {
  for (const char* id : {"1", "3", "4", "6", "99"}) {
    EventSplitter splitter;
    splitter.ResumeAfter(3);
    cr_expect_eq(splitter.Feed("id: 4\n\n"), "id: 4\n\n");
    splitter.DiscardPartialEvent();
    const std::string next = std::string("id: ") + id + "\ndata: x\n\n";
    cr_expect_eq(splitter.Feed(next + "id: 5\n\n"), "");
    cr_expect(splitter.IsOutOfOrder());
    cr_expect_eq(splitter.LastId().value_or(0), 4u);
    cr_expect(splitter.PartialEvent().empty());
    splitter.DiscardPartialEvent();
    cr_expect_eq(splitter.Feed("id: 5\n\n"), "id: 5\n\n");
    cr_expect_not(splitter.IsOutOfOrder());
  }
}

// Guards against pieces that one source sends twice, whatever its first ids
// were.
Test(event_splitter, ids_of_one_source_increase) {
  for (const char* begin : {"id: 4\n\n", "id: 2\n\nid: 4\n\n"}) {
    for (const char* id : {"1", "3", "4"}) {
      EventSplitter splitter;
      const std::string next = std::string("id: ") + id + "\ndata: x\n\n";
      cr_expect_eq(splitter.Feed(begin + next + "id: 5\n\n"), begin);
      cr_expect(splitter.IsOutOfOrder());
      cr_expect_eq(splitter.LastId().value_or(0), 4u);
      splitter.DiscardPartialEvent();
      cr_expect_eq(splitter.Feed("id: 5\n\n"), "id: 5\n\n");
    }
  }
}

Test(event_splitter,
     a_stream_may_begin_at_any_event_and_hold_events_without_id) {
  EventSplitter splitter;
  const std::string text = "data: a\n\nid: 7\n\n: note\n\nid: 8\n\n";
  cr_expect_eq(splitter.Feed(text), text);
  cr_expect_not(splitter.IsOutOfOrder());
}

// Guards against cutting sound streams whose ids increase by more than one.
Test(event_splitter, ids_may_increase_in_larger_steps) {
  EventSplitter splitter;
  const std::string text = "id: 1\n\nid: 2\n\nid: 5\n\nid: 20\n\n";
  cr_expect_eq(splitter.Feed(text), text);
  cr_expect_not(splitter.IsOutOfOrder());
  cr_expect_eq(splitter.Feed("id: 20\n\n"), "");
  cr_expect(splitter.IsOutOfOrder());
  splitter.DiscardPartialEvent();
  cr_expect_eq(splitter.Feed("id: 25\n\n"), "id: 25\n\n");
}

Test(event_splitter, events_do_not_depend_on_how_bytes_are_split) {
  cr_assert(rc::check([] {
    const std::string text =
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: "
        "c\n\n";
    EventSplitter splitter;
    std::string joined;
    std::size_t offset = 0;
    while (offset < text.size()) {
      const auto chunk_size = *rc::gen::inRange<std::size_t>(1, 9);
      joined +=
          splitter.Feed(std::string_view(text).substr(offset, chunk_size));
      offset += chunk_size;
    }
    RC_ASSERT(joined == text);
    RC_ASSERT(splitter.EventCount() == 4u);
    RC_ASSERT(splitter.FieldEventCount() == 3u);
    RC_ASSERT(splitter.LastId().value_or(0) == 3u);
  }));
}
