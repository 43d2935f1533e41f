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
