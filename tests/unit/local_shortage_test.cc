#include "transport/local_shortage.h"

#include "base/log_interval.h"
#include "unit_test.h"

using namespace cowslipknot;

Test(log_interval, one_line_a_second_passes_with_the_number_of_the_others) {
  LogInterval interval;
  const LogInterval::Time start{};
  cr_expect_eq(interval.Admit(start).value_or(9), 0);
  cr_expect_not(interval.Admit(start + Milliseconds(1)).has_value());
  cr_expect_not(interval.Admit(start + Milliseconds(999)).has_value());
  cr_expect_eq(interval.Admit(start + Milliseconds(1000)).value_or(9), 2);
  cr_expect_eq(interval.Admit(start + Milliseconds(2000)).value_or(9), 0);
}

Test(local_shortage, says_nothing_about_the_peer) {
  cr_expect(IsLocalShortage(asio::error::no_descriptors));
  cr_expect(IsLocalShortage(asio::error::no_buffer_space));
  cr_expect(IsLocalShortage(
      make_error_code(boost::system::errc::too_many_files_open_in_system)));
  cr_expect(IsLocalShortage(
      make_error_code(boost::system::errc::address_not_available)));
  cr_expect_not(IsLocalShortage(asio::error::connection_refused));
  cr_expect_not(IsLocalShortage(beast::error::timeout));
  cr_expect_not(IsLocalShortage(error_code()));
}
