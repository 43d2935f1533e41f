#include "protocol/model_api.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>

namespace cowslipknot {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr std::size_t kPrefixBlockChars = 256;
constexpr std::size_t kPrefixHashChars = 1024;
constexpr std::size_t kMaxPrefixBlocks = 64;
constexpr std::uint64_t kDefaultOutputTokens = 64;
constexpr std::uint64_t kMaxOutputTokens = 1 << 20;
constexpr std::string_view kDoneMarker = "[DONE]";

/// Appends the text of a message, whose content is a string or a list of parts.
void AppendContent(const json::value& content, std::string& text) {
  if (content.is_string()) {
    text += content.get_string();
    return;
  }
  for (const auto& part : content.as_array()) {
    const json::object& fields = part.as_object();
    if (fields.contains("text")) text += fields.at("text").as_string();
  }
}

std::string PromptText(const json::object& body, bool chat) {
  std::string text;
  if (!chat) {
    text += body.at("prompt").as_string();
    return text;
  }
  const json::array& messages = body.at("messages").as_array();
  if (messages.empty()) throw std::invalid_argument("'messages' is empty");
  for (const auto& message : messages) {
    const json::object& fields = message.as_object();
    text += fields.at("role").as_string();
    text += ':';
    AppendContent(fields.at("content"), text);
    text += '\n';
  }
  return text;
}

std::vector<std::uint64_t> HashBlocks(const std::string& prompt) {
  std::vector<std::uint64_t> blocks;
  std::uint64_t chained_hash = 0;
  for (std::size_t at = 0; at + kPrefixBlockChars <= prompt.size() &&
                           blocks.size() < kMaxPrefixBlocks;
       at += kPrefixBlockChars) {
    chained_hash = XXH3_64bits_withSeed(prompt.data() + at, kPrefixBlockChars,
                                        chained_hash);
    blocks.push_back(chained_hash);
  }
  return blocks;
}

std::uint64_t OutputTokens(const json::object& body) {
  for (const auto* key : {"max_completion_tokens", "max_tokens"}) {
    if (!body.contains(key) || body.at(key).is_null()) continue;
    const auto count = body.at(key).to_number<std::uint64_t>();
    return std::clamp<std::uint64_t>(count, 1, kMaxOutputTokens);
  }
  return kDefaultOutputTokens;
}

json::object Usage(const ResponseInfo& info, std::uint64_t chunks) {
  return {{"prompt_tokens", info.prompt_tokens},
          {"completion_tokens", chunks},
          {"total_tokens", info.prompt_tokens + chunks}};
}

json::object Envelope(const ResponseInfo& info, bool streamed) {
  json::object envelope;
  envelope["id"] = info.id;
  envelope["object"] =
      info.chat ? (streamed ? "chat.completion.chunk" : "chat.completion")
                : "text_completion";
  envelope["created"] = 0;
  envelope["model"] = info.model;
  return envelope;
}

json::object StreamChoice(const ResponseInfo& info, std::string_view text,
                          const json::value& finish_reason) {
  json::object choice;
  choice["index"] = 0;
  if (info.chat) {
    json::object delta;
    if (!text.empty()) {
      delta["role"] = "assistant";
      delta["content"] = text;
    }
    choice["delta"] = std::move(delta);
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = finish_reason;
  return choice;
}

std::string FormatDataField(const json::object& payload) {
  return "data: " + json::serialize(payload) + "\n\n";
}

json::object ErrorObject(const Error& error) {
  const ResultCodeRow& row = Describe(error.code);
  std::string message(row.message);
  if (!error.detail.empty()) message += ": " + error.detail;
  json::object fields;
  fields["message"] = message;
  fields["type"] =
      row.http_status < 500 ? "invalid_request_error" : "server_error";
  fields["param"] = nullptr;
  fields["code"] = row.name;
  fields["number"] = static_cast<std::uint16_t>(error.code);
  fields["execution"] =
      error.execution == Execution::kNotRun ? "not_run" : "unknown";
  return fields;
}

}  // namespace

Result<ModelRequest> ParseModelRequest(const std::string& path,
                                       const std::string& body) {
  ModelRequest request;
  request.path = path;
  request.chat = path.ends_with("/chat/completions");
  request.body = body;
  try {
    const json::value parsed = json::parse(body);
    const json::object& fields = parsed.as_object();
    request.model = std::string(fields.at("model").as_string());
    const std::string prompt = PromptText(fields, request.chat);
    request.cost.prompt = TokenCount(prompt.size() / kCharsPerToken + 1);
    request.cost.output = TokenCount(OutputTokens(fields));
    const std::size_t prefix = std::min(prompt.size(), kPrefixHashChars);
    request.cost.prefix_hash = XXH3_64bits(prompt.data(), prefix);
    request.cost.blocks = HashBlocks(prompt);
    if (fields.contains("stream") && !fields.at("stream").is_null()) {
      request.stream = fields.at("stream").as_bool();
    }
  } catch (const std::exception& error) {
    return Fail(ResultCode::kMalformedRequest, error.what());
  }
  return request;
}

HttpRequest BuildEngineRequest(const ModelRequest& request,
                               const std::string& attempt,
                               const std::vector<std::string>& chunks) {
  HttpRequest wire(http::verb::post, request.path, 11);
  wire.set(http::field::content_type, "application/json");
  wire.set("X-Request-Id", attempt);
  json::value body = json::parse(request.body);
  body.as_object()["stream"] = true;
  if (!chunks.empty()) {
    std::string text;
    for (const auto& chunk : chunks) text += chunk;
    json::object resume;
    resume["text"] = text;
    resume["tokens"] = chunks.size();
    body.as_object()["continue_from"] = std::move(resume);
  }
  wire.body() = json::serialize(body);
  return wire;
}

Result<std::vector<SseEvent>> SseParser::Feed(std::string_view bytes) {
  m_buffer += bytes;
  std::vector<SseEvent> events;
  std::size_t start = 0;
  while (true) {
    const std::size_t end = m_buffer.find("\n\n", start);
    if (end == std::string::npos) break;
    SseEvent event;
    std::size_t line = start;
    while (line < end) {
      const std::size_t stop = std::min(m_buffer.find('\n', line), end);
      const std::string_view buffer = m_buffer;
      const std::string_view field = buffer.substr(line, stop - line);
      if (field.starts_with("id: ")) event.id.assign(field.substr(4));
      if (field.starts_with("data: ")) event.data.append(field.substr(6));
      line = stop + 1;
    }
    if (!event.data.empty()) events.push_back(std::move(event));
    start = end + 2;
  }
  m_buffer.erase(0, start);
  if (m_buffer.size() > kMaxEventBytes) {
    return Fail(ResultCode::kBackendMalformed,
                "a server-sent event exceeds the size limit",
                Execution::kUnknown);
  }
  return events;
}

Result<EngineEvent> ParseEngineEvent(const SseEvent& event) {
  EngineEvent parsed;
  if (event.data == kDoneMarker) {
    parsed.done = true;
    return parsed;
  }
  try {
    const json::value value = json::parse(event.data);
    const json::object& fields = value.as_object();
    if (fields.contains("error")) {
      return Fail(ResultCode::kBackendFailed, json::serialize(fields),
                  Execution::kUnknown);
    }
    const json::object& choice = fields.at("choices").at(0).as_object();
    const json::object* source = &choice;
    if (choice.contains("delta")) source = &choice.at("delta").as_object();
    for (const auto* key : {"text", "content"}) {
      if (source->contains(key)) parsed.text = source->at(key).as_string();
    }
    if (choice.contains("finish_reason") &&
        choice.at("finish_reason").is_string()) {
      parsed.finish_reason = choice.at("finish_reason").as_string();
    }
    if (!event.id.empty()) parsed.index = std::stoull(event.id);
    if (fields.contains("load")) {
      const json::object& load = fields.at("load").as_object();
      parsed.queue_tokens = load.at("queue_tokens").to_number<std::uint64_t>();
      parsed.recomputed_tokens =
          load.at("recomputed_tokens").to_number<std::uint64_t>();
    }
  } catch (const std::exception& error) {
    return Fail(ResultCode::kBackendMalformed, error.what(),
                Execution::kUnknown);
  }
  return parsed;
}

std::string FormatCompleteResponse(const ResponseInfo& info,
                                   const std::vector<std::string>& chunks) {
  std::string text;
  for (const auto& chunk : chunks) text += chunk;
  json::object choice;
  choice["index"] = 0;
  if (info.chat) {
    json::object message;
    message["role"] = "assistant";
    message["content"] = text;
    choice["message"] = std::move(message);
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = info.finish_reason;
  json::object envelope = Envelope(info, false);
  envelope["choices"] = json::array{std::move(choice)};
  envelope["usage"] = Usage(info, chunks.size());
  return json::serialize(envelope);
}

std::string FormatStreamChunk(const ResponseInfo& info, std::uint64_t index,
                              std::string_view text) {
  json::object envelope = Envelope(info, true);
  envelope["choices"] = json::array{StreamChoice(info, text, nullptr)};
  return "id: " + std::to_string(index) + "\n" + FormatDataField(envelope);
}

std::string FormatStreamEnd(const ResponseInfo& info, std::uint64_t chunks) {
  json::object finish = Envelope(info, true);
  finish["choices"] =
      json::array{StreamChoice(info, "", json::value(info.finish_reason))};
  json::object usage = Envelope(info, true);
  usage["choices"] = json::array();
  usage["usage"] = Usage(info, chunks);
  return FormatDataField(finish) + FormatDataField(usage) +
         "data: " + std::string(kDoneMarker) + "\n\n";
}

std::string FormatStreamError(const Error& error, const std::string& id) {
  json::object fields = ErrorObject(error);
  fields["resume"] = "/v1/requests/" + id;
  json::object payload;
  payload["error"] = std::move(fields);
  return "event: error\n" + FormatDataField(payload);
}

std::string FormatErrorBody(const Error& error) {
  json::object payload;
  payload["error"] = ErrorObject(error);
  return json::serialize(payload);
}

}  // namespace cowslipknot
