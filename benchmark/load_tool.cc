// Open-loop load generator: requests of each class arrive as a Poisson process
// with a fixed seed, and each response is checked as its caller would check it.
#include <xxhash.h>

#include <iostream>
#include <random>

#include "base/clock.h"
#include "load_report.h"
#include "protocol/model_api.h"
#include "transport/http_client.h"

namespace cowslipknot::load {
namespace {

namespace json = boost::json;

constexpr int kMaxAttempts = 40;
constexpr Milliseconds kRetryDelay(250);
constexpr Milliseconds kReadTimeout(20000);
constexpr ByteCount kMaxResponseSize(16 << 20);

/// The word that the fake engine generates at a position of its output for the
/// prompt with this seed.
std::string ExpectedWord(std::uint64_t seed, std::size_t index) {
  const std::uint64_t word =
      XXH3_64bits_withSeed(&index, sizeof(index), seed) % 100000;
  return "w" + std::to_string(word) + " ";
}

struct Prompt {
  std::string body;
  std::uint64_t seed = 0;
  std::uint64_t tokens = 0;
};

class LoadTool {
 public:
  explicit LoadTool(const LoadOptions& options)
      : m_options(options),
        m_random(options.seed),
        m_report(options),
        m_http(HttpClient::Create(m_context.get_executor(), kMaxResponseSize)) {
  }

  int Run() {
    const auto start = SteadyClock::now();
    asio::co_spawn(m_context, GenerateArrivals(), asio::detached);
    m_context.run();
    const std::chrono::duration<double> elapsed = SteadyClock::now() - start;
    std::cout << json::serialize(m_report.Summary(elapsed.count())) << "\n";
    return 0;
  }

 private:
  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  Endpoint PickTarget() {
    const auto count = static_cast<double>(m_options.targets.size());
    return m_options.targets.at(static_cast<std::size_t>(Draw() * count));
  }

  Awaitable<void> GenerateArrivals() {
    const auto start = SteadyClock::now();
    std::exponential_distribution<double> gap(m_options.arrivals_per_s);
    double at_s = 0;
    std::uint64_t number = 0;
    while (true) {
      at_s += gap(m_random);
      if (at_s >= m_options.duration_s) co_return;
      const auto due =
          start + std::chrono::duration_cast<SteadyClock::duration>(
                      std::chrono::duration<double>(at_s));
      asio::steady_timer timer(m_context, due);
      co_await timer.async_wait(kAsTuple);
      StartRequest(++number);
    }
  }

  void StartRequest(std::uint64_t number) {
    const double total = m_options.letter_share + m_options.draft_share +
                         m_options.filing_share + m_options.lookup_share;
    double draw = Draw() * total;
    if ((draw -= m_options.letter_share) < 0) {
      Spawn(CallModel(number, true));
    } else if ((draw -= m_options.draft_share) < 0) {
      Spawn(CallModel(number, false));
    } else if ((draw -= m_options.filing_share) < 0) {
      const std::string key =
          std::to_string(m_options.seed) + "-" + std::to_string(number);
      Spawn(CallPlain("filing", key));
      if (Draw() < m_options.duplicate_filing_share) {
        Spawn(CallPlain("filing", key));
      }
    } else {
      Spawn(CallPlain("lookup", ""));
    }
  }

  void Spawn(Awaitable<void> task) {
    asio::co_spawn(m_context, std::move(task), asio::detached);
  }

  Prompt MakePrompt(std::uint64_t number, bool letter) {
    const auto prefix = static_cast<std::uint64_t>(
        Draw() * static_cast<double>(m_options.prompt_prefixes));
    std::string text = "dossier " + std::to_string(prefix) + " ";
    while (text.size() < m_options.prompt_chars * 4 / 5) {
      text += "clause " + std::to_string(prefix) + " ";
    }
    text += "request " + std::to_string(number) + " ";
    while (text.size() < m_options.prompt_chars) text += "detail ";
    const json::value prompt = json::string(text);
    const std::string serialized = json::serialize(prompt);
    Prompt made;
    made.seed = XXH3_64bits(serialized.data(), serialized.size());
    made.tokens = letter ? m_options.letter_tokens : m_options.draft_tokens;
    json::object body;
    body["model"] = letter ? m_options.letter_model : m_options.draft_model;
    body["prompt"] = text;
    body["max_tokens"] = made.tokens;
    body["stream"] = letter || m_options.targets_are_engines;
    made.body = json::serialize(body);
    return made;
  }

