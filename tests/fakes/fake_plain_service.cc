// Fake plain service whose calls are not idempotent. Counts its executions and
// can drop the response after executing a call, delay or reject calls, send a
// response with the request id of the previous request, or crash while it
// executes a call.
#include "base/endpoint_text.h"
#include "fake_server.h"

namespace cowslipknot::fakes {
namespace {

namespace json = boost::json;

class PlainService {
 public:
  explicit PlainService(const Arguments& arguments)
      : m_name(arguments.Text("name")),
        m_history(arguments.Text("history")),
        m_notices(m_name, m_history),
        m_crash(arguments, m_history),
        m_delay(arguments.Integer("delay-ms", 5)) {}

  Awaitable<void> Handle(HttpExchange& exchange) {
    const std::string path = PathOf(exchange.Request());
    if (path == "/test/faults") {
      SetFaults(json::parse(exchange.Request().body()).as_object());
      co_await exchange.Respond(JsonResponse(json::object()));
      co_return;
    }
    if (m_leaving) {
      HttpResponse rejection =
          StatusResponse(http::status::service_unavailable);
      rejection.set("X-Leaving", "1");
      co_await exchange.Respond(std::move(rejection));
      co_return;
    }
    auto pause = m_notices.TakePause();
    if (pause) {
      co_await exchange.Respond(std::move(*pause));
      co_return;
    }
    const std::string key(exchange.Request()["Idempotency-Key"]);
    const std::string id(exchange.Request()["X-Request-Id"]);
    ++m_executions;
    m_history.Write(
        "execute",
        {{"server", m_name}, {"key", key}, {"id", id}, {"path", path}});
    co_await SleepFor(m_delay);
    if (m_crash.Matches(exchange.Request())) m_crash.Crash(exchange.Request());
    if (m_lose_every > 0 && m_executions % m_lose_every == 0) {
      exchange.Abort();
      co_return;
    }
    if (m_fail_every > 0 && m_executions % m_fail_every == 0) {
      HttpResponse failure =
          StatusResponse(http::status::internal_server_error);
      failure.set("X-Request-Id", id);
      m_notices.AddTo(failure);
      co_await exchange.Respond(std::move(failure));
      co_return;
    }
    json::object body;
    body["server"] = m_name;
    body["key"] = key;
    body["path"] = path;
    body["number"] = m_executions;
    HttpResponse response = JsonResponse(body);
    response.set("X-Request-Id", m_send_previous_id ? m_previous_id : id);
    m_notices.AddTo(response);
    m_previous_id = id;
    co_await exchange.Respond(std::move(response));
  }

 private:
  void SetFaults(const json::object& faults) {
    m_notices.SetFaults(faults);
    if (faults.contains("lose_every")) {
      m_lose_every = faults.at("lose_every").to_number<std::uint64_t>();
    }
    if (faults.contains("fail_every")) {
      m_fail_every = faults.at("fail_every").to_number<std::uint64_t>();
    }
    if (faults.contains("delay_ms")) {
      m_delay = Milliseconds(faults.at("delay_ms").to_number<std::int64_t>());
    }
    if (faults.contains("leaving")) m_leaving = faults.at("leaving").as_bool();
    if (faults.contains("cross")) {
      m_send_previous_id = faults.at("cross").as_bool();
    }
  }

  std::string m_name;
  History m_history;
  Notices m_notices;
  CrashTrigger m_crash;
  Milliseconds m_delay;
  std::uint64_t m_executions = 0;
  std::uint64_t m_lose_every = 0;
  std::uint64_t m_fail_every = 0;
  bool m_leaving = false;
  bool m_send_previous_id = false;
  std::string m_previous_id;
};

}  // namespace
}  // namespace cowslipknot::fakes

int main(int argc, char** argv) {
  using namespace cowslipknot;
  const fakes::Arguments arguments(argc, argv);
  fakes::PlainService service(arguments);
  asio::io_context context;
  const auto platform = ParseEndpointText(arguments.Text("platform"));
  if (platform) {
    asio::co_spawn(context,
                   fakes::RegisterInstance(
                       *platform, fakes::MakeInstanceRow(arguments, "plain")),
                   asio::detached);
  }
  return fakes::RunServer(
      context, static_cast<std::uint16_t>(arguments.Integer("port", 0)),
      [&service](HttpExchange& exchange) { return service.Handle(exchange); });
}
