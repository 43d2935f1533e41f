// Fake platform: table service and instance list, with injected outages,
// latency and responses that are lost after the transaction was applied.
#include "base/endpoint_text.h"
#include "fake_server.h"

namespace cowslipknot::fakes {
namespace {

namespace json = boost::json;

struct Row {
  std::uint64_t version = 0;
  std::string value;
};

class Platform {
 public:
  explicit Platform(const Arguments& arguments)
      : m_history(arguments.Text("history")),
        m_list_lag_ms(arguments.Integer("list-lag-ms", 0)) {}

  Awaitable<void> Handle(HttpExchange& exchange) {
    const std::string path = PathOf(exchange.Request());
    json::value body;
    if (!exchange.Request().body().empty()) {
      error_code error;
      body = json::parse(exchange.Request().body(), error);
      if (error) {
        co_await exchange.Respond(StatusResponse(http::status::bad_request));
        co_return;
      }
    }
    if (path.starts_with("/test/")) {
      co_await exchange.Respond(HandleTestRequest(path, body));
      co_return;
    }
    if (m_latency.count() > 0) co_await SleepFor(m_latency);
    if (m_down) {
      exchange.Abort();
      co_return;
    }
    const HttpResponse response = HandleApiCall(path, body);
    if (path == "/table/transact" && m_lose_answers > 0) {
      --m_lose_answers;
      exchange.Abort();
      co_return;
    }
    co_await exchange.Respond(response);
  }

 private:
  HttpResponse HandleApiCall(const std::string& path, const json::value& body) {
    if (path == "/table/transact") return Transact(body);
    if (path == "/table/read") return ReadRow(body);
    if (path == "/instances") return ListInstances(body);
    return StatusResponse(http::status::not_found);
  }

  HttpResponse Transact(const json::value& body) {
    ++m_transactions;
    json::array conflicts;
    for (const auto& condition : body.at("conditions").as_array()) {
      const std::string key(condition.at("key").as_string());
      const auto expected = condition.at("version").to_number<std::uint64_t>();
      const auto row = m_rows.find(key);
      const std::uint64_t current =
          row == m_rows.end() ? 0 : row->second.version;
      if (current != expected) conflicts.emplace_back(key);
    }
    json::object response;
    response["committed"] = conflicts.empty();
    response["conflicts"] = conflicts;
    if (conflicts.empty()) {
      ++m_version;
      for (const auto& write : body.at("writes").as_array()) {
        const std::string key(write.at("key").as_string());
        const json::value& value = write.at("value");
        if (value.is_null()) {
          m_rows.erase(key);
        } else {
          m_rows[key] = {m_version, std::string(value.as_string())};
        }
        RecordConfiguration(key, value);
      }
    }
    response["version"] = m_version;
    return JsonResponse(response);
  }

  void RecordConfiguration(const std::string& key, const json::value& value) {
    if (key != "configuration" || !value.is_string()) return;
    const json::value parsed = json::parse(value.get_string());
    m_history.Write("accepted", {{"revision", parsed.at("revision")}});
  }

  HttpResponse ReadRow(const json::value& body) {
    ++m_reads;
    const std::string key(body.at("key").as_string());
    const auto row = m_rows.find(key);
    json::object response;
    response["version"] = 0;
    response["value"] = "";
    if (row != m_rows.end()) {
      const bool unchanged =
          body.at("known").to_number<std::uint64_t>() == row->second.version;
      response["version"] = row->second.version;
      if (!unchanged) response["value"] = row->second.value;
    }
    return JsonResponse(response);
  }

  HttpResponse ListInstances(const json::value& body) {
    ++m_reads;
    const auto since = body.at("since").to_number<std::uint64_t>();
    const std::int64_t visible_until_ms = NowWall().Count() - m_list_lag_ms;
    json::array changed;
    json::array removed;
    std::uint64_t sequence = since;
    for (const auto& [change_sequence, change] : m_changes) {
      if (change_sequence <= since) continue;
      if (change.at("at_ms").to_number<std::int64_t>() > visible_until_ms) {
        break;
      }
      sequence = change_sequence;
      if (change.contains("removed")) {
        removed.push_back(change.at("removed"));
      } else {
        changed.push_back(change.at("row"));
      }
    }
    json::object response;
    response["sequence"] = sequence;
    response["changed"] = std::move(changed);
    response["removed"] = std::move(removed);
    return JsonResponse(response);
  }

  void AddChange(json::object change) {
    change["at_ms"] = NowWall().Count();
    m_changes[++m_sequence] = std::move(change);
  }

  HttpResponse HandleTestRequest(const std::string& path,
                                 const json::value& body) {
    if (path == "/test/instances") {
      const json::object& fields = body.as_object();
      if (fields.contains("upsert")) {
        for (const auto& row : fields.at("upsert").as_array()) {
          m_instances[std::string(row.at("id").as_string())] = row.as_object();
          AddChange({{"row", row}});
        }
      }
      if (fields.contains("leave")) {
        for (const auto& id : fields.at("leave").as_array()) MarkLeaving(id);
      }
      if (fields.contains("remove")) {
        for (const auto& id : fields.at("remove").as_array()) {
          AddChange({{"removed", id}});
        }
      }
    }
    if (path == "/test/faults") {
      const json::object& fields = body.as_object();
      if (fields.contains("down")) m_down = fields.at("down").as_bool();
      if (fields.contains("latency_ms")) {
        m_latency =
            Milliseconds(fields.at("latency_ms").to_number<std::int64_t>());
      }
      if (fields.contains("lose_answers")) {
        m_lose_answers = fields.at("lose_answers").to_number<std::int64_t>();
      }
      m_history.Write("platform_faults", fields);
    }
    json::object response;
    response["transactions"] = m_transactions;
    response["reads"] = m_reads;
    response["rows"] = m_rows.size();
    return JsonResponse(response);
  }

  void MarkLeaving(const json::value& id) {
    const auto found = m_instances.find(std::string(id.as_string()));
    if (found == m_instances.end()) return;
    found->second["leaving"] = true;
    AddChange({{"row", found->second}});
    m_history.Write("leaving",
                    {{"server", id}, {"kind", found->second.at("kind")}});
  }

  History m_history;
  std::int64_t m_list_lag_ms;
  std::map<std::string, Row> m_rows;
  std::map<std::string, json::object> m_instances;
  std::map<std::uint64_t, json::object> m_changes;
  std::uint64_t m_version = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_transactions = 0;
  std::uint64_t m_reads = 0;
  bool m_down = false;
  Milliseconds m_latency{0};
  std::int64_t m_lose_answers = 0;
};

}  // namespace
}  // namespace cowslipknot::fakes

int main(int argc, char** argv) {
  using namespace cowslipknot;
  const fakes::Arguments arguments(argc, argv);
  fakes::Platform platform(arguments);
  asio::io_context context;
  return fakes::RunServer(
      context, static_cast<std::uint16_t>(arguments.Integer("port", 0)),
      [&platform](HttpExchange& exchange) {
        return platform.Handle(exchange);
      });
}
