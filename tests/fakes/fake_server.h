#pragma once

#include <boost/json.hpp>
#include <fstream>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "transport/http_server.h"

/// Code shared by the fake servers.
namespace cowslipknot::fakes {

/// Command-line options of the form "--name value".
class Arguments {
 public:
  Arguments(int argc, char** argv);
  std::string Text(const std::string& name,
                   const std::string& fallback = {}) const;
  std::int64_t Integer(const std::string& name, std::int64_t fallback) const;
  double Number(const std::string& name, double fallback) const;

 private:
  std::map<std::string, std::string> m_values;
};

/// Appends one JSON line per event for the history checker.
class History {
 public:
  explicit History(const std::string& path);
  void Write(const std::string& event, boost::json::object fields);

 private:
  std::ofstream m_file;
};

/// What a server says of itself in its answers, as set by its faults:
/// "says_leaving" marks each answer, "limit" names a limit in each answer until
/// it is empty, "pauses" refuses that many requests and asks for none for
/// "pause_s". Limit and pause are sent as they are.
class Notices {
 public:
  Notices(std::string server, History& history)
      : m_server(std::move(server)), m_history(history) {}

  void SetFaults(const boost::json::object& faults);
  void AddTo(HttpResponse& answer);
  /// @return the answer to a request that is refused for a pause
  std::optional<HttpResponse> TakePause();

 private:
  std::string m_server;
  History& m_history;
  bool m_says_leaving = false;
  bool m_said_leaving = false;
  std::string m_limit;       ///< in requests a second
  std::string m_said_limit;  ///< in the last answer
  std::int64_t m_pauses = 0;
  std::string m_pause_s;
};

/// Ends this process as a crash while it runs a request with the text of
/// "--crash-on" in its target or body.
class CrashTrigger {
 public:
  CrashTrigger(const Arguments& arguments, History& history)
      : m_server(arguments.Text("name")),
        m_text(arguments.Text("crash-on")),
        m_history(history) {}

  bool Matches(const HttpRequest& request) const;
  [[noreturn]] void Crash(const HttpRequest& request);

 private:
  std::string m_server;
  std::string m_text;  ///< empty for none
  History& m_history;
};

HttpResponse JsonResponse(const boost::json::value& body);
HttpResponse StatusResponse(http::status status);
std::string PathOf(const HttpRequest& request);
/// The value of `name` in the request's query, or empty.
std::string QueryValue(const HttpRequest& request, const std::string& name);

/// Serves HTTP until SIGTERM or SIGINT. @return the process's exit code
int RunServer(asio::io_context& context, std::uint16_t port,
              std::function<Awaitable<void>(HttpExchange&)> handle);

/// Adds a row to the fake platform's instance list. Retries every 100 ms, up
/// to 100 attempts in all.
Awaitable<void> RegisterInstance(Endpoint platform, boost::json::object row);

/// Builds the instance list row of a fake server from its command line.
boost::json::object MakeInstanceRow(const Arguments& arguments,
                                    const std::string& kind);

}  // namespace cowslipknot::fakes
