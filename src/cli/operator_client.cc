#include "cli/operator_client.h"

#include "base/endpoint_text.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace cowslipknot {
namespace {

namespace json = boost::json;

constexpr Milliseconds kCallTimeout(15000);
constexpr ByteCount kMaxResponseSize(64 << 20);

/// Decodes the error in an instance's response. A response that is not an error
/// object becomes kInternal with the response's body as detail.
Error DecodeError(const HttpResponse& response) {
  Error error;
  error.code = ResultCode::kInternal;
  error.detail = response.body();
  try {
    const json::value body = json::parse(response.body());
    const json::object& fields = body.at("error").as_object();
    error.code =
        static_cast<ResultCode>(fields.at("number").to_number<std::uint16_t>());
    error.detail = std::string(fields.at("message").as_string());
  } catch (const std::exception&) {
    return error;
  }
  return error;
}

}  // namespace

Result<json::value> OperatorClient::Get(const std::string& path) {
  return Call(false, path, "");
}

Result<json::value> OperatorClient::Post(const std::string& path,
                                         const json::value& body) {
  return Call(true, path, json::serialize(body));
}

Result<json::value> OperatorClient::Call(bool post, const std::string& path,
                                         std::string body) {
  const auto endpoint = ParseEndpointText(m_options.server);
  if (!endpoint) {
    return Fail(ResultCode::kInvalidSettings,
                "--server: " + endpoint.error().detail);
  }
  HttpRequest request(post ? http::verb::post : http::verb::get, path, 11);
  request.set(http::field::authorization, "Bearer " + m_options.token);
  request.body() = std::move(body);
  asio::io_context context;
  const auto client =
      HttpClient::Create(context.get_executor(), kMaxResponseSize);
  CallProgress progress;
  Result<HttpResponse> response = Fail(ResultCode::kPeerUnreachable);
  auto call = [&]() -> Awaitable<void> {
    response = co_await client->Call(*endpoint, std::move(request),
                                     kCallTimeout, Reuse::kNewOnly, progress);
  };
  Spawn(context.get_executor(), "call operator interface", call());
  context.run();
  if (!response) {
    return Fail(ResultCode::kPeerUnreachable,
                m_options.server + ": " + response.error().detail);
  }
  if (response->result() != http::status::ok) {
    return tl::make_unexpected(DecodeError(*response));
  }
  boost::system::error_code error;
  json::value parsed = json::parse(response->body(), error);
  if (error) return Fail(ResultCode::kBackendMalformed, error.message());
  return parsed;
}

int ExitCodeOf(const Error& error) {
  switch (error.code) {
    case ResultCode::kPeerUnreachable:
      return kExitUnreachable;
    case ResultCode::kRevisionConflict:
    case ResultCode::kMoveDecided:
    case ResultCode::kNotEvacuated:
      return kExitConflict;
    case ResultCode::kInvalidObjects:
    case ResultCode::kInvalidSettings:
    case ResultCode::kMalformedRequest:
    case ResultCode::kUnknownDomain:
      return kExitInvalid;
    case ResultCode::kNotInForce:
      return kExitNotInForce;
    default:
      return kExitFailed;
  }
}

}  // namespace cowslipknot
