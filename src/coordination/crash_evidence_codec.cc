#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>

#include "base/json_number.h"
#include "cowslipknot/coordination/crash_quarantine.h"

namespace cowslipknot {
namespace {

namespace json = boost::json;
using Time = CrashEvidence::Time;

constexpr int kHexBase = 16;

/// Fields for the suspects of one kind.
struct KindFields {
  SuspectId::Kind kind;
  const char* of_crash;
  const char* completions;
};
constexpr KindFields kKinds[] = {
    {SuspectId::Kind::kPromptPart, "parts", "completions"},
    {SuspectId::Kind::kRequest, "requests", "request_completions"}};

/// Bounds on what is accepted from others.
constexpr std::size_t kMaxTextBytes = 512 << 10;
constexpr std::size_t kMaxServerIdBytes = 200;
/// Longer than any process runs; in range as nanoseconds.
constexpr Milliseconds kMaxAge = std::chrono::days(36500);

std::string FormatValue(std::uint64_t value) {
  std::array<char, 2 * sizeof(value)> digits{};
  const auto end =
      std::to_chars(digits.begin(), digits.end(), value, kHexBase).ptr;
  return {digits.begin(), end};
}

std::uint64_t ParseValue(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.begin(), text.end(), value, kHexBase);
  if (error != std::errc() || end != text.end())
    throw std::invalid_argument("suspect");
  return value;
}

/// What is received replaces earlier crashes and later completions, so the
/// rounding must not make a time look so: it would grow with each exchange.
std::int64_t AgeOfCrash(Time at, Time now) {
  return std::chrono::floor<Milliseconds>(now - at).count();
}

std::int64_t AgeOfCompletion(Time sent, Time now) {
  return std::chrono::ceil<Milliseconds>(now - sent).count();
}

Time FromAge(const json::value& age, Time now) {
  const auto ms = ToInteger<std::int64_t>(age);
  if (!ms) throw std::invalid_argument("age");
  const Milliseconds elapsed(std::clamp<std::int64_t>(*ms, 0, kMaxAge.count()));
  // The start of the clock marks an unknown time.
  return std::max(Time(1), now - std::min<Time>(elapsed, now));
}

CrashEvidence::Crash DecodeCrash(const json::value& encoded, Time now) {
  CrashEvidence::Crash crash;
  crash.boot.server = ServerId(std::string(encoded.at("server").as_string()));
  if (crash.boot.server.Text().size() > kMaxServerIdBytes)
    throw std::invalid_argument("server id");
  crash.boot.started_ms = encoded.at("started").to_number<std::int64_t>();
  crash.at = FromAge(encoded.at("age_ms"), now);
  for (const auto& fields : kKinds) {
    const auto* suspects = encoded.as_object().if_contains(fields.of_crash);
    if (suspects == nullptr) continue;
    for (const auto& suspect : suspects->as_array())
      crash.suspects.insert({fields.kind, ParseValue(suspect.as_string())});
  }
  return crash;
}

}  // namespace

std::string EncodeCrashEvidence(const CrashEvidence& evidence, Time now) {
  json::array crashes;
  for (const auto& crash : evidence.crashes) {
    json::object encoded;
    encoded["server"] = crash.boot.server.Text();
    encoded["started"] = crash.boot.started_ms;
    encoded["age_ms"] = AgeOfCrash(crash.at, now);
    for (const auto& fields : kKinds) {
      json::array suspects;
      for (const auto& suspect : crash.suspects) {
        if (suspect.kind != fields.kind) continue;
        suspects.emplace_back(FormatValue(suspect.value));
      }
      encoded[fields.of_crash] = std::move(suspects);
    }
    crashes.push_back(std::move(encoded));
  }
  json::object object;
  object["crashes"] = std::move(crashes);
  for (const auto& fields : kKinds) {
    json::object completions;
    for (const auto& [suspect, sent] : evidence.completions) {
      if (suspect.kind != fields.kind) continue;
      completions[FormatValue(suspect.value)] = AgeOfCompletion(sent, now);
    }
    object[fields.completions] = std::move(completions);
  }
  return json::serialize(object);
}

CrashEvidence DecodeCrashEvidence(std::string_view text, Time now) {
  CrashEvidence evidence;
  if (text.empty() || text.size() > kMaxTextBytes) return evidence;
  try {
    const json::value parsed = json::parse(text);
    for (const auto& crash : parsed.at("crashes").as_array())
      evidence.crashes.push_back(DecodeCrash(crash, now));
    for (const auto& fields : kKinds) {
      const auto* completions =
          parsed.as_object().if_contains(fields.completions);
      if (completions == nullptr) continue;
      for (const auto& [suspect, age] : completions->as_object()) {
        evidence.completions[{fields.kind, ParseValue(suspect)}] =
            FromAge(age, now);
      }
    }
  } catch (const std::exception&) {
    return CrashEvidence();
  }
  return evidence;
}

}  // namespace cowslipknot
