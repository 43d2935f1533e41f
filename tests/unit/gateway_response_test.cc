#include "cowslipknot/gateway/response_use.h"
#include "unit_test.h"

using namespace cowslipknot::gateway;

// Guards against taking a repeated refusal of an earlier request for the answer
// to the request that waits on the connection.
Test(response_use, a_response_without_an_id_answers_only_the_first_request) {
  cr_expect(IsOwnResponse(ResponseId::kAbsent, false));
  cr_expect(!IsOwnResponse(ResponseId::kAbsent, true));
}

Test(response_use, a_response_answers_the_request_that_it_names) {
  for (const bool reused : {false, true}) {
    cr_expect(IsOwnResponse(ResponseId::kOwn, reused));
    cr_expect(!IsOwnResponse(ResponseId::kOther, reused));
  }
}

// Guards against a failure response of the next server in a caller's stream.
Test(response_use, only_events_follow_in_a_stream_that_has_begun) {
  for (const unsigned status : {200U, 204U, 400U, 404U, 410U, 500U, 504U}) {
    for (const bool is_signed : {false, true}) {
      for (const bool may_hold_events : {false, true}) {
        const auto use = ClassifyResponse(
            {status, is_signed, false, may_hold_events}, {true, true});
        const bool has_events = status == 200 && is_signed && may_hold_events;
        cr_expect(use ==
                  (has_events ? ResponseUse::kEvents : ResponseUse::kUnusable));
      }
    }
  }
}

Test(response_use, a_signed_response_without_events_is_forwarded_whole) {
  for (const unsigned status : {200U, 204U, 404U, 500U}) {
    cr_expect(ClassifyResponse({status, true, false, true}, {false, false}) ==
              ResponseUse::kWhole);
  }
  cr_expect(ClassifyResponse({404, true, false, true}, {true, false}) ==
            ResponseUse::kWhole);
  cr_expect(ClassifyResponse({200, true, false, true}, {true, false}) ==
            ResponseUse::kEvents);
}

Test(response_use, an_unsigned_response_is_a_refusal_or_unusable) {
  for (const bool is_stream : {false, true}) {
    for (const unsigned status : {200U, 400U, 421U, 500U, 503U}) {
      cr_expect(ClassifyResponse({status, false, true, true},
                                 {is_stream, false}) == ResponseUse::kRefusal);
      cr_expect(ClassifyResponse({status, false, false, true},
                                 {is_stream, false}) == ResponseUse::kUnusable);
    }
  }
}

// Guards against callers that repeat a request which a server ran.
Test(response_use, a_promise_that_the_server_did_not_make_is_not_forwarded) {
  for (const unsigned status : {408U, 421U, 429U, 503U}) {
    cr_expect(
        ClassifyResponse({status, true, false, true}, {false, false, false}) ==
        ResponseUse::kUnusable);
    cr_expect(ClassifyResponse({status, true, false, true},
                               {false, false, true}) == ResponseUse::kWhole);
    cr_expect(ClassifyResponse({status, true, true, true},
                               {false, false, false}) == ResponseUse::kRefusal);
  }
}
