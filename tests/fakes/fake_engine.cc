// Fake model engine: simulates continuous batching on a periodic tick, with a
// bounded prefix cache, priorities, resume, cancellation, load reports and
// injected faults.
#include <xxhash.h>

#include "base/endpoint_text.h"
#include "fake_server.h"
#include "prefix_cache.h"

namespace cowslipknot::fakes {
namespace {

namespace json = boost::json;

constexpr Milliseconds kTickInterval(5);
constexpr Milliseconds kDetachTimeout(3000);  ///< for streams without readers

struct Stream {
  explicit Stream(asio::io_context& context) : wakeup(context) {
    wakeup.expires_at(SteadyClock::time_point::max());
  }
  std::string id;
  std::uint64_t seed = 0;  ///< determines the generated text
  bool chat = false;
  int priority = 0;
  std::int64_t arrival = 0;     ///< sequence number of the request
  std::size_t first_token = 0;  ///< index of the first token to produce
  std::size_t total_tokens = 0;
  std::size_t produced_tokens = 0;
  double prefill_tokens_left = 0;
  std::uint64_t recomputed_tokens = 0;
  double decode_credit = 0;  ///< fraction of the next token that is decoded
  bool failed = false;
  bool cancelled = false;
  int readers = 0;
  SteadyClock::time_point detached_at = SteadyClock::now();
  asio::steady_timer wakeup;  ///< cancelled to wake the readers
};

using StreamPtr = std::shared_ptr<Stream>;

class Engine {
 public:
  Engine(asio::io_context& context, const Arguments& arguments)
      : m_context(context),
        m_name(arguments.Text("name")),
        m_history(arguments.Text("history")),
        m_notices(m_name, m_history),
        m_crash(arguments, m_history),
        m_prefill_rate(arguments.Number("prefill-rate", 8000)),
        m_decode_ms(arguments.Number("decode-ms", 10)),
        m_decode_ms_per_stream(arguments.Number("decode-ms-per-stream", 0.2)),
        m_cache(
            static_cast<std::size_t>(arguments.Integer("cache-tokens", 64000))),
        m_fail_every(arguments.Integer("fail-every", 0)),
        m_fail_after(arguments.Integer("fail-after", 0)),
        m_fail_above(arguments.Integer("fail-above", 0)),
        m_slow_ms(arguments.Integer("slow-ms", 0)) {}

  Awaitable<void> Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.Request();
    const std::string path = PathOf(request);
    constexpr std::string_view kStreams = "/v1/streams/";
    if (path == "/test/faults") {
      SetFaults(json::parse(request.body()).as_object());
      co_await exchange.Respond(JsonResponse(json::object()));
      co_return;
    }
    if (path.starts_with(kStreams)) {
      const auto found = m_streams.find(path.substr(kStreams.size()));
      if (found == m_streams.end()) {
        co_await RespondWithStatus(exchange, http::status::not_found);
        co_return;
      }
      const StreamPtr stream = found->second;
      if (request.method() == http::verb::delete_) {
        stream->cancelled = true;
        stream->wakeup.cancel();
        co_await exchange.Respond(JsonResponse(json::object()));
        co_return;
      }
      const std::string from = QueryValue(request, "from");
      co_await SendEvents(exchange, stream,
                          from.empty() ? 0 : std::stoul(from));
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
    co_await HandleCompletion(exchange, path);
  }

  /// Advances all streams every kTickInterval.
  Awaitable<void> Run() {
    auto last = SteadyClock::now();
    while (true) {
      co_await SleepFor(kTickInterval);
      const auto now = SteadyClock::now();
      const std::chrono::duration<double> elapsed = now - last;
      last = now;
      Advance(elapsed.count());
    }
  }

 private:
  Awaitable<void> RespondWithStatus(HttpExchange& exchange,
                                    http::status status) {
    HttpResponse response = StatusResponse(status);
    m_notices.AddTo(response);
    co_await exchange.Respond(std::move(response));
  }

  Awaitable<void> HandleCompletion(HttpExchange& exchange,
                                   const std::string& path) {
    StreamPtr stream;
    error_code error;
    const json::value body = json::parse(exchange.Request().body(), error);
    if (error || !body.is_object()) {
      co_await RespondWithStatus(exchange, http::status::bad_request);
      co_return;
    }
    ++m_requests;
    const std::string id(exchange.Request()["X-Request-Id"]);
    m_history.Write("dispatch", {{"server", m_name}, {"attempt", id}});
    if (ShouldFail()) {
      co_await RespondWithStatus(exchange, http::status::internal_server_error);
      co_return;
    }
    if (m_slow_ms > 0) co_await SleepFor(Milliseconds(m_slow_ms));
    stream =
        MakeStream(body.as_object(), id, path.ends_with("chat/completions"));
    stream->arrival = m_requests;
    stream->priority = exchange.Request()["X-Priority"] == "1" ? 1 : 0;
    m_streams[id] = stream;
    co_await SendEvents(exchange, stream, stream->first_token);
  }

