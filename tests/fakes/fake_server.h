#pragma once

#include <boost/json.hpp>
#include <fstream>
#include <map>
#include <string>

#include "base/clock.h"
#include "transport/http_server.h"

/// What the stand-in programs share.
namespace cowslipknot::fakes {

/// Command-line options of the form "--name value".
class Arguments {
 public:
  Arguments(int argc, char** argv);
  std::string Text(const std::string& name,
                   const std::string& fallback = {}) const;
  std::int64_t Whole(const std::string& name, std::int64_t fallback) const;
  double Number(const std::string& name, double fallback) const;

 private:
  std::map<std::string, std::string> m_values;
};

/// Appends one JSON line per event for the history checker.
class History {
 public:
  explicit History(const std::string& path);
  void Write(const std::string& what, boost::json::object fields);

 private:
  std::ofstream m_file;
};

HttpResponse JsonAnswer(const boost::json::value& body);
HttpResponse PlainStatus(http::status status);
std::string PathOf(const HttpRequest& request);
/// The value of `name` in the request's query, or empty.
std::string QueryValue(const HttpRequest& request, const std::string& name);

/// Serves until SIGTERM or SIGINT. @return the process's exit code
int RunServer(asio::io_context& context, std::uint16_t port,
              std::function<Awaitable<void>(HttpExchange&)> handle);

/// Adds a row to the stand-in platform's instance list, retrying for a while.
Awaitable<void> Register(Endpoint platform, boost::json::object row);

/// The row for a stand-in server with the usual arguments.
boost::json::object InstanceRow(const Arguments& arguments,
                                const std::string& kind);

}  // namespace cowslipknot::fakes
