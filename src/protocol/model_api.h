#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipknot/coordination/choose_server.h"
#include "cowslipknot/result.h"
#include "transport/http_client.h"

/// The OpenAI-compatible completion API, used with both callers and engines.
namespace cowslipknot {

inline constexpr std::size_t kCharsPerToken = 4;
inline constexpr std::uint64_t kBlockTokens = 64;  ///< of RequestCost::blocks

/// A caller's completion request.
struct ModelRequest {
  bool chat = false;
  bool stream = false;
  std::string model;
  std::string path;
  std::string body;
  RequestCost cost;
};

/// Parses a completion request.
/// @param path  /v1/completions or /v1/chat/completions
Result<ModelRequest> ParseModelRequest(const std::string& path,
                                       const std::string& body);

/// Builds the request for an engine, which always asks for a stream.
///
/// @param attempt  id echoed by the engine, so that a response is not matched
///                 to the wrong request
/// @param chunks   output received so far, which the engine continues
HttpRequest BuildEngineRequest(const ModelRequest& request,
                               const std::string& attempt,
                               const std::vector<std::string>& chunks);

/// One server-sent event.
struct SseEvent {
  std::string id;
  std::string data;
};

/// Splits a byte stream into server-sent events.
class SseParser {
 public:
  /// @return the events completed by `bytes`, or kBackendMalformed if an event
  ///         exceeds the size limit
  Result<std::vector<SseEvent>> Feed(std::string_view bytes);

 private:
  std::string m_buffer;
};

/// Contents of one event of an engine's stream.
struct EngineEvent {
  bool done = false;          ///< the [DONE] marker
  std::string text;           ///< one chunk of output
  std::string finish_reason;  ///< empty until the last chunk
  std::uint64_t index = 0;    ///< position of the chunk
  std::uint64_t recomputed_tokens = 0;
  std::uint64_t queue_tokens = 0;  ///< the engine's load
};

Result<EngineEvent> ParseEngineEvent(const SseEvent& event);

/// Identity and size of a response.
struct ResponseInfo {
  std::string id;
  std::string model;
  bool chat = false;
  std::uint64_t prompt_tokens = 0;
  std::string finish_reason = "stop";
};

/// Formats the body of a response that is not streamed.
std::string FormatCompleteResponse(const ResponseInfo& info,
                                   const std::vector<std::string>& chunks);

/// Formats one event of a streamed response. `index` becomes the event's id.
std::string FormatStreamChunk(const ResponseInfo& info, std::uint64_t index,
                              std::string_view text);

/// Formats the last events of a complete streamed response: finish, usage and
/// [DONE].
std::string FormatStreamEnd(const ResponseInfo& info, std::uint64_t chunks);

/// Formats the event that ends a stream that failed or that continues at
/// another instance.
std::string FormatStreamError(const Error& error, const std::string& id);

/// Formats an error body as the API defines it, plus the numeric result code.
std::string FormatErrorBody(const Error& error);

}  // namespace cowslipknot
