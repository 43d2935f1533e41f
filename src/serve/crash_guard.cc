#include "serve/crash_guard.h"

#include "transport/event_loop.h"

namespace cowslipknot::gateway {
namespace {

CrashWatch::Hooks MakeHooks(PeerLinks& links, CrashGuard::Peers peers) {
  CrashWatch::Hooks hooks;
  hooks.peers = std::move(peers);
  hooks.call = [&links](Endpoint peer, PeerFrame frame, Milliseconds timeout) {
    return links.Call(std::move(peer), std::move(frame), timeout);
  };
  hooks.broadcast = [&links](const std::vector<Endpoint>& to,
                             const PeerFrame& frame) {
    links.Broadcast(to, frame);
  };
  return hooks;
}

}  // namespace

Suspects SuspectsOf(const CallerRequest& request, const Route& route,
                    const HttpRequest& http) {
  Suspects suspects;
  std::string parts;
  for (const auto& part : request.prompt_parts) {
    parts += std::to_string(part.id) + ",";
    suspects.push_back({SuspectId::Kind::kPromptPart, part.id});
  }
  // The last part belongs to the request alone.
  if (!suspects.empty()) suspects.pop_back();
  suspects.push_back(
      IdentifyRequest({http.method_string(), route.host, http.target(),
                       request.api_key, http.body(), parts}));
  return suspects;
}

CrashGuard::CrashGuard(PeerLinks& links, const asio::any_io_executor& executor,
                       const Settings& settings, Peers peers)
    : CrashWatch(executor, settings.node, settings.peers,
                 MakeHooks(links, std::move(peers))) {
  for (const auto kind :
       {wire::Kind::ServerCrashed, wire::Kind::ExchangePromptEvidence}) {
    links.SetHandler(kind,
                     [this](const PeerFrame& frame) { return Handle(frame); });
  }
  SpawnLoop(executor, "exchange prompt evidence",
            [this] { return ExchangeEvidence(); });
}

}  // namespace cowslipknot::gateway
