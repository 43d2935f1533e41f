#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>

#include "base/json_number.h"
#include "cowslipknot/gateway/prompt_quarantine.h"

namespace cowslipknot::gateway {
namespace {

namespace json = boost::json;
using Time = PromptEvidence::Time;

constexpr int kHexBase = 16;
/// Bounds on what is accepted from others.
constexpr std::size_t kMaxTextBytes = 512 << 10;
constexpr std::size_t kMaxServerIdBytes = 200;
/// Longer than any process runs; in range as nanoseconds.
constexpr Milliseconds kMaxAge = std::chrono::days(36500);

std::string FormatPart(std::uint64_t part) {
  std::array<char, 2 * sizeof(part)> digits{};
  const auto end =
      std::to_chars(digits.begin(), digits.end(), part, kHexBase).ptr;
  return {digits.begin(), end};
}

std::uint64_t ParsePart(std::string_view text) {
  std::uint64_t part = 0;
  const auto [end, error] =
      std::from_chars(text.begin(), text.end(), part, kHexBase);
  if (error != std::errc() || end != text.end())
    throw std::invalid_argument("part id");
  return part;
}

std::int64_t ToAge(Time at, Time now) {
  return std::chrono::duration_cast<Milliseconds>(now - at).count();
}

Time FromAge(const json::value& age, Time now) {
  const auto ms = ToInteger<std::int64_t>(age);
  if (!ms) throw std::invalid_argument("age");
  const Milliseconds elapsed(std::clamp<std::int64_t>(*ms, 0, kMaxAge.count()));
  // The start of the clock marks an unknown time.
  return std::max(Time(1), now - std::min<Time>(elapsed, now));
}

PromptEvidence::Crash DecodeCrash(const json::value& encoded, Time now) {
  PromptEvidence::Crash crash;
  crash.boot.server = ServerId(std::string(encoded.at("server").as_string()));
  if (crash.boot.server.Text().size() > kMaxServerIdBytes)
    throw std::invalid_argument("server id");
  crash.boot.started_ms = encoded.at("started").to_number<std::int64_t>();
  crash.at = FromAge(encoded.at("age_ms"), now);
  for (const auto& part : encoded.at("parts").as_array())
    crash.parts.insert(ParsePart(part.as_string()));
  return crash;
}

}  // namespace

std::string EncodePromptEvidence(const PromptEvidence& evidence, Time now) {
  json::array crashes;
  for (const auto& crash : evidence.crashes) {
    json::object encoded;
    encoded["server"] = crash.boot.server.Text();
    encoded["started"] = crash.boot.started_ms;
    encoded["age_ms"] = ToAge(crash.at, now);
    json::array parts;
    for (const std::uint64_t part : crash.parts)
      parts.emplace_back(FormatPart(part));
    encoded["parts"] = std::move(parts);
    crashes.push_back(std::move(encoded));
  }
  json::object completions;
  for (const auto& [part, sent] : evidence.completions)
    completions[FormatPart(part)] = ToAge(sent, now);
  json::object object;
  object["crashes"] = std::move(crashes);
  object["completions"] = std::move(completions);
  return json::serialize(object);
}

PromptEvidence DecodePromptEvidence(std::string_view text, Time now) {
  PromptEvidence evidence;
  if (text.empty() || text.size() > kMaxTextBytes) return evidence;
  try {
    const json::value parsed = json::parse(text);
    for (const auto& crash : parsed.at("crashes").as_array())
      evidence.crashes.push_back(DecodeCrash(crash, now));
    for (const auto& [part, age] : parsed.at("completions").as_object())
      evidence.completions[ParsePart(part)] = FromAge(age, now);
  } catch (const std::exception&) {
    return PromptEvidence();
  }
  return evidence;
}

}  // namespace cowslipknot::gateway
