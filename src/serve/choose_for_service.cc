#include <xxhash.h>

#include "serve/attempt.h"

namespace cowslipknot {

Result<ServerChoice> ChooseForService(Worker& worker, const ServiceId& service,
                                      const RequestId& request,
                                      const RequestCost& cost,
                                      const std::vector<ServerId>& tried) {
  const FleetSnapshot& snapshot = worker.Snapshot();
  if (!snapshot.configuration) return Fail(ResultCode::kNoConfiguration);
  const std::uint64_t hash =
      XXH3_64bits(request.Text().data(), request.Text().size());
  const ObjectSet& objects = snapshot.configuration->objects;
  if (!objects.services.contains(service)) {
    return Fail(ResultCode::kNoServer, "the service was removed");
  }
  ServerChoice choice;
  choice.version = ChooseVersion(snapshot, service, hash);
  const PoolId& pool = objects.versions.at(choice.version.version).pool;
  const auto servers = snapshot.servers.find(pool);
  if (servers == snapshot.servers.end()) {
    return Fail(ResultCode::kNoServer, "pool " + pool.Text());
  }
  ChoiceContext context;
  context.policy = worker.GetSettings().policy;
  context.domain = snapshot.domain;
  context.now = NowWall();
  context.turn = worker.NextTurn();
  context.draw = worker.Draw();
  context.tried = tried;
  context.entry_instances = snapshot.members;
  const auto index = ChooseServer(cost, servers->second, context);
  if (!index) return tl::make_unexpected(index.error());
  choice.server = servers->second[*index];
  return choice;
}

}  // namespace cowslipknot
