#include "serve/request_admission.h"

#include <xxhash.h>

#include <algorithm>

namespace cowslipknot::gateway {
namespace {

/// A newly started instance receives its configuration within this time.
constexpr Milliseconds kNoConfigurationRetryDelay(500);
/// Time reserved before the deadline for sending the answer to the caller.
constexpr Milliseconds kAnswerMargin(5);
constexpr char kNotConfirmedDetail[] = "not confirmed recently";

void Reject(AdmissionResult& admission, ResultCode code,
            std::string detail = {}, Milliseconds retry_after = {}) {
  admission.rejection = Error{code, std::move(detail)};
  admission.retry_after = retry_after;
}

double CostOf(const AdmissionResult& admission) {
  const Workspace& workspace = *admission.workspace;
  const CallerRequest& request = admission.request;
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

void Authorize(Worker& worker, const Configuration& configuration,
               AdmissionResult& admission) {
  if (!configuration.requires_keys || admission.route->is_public) return;
  if (!worker.KeysAreFresh()) {
    Reject(admission, ResultCode::kNoConfiguration, kNotConfirmedDetail,
           kNoConfigurationRetryDelay);
    return;
  }
  const auto key = configuration.api_keys.find(admission.request.api_key);
  if (key == configuration.api_keys.end()) {
    Reject(admission, ResultCode::kUnknownKey);
    return;
  }
  admission.workspace = &configuration.workspaces.at(key->second);
}

void CheckStop(Worker& worker, AdmissionResult& admission) {
  if (worker.MayEndBeforeStop(*admission.route, admission.response_timeout)) {
    return;
  }
  Reject(admission, ResultCode::kDraining, {}, kStopRetryDelay);
}

/// Rejects a request that would crash a server. Its quota is not charged.
void CheckSuspects(Worker& worker, AdmissionResult& admission) {
  Milliseconds until_trial{0};
  const auto admitted = worker.Crashes().Admit(admission.request.id,
                                               admission.suspects, until_trial);
  if (admitted) return;
  Reject(admission, admitted.error().code, admitted.error().detail,
         until_trial);
}

/// Rejects a request that a service without room should not get. One that
/// resumes a stream has been served in part.
void CheckRoom(Worker& worker, AdmissionResult& admission) {
  const CallerRequest& request = admission.request;
  if (request.last_event_id) return;
  const ServiceId& service = PickService(
      *admission.route,
      XXH3_64bits(request.id.Text().data(), request.id.Text().size()));
  const auto retry_after = worker.Room().Refuse(
      *admission.route, service, {admission.age, admission.response_timeout});
  if (!retry_after) return;
  Reject(admission, ResultCode::kTargetUnreachable, service.Text(),
         *retry_after);
}

Awaitable<void> Charge(Worker& worker, AdmissionResult& admission) {
  if (admission.workspace == nullptr) co_return;
  const Milliseconds wait =
      co_await ChargeQuota(worker, *admission.workspace, CostOf(admission));
  if (wait.count() == 0) co_return;
  Reject(admission, ResultCode::kOverLimit, admission.workspace->name.Text(),
         wait);
}

}  // namespace

Awaitable<AdmissionResult> AdmitRequest(Worker& worker,
                                        const Snapshot& snapshot,
                                        const HttpRequest& http) {
  AdmissionResult admission;
  auto request = worker.GetAdapter().decode_caller_request(http);
  if (!request) {
    admission.rejection = request.error();
    co_return admission;
  }
  admission.request = std::move(*request);
  // Until the other instances have been asked, a restored store may have given
  // this process an earlier configuration, which requires fewer keys.
  if (!snapshot.configuration || !worker.HasConfirmedConfiguration()) {
    Reject(admission, ResultCode::kNoConfiguration, {},
           kNoConfigurationRetryDelay);
    co_return admission;
  }
  const std::string_view host = http[http::field::host];
  admission.route = snapshot.routes->Find(host, http.target());
  if (admission.route == nullptr) {
    // A stale configuration may lack a route that was added since.
    if (worker.KeysAreFresh()) {
      Reject(admission, ResultCode::kNoRoute);
    } else {
      Reject(admission, ResultCode::kNoConfiguration, kNotConfirmedDetail,
             kNoConfigurationRetryDelay);
    }
    co_return admission;
  }
  admission.suspects = SuspectsOf(admission.request, *admission.route, http);
  const Milliseconds timeout = admission.route->timeout;
  const Milliseconds deadline = admission.request.deadline.value_or(timeout);
  admission.response_timeout = std::min(deadline - kAnswerMargin, timeout);
  // Callers state in each attempt what is left of their time.
  admission.age = KnownAge(timeout, deadline);
  Authorize(worker, *snapshot.configuration, admission);
  if (!admission.rejection) CheckStop(worker, admission);
  if (!admission.rejection) CheckRoom(worker, admission);
  if (!admission.rejection) CheckSuspects(worker, admission);
  if (!admission.rejection) co_await Charge(worker, admission);
  co_return admission;
}

}  // namespace cowslipknot::gateway
