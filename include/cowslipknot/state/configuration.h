#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "cowslipknot/state/objects.h"

namespace cowslipknot {

/// The published configuration: the objects, the state of each move and the
/// operators' orders.
struct Configuration {
  Revision revision;
  std::string objects_text;  ///< TOML, as applied
  ObjectSet objects;         ///< parsed from objects_text
  std::map<MoveId, MoveState> moves;
  std::set<DomainId> evacuated;  ///< their servers get no new requests
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Serializes everything except the parsed objects as JSON.
std::string EncodeConfiguration(const Configuration& configuration);

/// @return the configuration, or kInvalidObjects if the JSON or the object set
///         is invalid
Result<Configuration> DecodeConfiguration(std::string_view text);

/// Name of a phase as stored in the table row and shown to operators.
std::string_view MovePhaseName(MovePhase phase);

}  // namespace cowslipknot
