#include "cowslipknot/gateway/stream_delay.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

constexpr Milliseconds kPace(30);

Route StreamRoute() {
  Route route;
  route.kind = RouteKind::kStream;
  route.latency_target = Milliseconds(600);
  route.max_event_gap = Milliseconds(600);
  return route;
}

/// A stream whose events are read and written at given times after its request.
class TimedStream {
 public:
  TimedStream() : m_meter(kStart) { m_meter.OnSent(kStart); }

  TimedStream& SentAt(Milliseconds at) {
    m_meter.OnSent(kStart + at);
    return *this;
  }
  TimedStream& EventsAt(Milliseconds at, std::uint64_t count = 1,
                        Milliseconds held = Milliseconds(0)) {
    m_meter.OnEvents(count, kStart + at);
    m_meter.OnWritten(kStart + at + held);
    return *this;
  }
  LateCause Cause() const {
    return FindLateCause(StreamRoute(), m_meter.Delays());
  }

 private:
  static constexpr StreamDelayMeter::Time kStart{};
  StreamDelayMeter m_meter;
};

}  // namespace

Test(stream_delay, a_stream_within_its_targets_has_no_cause) {
  TimedStream stream;
  for (int i = 1; i < 50; ++i) stream.EventsAt(i * kPace);
  cr_expect(stream.Cause() == LateCause::kNone);
  cr_expect(TimedStream().Cause() == LateCause::kNone);
}

Test(stream_delay, a_late_first_event_is_told_by_where_it_waited_longest) {
  TimedStream at_server;
  at_server.EventsAt(Milliseconds(700));
  cr_expect(at_server.Cause() == LateCause::kFirstEvent);
  StreamDelayMeter meter(StreamDelayMeter::Time{});
  meter.OnSent(StreamDelayMeter::Time(Milliseconds(650)));
  meter.OnEvents(1, StreamDelayMeter::Time(Milliseconds(700)));
  cr_expect(FindLateCause(StreamRoute(), meter.Delays()) ==
            LateCause::kBeforeSend);
}

Test(stream_delay, a_pause_that_ends_at_the_usual_pace_is_the_servers) {
  TimedStream stream;
  stream.EventsAt(Milliseconds(50)).EventsAt(Milliseconds(700));
  stream.EventsAt(Milliseconds(700) + kPace);
  cr_expect(stream.Cause() == LateCause::kServer);
}

Test(stream_delay,
     events_that_come_together_after_a_pause_were_held_by_a_link) {
  TimedStream at_once;
  at_once.EventsAt(Milliseconds(50)).EventsAt(Milliseconds(300), 8);
  cr_expect(at_once.Cause() == LateCause::kLink);
  TimedStream in_pieces;
  in_pieces.EventsAt(Milliseconds(50)).EventsAt(Milliseconds(700));
  in_pieces.EventsAt(Milliseconds(701)).EventsAt(Milliseconds(702));
  cr_expect(in_pieces.Cause() == LateCause::kLink);
}

Test(stream_delay, an_earlier_pause_of_the_server_survives_one_of_the_link) {
  TimedStream stream;
  stream.EventsAt(Milliseconds(50)).EventsAt(Milliseconds(700));
  stream.EventsAt(Milliseconds(730)).EventsAt(Milliseconds(850));
  stream.EventsAt(Milliseconds(851));
  cr_expect(stream.Cause() == LateCause::kServer);
}

Test(stream_delay, an_event_whose_write_takes_long_is_held) {
  TimedStream stream;
  stream.EventsAt(Milliseconds(50), 1, Milliseconds(250));
  stream.EventsAt(Milliseconds(310), 9);
  cr_expect(stream.Cause() == LateCause::kHeld);
}

Test(stream_delay, a_pause_between_two_attempts_is_that_of_the_resume) {
  TimedStream stream;
  stream.EventsAt(Milliseconds(50)).SentAt(Milliseconds(500));
  stream.EventsAt(Milliseconds(800), 9);
  cr_expect(stream.Cause() == LateCause::kResume);
}
