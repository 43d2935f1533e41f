#include "base/trace.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <memory>

#include "base/line_writer.h"
#include "cowslipknot/events.h"

namespace cowslipknot {
namespace {

namespace json = boost::json;

constexpr std::size_t kHeaderLength = 55;
constexpr std::size_t kTraceDigits = 32;
constexpr std::size_t kSpanDigits = 16;
constexpr std::size_t kTraceOffset = 3;
constexpr std::size_t kSpanOffset = 36;
constexpr int kSpanKindServer = 2;

bool IsHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::uint64_t UnixTimeNs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(now).count());
}

}  // namespace

TraceContext ParseTraceparent(std::string_view header) {
  if (header.size() != kHeaderLength || !header.starts_with("00-")) return {};
  const auto trace = header.substr(kTraceOffset, kTraceDigits);
  const auto span = header.substr(kSpanOffset, kSpanDigits);
  if (!IsHex(trace) || !IsHex(span)) return {};
  return {std::string(trace), std::string(span)};
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + context.trace_id + "-" + context.span_id + "-01";
}

std::string RandomHex(std::mt19937_64& random, int digits) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::uniform_int_distribution<std::size_t> digit(0, kDigits.size() - 1);
  std::string text;
  for (int i = 0; i < digits; ++i) text += kDigits[digit(random)];
  return text;
}

Span::Span(std::string name, const TraceContext& parent,
           std::mt19937_64& random, SpanSink sink)
    : m_name(std::move(name)),
      m_parent(parent.span_id),
      m_sink(std::move(sink)),
      m_start_ns(UnixTimeNs()) {
  m_context.trace_id = parent.trace_id.empty() ? RandomHex(random, kTraceDigits)
                                               : parent.trace_id;
  m_context.span_id = RandomHex(random, kSpanDigits);
}

void Span::SetAttribute(const std::string& key, std::string value) {
  if (m_sink) m_attributes[key] = std::move(value);
}

void Span::End() {
  if (!m_sink) return;
  json::array attributes;
  for (const auto& [key, value] : m_attributes) {
    json::object text;
    text["stringValue"] = value;
    json::object attribute;
    attribute["key"] = key;
    attribute["value"] = std::move(text);
    attributes.push_back(std::move(attribute));
  }
  json::object span;
  span["traceId"] = m_context.trace_id;
  span["spanId"] = m_context.span_id;
  span["parentSpanId"] = m_parent;
  span["name"] = m_name;
  span["kind"] = kSpanKindServer;
  span["startTimeUnixNano"] = std::to_string(m_start_ns);
  span["endTimeUnixNano"] = std::to_string(UnixTimeNs());
  span["attributes"] = std::move(attributes);
  json::object scope;
  scope["spans"] = json::array{std::move(span)};
  json::object resource;
  resource["scopeSpans"] = json::array{std::move(scope)};
  json::object line;
  line["resourceSpans"] = json::array{std::move(resource)};
  m_sink(json::serialize(line));
  m_sink = nullptr;
}

SpanSink MakeTraceSink(int descriptor) {
  struct State {
    LineWriter writer;
    std::uint64_t dropped = 0;
  };
  const auto state = std::make_shared<State>(State{LineWriter(descriptor)});
  return [state](const std::string& line) {
    if (!state->writer.Write(line)) {
      ++state->dropped;
      return;
    }
    if (state->dropped == 0) return;
    LogEvent(Event::kLinesDropped,
             {{"lines", std::to_string(state->dropped)}, {"of", "trace"}});
    state->dropped = 0;
  };
}

}  // namespace cowslipknot
