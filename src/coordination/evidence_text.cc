#include <boost/json.hpp>

#include "coordination/move_controller.h"

namespace cowslipknot {
namespace {

namespace json = boost::json;

json::array EncodeRoute(const RouteEvidence& seen) {
  json::array counts;
  for (const Tally& tally :
       {seen.old_errors, seen.new_errors, seen.old_slow, seen.new_slow}) {
    counts.emplace_back(tally.seen);
    counts.emplace_back(tally.bad);
  }
  return counts;
}

Tally DecodeTally(const json::array& counts, std::size_t index) {
  Tally tally;
  tally.seen = counts.at(2 * index).to_number<std::uint64_t>();
  tally.bad = counts.at(2 * index + 1).to_number<std::uint64_t>();
  if (tally.bad > tally.seen) throw std::invalid_argument("bad > seen");
  return tally;
}

RouteEvidence DecodeRoute(const json::array& counts) {
  RouteEvidence seen;
  seen.old_errors = DecodeTally(counts, 0);
  seen.new_errors = DecodeTally(counts, 1);
  seen.old_slow = DecodeTally(counts, 2);
  seen.new_slow = DecodeTally(counts, 3);
  return seen;
}

}  // namespace

MoveId EvidenceKey(const MoveId& move, WallTime started) {
  return MoveId(move.Text() + "@" + std::to_string(started.Count()));
}

std::string EncodeEvidence(const EvidenceByMove& evidence) {
  json::object moves;
  for (const auto& [key, routes] : evidence) {
    json::object encoded;
    for (const auto& [route, seen] : routes) {
      encoded[route.Text()] = EncodeRoute(seen);
    }
    moves[key.Text()] = std::move(encoded);
  }
  return json::serialize(moves);
}

EvidenceByMove DecodeEvidence(const std::string& text) {
  EvidenceByMove evidence;
  try {
    const json::value parsed = json::parse(text);
    for (const auto& [key, routes] : parsed.as_object()) {
      MoveEvidence& move = evidence[MoveId(std::string(key))];
      for (const auto& [route, counts] : routes.as_object()) {
        move[RouteId(std::string(route))] = DecodeRoute(counts.as_array());
      }
    }
  } catch (const std::exception&) {
    return {};
  }
  return evidence;
}

}  // namespace cowslipknot
