// TCP forwarder that injects network faults into named links.
//
// POST /test/links {"name": MODE} sets the mode of a link. The name
// "SOURCE>LINK" cuts connections from one source address only. Modes:
//   pass     ends "cut", "one_way" and "delay"
//   cut      closes open connections and rejects new ones
//   silent   connections that are open now stay open but carry no more data
//   reset    resets the connections that are open now
//   one_way  discards what the target sends, for the rest of the connection
//   delay    forwards each chunk after kDelay
//   down     resets open connections and refuses new ones, as the address of an
//            ended process does, until "up", whatever other modes come between
#include <list>
#include <optional>
#include <set>
#include <sstream>

#include "base/endpoint_text.h"
#include "fake_server.h"
#include "transport/endpoint.h"

namespace cowslipknot::fakes {
namespace {

namespace json = boost::json;

constexpr std::size_t kBufferBytes = 16 << 10;
constexpr Milliseconds kDelay(150);  ///< far above a typical round-trip time

/// A forwarded address and its faults.
struct Link {
  std::string name;
  Endpoint listen;
  Endpoint target;
  std::optional<tcp::acceptor> acceptor;  ///< none while the link is down
  bool cut = false;
  bool one_way = false;
  bool delayed = false;
  std::set<std::string> cut_sources;
  std::uint64_t silence_epoch = 0;
  std::list<std::pair<std::string, std::weak_ptr<tcp::socket>>> sockets;
};

using SocketPtr = std::shared_ptr<tcp::socket>;

enum class Direction : std::uint8_t { kToTarget, kFromTarget };

Awaitable<void> ForwardData(std::shared_ptr<Link> link, SocketPtr from,
                            SocketPtr to, Direction direction) {
  const std::uint64_t epoch = link->silence_epoch;
  bool discard = false;
  std::string buffer(kBufferBytes, '\0');
  while (true) {
    auto [read_error, size] =
        co_await from->async_read_some(asio::buffer(buffer), kAsTuple);
    if (read_error) break;
    const bool lost = link->one_way && direction == Direction::kFromTarget;
    // Data after a gap would be misparsed, so everything that follows is
    // discarded as well.
    discard = discard || lost || epoch < link->silence_epoch;
    if (discard) continue;
    if (link->delayed) co_await SleepFor(kDelay);
    auto [write_error, written] = co_await asio::async_write(
        *to, asio::buffer(buffer.data(), size), kAsTuple);
    if (write_error) break;
  }
  error_code ignored;
  to->shutdown(tcp::socket::shutdown_send, ignored);
}

/// Connects to the target and forwards data in both directions.
Awaitable<void> ConnectAndForward(std::shared_ptr<Link> link,
                                  SocketPtr client_socket, std::string source) {
  const auto executor = co_await asio::this_coro::executor;
  auto target_socket = std::make_shared<tcp::socket>(executor);
  const auto target = ToTcpEndpoint(link->target);
  auto [error] = co_await target_socket->async_connect(*target, kAsTuple);
  if (error) co_return;
  error_code ignored;
  client_socket->set_option(tcp::no_delay(true), ignored);
  link->sockets.emplace_back(source, client_socket);
  link->sockets.emplace_back(source, target_socket);
  asio::co_spawn(
      executor,
      ForwardData(link, client_socket, target_socket, Direction::kToTarget),
      asio::detached);
  asio::co_spawn(
      executor,
      ForwardData(link, target_socket, client_socket, Direction::kFromTarget),
      asio::detached);
}

Awaitable<void> AcceptConnections(std::shared_ptr<Link> link) {
  const auto executor = co_await asio::this_coro::executor;
  while (link->acceptor) {
    auto [error, accepted] = co_await link->acceptor->async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;
    error_code ignored;
    const std::string source =
        accepted.remote_endpoint(ignored).address().to_string();
    if (link->cut || link->cut_sources.contains(source)) continue;
    auto client_socket = std::make_shared<tcp::socket>(std::move(accepted));
    asio::co_spawn(executor,
                   ConnectAndForward(link, std::move(client_socket), source),
                   asio::detached);
  }
}

/// @param reset  close with a TCP reset instead of an orderly shutdown
void CloseConnections(Link& link, const std::string& source, bool reset) {
  link.sockets.remove_if([&source, reset](const auto& entry) {
    if (!source.empty() && entry.first != source) return false;
    const auto socket = entry.second.lock();
    error_code ignored;
    if (socket && reset) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (socket) socket->close(ignored);
    return true;
  });
}

bool Open(asio::io_context& context, const std::shared_ptr<Link>& link) {
  if (link->acceptor) return true;
  auto acceptor = Listen(context, link->listen);
  if (!acceptor) return false;
  link->acceptor = std::move(*acceptor);
  asio::co_spawn(context, AcceptConnections(link), asio::detached);
  return true;
}

void TakeDown(Link& link) {
  link.acceptor.reset();
  CloseConnections(link, "", true);
}

/// @param source  address whose connections are affected; empty for all
void SetMode(Link& link, const std::string& source, const std::string& mode) {
  const bool cut = mode == "cut";
  if (mode == "silent") ++link.silence_epoch;
  if (source.empty()) {
    link.one_way = mode == "one_way";
    link.delayed = mode == "delay";
  }
  if (source.empty()) {
    link.cut = cut;
  } else if (cut) {
    link.cut_sources.insert(source);
  } else {
    link.cut_sources.erase(source);
  }
  if (cut || mode == "reset") CloseConnections(link, source, mode == "reset");
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
    const std::size_t listen_separator = item.find('=');
    const std::size_t target_separator = item.find('=', listen_separator + 1);
    auto link = std::make_shared<Link>();
    link->name = item.substr(0, listen_separator);
    link->listen = *ParseEndpointText(item.substr(
        listen_separator + 1, target_separator - listen_separator - 1));
    link->target = *ParseEndpointText(item.substr(target_separator + 1));
    if (!fakes::Open(context, link)) return 1;
    links.push_back(link);
  }
  return fakes::RunServer(
      context, static_cast<std::uint16_t>(arguments.Integer("port", 0)),
      [&context, &links](HttpExchange& exchange) -> Awaitable<void> {
        const auto modes = boost::json::parse(exchange.Request().body());
        for (const auto& [name, mode] : modes.as_object()) {
          const std::string key(name);
          const std::size_t separator = key.find('>');
          const bool has_source = separator != std::string::npos;
          const std::string source = has_source ? key.substr(0, separator) : "";
          const std::string link_name =
              has_source ? key.substr(separator + 1) : key;
          for (const auto& link : links) {
            if (link->name != link_name) continue;
            if (mode == "up") {
              fakes::Open(context, link);
            } else if (mode == "down") {
              fakes::TakeDown(*link);
            } else {
              fakes::SetMode(*link, source, std::string(mode.as_string()));
            }
          }
        }
        co_await exchange.Respond(fakes::JsonResponse(boost::json::object()));
      });
}
