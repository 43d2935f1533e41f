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
/// Of parts only. Instances of earlier versions neither send nor read these.
constexpr const char* kPartsInProgress = "parts_in_progress";
constexpr const char* kProgress = "progress";

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

using SentTimes = std::map<SuspectId, Time>;

json::object EncodeSentTimes(const SentTimes& times, SuspectId::Kind kind,
                             Time now) {
  json::object encoded;
  for (const auto& [suspect, sent] : times) {
    if (suspect.kind != kind) continue;
    encoded[FormatValue(suspect.value)] = AgeOfCompletion(sent, now);
  }
  return encoded;
}

void DecodeSentTimes(const json::object& object, const char* field,
                     SuspectId::Kind kind, Time now, SentTimes& times) {
  const auto* encoded = object.if_contains(field);
  if (encoded == nullptr) return;
  for (const auto& [suspect, age] : encoded->as_object())
    times[{kind, ParseValue(suspect)}] = FromAge(age, now);
}

json::array EncodeSuspects(const std::set<SuspectId>& suspects,
                           SuspectId::Kind kind) {
  json::array encoded;
  for (const auto& suspect : suspects) {
    if (suspect.kind == kind) encoded.emplace_back(FormatValue(suspect.value));
  }
  return encoded;
}

void DecodeSuspects(const json::object& object, const char* field,
                    SuspectId::Kind kind, std::set<SuspectId>& suspects) {
  const auto* encoded = object.if_contains(field);
  if (encoded == nullptr) return;
  for (const auto& suspect : encoded->as_array())
    suspects.insert({kind, ParseValue(suspect.as_string())});
}

CrashEvidence::Crash DecodeCrash(const json::value& encoded, Time now) {
  CrashEvidence::Crash crash;
  crash.boot.server = ServerId(std::string(encoded.at("server").as_string()));
  if (crash.boot.server.Text().size() > kMaxServerIdBytes)
    throw std::invalid_argument("server id");
  crash.boot.started_ms = encoded.at("started").to_number<std::int64_t>();
  crash.at = FromAge(encoded.at("age_ms"), now);
  const json::object& object = encoded.as_object();
  for (const auto& fields : kKinds)
    DecodeSuspects(object, fields.of_crash, fields.kind, crash.suspects);
  DecodeSuspects(object, kPartsInProgress, SuspectId::Kind::kPromptPart,
                 crash.in_progress);
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
    for (const auto& fields : kKinds)
      encoded[fields.of_crash] = EncodeSuspects(crash.suspects, fields.kind);
    encoded[kPartsInProgress] =
        EncodeSuspects(crash.in_progress, SuspectId::Kind::kPromptPart);
    crashes.push_back(std::move(encoded));
  }
  json::object object;
  object["crashes"] = std::move(crashes);
  for (const auto& fields : kKinds) {
    object[fields.completions] =
        EncodeSentTimes(evidence.completions, fields.kind, now);
  }
  object[kProgress] =
      EncodeSentTimes(evidence.progress, SuspectId::Kind::kPromptPart, now);
  return json::serialize(object);
}

CrashEvidence DecodeCrashEvidence(std::string_view text, Time now) {
  CrashEvidence evidence;
  if (text.empty() || text.size() > kMaxTextBytes) return evidence;
  try {
    const json::value parsed = json::parse(text);
    for (const auto& crash : parsed.at("crashes").as_array())
      evidence.crashes.push_back(DecodeCrash(crash, now));
    const json::object& object = parsed.as_object();
    for (const auto& fields : kKinds) {
      DecodeSentTimes(object, fields.completions, fields.kind, now,
                      evidence.completions);
    }
    DecodeSentTimes(object, kProgress, SuspectId::Kind::kPromptPart, now,
                    evidence.progress);
  } catch (const std::exception&) {
    return CrashEvidence();
  }
  return evidence;
}

}  // namespace cowslipknot