  bool ShouldFail() const {
    if (m_fail_after > 0 && m_requests > m_fail_after) return true;
    if (m_fail_above > 0 && ActiveCount() > m_fail_above) return true;
    return m_fail_every > 0 && m_requests % m_fail_every == 0;
  }

  std::int64_t ActiveCount() const {
    std::int64_t active = 0;
    for (const auto& [id, stream] : m_streams) active += IsActive(*stream);
    return active;
  }

  static bool IsActive(const Stream& stream) {
    return !stream.cancelled && stream.produced_tokens < stream.total_tokens;
  }

  StreamPtr MakeStream(const json::object& body, const std::string& id,
                       bool chat) {
    auto stream = std::make_shared<Stream>(m_context);
    stream->id = id;
    stream->chat = chat;
    const std::string prompt =
        json::serialize(body.at(chat ? "messages" : "prompt"));
    stream->seed = XXH3_64bits(prompt.data(), prompt.size());
    stream->total_tokens = 64;
    if (body.contains("max_tokens")) {
      stream->total_tokens = body.at("max_tokens").to_number<std::size_t>();
    }
    const std::size_t cached = m_cache.Add(prompt);
    std::size_t uncached = prompt.size() / PrefixCache::kCharsPerToken;
    uncached -= std::min(uncached, cached);
    if (body.contains("continue_from")) {
      stream->first_token =
          body.at("continue_from").at("tokens").to_number<std::size_t>();
      stream->produced_tokens = stream->first_token;
      uncached += stream->first_token;
      stream->recomputed_tokens = uncached;
    }
    stream->prefill_tokens_left = static_cast<double>(uncached);
    return stream;
  }

  std::uint64_t PendingPrefillTokens() const {
    double sum = 0;
    for (const auto& [id, stream] : m_streams) {
      if (IsActive(*stream)) sum += stream->prefill_tokens_left;
    }
    return static_cast<std::uint64_t>(sum);
  }

  void Advance(double seconds) {
    std::vector<StreamPtr> active;
    const auto now = SteadyClock::now();
    for (auto entry = m_streams.begin(); entry != m_streams.end();) {
      Stream& stream = *entry->second;
      const bool abandoned =
          stream.readers == 0 && now - stream.detached_at > kDetachTimeout;
      if (abandoned) {
        entry = m_streams.erase(entry);
        continue;
      }
      if (IsActive(stream)) active.push_back(entry->second);
      ++entry;
    }
    std::stable_sort(active.begin(), active.end(),
                     [](const StreamPtr& left, const StreamPtr& right) {
                       return std::tuple(-left->priority, left->arrival) <
                              std::tuple(-right->priority, right->arrival);
                     });
    double prefill_budget = m_prefill_rate * seconds;
    const double step_ms = m_decode_ms + m_decode_ms_per_stream *
                                             static_cast<double>(active.size());
    for (const auto& stream : active) {
      if (stream->prefill_tokens_left > 0) {
        const double used =
            std::min(prefill_budget, stream->prefill_tokens_left);
        stream->prefill_tokens_left -= used;
        prefill_budget -= used;
        continue;
      }
      stream->decode_credit += seconds * 1000 / step_ms;
      const std::size_t produced_before = stream->produced_tokens;
      while (stream->decode_credit >= 1 &&
             stream->produced_tokens < stream->total_tokens) {
        stream->decode_credit -= 1;
        ++stream->produced_tokens;
      }
      if (stream->produced_tokens != produced_before) stream->wakeup.cancel();
    }
  }

  std::string FormatEvent(const Stream& stream, std::size_t index) const {
    const std::uint64_t word =
        XXH3_64bits_withSeed(&index, sizeof(index), stream.seed) % 100000;
    const std::string text = "w" + std::to_string(word) + " ";
    json::object choice;
    choice["index"] = 0;
    if (stream.chat) {
      choice["delta"] = json::object({{"content", text}});
    } else {
      choice["text"] = text;
    }
    choice["finish_reason"] = nullptr;
    if (index + 1 == stream.total_tokens) choice["finish_reason"] = "length";
    json::object load;
    load["queue_tokens"] = PendingPrefillTokens();
    load["recomputed_tokens"] =
        index == stream.first_token ? stream.recomputed_tokens : 0;
    json::object event;
    event["choices"] = json::array{choice};
    event["load"] = std::move(load);
    return "id: " + std::to_string(index) +
           "\ndata: " + json::serialize(event) + "\n\n";
  }

