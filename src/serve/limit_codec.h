#pragma once

#include <memory>

#include "cowslipknot/coordination/server_limit.h"
#include "cowslipknot/result.h"
#include "protocol/peer_frame.h"

/// Packs statements of servers' limits into frames.
namespace cowslipknot {

struct ReceivedLimit {
  ServerBoot start;
  LimitStatement statement;
  LimitStatement::Time cold_until{0};  ///< zero if the server is warm
};

/// Times become ages and times left, since instances share no clock.
std::unique_ptr<wire::LimitStatementT> PackLimit(
    const ServerBoot& start, const LimitStatement& statement,
    LimitStatement::Time now, LimitStatement::Time cold_until = {});

/// @return kBadFrame if a value is out of range
Result<ReceivedLimit> UnpackLimit(const wire::LimitStatementT& packed,
                                  LimitStatement::Time now);

}  // namespace cowslipknot
