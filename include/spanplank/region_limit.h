/// Where a request may be served: routes and client accounts can be limited to regions.
#ifndef SPANPLANK_REGION_LIMIT_H_HEADER_GUARD
#define SPANPLANK_REGION_LIMIT_H_HEADER_GUARD

#include <map>
#include <set>
#include <string>
#include <vector>

namespace spanplank
{
/// Region of each hall. A hall that is not here is in no region that a limit could name.
using RegionOfHall = std::map<std::string, std::string>;

/// The halls in which a request may be served.
struct HallLimit
{
	bool limited = false; ///< Else any hall may.
	std::set<std::string> halls;
};

/// @param[in] _route Regions that the route names; empty: any. @param[in] _account The same of the account.
HallLimit limitHalls(const RegionOfHall& _regions, const std::vector<std::string>& _route,
					 const std::vector<std::string>& _account);

/// @returns Whether a hall is within the limit.
bool isAllowed(const HallLimit& _limit, const std::string& _hall);
} // namespace spanplank

#endif // SPANPLANK_REGION_LIMIT_H_HEADER_GUARD
