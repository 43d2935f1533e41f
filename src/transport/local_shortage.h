#pragma once

#include <string>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "transport/asio.h"

/// Connections that fail for lack of a resource of this process or machine,
/// which says nothing about the peer.
namespace cowslipknot {

bool IsLocalShortage(const error_code& error);

/// Logs, at a bounded rate, that a connection could not be opened.
void LogDescriptorsExhausted(const Endpoint& peer, const std::string& reason);

/// Logs the same and returns the error of a call that was not sent.
tl::unexpected<Error> FailForShortage(const Endpoint& peer,
                                      const std::string& reason);

}  // namespace cowslipknot
