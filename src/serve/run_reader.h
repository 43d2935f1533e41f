#pragma once

#include "serve/model_run.h"
#include "transport/http_server.h"

namespace cowslipknot {

/// Path at which a caller looks up an earlier request.
inline constexpr std::string_view kRequestsPath = "/v1/requests/";

/// Sends the output of a model run, which may belong to another thread, to a
/// caller.
class RunReader {
 public:
  RunReader(Worker& worker, HttpExchange& exchange, RequestId id)
      : m_worker(worker), m_exchange(exchange), m_id(std::move(id)) {}

  /// Waits for the complete answer and sends it. A failure is returned to the
  /// caller of this function and not sent.
  Awaitable<Result<void>> SendCompleteAnswer(std::shared_ptr<ModelRun> run);
  /// Streams the output from a position on. A failure before the first output
  /// is returned and not sent; a later one ends the stream with an error event.
  Awaitable<Result<void>> Stream(std::shared_ptr<ModelRun> run,
                                 std::size_t position);
  /// Redirects the caller to the lookup path of a request that was handed over.
  Awaitable<void> RedirectToLookup();

 private:
  Awaitable<RunProgress> Read(const std::shared_ptr<ModelRun>& run,
                              std::size_t position);
  void PostToOwner(const std::shared_ptr<ModelRun>& run,
                   void (ModelRun::*action)());
  Awaitable<Result<void>> RedirectOrFail(const Error& failure);

  Worker& m_worker;
  HttpExchange& m_exchange;
  RequestId m_id;
};

}  // namespace cowslipknot
