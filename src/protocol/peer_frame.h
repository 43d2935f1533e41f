#pragma once

#include <memory>
#include <string>

#include "cowslipknot/result.h"
#include "cowslipknot/state/record_set.h"
#include "protocol/generated/peer_generated.h"
#include "transport/frame_link.h"

/// Encoding of frames between entry instances.
namespace cowslipknot {

using PeerFrame = wire::FrameT;

/// Serializes a frame.
FrameBytes EncodeFrame(const PeerFrame& frame);

/// Verifies and unpacks a frame.
///
/// @param token  the deployment's peer token, which the frame must carry
/// @return the frame, or kBadFrame
Result<PeerFrame> DecodeFrame(const FrameBytes& bytes,
                              const std::string& token);

void AddRecords(PeerFrame& frame, const std::vector<SpreadRecord>& records);
std::vector<SpreadRecord> TakeRecords(const PeerFrame& frame);

}  // namespace cowslipknot
