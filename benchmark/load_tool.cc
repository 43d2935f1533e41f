// Open-loop load: seeded Poisson arrivals of each request class, checked as a
// caller would check them.
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

constexpr int kMaxAsks = 40;
constexpr Milliseconds kAskPause(250);
constexpr Milliseconds kReadTimeout(20000);
constexpr ByteCount kMaxAnswer(16 << 20);

/// The words that the stand-in engine gives for a prompt.
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
        m_http(HttpClient::Create(m_context.get_executor(), kMaxAnswer)) {}

  int Run() {
    const auto start = SteadyClock::now();
    asio::co_spawn(m_context, Arrive(), asio::detached);
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

  Awaitable<void> Arrive() {
    const auto start = SteadyClock::now();
    std::exponential_distribution<double> gap(m_options.rate);
    double at_s = 0;
    std::uint64_t number = 0;
    while (true) {
      at_s += gap(m_random);
      if (at_s >= m_options.seconds) co_return;
      const auto due =
          start + std::chrono::duration_cast<SteadyClock::duration>(
                      std::chrono::duration<double>(at_s));
      asio::steady_timer timer(m_context, due);
      co_await timer.async_wait(kAsTuple);
      Launch(++number);
    }
  }

  void Launch(std::uint64_t number) {
    const double total = m_options.letters + m_options.drafts +
                         m_options.filings + m_options.lookups;
    double draw = Draw() * total;
    if ((draw -= m_options.letters) < 0) {
      Spawn(CallModel(number, true));
    } else if ((draw -= m_options.drafts) < 0) {
      Spawn(CallModel(number, false));
    } else if ((draw -= m_options.filings) < 0) {
      const std::string key =
          std::to_string(m_options.seed) + "-" + std::to_string(number);
      Spawn(CallPlain("filing", key));
      if (Draw() < m_options.doubled) Spawn(CallPlain("filing", key));
    } else {
      Spawn(CallPlain("lookup", ""));
    }
  }

  void Spawn(Awaitable<void> task) {
    asio::co_spawn(m_context, std::move(task), asio::detached);
  }

  Prompt MakePrompt(std::uint64_t number, bool letter) {
    const auto prefix = static_cast<std::uint64_t>(
        Draw() * static_cast<double>(m_options.prefixes));
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
    body["stream"] = letter || m_options.direct;
    made.body = json::serialize(body);
    return made;
  }

  HttpRequest MakeRequest(http::verb method, const std::string& target) {
    HttpRequest request(method, target, 11);
    request.set(http::field::authorization, "Bearer " + m_options.api_key);
    request.set(http::field::content_type, "application/json");
    return request;
  }

  /// One caller's view of one model request, over as many asks as it takes.
  struct Reading {
    std::string id;
    std::size_t received = 0;
    bool whole = false;
    bool wrong = false;
    bool accepted = false;
    bool refused = false;
    SteadyClock::time_point last;
  };

  Awaitable<void> CallModel(std::uint64_t number, bool letter) {
    const auto start = SteadyClock::now();
    const Prompt prompt = MakePrompt(number, letter);
    Sample sample;
    sample.kind = letter ? "letter" : "draft";
    Reading reading;
    reading.id = std::string(sample.kind) + "-" + std::to_string(number);
    m_report.Write("invoke", {{"kind", sample.kind}, {"call", reading.id}});
    std::string resume_id;
    bool posted = false;
    for (int ask = 0; ask < kMaxAsks && !reading.whole; ++ask) {
      if (Since(start) > m_options.patience || reading.wrong) break;
      if (ask > 0) co_await SleepFor(kAskPause);
      HttpRequest request =
          posted && !resume_id.empty()
              ? MakeRequest(http::verb::get, "/v1/requests/" + resume_id)
              : MakeRequest(http::verb::post, "/v1/completions");
      const bool resuming = request.method() == http::verb::get;
      if (resuming) {
        ++sample.resumed;
        if (reading.received > 0) {
          request.set("Last-Event-ID", std::to_string(reading.received - 1));
        }
      } else {
        request.body() = prompt.body;
        request.set("X-Request-Id", reading.id);
        reading.received = 0;
      }
      CallProgress progress;
      auto opened = co_await m_http->Open(
          PickTarget(), std::move(request),
          WithTimeout(kReadTimeout,
                      m_options.reuse ? Reuse::kAllowed : Reuse::kFreshOnly),
          progress);
      if (!opened) {
        sample.broken += progress.first_byte_sent ? 1 : 0;
        continue;
      }
      const auto& header = (*opened)->Header();
      const std::string id(header["X-Request-Id"]);
      if (!id.empty()) resume_id = id;
      if (header.result_int() == 303) {
        posted = true;
        continue;
      }
      if (header.result_int() == 404 && resuming) {
        // No instance knows the request any more: it is asked for anew.
        posted = false;
        sample.outcome = "lost";
        continue;
      }
      if (header.result_int() != 200) {
        reading.refused = header["X-Execution"] == "not-run";
        if (resuming) continue;
        break;
      }
      posted = true;
      reading.accepted = true;
      const bool stream =
          header[http::field::content_type].starts_with("text/event-stream");
      if (stream) {
        co_await ReadStream(**opened, prompt, reading, sample, start);
      } else {
        co_await ReadWhole(**opened, prompt, reading, sample, start);
      }
    }
    sample.total_ms = FractionalMsSince(start);
    const bool lost = sample.outcome == "lost";
    if (reading.wrong) {
      sample.outcome = "wrong";
    } else if (lost) {
      sample.outcome = reading.whole ? "redone" : "lost";
    } else if (reading.whole) {
      sample.outcome = "ok";
    } else {
      sample.outcome =
          reading.refused && !reading.accepted ? "refused" : "lost";
    }
    m_report.Write("outcome", {{"kind", sample.kind},
                               {"call", reading.id},
                               {"id", resume_id},
                               {"outcome", sample.outcome},
                               {"broken", sample.broken},
                               {"resumed", sample.resumed}});
    m_report.Add(std::move(sample));
  }

  Awaitable<void> ReadStream(ResponseStream& stream, const Prompt& prompt,
                             Reading& reading, Sample& sample,
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
          reading.whole = reading.received == prompt.tokens;
          reading.wrong = reading.wrong || !reading.whole;
          continue;
        }
        if (!event || event->text.empty()) continue;
        const bool expected =
            event->index == reading.received &&
            event->text == ExpectedWord(prompt.seed, reading.received);
        if (!expected) {
          m_report.Write("wrong", {{"call", reading.id},
                                   {"index", event->index},
                                   {"wanted", reading.received}});
          reading.wrong = true;
        }
        ++reading.received;
        const auto now = SteadyClock::now();
        if (sample.first_ms < 0) {
          sample.first_ms = FractionalMsSince(start);
        } else {
          const std::chrono::duration<double, std::milli> gap =
              now - reading.last;
          sample.gaps_ms.push_back(gap.count());
        }
        reading.last = now;
      }
    }
  }

  Awaitable<void> ReadWhole(ResponseStream& stream, const Prompt& prompt,
                            Reading& reading, Sample& sample,
                            SteadyClock::time_point start) {
    std::string body;
    while (true) {
      const auto piece = co_await stream.Read(kReadTimeout);
      sample.broken += piece ? 0 : 1;
      if (!piece) co_return;
      if (piece->empty()) break;
      body += *piece;
    }
    std::string wanted;
    for (std::size_t i = 0; i < prompt.tokens; ++i) {
      wanted += ExpectedWord(prompt.seed, i);
    }
    error_code error;
    const json::value parsed = json::parse(body, error);
    if (error) co_return;
    const json::value& choice = parsed.at("choices").at(0);
    reading.whole = choice.at("text").as_string() == wanted;
    reading.wrong = !reading.whole;
    sample.first_ms = FractionalMsSince(start);
  }

  Awaitable<void> CallPlain(std::string kind, std::string key) {
    const auto start = SteadyClock::now();
    const bool filing = kind == "filing";
    const std::uint64_t call = ++m_plain_calls;
    m_report.Write("invoke", {{"kind", kind}, {"key", key}, {"call", call}});
    Sample sample;
    sample.kind = kind;
    sample.outcome = "refused";
    std::string code;
    std::string server;
    for (int ask = 0; ask < kMaxAsks; ++ask) {
      if (ask > 0) co_await SleepFor(kAskPause);
      HttpRequest request =
          MakeRequest(filing ? http::verb::post : http::verb::get,
                      filing ? "/filings/new" : "/lookups/item");
      if (filing) {
        request.set("Idempotency-Key", key);
        request.body() = "{\"lot\":1}";
      }
      CallProgress progress;
      const auto answer = co_await m_http->Call(
          PickTarget(), std::move(request), kReadTimeout,
          m_options.reuse ? Reuse::kAllowed : Reuse::kFreshOnly, progress);
      if (!answer && !progress.first_byte_sent) continue;
      if (!answer) {
        // The connection broke: a keyed call is asked for again.
        sample.outcome = "unknown";
        ++sample.broken;
        ++sample.resumed;
        if (ask < 3) continue;
        break;
      }
      code = std::string((*answer)["X-Result-Code"]);
      if (answer->result_int() < 400) {
        sample.outcome = "ok";
        server = answer->body();
      } else {
        const bool not_run = (*answer)["X-Execution"] == "not-run";
        // An earlier ask of this call may have run.
        sample.outcome = not_run && sample.resumed == 0 ? "refused" : "unknown";
      }
      break;
    }
    sample.total_ms = FractionalMsSince(start);
    m_report.Write("outcome", {{"kind", kind},
                               {"key", key},
                               {"call", call},
                               {"outcome", sample.outcome},
                               {"code", code},
                               {"answer", server},
                               {"broken", sample.broken},
                               {"resumed", sample.resumed}});
    m_report.Add(std::move(sample));
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
