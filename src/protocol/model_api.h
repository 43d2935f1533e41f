#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipknot/coordination/choose_server.h"
#include "cowslipknot/result.h"
#include "transport/http_client.h"

/// The OpenAI-compatible completion interface, towards callers and engines.
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

/// Reads a completion request.
/// @param path  /v1/completions or /v1/chat/completions
Result<ModelRequest> ParseModelRequest(const std::string& path,
                                       const std::string& body);

/// Builds the request that an engine receives: always streamed.
///
/// @param attempt  echoed by the engine, so that answers cannot be crossed
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
  /// @return the events completed by `bytes`, or kBackendMalformed when one
  ///         event grows past the limit
  Result<std::vector<SseEvent>> Feed(std::string_view bytes);

 private:
  std::string m_buffer;
};

/// What one engine event says.
struct EngineEvent {
  bool done = false;          ///< the [DONE] marker
  std::string text;           ///< one piece of output
  std::string finish_reason;  ///< empty until the last piece
  std::uint64_t index = 0;    ///< position of the piece
  std::uint64_t recomputed_tokens = 0;
  std::uint64_t queue_tokens = 0;  ///< the engine's load
};

Result<EngineEvent> ParseEngineEvent(const SseEvent& event);

/// An answer's identity and size.
struct AnswerInfo {
  std::string id;
  std::string model;
  bool chat = false;
  std::uint64_t prompt_tokens = 0;
  std::string finish_reason = "stop";
};

/// The body of a whole answer.
std::string FormatWholeAnswer(const AnswerInfo& info,
                              const std::vector<std::string>& chunks);

/// One event of a streamed answer. `index` becomes the event's id.
std::string FormatStreamChunk(const AnswerInfo& info, std::uint64_t index,
                              std::string_view text);

/// The last events of a complete streamed answer: finish, usage, [DONE].
std::string FormatStreamEnd(const AnswerInfo& info, std::uint64_t chunks);

/// The event that ends a stream which goes on elsewhere or failed.
std::string FormatStreamError(const Error& error, const std::string& id);

/// An error body in the interface's shape, with our numbered code.
std::string FormatErrorBody(const Error& error);

}  // namespace cowslipknot
