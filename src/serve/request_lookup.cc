#include "serve/request_lookup.h"

#include <boost/json.hpp>

#include "coordination/claim_writer.h"
#include "serve/caller_session.h"

namespace cowslipknot {
namespace {

namespace json = boost::json;

constexpr Milliseconds kForwardTimeout(60000);

/// Reads a claim; runs on the control thread.
/// @return kUnknownRequest if there is none
Awaitable<Result<Claim>> ReadClaim(ClaimWriter& claims, std::string key) {
  auto found = co_await claims.Read(std::move(key));
  if (!found) co_return tl::make_unexpected(found.error());
  if (!*found) co_return Fail(ResultCode::kUnknownRequest);
  co_return std::move(**found);
}

}  // namespace

Awaitable<Result<void>> ForwardLookup(Worker& worker, HttpExchange& exchange,
                                      RequestId id) {
  const ControlHooks& hooks = worker.Hooks();
  const auto address = co_await RunOn(hooks.executor, hooks.locate(id));
  if (!address) co_return tl::make_unexpected(address.error());
  HttpRequest request(http::verb::get, exchange.Request().target(), 11);
  request.set("X-Forwarded-By", worker.GetSettings().node.Text());
  for (const auto* name : {"Authorization", "Last-Event-ID"}) {
    const auto value = exchange.Request()[name];
    if (!value.empty()) request.set(name, value);
  }
  CallProgress progress;
  auto opened = co_await worker.Http().Open(
      *address, std::move(request),
      WithTimeout(kForwardTimeout, Reuse::kNewOnly), progress);
  if (!opened) co_return tl::make_unexpected(opened.error());
  HttpResponse header;
  header.base() = (*opened)->Header();
  for (const auto field :
       {http::field::content_length, http::field::transfer_encoding,
        http::field::connection}) {
    header.erase(field);
  }
  bool connected = co_await exchange.BeginStream(std::move(header));
  while (connected) {
    auto data = co_await (*opened)->Read(kForwardTimeout);
    if (!data) {
      exchange.Abort();
      co_return Result<void>();
    }
    if (data->empty()) break;
    connected = co_await exchange.WriteChunk(*data);
  }
  if (connected) co_await exchange.EndStream();
  co_return Result<void>();
}

Awaitable<Result<void>> SendClaimOutcome(Worker& worker, HttpExchange& exchange,
                                         WorkspaceId workspace, RequestId id) {
  const ControlHooks& hooks = worker.Hooks();
  const auto claim = co_await RunOn(
      hooks.executor, ReadClaim(*hooks.claims, ClaimKey(workspace, id.Text())));
  if (!claim) co_return tl::make_unexpected(claim.error());
  json::object body;
  body["id"] = id.Text();
  switch (claim->state) {
    case ClaimState::kClaimed:
      body["state"] = "running_or_unknown";
      break;
    case ClaimState::kOutcomeUnknown:
      body["state"] = "outcome_unknown";
      break;
    case ClaimState::kDone:
      body["state"] = "done";
      body["status"] = claim->status;
      body["body"] = claim->body;
      break;
  }
  co_await exchange.Respond(
      JsonResponse(http::status::ok, json::serialize(body)));
  co_return Result<void>();
}

}  // namespace cowslipknot
