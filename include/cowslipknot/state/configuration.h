#pragma once

#include <map>
#include <memory>
#include <string>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "cowslipknot/state/objects.h"

namespace cowslipknot {

/// The published configuration: objects and what moves have come to.
struct Configuration {
  Revision revision;
  std::string objects_text;  ///< TOML, as applied
  ObjectSet objects;         ///< parsed from objects_text
  std::map<MoveId, MoveState> moves;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Serializes everything but the parsed objects, as JSON.
std::string EncodeConfiguration(const Configuration& configuration);

/// @return the configuration, or kInvalidObjects when text or set is bad
Result<Configuration> DecodeConfiguration(std::string_view text);

/// Name of a phase in the table row and for operators.
std::string_view MovePhaseName(MovePhase phase);

}  // namespace cowslipknot
