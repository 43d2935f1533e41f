#include <boost/json.hpp>

#include "base/json_number.h"
#include "cowslipknot/gateway/version_move.h"

namespace cowslipknot::gateway {
namespace {

namespace json = boost::json;

/// Longest duration of a move. Sums with times stay in range.
constexpr Milliseconds kMaxMoveDuration = std::chrono::days(365);

std::int64_t RequireMs(const json::value& value, std::int64_t max) {
  const auto ms = ToInteger<std::int64_t>(value, 0, max);
  if (!ms) throw std::invalid_argument("time");
  return *ms;
}

/// Reads a position from two fields. The one of the era is absent in moves that
/// were stored without it.
StorePosition DecodePosition(const json::value& parsed, std::string_view era,
                             std::string_view version) {
  StorePosition position;
  position.version =
      StoreVersion(parsed.at(version).to_number<std::uint64_t>());
  if (const auto* field = parsed.as_object().if_contains(era))
    position.era = StoreEra(field->to_number<std::uint64_t>());
  return position;
}

}  // namespace

std::string EncodeMove(const VersionMove& move) {
  json::object object;
  object["service"] = move.order.service.Text();
  object["to"] = move.order.to.Text();
  object["duration_ms"] = move.order.duration.count();
  object["revision"] = move.order.revision.version.Count();
  object["era"] = move.order.revision.era.Count();
  object["origin"] = move.origin.version.Count();
  object["origin_era"] = move.origin.era.Count();
  object["phase"] = static_cast<int>(move.state.phase);
  object["share"] = move.state.share;
  object["started_ms"] = move.state.started.Count();
  object["full_since_ms"] = move.state.full_since.Count();
  object["reason"] = move.state.reason;
  return json::serialize(object);
}

std::optional<VersionMove> DecodeMove(std::string_view text) {
  VersionMove move;
  try {
    const json::value parsed = json::parse(text);
    move.order.service =
        ServiceId(std::string(parsed.at("service").as_string()));
    move.order.to = VersionId(std::string(parsed.at("to").as_string()));
    move.order.duration = Milliseconds(
        RequireMs(parsed.at("duration_ms"), kMaxMoveDuration.count()));
    move.order.revision = DecodePosition(parsed, "era", "revision");
    move.origin = parsed.as_object().contains("origin")
                      ? DecodePosition(parsed, "origin_era", "origin")
                      : move.order.revision;
    const auto phase = parsed.at("phase").to_number<int>();
    if (phase < 0 || phase > static_cast<int>(MovePhase::kRolledBack)) {
      return std::nullopt;
    }
    move.state.phase = static_cast<MovePhase>(phase);
    const auto share = ToDouble(parsed.at("share"), 0, 1);
    if (!share) return std::nullopt;
    move.state.share = *share;
    move.state.started =
        WallTime(RequireMs(parsed.at("started_ms"), kMaxUnixMs));
    move.state.full_since =
        WallTime(RequireMs(parsed.at("full_since_ms"), kMaxUnixMs));
    move.state.reason = std::string(parsed.at("reason").as_string());
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return move;
}

}  // namespace cowslipknot::gateway
