#pragma once

#include <map>
#include <memory>
#include <string>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "cowslipknot/state/objects.h"

namespace cowslipknot {

/// The published configuration: the objects and the state of each move.
struct Configuration {
  Revision revision;
  std::string objects_text;  ///< TOML, as applied
  ObjectSet objects;         ///< parsed from objects_text
  std::map<MoveId, MoveState> moves;
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
