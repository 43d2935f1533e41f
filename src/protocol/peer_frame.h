#pragma once

#include <memory>
#include <string>

#include "cowslipknot/result.h"
#include "cowslipknot/state/record_set.h"
#include "protocol/generated/peer_generated.h"
#include "transport/frame_link.h"

/// Encoding of the frames that instances exchange.
namespace cowslipknot {

using PeerFrame = wire::FrameT;

FrameBytes EncodeFrame(const PeerFrame& frame);

/// Verifies and unpacks a frame.
///
/// @param token  peer token of the deployment; the frame must carry it
/// @return the frame, or kBadFrame
Result<PeerFrame> DecodeFrame(const FrameBytes& bytes,
                              const std::string& token);

void AddRecords(PeerFrame& frame, const std::vector<GossipRecord>& records);
std::vector<GossipRecord> ExtractRecords(const PeerFrame& frame);

}  // namespace cowslipknot
