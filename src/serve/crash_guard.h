#pragma once

#include "cowslipknot/gateway/routes.h"
#include "cowslipknot/gateway/settings.h"
#include "protocol/platform_adapter.h"
#include "serve/crash_watch.h"
#include "serve/peer_links.h"
#include "transport/http_client.h"

namespace cowslipknot::gateway {

/// Suspects of a request: the parts of its prompt that other requests may
/// share, which are all but the last one, and the request itself, as its caller
/// would repeat it.
/// @param route  names the host; what the caller names may hold the address of
///               an instance
/// @param http  as received from the caller
Suspects SuspectsOf(const CallerRequest& request, const Route& route,
                    const HttpRequest& http);

/// The crash watch of a gateway instance. Used on the traffic thread only.
class CrashGuard : public CrashWatch {
 public:
  using Peers = std::function<std::vector<Endpoint>()>;

  /// @param peers  returns the other instances
  CrashGuard(PeerLinks& links, const asio::any_io_executor& executor,
             const Settings& settings, Peers peers);
};

}  // namespace cowslipknot::gateway