  Awaitable<void> SendEvents(HttpExchange& exchange, StreamPtr stream,
                             std::size_t position) {
    HttpResponse header(http::status::ok, 11);
    header.set(http::field::content_type, "text/event-stream");
    header.set("X-Request-Id", m_send_previous_id ? m_previous_id : stream->id);
    m_notices.AddTo(header);
    m_previous_id = stream->id;
    ++stream->readers;
    const std::uint64_t silence_epoch = m_silence_epoch;
    bool connected = co_await exchange.BeginStream(std::move(header));
    while (connected && !stream->cancelled) {
      const bool is_running = stream->produced_tokens > stream->first_token;
      if (is_running && m_crash.Matches(exchange.Request()))
        m_crash.Crash(exchange.Request());
      // Connections opened before a silence fault stay open but send no more
      // data.
      while (silence_epoch < m_silence_epoch && !stream->cancelled) {
        co_await SleepFor(Milliseconds(50));
      }
      std::string chunk;
      for (; position < stream->produced_tokens; ++position) {
        chunk += FormatEvent(*stream, position);
      }
      if (m_cut_after > 0 && position >= m_cut_after) {
        exchange.Abort();
        break;
      }
      if (m_end_after > 0 && position >= m_end_after) {
        // The chunked encoding ends correctly although the response is
        // incomplete.
        co_await exchange.WriteChunk(chunk);
        co_await exchange.EndStream();
        --stream->readers;
        co_return;
      }
      const bool complete = position >= stream->total_tokens;
      if (complete && !m_omit_done_event) chunk += "data: [DONE]\n\n";
      if (!chunk.empty()) connected = co_await exchange.WriteChunk(chunk);
      if (complete || !connected) break;
      co_await stream->wakeup.async_wait(kAsTuple);
    }
    --stream->readers;
    stream->detached_at = SteadyClock::now();
    const bool complete = position >= stream->total_tokens;
    if (connected && complete && !WasCut(position)) {
      co_await exchange.EndStream();
      m_streams.erase(stream->id);
    } else {
      exchange.Abort();
    }
  }

  bool WasCut(std::size_t position) const {
    return m_cut_after > 0 && position >= m_cut_after;
  }

  void SetFaults(const json::object& faults) {
    m_notices.SetFaults(faults);
    const auto number = [&faults](const char* name, auto& target) {
      if (!faults.contains(name)) return;
      target = faults.at(name).to_number<std::decay_t<decltype(target)>>();
    };
    number("fail_every", m_fail_every);
    number("fail_after", m_fail_after);
    number("fail_above", m_fail_above);
    number("slow_ms", m_slow_ms);
    number("cut_after", m_cut_after);
    number("end_after", m_end_after);
    if (faults.contains("silence")) ++m_silence_epoch;
    if (faults.contains("leaving")) m_leaving = faults.at("leaving").as_bool();
    if (faults.contains("no_end_mark")) {
      m_omit_done_event = faults.at("no_end_mark").as_bool();
    }
    if (faults.contains("cross")) {
      m_send_previous_id = faults.at("cross").as_bool();
    }
  }

  asio::io_context& m_context;
  std::string m_name;
  History m_history;
  Notices m_notices;
  CrashTrigger m_crash;
  double m_prefill_rate;  ///< tokens per second
  double m_decode_ms;
  double m_decode_ms_per_stream;
  PrefixCache m_cache;
  std::int64_t m_fail_every;
  std::int64_t m_fail_after;
  std::int64_t m_fail_above;
  std::int64_t m_slow_ms;
  std::size_t m_cut_after = 0;  ///< tokens until the connection is aborted
  std::size_t m_end_after = 0;  ///< tokens until the body ends early
  bool m_omit_done_event = false;
  std::uint64_t m_silence_epoch = 0;
  bool m_leaving = false;
  bool m_send_previous_id = false;
  std::string m_previous_id;
  std::int64_t m_requests = 0;
  std::map<std::string, StreamPtr> m_streams;
};

}  // namespace
}  // namespace cowslipknot::fakes

int main(int argc, char** argv) {
  using namespace cowslipknot;
  const fakes::Arguments arguments(argc, argv);
  asio::io_context context;
  fakes::Engine engine(context, arguments);
  asio::co_spawn(context, engine.Run(), asio::detached);
  const auto platform = ParseEndpointText(arguments.Text("platform"));
  if (platform) {
    asio::co_spawn(context,
                   fakes::RegisterInstance(
                       *platform, fakes::MakeInstanceRow(arguments, "engine")),
                   asio::detached);
  }
  return fakes::RunServer(
      context, static_cast<std::uint16_t>(arguments.Integer("port", 0)),
      [&engine](HttpExchange& exchange) { return engine.Handle(exchange); });
}
