#pragma once

#include <memory>

#include "cowslipknot/gateway/fleet_view.h"
#include "cowslipknot/gateway/server_registry.h"
#include "cowslipknot/result.h"
#include "protocol/peer_frame.h"
#include "protocol/platform_adapter.h"

/// Conversion between the gateway's types and the frames of a store relay.
namespace cowslipknot::gateway {

/// @return nothing if the position is not known
std::unique_ptr<wire::StorePosition> PackPosition(
    const StorePosition& position);
StorePosition UnpackPosition(
    const std::unique_ptr<wire::StorePosition>& packed);

std::unique_ptr<wire::StoreRowT> PackRow(const StoreRow& row);
StoreRow UnpackRow(const wire::StoreRowT& packed, const std::string& table);

std::unique_ptr<wire::RegistrationT> PackServer(const ServerChange& change);
ServerChange UnpackServer(const wire::RegistrationT& packed);

std::unique_ptr<wire::InstanceT> PackInstance(const InstanceSummary& instance);
InstanceSummary UnpackInstance(const wire::InstanceT& packed);

/// Reads when the server started that a notice says is leaving.
///
/// @return kBadFrame for a start that no later one could follow, so that the
/// server would count as leaving for good
Result<std::int64_t> UnpackStart(const GossipRecord& notice);

/// Checks an update before it is unpacked.
///
/// @return kBadFrame, with the name of the field, if an age, a time, a rate or
/// an address is none that a relay can have
Result<void> CheckUpdate(const wire::FollowUpdateT& update);

}  // namespace cowslipknot::gateway
