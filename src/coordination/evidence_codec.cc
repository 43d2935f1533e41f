#include <boost/json.hpp>

#include "coordination/move_controller.h"

namespace cowslipknot {
namespace {

namespace json = boost::json;

/// Position of the numbers of attempts sent, after four pairs of counts.
constexpr std::size_t kSentIndex = 8;

json::array EncodeRoute(const RouteEvidence& seen) {
  json::array counts;
  for (const RequestCounts& requests :
       {seen.old_errors, seen.new_errors, seen.old_slow, seen.new_slow}) {
    counts.emplace_back(requests.total);
    counts.emplace_back(requests.bad);
  }
  counts.emplace_back(seen.old_sent);
  counts.emplace_back(seen.new_sent);
  return counts;
}

RequestCounts DecodeCounts(const json::array& counts, std::size_t index) {
  RequestCounts requests;
  requests.total = counts.at(2 * index).to_number<std::uint64_t>();
  requests.bad = counts.at(2 * index + 1).to_number<std::uint64_t>();
  if (requests.bad > requests.total) throw std::invalid_argument("bad > seen");
  return requests;
}

RouteEvidence DecodeRoute(const json::array& counts) {
  RouteEvidence seen;
  seen.old_errors = DecodeCounts(counts, 0);
  seen.new_errors = DecodeCounts(counts, 1);
  seen.old_slow = DecodeCounts(counts, 2);
  seen.new_slow = DecodeCounts(counts, 3);
  // Reports of earlier releases end here.
  if (counts.size() <= kSentIndex) return seen;
  seen.old_sent = counts.at(kSentIndex).to_number<std::uint64_t>();
  seen.new_sent = counts.at(kSentIndex + 1).to_number<std::uint64_t>();
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
