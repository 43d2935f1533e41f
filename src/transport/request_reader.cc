#include "transport/request_reader.h"

#include <algorithm>

namespace cowslipknot {
namespace {

/// A request body and its copy in an attempt.
constexpr std::uint64_t kBodyCopies = 2;

/// What a buffer holds beyond the memory that each connection may take.
std::uint64_t LargeHeaderBytes(const beast::flat_buffer& buffer) {
  const std::size_t capacity = buffer.capacity();
  return capacity > 2 * kRequestReadBytes ? capacity : 0;
}

/// Whether the framing of a message determines unambiguously where it ends. The
/// parser has already rejected contradictory lengths, but it treats a message
/// with an unknown transfer coding as one without a body.
bool HasUnambiguousFraming(const http::request_header<>& header) {
  const auto codings = header.equal_range(http::field::transfer_encoding);
  const auto count = std::distance(codings.first, codings.second);
  if (count == 0) return true;
  if (count > 1 || header.version() < 11) return false;
  return beast::iequals(codings.first->value(), "chunked") &&
         header.find(http::field::content_length) == header.end();
}

/// Reads a header. The part of its buffer that exceeds the ordinary size is
/// reserved before it is used.
Awaitable<error_code> ReadHeader(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    http::request_parser<http::string_body>& parser, std::size_t max_size,
    MemoryReservation& memory) {
  constexpr std::size_t kOrdinaryBytes = MemoryReservation::kOrdinaryBytes;
  // The parser waits for a whole header, size line of a chunk or trailer, but
  // limits only the header.
  buffer.max_size(std::max(buffer.size(), std::min(max_size, kOrdinaryBytes)) +
                  kRequestReadBytes);
  auto [error, size] =
      co_await http::async_read_header(stream, buffer, parser, kAsTuple);
  if (error != http::error::buffer_overflow || max_size <= kOrdinaryBytes)
    co_return error;
  if (!memory.Resize(max_size + kRequestReadBytes))
    co_return make_error_code(asio::error::no_memory);
  buffer.max_size(std::max(buffer.size(), max_size) + kRequestReadBytes);
  auto [rest_error, rest] =
      co_await http::async_read_header(stream, buffer, parser, kAsTuple);
  co_return rest_error;
}

}  // namespace

Awaitable<error_code> ReadRequest(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    http::request_parser<http::string_body>& parser,
    const HttpServerLimits& limits, MemoryReservation& memory) {
  parser.header_limit(
      static_cast<std::uint32_t>(limits.max_header_size.Count()));
  parser.body_limit(limits.max_body_size.Count());
  stream.expires_after(limits.read_timeout);
  const error_code error = co_await ReadHeader(
      stream, buffer, parser, limits.max_header_size.Count(), memory);
  if (error) co_return error;
  if (!HasUnambiguousFraming(parser.get())) {
    co_return make_error_code(http::error::bad_transfer_encoding);
  }
  if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> proceed(http::status::continue_, 11);
    auto [failed, sent] = co_await http::async_write(stream, proceed, kAsTuple);
    if (failed) co_return failed;
  }
  while (!parser.is_done()) {
    auto [body_error, body_size] =
        co_await http::async_read_some(stream, buffer, parser, kAsTuple);
    if (body_error) co_return body_error;
    const std::uint64_t body = parser.get().body().size() * kBodyCopies;
    if (!memory.Resize(LargeHeaderBytes(buffer) + body))
      co_return make_error_code(asio::error::no_memory);
  }
  co_return error_code();
}

}  // namespace cowslipknot
