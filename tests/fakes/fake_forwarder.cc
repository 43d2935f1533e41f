// Forwards TCP connections so that tests can cut links or make them go silent.
// Links are named; POST /test/links {"name": "pass" | "cut" | "silent"}. The
// name "SOURCE>LINK" sets the mode for connections from one source address.
#include <list>
#include <set>
#include <sstream>

#include "base/endpoint_text.h"
#include "fake_server.h"
#include "transport/endpoint.h"

namespace cowslipknot::fakes {
namespace {

namespace json = boost::json;

constexpr std::size_t kPieceBytes = 16 << 10;

/// One forwarded address.
struct Link {
  std::string name;
  Endpoint listen;
  Endpoint target;
  bool cut = false;
  std::set<std::string> cut_sources;
  std::uint64_t silence_epoch = 0;
  std::list<std::pair<std::string, std::weak_ptr<tcp::socket>>> sockets;
};

using SocketPtr = std::shared_ptr<tcp::socket>;

Awaitable<void> Pump(std::shared_ptr<Link> link, SocketPtr from, SocketPtr to,
                     std::uint64_t epoch) {
  std::string piece(kPieceBytes, '\0');
  while (true) {
    auto [read_error, size] =
        co_await from->async_read_some(asio::buffer(piece), kAsTuple);
    if (read_error) break;
    if (epoch < link->silence_epoch) continue;  // swallowed
    auto [write_error, written] = co_await asio::async_write(
        *to, asio::buffer(piece.data(), size), kAsTuple);
    if (write_error) break;
  }
  error_code ignored;
  to->shutdown(tcp::socket::shutdown_send, ignored);
}

Awaitable<void> Accept(std::shared_ptr<Link> link, tcp::acceptor acceptor) {
  const auto executor = co_await asio::this_coro::executor;
  while (true) {
    auto [error, accepted] = co_await acceptor.async_accept(kAsTuple);
    if (error) continue;
    error_code ignored;
    const std::string source =
        accepted.remote_endpoint(ignored).address().to_string();
    if (link->cut || link->cut_sources.contains(source)) continue;
    auto inner = std::make_shared<tcp::socket>(std::move(accepted));
    auto outer = std::make_shared<tcp::socket>(executor);
    const auto target = ToTcpEndpoint(link->target);
    auto [connect_error] = co_await outer->async_connect(*target, kAsTuple);
    if (connect_error) continue;
    inner->set_option(tcp::no_delay(true), ignored);
    outer->set_option(tcp::no_delay(true), ignored);
    link->sockets.emplace_back(source, inner);
    link->sockets.emplace_back(source, outer);
    asio::co_spawn(executor, Pump(link, inner, outer, link->silence_epoch),
                   asio::detached);
    asio::co_spawn(executor, Pump(link, outer, inner, link->silence_epoch),
                   asio::detached);
  }
}

void CloseFrom(Link& link, const std::string& source) {
  link.sockets.remove_if([&source](const auto& entry) {
    if (!source.empty() && entry.first != source) return false;
    const auto socket = entry.second.lock();
    error_code ignored;
    if (socket) socket->close(ignored);
    return true;
  });
}

/// @param source  the connections concerned; empty for all
void SetMode(Link& link, const std::string& source, const std::string& mode) {
  const bool cut = mode == "cut";
  if (mode == "silent") ++link.silence_epoch;
  if (source.empty()) {
    link.cut = cut;
  } else if (cut) {
    link.cut_sources.insert(source);
  } else {
    link.cut_sources.erase(source);
  }
  if (cut) CloseFrom(link, source);
}

}  // namespace
}  // namespace cowslipknot::fakes

int main(int argc, char** argv) {
  using namespace cowslipknot;
  using fakes::Link;
  const fakes::Arguments arguments(argc, argv);
  asio::io_context context;
  std::vector<std::shared_ptr<Link>> links;
  // --links name=listen=target,name=listen=target
  std::istringstream list(arguments.Text("links"));
  std::string item;
  while (std::getline(list, item, ',')) {
    const std::size_t first = item.find('=');
    const std::size_t second = item.find('=', first + 1);
    auto link = std::make_shared<Link>();
    link->name = item.substr(0, first);
    link->listen =
        *ParseEndpointText(item.substr(first + 1, second - first - 1));
    link->target = *ParseEndpointText(item.substr(second + 1));
    auto acceptor = Listen(context, link->listen);
    if (!acceptor) return 1;
    links.push_back(link);
    asio::co_spawn(context, fakes::Accept(link, std::move(*acceptor)),
                   asio::detached);
  }
  return fakes::RunServer(
      context, static_cast<std::uint16_t>(arguments.Whole("port", 0)),
      [&links](HttpExchange& exchange) -> Awaitable<void> {
        const auto modes = boost::json::parse(exchange.Request().body());
        for (const auto& [name, mode] : modes.as_object()) {
          const std::string wanted(name);
          const std::size_t split = wanted.find('>');
          const bool from_one = split != std::string::npos;
          const std::string source = from_one ? wanted.substr(0, split) : "";
          const std::string link_name =
              from_one ? wanted.substr(split + 1) : wanted;
          for (const auto& link : links) {
            if (link->name != link_name) continue;
            fakes::SetMode(*link, source, std::string(mode.as_string()));
          }
        }
        co_await exchange.Respond(fakes::JsonAnswer(boost::json::object()));
      });
}
