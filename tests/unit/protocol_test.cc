#include <rapidcheck.h>

#include <algorithm>

#include "base/trace.h"
#include "cowslipknot/state/claim.h"
#include "protocol/model_api.h"
#include "protocol/peer_frame.h"
#include "unit_test.h"

using namespace cowslipknot;

namespace {

constexpr std::size_t kFrameAlignment = 8;  ///< of a frame's end, in bytes

}  // namespace

Test(sse, events_do_not_depend_on_how_bytes_are_split) {
  std::string text;
  for (int i = 0; i < 20; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: {\"n\":" + std::to_string(i) +
            "}\n\n";
  }
  cr_assert(rc::check([&text] {
    SseParser parser;
    std::vector<SseEvent> events;
    std::size_t offset = 0;
    while (offset < text.size()) {
      const auto size = static_cast<std::size_t>(*rc::gen::inRange(1, 40));
      const auto part =
          parser.Feed(std::string_view(text).substr(offset, size));
      RC_ASSERT(part.has_value());
      events.insert(events.end(), part->begin(), part->end());
      offset += size;
    }
    RC_ASSERT(events.size() == 20u);
    RC_ASSERT(events[19].id == "19");
  }));
}

Test(sse, an_event_without_end_is_an_error) {
  SseParser parser;
  const std::string piece(1 << 18, 'x');
  bool failed = false;
  for (int i = 0; i < 8; ++i) failed = failed || !parser.Feed(piece);
  cr_expect(failed);
}

Test(model_api, malformed_requests_return_their_result_code) {
  for (const auto* body : {"", "[]", "{}", "{\"model\":1}", "{\"model\":\"m\"}",
                           "{\"model\":\"m\",\"prompt\":3}",
                           R"({"model":"m","prompt":"x","stream":"yes"})"}) {
    const auto parsed = ParseModelRequest("/v1/completions", body);
    cr_assert_not(parsed.has_value(), "%s", body);
    cr_expect(parsed.error().code == ResultCode::kMalformedRequest);
  }
}

Test(model_api, random_bodies_never_crash_the_parser) {
  cr_assert(rc::check([] {
    const auto body = *rc::gen::arbitrary<std::string>();
    ParseModelRequest("/v1/chat/completions", body);
    ParseEngineEvent({"", body});
  }));
}

Test(model_api, an_engine_error_event_is_an_error) {
  cr_expect_not(ParseEngineEvent({"", "{\"error\":{\"m\":1}}"}).has_value());
  cr_expect(ParseEngineEvent({"", "[DONE]"})->done);
}

Test(peer_frame, round_trips_through_its_encoding) {
  PeerFrame frame;
  frame.token = "secret-token";
  frame.sender = "n1";
  AddRecords(frame, {{"k", 3, "payload"}});
  const auto decoded = DecodeFrame(EncodeFrame(frame), "secret-token");
  cr_assert(decoded.has_value());
  cr_expect_eq(ExtractRecords(*decoded).front().version, 3u);
}

Test(peer_frame, truncated_random_and_unauthenticated_frames_are_rejected) {
  PeerFrame frame;
  frame.token = "secret-token";
  AddRecords(frame, {{"k", 3, "payload"}});
  const FrameBytes good = EncodeFrame(frame);
  for (std::size_t size = 0; size < good.size(); ++size) {
    const FrameBytes bytes(good.begin(),
                           good.begin() + static_cast<std::ptrdiff_t>(size));
    const auto truncated = DecodeFrame(bytes, "secret-token");
    if (!truncated) continue;
    // Only zeros that align the end may be missing.
    cr_expect(good.size() - size < kFrameAlignment);
    cr_expect(std::all_of(good.begin() + static_cast<std::ptrdiff_t>(size),
                          good.end(), [](auto byte) { return byte == 0; }));
    cr_expect(EncodeFrame(*truncated) == good);
  }
  cr_assert(rc::check([] {
    const auto noise = *rc::gen::arbitrary<FrameBytes>();
    RC_ASSERT(!DecodeFrame(noise, "secret-token").has_value());
  }));
  cr_expect_not(DecodeFrame(good, "other-token").has_value());
}

Test(claim, only_the_attempt_whose_token_is_in_the_row_may_run) {
  Claim own;
  own.token = "t1";
  own.fingerprint = "f";
  Claim stored = own;
  cr_expect(DecideClaim(stored, own) == ClaimDecision::kRun);
  stored.token = "t2";
  cr_expect(DecideClaim(stored, own) == ClaimDecision::kWait);
  stored.state = ClaimState::kOutcomeUnknown;
  cr_expect(DecideClaim(stored, own) == ClaimDecision::kOutcomeUnknown);
  stored.state = ClaimState::kDone;
  cr_expect(DecideClaim(stored, own) == ClaimDecision::kReplay);
  stored.fingerprint = "g";
  cr_expect(DecideClaim(stored, own) == ClaimDecision::kKeyReused);
}

Test(claim, malformed_rows_are_rejected) {
  cr_expect_not(DecodeClaim("k", "").has_value());
  cr_expect_not(DecodeClaim("k", "{\"state\":9}").has_value());
}

Test(trace, malformed_parents_start_a_new_trace) {
  cr_expect(ParseTraceparent("").trace_id.empty());
  cr_expect(ParseTraceparent(std::string(55, 'z')).trace_id.empty());
  const std::string good =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  cr_expect_eq(FormatTraceparent(ParseTraceparent(good)), good);
}