  HttpRequest MakeRequest(http::verb method, const std::string& target) {
    HttpRequest request(method, target, 11);
    request.set(http::field::authorization, "Bearer " + m_options.api_key);
    request.set(http::field::content_type, "application/json");
    return request;
  }

  /// A caller's state of one model request across all its HTTP calls.
  struct ModelCallState {
    std::string id;
    std::size_t received = 0;
    bool complete = false;
    bool wrong = false;
    bool accepted = false;
    bool refused = false;
    SteadyClock::time_point last_token;
  };

  Awaitable<void> CallModel(std::uint64_t number, bool letter) {
    const auto start = SteadyClock::now();
    const Prompt prompt = MakePrompt(number, letter);
    Sample sample;
    sample.kind = letter ? "letter" : "draft";
    ModelCallState state;
    state.id = std::string(sample.kind) + "-" + std::to_string(number);
    m_report.WriteHistory("invoke",
                          {{"kind", sample.kind}, {"call", state.id}});
    std::string resume_id;
    bool submitted = false;
    for (int attempt = 0; attempt < kMaxAttempts && !state.complete;
         ++attempt) {
      if (ElapsedSince(start) > m_options.model_request_timeout || state.wrong)
        break;
      if (attempt > 0) co_await SleepFor(kRetryDelay);
      HttpRequest request =
          submitted && !resume_id.empty()
              ? MakeRequest(http::verb::get, "/v1/requests/" + resume_id)
              : MakeRequest(http::verb::post, "/v1/completions");
      const bool resuming = request.method() == http::verb::get;
      if (resuming) {
        ++sample.resumed;
        if (state.received > 0) {
          request.set("Last-Event-ID", std::to_string(state.received - 1));
        }
      } else {
        request.body() = prompt.body;
        request.set("X-Request-Id", state.id);
        state.received = 0;
      }
      CallProgress progress;
      auto opened = co_await m_http->Open(
          PickTarget(), std::move(request),
          WithTimeout(kReadTimeout, m_options.reuse_connections
                                        ? Reuse::kAllowed
                                        : Reuse::kNewOnly),
          progress);
      if (!opened) {
        sample.broken += progress.first_byte_sent ? 1 : 0;
        continue;
      }
      const auto& header = (*opened)->Header();
      const std::string id(header["X-Request-Id"]);
      if (!id.empty()) resume_id = id;
      if (header.result_int() == 303) {
        submitted = true;
        continue;
      }
      if (header.result_int() == 404 && resuming) {
        // No instance knows the request any longer, so submit it again.
        submitted = false;
        sample.outcome = "lost";
        continue;
      }
      if (header.result_int() != 200) {
        state.refused = header["X-Execution"] == "not-run";
        if (resuming) continue;
        break;
      }
      submitted = true;
      state.accepted = true;
      const bool stream =
          header[http::field::content_type].starts_with("text/event-stream");
      if (stream) {
        co_await ReadStream(**opened, prompt, state, sample, start);
      } else {
        co_await ReadBody(**opened, prompt, state, sample, start);
      }
    }
    sample.total_ms = ElapsedMsSince(start);
    const bool lost = sample.outcome == "lost";
    if (state.wrong) {
      sample.outcome = "wrong";
    } else if (lost) {
      sample.outcome = state.complete ? "redone" : "lost";
    } else if (state.complete) {
      sample.outcome = "ok";
    } else {
      sample.outcome = state.refused && !state.accepted ? "refused" : "lost";
    }
    m_report.WriteHistory("outcome", {{"kind", sample.kind},
                                      {"call", state.id},
                                      {"id", resume_id},
                                      {"outcome", sample.outcome},
                                      {"broken", sample.broken},
                                      {"resumed", sample.resumed}});
    m_report.AddSample(std::move(sample));
  }

