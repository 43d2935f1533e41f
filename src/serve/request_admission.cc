#include "serve/request_admission.h"

#include <algorithm>

namespace cowslipknot::gateway {
namespace {

/// A newly started instance receives its configuration within this time.
constexpr Milliseconds kNoConfigurationRetryDelay(500);
/// Time reserved before the deadline for sending the answer to the caller.
constexpr Milliseconds kAnswerMargin(5);
constexpr char kNotConfirmedDetail[] = "not confirmed recently";

void Reject(AdmissionResult& admitted, ResultCode code, std::string detail = {},
            Milliseconds retry_after = {}) {
  admitted.rejection = Error{code, std::move(detail)};
  admitted.retry_after = retry_after;
}

double CostOf(const AdmissionResult& admitted) {
  const Workspace& workspace = *admitted.workspace;
  const CallerRequest& request = admitted.request;
  if (!workspace.counts_tokens) return 1;
  if (!request.prompt) {
    return static_cast<double>(workspace.default_request_tokens.Count());
  }
  return static_cast<double>(request.prompt->Count() +
                             request.max_output.Count());
}

/// Charges a request's cost to its workspace's quota.
/// @return zero if granted, else the time until it can be
Awaitable<Milliseconds> ChargeQuota(Worker& worker, const Workspace& workspace,
                                    double cost) {
  const double shortfall =
      worker.Quota().Reserve(workspace, cost, TimeSinceBoot());
  if (shortfall <= 0) co_return Milliseconds(0);
  const auto wait =
      co_await worker.GetQuotaPeers().Borrow(workspace, shortfall);
  if (wait && wait->count() == 0) co_return Milliseconds(0);
  worker.Quota().Refund(workspace, cost - shortfall);
  if (wait) co_return *wait;
  co_return worker.Quota().TakeWithDebt(workspace, cost, TimeSinceBoot());
}

Awaitable<void> Authorize(Worker& worker, const Configuration& configuration,
                          AdmissionResult& admitted) {
  if (!configuration.HasWorkspaces() || admitted.route->is_public) co_return;
  if (!worker.KeysAreFresh()) {
    Reject(admitted, ResultCode::kNoConfiguration, kNotConfirmedDetail,
           kNoConfigurationRetryDelay);
    co_return;
  }
  const auto key = configuration.api_keys.find(admitted.request.api_key);
  if (key == configuration.api_keys.end()) {
    Reject(admitted, ResultCode::kUnknownKey);
    co_return;
  }
  admitted.workspace = &configuration.workspaces.at(key->second);
  const Milliseconds wait =
      co_await ChargeQuota(worker, *admitted.workspace, CostOf(admitted));
  if (wait.count() == 0) co_return;
  Reject(admitted, ResultCode::kOverLimit, admitted.workspace->name.Text(),
         wait);
}

}  // namespace

Awaitable<AdmissionResult> AdmitRequest(Worker& worker,
                                        const Snapshot& snapshot,
                                        const HttpRequest& http) {
  AdmissionResult admitted;
  auto request = worker.GetAdapter().decode_caller_request(http);
  if (!request) {
    admitted.rejection = request.error();
    co_return admitted;
  }
  admitted.request = std::move(*request);
  if (!snapshot.configuration) {
    Reject(admitted, ResultCode::kNoConfiguration, {},
           kNoConfigurationRetryDelay);
    co_return admitted;
  }
  const std::string_view host = http[http::field::host];
  admitted.route = snapshot.routes->Find(host, http.target());
  if (admitted.route == nullptr) {
    // A stale configuration may lack a route that was added since.
    if (worker.KeysAreFresh()) {
      Reject(admitted, ResultCode::kNoRoute);
    } else {
      Reject(admitted, ResultCode::kNoConfiguration, kNotConfirmedDetail,
             kNoConfigurationRetryDelay);
    }
    co_return admitted;
  }
  const Milliseconds timeout = admitted.route->timeout;
  const Milliseconds deadline = admitted.request.deadline.value_or(timeout);
  admitted.response_timeout = std::min(deadline - kAnswerMargin, timeout);
  co_await Authorize(worker, *snapshot.configuration, admitted);
  co_return admitted;
}

}  // namespace cowslipknot::gateway
