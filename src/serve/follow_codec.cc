#include "serve/follow_codec.h"

#include <algorithm>
#include <cmath>

#include "base/endpoint_text.h"
#include "base/json_number.h"

namespace cowslipknot::gateway {
namespace {

/// Longest age and longest warm-up. Sums with clock readings in nanoseconds
/// stay in range.
constexpr Milliseconds kMaxDuration = std::chrono::days(365);

bool IsAddress(const Endpoint& endpoint) {
  return endpoint.port != 0 &&
         ParseEndpointText(FormatEndpoint(endpoint)).has_value();
}

bool IsInRange(const std::unique_ptr<wire::RegistrationT>& packed) {
  if (!packed || packed->removed) return true;
  return IsAddress({packed->host, packed->port}) && packed->started_ms >= 0 &&
         packed->started_ms <= kMaxUnixMs &&
         packed->warmup_ms >= -kMaxDuration.count() &&
         packed->warmup_ms <= kMaxDuration.count();
}

bool IsInRange(const std::unique_ptr<wire::InstanceT>& packed) {
  if (!packed || packed->peer_host.empty()) return true;
  return IsAddress({packed->peer_host, packed->peer_port});
}

bool IsInRange(const std::unique_ptr<wire::WorkspaceDemandT>& packed) {
  return !packed || (std::isfinite(packed->per_s) && packed->per_s >= 0);
}

template <class List>
bool AreInRange(const List& list) {
  return std::all_of(list.begin(), list.end(),
                     [](const auto& packed) { return IsInRange(packed); });
}

tl::unexpected<Error> OutOfRange(std::string_view field) {
  return Fail(ResultCode::kBadFrame, std::string(field) + " out of range");
}

}  // namespace

std::unique_ptr<wire::StorePosition> PackPosition(
    const StorePosition& position) {
  if (!position.IsKnown()) return nullptr;
  return std::make_unique<wire::StorePosition>(position.era.Count(),
                                               position.version.Count());
}

StorePosition UnpackPosition(
    const std::unique_ptr<wire::StorePosition>& packed) {
  if (!packed) return {};
  return {StoreEra(packed->era()), StoreVersion(packed->version())};
}

std::unique_ptr<wire::StoreRowT> PackRow(const StoreRow& row) {
  auto packed = std::make_unique<wire::StoreRowT>();
  packed->key = row.key;
  packed->value = row.value;
  packed->position = PackPosition(row.position);
  packed->removed = row.removed;
  return packed;
}

StoreRow UnpackRow(const wire::StoreRowT& packed, const std::string& table) {
  StoreRow row;
  row.table = table;
  row.key = packed.key;
  row.value = packed.value;
  row.position = UnpackPosition(packed.position);
  row.removed = packed.removed;
  return row;
}

std::unique_ptr<wire::RegistrationT> PackServer(const ServerChange& change) {
  auto packed = std::make_unique<wire::RegistrationT>();
  packed->id = change.id.Text();
  packed->removed = !change.entry;
  if (!change.entry) {
    packed->position = PackPosition(change.removed_at);
    return packed;
  }
  const ServerEntry& entry = *change.entry;
  packed->position = PackPosition(entry.position);
  packed->service = entry.service.Text();
  packed->host = entry.address.host;
  packed->port = entry.address.port;
  packed->domain = entry.domain.Text();
  packed->version = entry.version.Text();
  packed->slots = entry.slots;
  packed->warmup_ms = entry.warmup_left.count();
  packed->reclaimable = entry.reclaimable;
  packed->started_ms = entry.started_ms;
  return packed;
}

ServerChange UnpackServer(const wire::RegistrationT& packed) {
  ServerChange change;
  change.id = ServerId(packed.id);
  if (packed.removed) {
    change.removed_at = UnpackPosition(packed.position);
    return change;
  }
  ServerEntry entry;
  entry.id = change.id;
  entry.position = UnpackPosition(packed.position);
  entry.service = ServiceId(packed.service);
  entry.address = Endpoint{packed.host, packed.port};
  entry.domain = DomainId(packed.domain);
  entry.version = VersionId(packed.version);
  entry.slots = packed.slots;
  entry.warmup_left = Milliseconds(packed.warmup_ms);
  entry.reclaimable = packed.reclaimable;
  entry.started_ms = packed.started_ms;
  change.entry = std::move(entry);
  return change;
}

std::unique_ptr<wire::InstanceT> PackInstance(const InstanceSummary& instance) {
  auto packed = std::make_unique<wire::InstanceT>();
  packed->node = instance.node.Text();
  packed->domain = instance.domain.Text();
  packed->started_ms = instance.started_ms;
  if (instance.peers) {
    packed->peer_host = instance.peers->host;
    packed->peer_port = instance.peers->port;
  }
  return packed;
}

InstanceSummary UnpackInstance(const wire::InstanceT& packed) {
  InstanceSummary instance;
  instance.node = NodeId(packed.node);
  instance.domain = DomainId(packed.domain);
  instance.started_ms = packed.started_ms;
  if (!packed.peer_host.empty())
    instance.peers = Endpoint{packed.peer_host, packed.peer_port};
  return instance;
}

Result<std::int64_t> UnpackStart(const GossipRecord& notice) {
  if (notice.version > static_cast<std::uint64_t>(kMaxUnixMs))
    return OutOfRange("start");
  return static_cast<std::int64_t>(notice.version);
}

Result<void> CheckUpdate(const wire::FollowUpdateT& update) {
  constexpr auto kMaxAgeMs = static_cast<std::uint64_t>(kMaxDuration.count());
  if (update.configuration_age_ms > kMaxAgeMs)
    return OutOfRange("configuration_age_ms");
  if (!AreInRange(update.registrations)) return OutOfRange("registrations");
  if (!AreInRange(update.instances)) return OutOfRange("instances");
  if (!AreInRange(update.demand)) return OutOfRange("demand");
  return {};
}

}  // namespace cowslipknot::gateway