  Awaitable<void> ReadStream(ResponseStream& stream, const Prompt& prompt,
                             ModelCallState& state, Sample& sample,
                             SteadyClock::time_point start) {
    SseParser parser;
    while (true) {
      const auto piece = co_await stream.Read(kReadTimeout);
      sample.broken += piece ? 0 : 1;
      if (!piece || piece->empty()) co_return;
      const auto events = parser.Feed(*piece);
      if (!events) co_return;
      for (const auto& raw : *events) {
        const auto event = ParseEngineEvent(raw);
        if (event && event->done) {
          state.complete = state.received == prompt.tokens;
          state.wrong = state.wrong || !state.complete;
          continue;
        }
        if (!event || event->text.empty()) continue;
        const bool expected =
            event->index == state.received &&
            event->text == ExpectedWord(prompt.seed, state.received);
        if (!expected) {
          m_report.WriteHistory("wrong", {{"call", state.id},
                                          {"index", event->index},
                                          {"wanted", state.received}});
          state.wrong = true;
        }
        ++state.received;
        const auto now = SteadyClock::now();
        if (sample.first_token_ms < 0) {
          sample.first_token_ms = ElapsedMsSince(start);
        } else {
          const std::chrono::duration<double, std::milli> gap =
              now - state.last_token;
          sample.token_gaps_ms.push_back(gap.count());
        }
        state.last_token = now;
      }
    }
  }

  Awaitable<void> ReadBody(ResponseStream& stream, const Prompt& prompt,
                           ModelCallState& state, Sample& sample,
                           SteadyClock::time_point start) {
    std::string body;
    while (true) {
      const auto piece = co_await stream.Read(kReadTimeout);
      sample.broken += piece ? 0 : 1;
      if (!piece) co_return;
      if (piece->empty()) break;
      body += *piece;
    }
    std::string expected;
    for (std::size_t i = 0; i < prompt.tokens; ++i) {
      expected += ExpectedWord(prompt.seed, i);
    }
    error_code error;
    const json::value parsed = json::parse(body, error);
    if (error) co_return;
    const json::value& choice = parsed.at("choices").at(0);
    state.complete = choice.at("text").as_string() == expected;
    state.wrong = !state.complete;
    sample.first_token_ms = ElapsedMsSince(start);
  }

  Awaitable<void> CallPlain(std::string kind, std::string key) {
    const auto start = SteadyClock::now();
    const bool filing = kind == "filing";
    const std::uint64_t call = ++m_plain_calls;
    m_report.WriteHistory("invoke",
                          {{"kind", kind}, {"key", key}, {"call", call}});
    Sample sample;
    sample.kind = kind;
    sample.outcome = "refused";
    std::string code;
    std::string response_body;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      if (attempt > 0) co_await SleepFor(kRetryDelay);
      HttpRequest request =
          MakeRequest(filing ? http::verb::post : http::verb::get,
                      filing ? "/filings/new" : "/lookups/item");
      if (filing) {
        request.set("Idempotency-Key", key);
        request.body() = "{\"lot\":1}";
      }
      CallProgress progress;
      const auto response = co_await m_http->Call(
          PickTarget(), std::move(request), kReadTimeout,
          m_options.reuse_connections ? Reuse::kAllowed : Reuse::kNewOnly,
          progress);
      if (!response && !progress.first_byte_sent) continue;
      if (!response) {
        // The connection broke after the request was sent. Both kinds can be
        // repeated: a filing has an idempotency key, a lookup is idempotent.
        sample.outcome = "unknown";
        ++sample.broken;
        ++sample.resumed;
        if (attempt < 3) continue;
        break;
      }
      code = std::string((*response)["X-Result-Code"]);
      if (response->result_int() < 400) {
        sample.outcome = "ok";
        response_body = response->body();
      } else {
        const bool not_run = (*response)["X-Execution"] == "not-run";
        // An earlier attempt of this call may have been executed.
        sample.outcome = not_run && sample.resumed == 0 ? "refused" : "unknown";
      }
      break;
    }
    sample.total_ms = ElapsedMsSince(start);
    m_report.WriteHistory("outcome", {{"kind", kind},
                                      {"key", key},
                                      {"call", call},
                                      {"outcome", sample.outcome},
                                      {"code", code},
                                      {"answer", response_body},
                                      {"broken", sample.broken},
                                      {"resumed", sample.resumed}});
    m_report.AddSample(std::move(sample));
  }

  const LoadOptions& m_options;
  std::mt19937_64 m_random;
  LoadReport m_report;
  asio::io_context m_context{1};
  std::shared_ptr<HttpClient> m_http;
  std::uint64_t m_plain_calls = 0;
};

}  // namespace
}  // namespace cowslipknot::load

int main(int argc, char** argv) {
  using namespace cowslipknot::load;
  const auto options = ParseLoadOptions(argc, argv);
  if (!options) return 2;
  LoadTool tool(*options);
  return tool.Run();
}
