// Forwards TCP connections so that tests can disturb links.
//
// Links are named; POST /test/links {"name": MODE}. The name "SOURCE>LINK" cuts
// connections from one source address only. Modes:
//   pass     ends "cut", "one_way" and "delay"
//   cut      closes connections and accepts no more
//   silent   connections that are open now carry nothing any more
//   reset    resets the connections that are open now
//   one_way  what the target sends is lost, with the rest of its connection
//   delay    each piece is held for kDelay
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
constexpr Milliseconds kDelay(150);  ///< well above a usual round trip

/// One forwarded address.
struct Link {
  std::string name;
  Endpoint listen;
  Endpoint target;
  bool cut = false;
  bool one_way = false;
  bool delayed = false;
  std::set<std::string> cut_sources;
  std::uint64_t silence_epoch = 0;
  std::list<std::pair<std::string, std::weak_ptr<tcp::socket>>> sockets;
};

using SocketPtr = std::shared_ptr<tcp::socket>;

enum class Direction : std::uint8_t { kToTarget, kFromTarget };

Awaitable<void> Pump(std::shared_ptr<Link> link, SocketPtr from, SocketPtr to,
                     Direction direction) {
  const std::uint64_t epoch = link->silence_epoch;
  bool swallows = false;
  std::string piece(kPieceBytes, '\0');
  while (true) {
    auto [read_error, size] =
        co_await from->async_read_some(asio::buffer(piece), kAsTuple);
    if (read_error) break;
    const bool lost = link->one_way && direction == Direction::kFromTarget;
    // Bytes after a gap would be taken for something else.
    swallows = swallows || lost || epoch < link->silence_epoch;
    if (swallows) continue;
    if (link->delayed) co_await SleepFor(kDelay);
    auto [write_error, written] = co_await asio::async_write(
        *to, asio::buffer(piece.data(), size), kAsTuple);
    if (write_error) break;
  }
  error_code ignored;
  to->shutdown(tcp::socket::shutdown_send, ignored);
}

/// Connects to the target and carries both directions.
Awaitable<void> Carry(std::shared_ptr<Link> link, SocketPtr inner,
                      std::string source) {
  const auto executor = co_await asio::this_coro::executor;
  auto outer = std::make_shared<tcp::socket>(executor);
  const auto target = ToTcpEndpoint(link->target);
  auto [error] = co_await outer->async_connect(*target, kAsTuple);
  if (error) co_return;
  error_code ignored;
  inner->set_option(tcp::no_delay(true), ignored);
  link->sockets.emplace_back(source, inner);
  link->sockets.emplace_back(source, outer);
  asio::co_spawn(executor, Pump(link, inner, outer, Direction::kToTarget),
                 asio::detached);
  asio::co_spawn(executor, Pump(link, outer, inner, Direction::kFromTarget),
                 asio::detached);
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
    asio::co_spawn(executor, Carry(link, std::move(inner), source),
                   asio::detached);
  }
}

/// @param reset  whether the peers see a reset, not an end
void CloseFrom(Link& link, const std::string& source, bool reset) {
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

/// @param source  the connections concerned; empty for all
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
  if (cut || mode == "reset") CloseFrom(link, source, mode == "reset");
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
