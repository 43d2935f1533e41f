#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>

namespace cowslipknot {

/// W3C trace context of one span.
struct TraceContext {
  std::string trace_id;  ///< 32 hexadecimal digits
  std::string span_id;   ///< 16 hexadecimal digits
};

/// @return an empty context when the header is malformed
TraceContext ParseTraceparent(std::string_view header);
std::string FormatTraceparent(const TraceContext& context);

/// Returns `digits` random hexadecimal digits.
std::string RandomHex(std::mt19937_64& random, int digits);

/// Receives each finished span as one line of OTLP/JSON.
using SpanSink = std::function<void(std::string)>;

/// Returns a sink that writes to a descriptor without blocking. Lines that its
/// reader does not take are dropped, and their number is logged with the next
/// one that is written. The sink may be used by one thread.
SpanSink MakeTraceSink(int descriptor);

/// One span of a trace. Sent to the sink when it ends or is destroyed.
class Span {
 public:
  /// @param parent  empty to start a trace
  Span(std::string name, const TraceContext& parent, std::mt19937_64& random,
       SpanSink sink);
  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;
  ~Span() { End(); }

  void SetAttribute(const std::string& key, std::string value);
  void End();
  const TraceContext& Context() const { return m_context; }

 private:
  std::string m_name;
  std::string m_parent;
  TraceContext m_context;
  SpanSink m_sink;
  std::uint64_t m_start_ns;
  std::map<std::string, std::string> m_attributes;
};

}  // namespace cowslipknot
