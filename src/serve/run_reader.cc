#include "serve/run_reader.h"

#include "serve/caller_session.h"

namespace cowslipknot {

Awaitable<RunProgress> RunReader::Read(const std::shared_ptr<ModelRun>& run,
                                       std::size_t position) {
  if (&run->Owner() == &m_worker) {
    co_return co_await run->ReadBeyond(position);
  }
  co_return co_await RunOn(run->Owner().Executor(), run->ReadBeyond(position));
}

void RunReader::PostToOwner(const std::shared_ptr<ModelRun>& run,
                            void (ModelRun::*action)()) {
  asio::post(run->Owner().Executor(),
             [run, action] { (run.get()->*action)(); });
}

Awaitable<Result<void>> RunReader::SendCompleteAnswer(
    std::shared_ptr<ModelRun> run) {
  PostToOwner(run, &ModelRun::AddReader);
  std::vector<std::string> chunks;
  RunProgress progress;
  while (!progress.finished) {
    progress = co_await Read(run, chunks.size());
    chunks.insert(chunks.end(), progress.chunks.begin(), progress.chunks.end());
  }
  PostToOwner(run, &ModelRun::RemoveReader);
  if (progress.failure) co_return co_await RedirectOrFail(*progress.failure);
  ResponseInfo info = run->Info();
  info.finish_reason = progress.finish_reason;
  HttpResponse response =
      JsonResponse(http::status::ok, FormatCompleteResponse(info, chunks));
  response.set("X-Request-Id", m_id.Text());
  const bool delivered = co_await m_exchange.Respond(std::move(response));
  if (delivered) PostToOwner(run, &ModelRun::MarkDelivered);
  co_return Result<void>();
}

Awaitable<void> RunReader::RedirectToLookup() {
  HttpResponse response(http::status::see_other, 11);
  response.set(http::field::location, std::string(kRequestsPath) + m_id.Text());
  response.set("X-Request-Id", m_id.Text());
  co_await m_exchange.Respond(std::move(response));
}

Awaitable<Result<void>> RunReader::Stream(std::shared_ptr<ModelRun> run,
                                          std::size_t position) {
  PostToOwner(run, &ModelRun::AddReader);
  RunProgress progress = co_await Read(run, position);
  if (progress.chunks.empty() && progress.failure) {
    PostToOwner(run, &ModelRun::RemoveReader);
    co_return co_await RedirectOrFail(*progress.failure);
  }
  HttpResponse header(http::status::ok, 11);
  header.set(http::field::content_type, "text/event-stream");
  header.set(http::field::cache_control, "no-cache");
  header.set("X-Request-Id", m_id.Text());
  const ResponseInfo info = run->Info();
  bool connected = co_await m_exchange.BeginStream(std::move(header));
  while (connected) {
    std::string data;
    for (const auto& chunk : progress.chunks) {
      data += FormatStreamChunk(info, position++, chunk);
    }
    if (progress.finished) {
      ResponseInfo end = info;
      end.finish_reason = progress.finish_reason;
      data += progress.failure
                  ? FormatStreamError(*progress.failure, m_id.Text())
                  : FormatStreamEnd(end, position);
    }
    connected = co_await m_exchange.WriteChunk(data);
    if (progress.finished) break;
    if (connected) progress = co_await Read(run, position);
  }
  if (connected) connected = co_await m_exchange.EndStream();
  if (connected && !progress.failure) {
    PostToOwner(run, &ModelRun::MarkDelivered);
  }
  PostToOwner(run, &ModelRun::RemoveReader);
  co_return Result<void>();
}

Awaitable<Result<void>> RunReader::RedirectOrFail(const Error& failure) {
  if (failure.code != ResultCode::kDraining) {
    co_return tl::make_unexpected(failure);
  }
  co_await RedirectToLookup();
  co_return Result<void>();
}

}  // namespace cowslipknot
