#include "transport/local_shortage.h"

#include "base/log_interval.h"
#include "cowslipknot/events.h"
#include "transport/endpoint.h"

namespace cowslipknot {

bool IsLocalShortage(const error_code& error) {
  namespace errc = boost::system::errc;
  return error == errc::too_many_files_open ||
         error == errc::too_many_files_open_in_system ||
         error == errc::no_buffer_space || error == errc::not_enough_memory ||
         error == errc::address_not_available;
}

void LogDescriptorsExhausted(const Endpoint& peer, const std::string& reason) {
  thread_local LogInterval interval;
  const auto held_back = interval.Admit(std::chrono::steady_clock::now());
  if (!held_back) return;
  LogEvent(Event::kDescriptorsExhausted,
           {{"address", FormatEndpoint(peer)},
            {"detail", reason},
            {"lines_held_back", std::to_string(*held_back)}});
}

tl::unexpected<Error> FailForShortage(const Endpoint& peer,
                                      const std::string& reason) {
  LogDescriptorsExhausted(peer, reason);
  return Fail(ResultCode::kDescriptorsExhausted,
              FormatEndpoint(peer) + ": " + reason);
}

}  // namespace cowslipknot
