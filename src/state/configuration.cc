#include "cowslipknot/state/configuration.h"

#include <array>
#include <boost/json.hpp>

namespace cowslipknot {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 4> kPhaseNames = {"running", "watching",
                                                         "done", "taken_back"};

json::object EncodeMove(const MoveState& state) {
  return {{"phase", MovePhaseName(state.phase)},
          {"share", state.share},
          {"started_ms", state.started.Count()},
          {"full_since_ms", state.full_since.Count()},
          {"reason", state.reason}};
}

MoveState DecodeMove(const json::object& encoded) {
  MoveState state;
  const std::string_view phase = encoded.at("phase").as_string();
  for (std::size_t i = 0; i < kPhaseNames.size(); ++i) {
    if (kPhaseNames[i] == phase) state.phase = static_cast<MovePhase>(i);
  }
  state.share = encoded.at("share").to_number<double>();
  state.started = WallTime(encoded.at("started_ms").to_number<std::int64_t>());
  state.full_since =
      WallTime(encoded.at("full_since_ms").to_number<std::int64_t>());
  state.reason = std::string(encoded.at("reason").as_string());
  return state;
}

}  // namespace

std::string_view MovePhaseName(MovePhase phase) {
  return kPhaseNames.at(static_cast<std::size_t>(phase));
}

std::string EncodeConfiguration(const Configuration& configuration) {
  json::object moves;
  for (const auto& [name, state] : configuration.moves) {
    moves[name.Text()] = EncodeMove(state);
  }
  json::object encoded = {{"revision", configuration.revision.Count()},
                          {"objects", configuration.objects_text},
                          {"moves", moves}};
  if (!configuration.evacuated.empty()) {
    json::array domains;
    for (const auto& domain : configuration.evacuated)
      domains.emplace_back(domain.Text());
    encoded["evacuated"] = std::move(domains);
  }
  return json::serialize(encoded);
}

Result<Configuration> DecodeConfiguration(std::string_view text) {
  Configuration configuration;
  try {
    const json::value parsed = json::parse(text);
    const json::object& encoded = parsed.as_object();
    configuration.revision =
        Revision(encoded.at("revision").to_number<std::uint64_t>());
    configuration.objects_text = std::string(encoded.at("objects").as_string());
    for (const auto& [name, move] : encoded.at("moves").as_object()) {
      configuration.moves[MoveId(std::string(name))] =
          DecodeMove(move.as_object());
    }
    if (const json::value* domains = encoded.if_contains("evacuated")) {
      for (const auto& domain : domains->as_array())
        configuration.evacuated.insert(
            DomainId(std::string(domain.as_string())));
    }
  } catch (const std::exception& error) {
    return Fail(ResultCode::kInvalidObjects, error.what());
  }
  auto objects = ParseObjects(configuration.objects_text, "objects");
  if (!objects) {
    return Fail(ResultCode::kInvalidObjects,
                FormatProblem(objects.error().front()));
  }
  configuration.objects = std::move(*objects);
  return configuration;
}

}  // namespace cowslipknot
