#include "protocol/peer_frame.h"

#include <openssl/crypto.h>

namespace cowslipknot {
namespace {

bool SecretsEqual(const std::string& left, const std::string& right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

FrameBytes EncodeFrame(const PeerFrame& frame) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Frame::Pack(builder, &frame));
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

Result<PeerFrame> DecodeFrame(const FrameBytes& bytes,
                              const std::string& token) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!wire::VerifyFrameBuffer(verifier)) return Fail(ResultCode::kBadFrame);
  PeerFrame frame;
  wire::GetFrame(bytes.data())->UnPackTo(&frame);
  if (!SecretsEqual(frame.token, token)) {
    return Fail(ResultCode::kBadFrame, "the peer token does not match");
  }
  return frame;
}

void AddRecords(PeerFrame& frame, const std::vector<GossipRecord>& records) {
  for (const auto& record : records) {
    auto packed = std::make_unique<wire::RecordT>();
    packed->key = record.key;
    packed->version = record.version;
    packed->payload = record.payload;
    frame.records.push_back(std::move(packed));
  }
}

std::vector<GossipRecord> ExtractRecords(const PeerFrame& frame) {
  std::vector<GossipRecord> records;
  for (const auto& packed : frame.records) {
    if (!packed) continue;
    records.push_back({packed->key, packed->version, packed->payload});
  }
  return records;
}

}  // namespace cowslipknot
