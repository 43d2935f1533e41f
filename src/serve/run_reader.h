#pragma once

#include "serve/model_run.h"
#include "transport/http_server.h"

namespace cowslipknot {

/// Where a caller asks for a request again.
inline constexpr std::string_view kRequestsPath = "/v1/requests/";

/// Answers a caller from a model run, which may live on another thread.
class RunReader {
 public:
  RunReader(Worker& worker, HttpExchange& exchange, RequestId id)
      : m_worker(worker), m_exchange(exchange), m_id(std::move(id)) {}

  /// Waits for the whole answer and sends it. A failure is not sent.
  Awaitable<Result<void>> AnswerWhole(std::shared_ptr<ModelRun> run);
  /// Streams the output from a position on. A failure before the first output
  /// is not sent; a later one ends the stream with an error event.
  Awaitable<Result<void>> Stream(std::shared_ptr<ModelRun> run,
                                 std::size_t position);
  /// Tells the caller where a handed-over request can be asked for.
  Awaitable<void> SendElsewhere();

 private:
  Awaitable<RunProgress> Read(const std::shared_ptr<ModelRun>& run,
                              std::size_t position);
  void PostToOwner(const std::shared_ptr<ModelRun>& run,
                   void (ModelRun::*action)());
  Awaitable<Result<void>> EndBeforeOutput(const Error& failure);

  Worker& m_worker;
  HttpExchange& m_exchange;
  RequestId m_id;
};

}  // namespace cowslipknot
