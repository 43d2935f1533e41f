#include "fake_server.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "base/endpoint_text.h"
#include "transport/endpoint.h"

namespace cowslipknot::fakes {

namespace json = boost::json;

Arguments::Arguments(int argc, char** argv) {
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    if (name.starts_with("--")) m_values[name.substr(2)] = argv[i + 1];
  }
}

std::string Arguments::Text(const std::string& name,
                            const std::string& fallback) const {
  const auto found = m_values.find(name);
  return found == m_values.end() ? fallback : found->second;
}

std::int64_t Arguments::Integer(const std::string& name,
                                std::int64_t fallback) const {
  const std::string text = Text(name);
  return text.empty() ? fallback : std::stoll(text);
}

double Arguments::Number(const std::string& name, double fallback) const {
  const std::string text = Text(name);
  return text.empty() ? fallback : std::stod(text);
}

History::History(const std::string& path) {
  if (!path.empty()) m_file.open(path, std::ios::app);
}

void History::Write(const std::string& event, json::object fields) {
  if (!m_file.is_open()) return;
  fields["time_ms"] = NowWall().Count();
  fields["what"] = event;
  m_file << json::serialize(fields) << std::endl;
}

void Notices::SetFaults(const json::object& faults) {
  if (faults.contains("says_leaving")) {
    m_says_leaving = faults.at("says_leaving").as_bool();
  }
  if (faults.contains("limit")) {
    m_limit = std::string(faults.at("limit").as_string());
  }
  if (faults.contains("pauses")) {
    m_pauses = faults.at("pauses").to_number<std::int64_t>();
  }
  if (faults.contains("pause_s")) {
    m_pause_s = std::string(faults.at("pause_s").as_string());
  }
}

void Notices::AddTo(HttpResponse& answer) {
  if (!m_limit.empty()) answer.set("X-Limit", m_limit);
  if (m_limit != m_said_limit) {
    m_said_limit = m_limit;
    m_history.Write("named_limit", {{"server", m_server}, {"limit", m_limit}});
  }
  if (!m_says_leaving) return;
  answer.set("X-Leaving", "1");
  if (m_said_leaving) return;
  m_said_leaving = true;
  m_history.Write("said_leaving", {{"server", m_server}});
}

std::optional<HttpResponse> Notices::TakePause() {
  if (m_pauses == 0) return std::nullopt;
  --m_pauses;
  m_history.Write("paused", {{"server", m_server}, {"pause_s", m_pause_s}});
  HttpResponse refusal = StatusResponse(http::status::service_unavailable);
  refusal.set(http::field::retry_after, m_pause_s);
  AddTo(refusal);
  return refusal;
}

bool CrashTrigger::Matches(const HttpRequest& request) const {
  return !m_text.empty() &&
         (request.target().find(m_text) != std::string_view::npos ||
          request.body().find(m_text) != std::string::npos);
}

void CrashTrigger::Crash(const HttpRequest& request) {
  m_history.Write("crash", {{"server", m_server}, {"path", PathOf(request)}});
  std::_Exit(1);
}

HttpResponse JsonResponse(const json::value& body) {
  HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = json::serialize(body);
  return response;
}

HttpResponse StatusResponse(http::status status) {
  HttpResponse response(status, 11);
  response.body() = std::string(http::obsolete_reason(status));
  return response;
}

std::string PathOf(const HttpRequest& request) {
  const std::string target(request.target());
  return target.substr(0, target.find('?'));
}

std::string QueryValue(const HttpRequest& request, const std::string& name) {
  const std::string target(request.target());
  const std::size_t start = target.find(name + "=");
  if (start == std::string::npos) return {};
  const std::size_t value = start + name.size() + 1;
  return target.substr(value, target.find('&', value) - value);
}

int RunServer(asio::io_context& context, std::uint16_t port,
              std::function<Awaitable<void>(HttpExchange&)> handle) {
  auto acceptor = Listen(context, {"127.0.0.1", port});
  if (!acceptor) {
    std::cerr << acceptor.error().detail << "\n";
    return 1;
  }
  HttpServerHooks hooks;
  hooks.handle = std::move(handle);
  hooks.make_error_response = [](const Error&) {
    return StatusResponse(http::status::bad_request);
  };
  auto shared = std::make_shared<tcp::acceptor>(std::move(*acceptor));
  asio::co_spawn(context, ServeHttp(shared, HttpServerLimits(), hooks),
                 asio::detached);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](error_code, int) { context.stop(); });
  context.run();
  return 0;
}

Awaitable<void> RegisterInstance(Endpoint platform, json::object row) {
  const auto executor = co_await asio::this_coro::executor;
  const auto client = HttpClient::Create(executor, ByteCount(1 << 20));
  constexpr int kMaxAttempts = 100;
  for (int i = 0; i < kMaxAttempts; ++i) {
    HttpRequest request(http::verb::post, "/test/instances", 11);
    json::object body;
    body["upsert"] = json::array{row};
    request.body() = json::serialize(body);
    CallProgress progress;
    const auto response =
        co_await client->Call(platform, std::move(request), Milliseconds(1000),
                              Reuse::kNewOnly, progress);
    if (response) co_return;
    co_await SleepFor(Milliseconds(100));
  }
}

json::object MakeInstanceRow(const Arguments& arguments,
                             const std::string& kind) {
  json::object row;
  row["id"] = arguments.Text("name");
  row["kind"] = kind;
  row["host"] = "127.0.0.1";
  row["port"] = arguments.Integer("port", 0);
  row["domain"] = arguments.Text("domain", "domain-a");
  row["pool"] = arguments.Text("pool", "pool");
  row["incarnation"] = arguments.Integer("incarnation", 1);
  row["leaving"] = false;
  row["reclaimable"] = arguments.Text("reclaimable", "yes") == "yes";
  row["price"] = arguments.Number("price", 1.0);
  return row;
}

}  // namespace cowslipknot::fakes
