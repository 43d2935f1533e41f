#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/state/objects.h"

/// What commands print for people.
namespace cowslipknot {

/// Prints rows of objects as columns under a heading.
void PrintTable(const boost::json::array& rows,
                const std::vector<std::string>& columns);

void PrintChanges(const std::vector<ObjectChange>& changes);
void PrintStatus(const boost::json::object& status);
/// Prints what the store says of a fleet of gateways.
void PrintFleetStatus(const boost::json::object& status);

/// One line that says how a move stands.
std::string DescribeMove(const boost::json::object& move,
                         bool platform_reachable, WallTime now);

/// The text of one object ("route filing") in an object file.
std::string FindObjectText(const std::string& objects,
                           const std::string& wanted);

}  // namespace cowslipknot
