#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/state/objects.h"

/// Human-readable output of the commands.
namespace cowslipknot {

/// Prints JSON objects as the rows of a table.
/// @param columns  the members to print, which every row must have
void PrintTable(const boost::json::array& rows,
                const std::vector<std::string>& columns);

void PrintChanges(const std::vector<ObjectChange>& changes);
void PrintStatus(const boost::json::object& status);
/// Prints the gateways, servers and moves recorded in the platform's store.
void PrintFleetStatus(const boost::json::object& status);

/// Describes the state of a move in one line.
std::string DescribeMove(const boost::json::object& move,
                         bool platform_reachable, WallTime now);

/// Finds one object in an object file.
/// @param wanted  kind and name of the object, such as "route filing"
/// @return the object's TOML text, or an empty string when there is none
std::string FindObjectText(const std::string& objects,
                           const std::string& wanted);

}  // namespace cowslipknot
