#include <xxhash.h>

#include "cowslipknot/coordination/evacuation_request.h"
#include "cowslipknot/coordination/server_pause.h"
#include "serve/attempt.h"

namespace cowslipknot {
namespace {

/// Target for requests of the patient class: they leave the server that caches
/// their prefix only if its queue is long.
constexpr Milliseconds kPatientFirstTokenTarget(10000);
/// Callers return spread over at least this time after a pause.
constexpr Milliseconds kMinReturnSpread(1000);
constexpr int kDenialsBeforeUnlimited = 2;

std::uint64_t HashOf(const RequestId& request) {
  return XXH3_64bits(request.Text().data(), request.Text().size());
}

enum class Candidates : std::uint8_t { kAll, kUnlimited };

Result<ServerChoice> Choose(Worker& worker, const ServiceRequest& request,
                            Candidates candidates) {
  const FleetSnapshot& snapshot = worker.Snapshot();
  if (!snapshot.configuration) return Fail(ResultCode::kNoConfiguration);
  const Route& route = request.route;
  const std::uint64_t hash = HashOf(request.id);
  const ObjectSet& objects = snapshot.configuration->objects;
  if (!objects.services.contains(route.service)) {
    return Fail(ResultCode::kNoServer, "the service was removed");
  }
  ServerChoice choice;
  choice.version = ChooseVersion(snapshot, route.service, hash);
  const PoolId& pool = objects.versions.at(choice.version.version).pool;
  const auto servers = snapshot.servers.find(pool);
  if (servers == snapshot.servers.end()) {
    return Fail(ResultCode::kNoServer, "pool " + pool.Text());
  }
  ChoiceContext context;
  context.policy = worker.GetSettings().policy;
  context.domain = snapshot.domain;
  context.now = NowWall();
  context.since_boot = TimeSinceBoot();
  context.round_robin_index = worker.NextRoundRobinIndex();
  context.draw = worker.Draw();
  context.tried = request.tried;
  context.unlimited_only = candidates == Candidates::kUnlimited;
  const bool patient = route.request_class == RequestClass::kPatient;
  context.target =
      patient ? kPatientFirstTokenTarget : route.first_token_target;
  context.entry_instances = snapshot.members;
  const auto selection = ChooseServer(request.cost, servers->second, context);
  if (!selection) return tl::make_unexpected(selection.error());
  choice.server = servers->second[selection->index];
  choice.selection = *selection;
  return choice;
}

}  // namespace

Result<ServerChoice> ChooseForService(Worker& worker,
                                      const ServiceRequest& request) {
  return Choose(worker, request, Candidates::kAll);
}

Awaitable<Result<ServerChoice>> ChooseWithPermit(Worker& worker,
                                                 ServiceRequest request) {
  int denied = 0;
  while (true) {
    auto choice = denied < kDenialsBeforeUnlimited
                      ? Choose(worker, request, Candidates::kAll)
                      : Choose(worker, request, Candidates::kUnlimited);
    if (!choice && denied >= kDenialsBeforeUnlimited)
      choice = Choose(worker, request, Candidates::kAll);
    if (!choice) co_return choice;
    const bool permitted = co_await worker.AcquirePermit(choice->server);
    // An order may have come into force while the permit was awaited.
    const bool evacuated = EvacuatedDomains(worker.Snapshot().configuration)
                               .contains(choice->server.record.domain);
    if (permitted && !evacuated) co_return choice;
    ++denied;
    // A server that was not withheld meanwhile must not be asked for again.
    request.tried.push_back(choice->server.record.id);
  }
}

std::optional<Milliseconds> RetryDelayOfPause(Worker& worker,
                                              const ServiceId& service,
                                              const RequestId& request) {
  const FleetSnapshot& snapshot = worker.Snapshot();
  if (!snapshot.configuration) return std::nullopt;
  const ObjectSet& objects = snapshot.configuration->objects;
  if (!objects.services.contains(service)) return std::nullopt;
  const auto version =
      ChooseVersion(snapshot, service, HashOf(request)).version;
  const auto servers = snapshot.servers.find(objects.versions.at(version).pool);
  if (servers == snapshot.servers.end()) return std::nullopt;
  const auto now = TimeSinceBoot();
  const auto end = FirstPauseEnd(servers->second, now);
  if (!end) return std::nullopt;
  return SpreadReturn(*end - now, kMinReturnSpread, worker.Draw());
}

}  // namespace cowslipknot
